#include "routing/origins.h"

#include <gtest/gtest.h>

namespace
{

constexpr guint kMax = 100;
constexpr guint64 kNow = 1000;

class Origins : public testing::Test
{
protected:
  ~Origins () override { pu_origins_free (o_); }

  pu_origins_t *o_ = pu_origins_new (kMax);
};

TEST_F (Origins, BeginningIsKnownUntilItsStreamCanNoLongerBeResumed)
{
  pu_origins_add (o_, 1, "v1.1", kNow + 10, kNow);
  EXPECT_STREQ ("v1.1", pu_origins_find (o_, 1, kNow + 9));
  EXPECT_EQ (nullptr, pu_origins_find (o_, 1, kNow + 10));
  EXPECT_EQ (nullptr, pu_origins_find (o_, 2, kNow));
}

TEST_F (Origins, IdThatWasUsedTwiceIsUnknown)
{
  pu_origins_add (o_, 1, "v1.1", kNow + 10, kNow);
  pu_origins_add (o_, 1, "v1.1", kNow + 10, kNow);
  EXPECT_STREQ ("v1.1", pu_origins_find (o_, 1, kNow));
  pu_origins_add (o_, 1, "v1.2", kNow + 10, kNow);
  EXPECT_STREQ ("", pu_origins_find (o_, 1, kNow));
  pu_origins_add (o_, 1, "v1.1", kNow + 10, kNow);
  EXPECT_STREQ ("", pu_origins_find (o_, 1, kNow));
}

TEST_F (Origins, OldestAreDroppedBeyondTheBound)
{
  for (guint64 key = 0; key < 3 * kMax; key++)
    pu_origins_add (o_, key, "v1.1", kNow + 10, kNow);
  EXPECT_EQ (kMax, pu_origins_count (o_));
  EXPECT_EQ (nullptr, pu_origins_find (o_, 0, kNow));
  EXPECT_STREQ ("v1.1", pu_origins_find (o_, 3 * kMax - 1, kNow));
}

TEST_F (Origins, ExpiredOnesMakeRoom)
{
  for (guint64 key = 0; key < kMax / 2; key++)
    pu_origins_add (o_, key, "v1.1", kNow + 10, kNow);
  pu_origins_add (o_, kMax, "v1.1", kNow + 30, kNow + 20);
  EXPECT_EQ (1u, pu_origins_count (o_));
}

} // namespace
