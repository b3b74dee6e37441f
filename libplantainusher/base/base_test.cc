#include <gtest/gtest.h>

extern "C"
{
#include "base/counters.h"
#include "base/error.h"
#include "base/findings.h"
#include "base/log.h"
}

TEST (Error, KeepsKindAndMessage)
{
  pu_error_t e;

  EXPECT_FALSE (pu_error_set (&e, PU_ERROR_CONFLICT, "version %d", 7));
  EXPECT_EQ (PU_ERROR_CONFLICT, e.kind);
  EXPECT_STREQ ("version 7", e.message);
  EXPECT_STREQ ("conflict", pu_error_kind_name (e.kind));
}

TEST (Findings, AreCollectedWithTheirPlace)
{
  pu_findings_t *f = pu_findings_new ();

  pu_findings_add (f, "/models/a", "no %s", "memory");
  pu_findings_add_at (f, 3, 9, "bad comma");
  ASSERT_EQ (2u, pu_findings_count (f));
  EXPECT_STREQ ("/models/a", pu_findings_get (f, 0)->path);
  EXPECT_EQ (3, pu_findings_get (f, 1)->line);
  pu_findings_free (f);
}

TEST (Counters, AreSortedAndPrefixed)
{
  pu_counters_t *c = pu_counters_new ();
  GString *out = g_string_new (NULL);

  pu_counters_add (c, pu_counters_get (c, "b_total"), 2);
  pu_counters_set (c, pu_counters_get (c, "a"), 5);
  pu_counters_add (c, pu_counters_get (c, "b_total"), 1);
  pu_counters_print (c, out);
  EXPECT_STREQ ("plantainusher_a 5\nplantainusher_b_total 3\n", out->str);
  g_string_free (out, TRUE);
  pu_counters_free (c);
}

TEST (Log, LimitsALineToOnceInAPeriod)
{
  guint64 last = 0;

  EXPECT_TRUE (pu_log_limited (&last, 1000, 60000));
  EXPECT_FALSE (pu_log_limited (&last, 60999, 60000));
  EXPECT_TRUE (pu_log_limited (&last, 61000, 60000));
}

TEST (Log, RefusesAnUnknownLevel)
{
  EXPECT_FALSE (pu_log_set_level ("loud"));
  EXPECT_TRUE (pu_log_set_level ("info"));
  EXPECT_STREQ ("info", pu_log_level ());
}
