#include <gtest/gtest.h>

extern "C"
{
#include "routing/reach.h"
}

namespace
{

class Reach : public ::testing::Test
{
public:
  pu_reach_t r;
  guint64 now = 10000;

  Reach () { pu_reach_init (&r); }

  void
  doubt ()
  {
    pu_reach_failed (&r, 1, now);
    pu_reach_failed (&r, 2, now);
    EXPECT_EQ (r.state, PU_REACH_IN_DOUBT);
  }

  /* All probes that are due end with GOOD; returns how many were.  */
  guint
  probe (bool good)
  {
    guint n = pu_reach_probes_due (&r, now);

    for (guint i = 0; i < n; i++)
      pu_reach_probe_ended (&r, good);
    return n;
  }
};

} // namespace

TEST_F (Reach, OneBackendServerThatRefusesIsNoDoubt)
{
  for (int i = 0; i < 10; i++)
    pu_reach_failed (&r, 1, now += 10);
  EXPECT_EQ (r.state, PU_REACH_GOOD);
  EXPECT_EQ (probe (true), 0u);
}

TEST_F (Reach, ConnectionInBetweenIsNoDoubt)
{
  pu_reach_failed (&r, 1, now);
  pu_reach_connected (&r);
  pu_reach_failed (&r, 2, now);
  EXPECT_EQ (r.state, PU_REACH_GOOD);
}

TEST_F (Reach, OldFailureIsForgotten)
{
  pu_reach_failed (&r, 1, now);
  pu_reach_failed (&r, 2, now + 1000);
  EXPECT_EQ (r.state, PU_REACH_GOOD);
}

/* Several engines crash at once: others accept connections.  */
TEST_F (Reach, OneGoodProbeEndsTheDoubt)
{
  doubt ();
  ASSERT_EQ (pu_reach_probes_due (&r, now), 8u);
  pu_reach_probe_ended (&r, false);
  pu_reach_probe_ended (&r, true);
  EXPECT_EQ (r.state, PU_REACH_GOOD);
  pu_reach_probe_ended (&r, false);
  EXPECT_EQ (r.state, PU_REACH_GOOD);
}

TEST_F (Reach, NoGoodProbeMeansCutOffUntilAWholeRoundIsGood)
{
  doubt ();
  EXPECT_EQ (probe (false), 8u);
  EXPECT_EQ (r.state, PU_REACH_CUT_OFF);
  EXPECT_EQ (probe (true), 0u) << "the next round is later";
  now += 200;
  ASSERT_EQ (pu_reach_probes_due (&r, now), 4u);
  for (int i = 0; i < 3; i++)
    pu_reach_probe_ended (&r, true);
  pu_reach_probe_ended (&r, false);
  EXPECT_EQ (r.state, PU_REACH_CUT_OFF);
  pu_reach_connected (&r);
  EXPECT_EQ (r.state, PU_REACH_CUT_OFF);
  now += 200;
  EXPECT_EQ (probe (true), 4u);
  EXPECT_EQ (r.state, PU_REACH_GOOD);
}

/* In the loss of a part one probe succeeds, and the next doubt begins before
   the others have failed.  */
TEST_F (Reach, ProbesOfAnEarlierDoubtDecideNothing)
{
  doubt ();
  const guint n = pu_reach_probes_due (&r, now);
  pu_reach_probe_ended (&r, true);
  EXPECT_EQ (r.state, PU_REACH_GOOD);
  doubt ();
  for (guint i = 1; i < n; i++)
    pu_reach_probe_ended (&r, false);
  EXPECT_EQ (r.state, PU_REACH_IN_DOUBT);
  EXPECT_GT (probe (false), 0u);
  EXPECT_EQ (r.state, PU_REACH_CUT_OFF);
}
