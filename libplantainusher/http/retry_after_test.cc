#include <gtest/gtest.h>

#include "http/retry_after.h"

TEST (RetryAfter, OnlyDecimalSecondsAreRead)
{
  const struct
  {
    const char *text;
    guint ms;
  } rows[] = {
    { nullptr, 0 },       { "", 0 },
    { "3", 3000 },        { "0.25", 250 },
    { "0.0001", 1 },      { "0", 0 },
    { "-1", 0 },          { "1x", 0 },
    { "inf", 0 },         { "1e999", 0 },
    { "99999", 3600000 }, { "Wed, 21 Oct 2026 07:28:00 GMT", 0 },
  };

  for (const auto &row : rows)
    {
      EXPECT_EQ (row.ms, pu_http_retry_after_ms (row.text))
          << (row.text ? row.text : "NULL");
    }
}
