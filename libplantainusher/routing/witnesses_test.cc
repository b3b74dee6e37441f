#include <gtest/gtest.h>

extern "C"
{
#include "routing/witnesses.h"
}

namespace
{

class Witnesses : public ::testing::Test
{
public:
  pu_witnesses_t w;
  guint64 now = 10000;
  guint64 soon = 10250;
  guint64 until = 11000;

  void
  ask (guint n)
  {
    pu_witnesses_init (&w, n, soon, until);
  }

  void
  add (guint n, pu_sight_t sight)
  {
    for (guint i = 0; i < n; i++)
      pu_witnesses_add (&w, sight);
  }

  pu_witnesses_verdict_t
  verdict () const
  {
    return pu_witnesses_verdict (&w, now);
  }
};

} // namespace

/* Several instances may be cut off from the same backend servers.  */
TEST_F (Witnesses, OneThatIsAcceptedOutweighsAllOthers)
{
  ask (8);
  add (7, PU_SIGHT_REFUSES);
  EXPECT_EQ (verdict (), PU_WITNESSES_AWAITED);
  add (1, PU_SIGHT_ACCEPTS);
  EXPECT_EQ (verdict (), PU_WITNESSES_RUNS);
  now = until;
  EXPECT_EQ (verdict (), PU_WITNESSES_RUNS);
}

TEST_F (Witnesses, FirstThatIsAcceptedDecides)
{
  ask (8);
  add (1, PU_SIGHT_ACCEPTS);
  EXPECT_EQ (verdict (), PU_WITNESSES_RUNS);
}

TEST_F (Witnesses, AllRefusedConfirmTheCrash)
{
  ask (3);
  add (3, PU_SIGHT_REFUSES);
  EXPECT_EQ (verdict (), PU_WITNESSES_CRASHED);
}

TEST_F (Witnesses, OnlyOneOtherInstanceIsEnough)
{
  ask (1);
  EXPECT_EQ (verdict (), PU_WITNESSES_AWAITED);
  add (1, PU_SIGHT_REFUSES);
  EXPECT_EQ (verdict (), PU_WITNESSES_CRASHED);
}

/* One of them has just been killed, too.  */
TEST_F (Witnesses, SilentOneIsAwaitedForAMoment)
{
  ask (3);
  add (2, PU_SIGHT_REFUSES);
  EXPECT_EQ (verdict (), PU_WITNESSES_AWAITED);
  now = soon;
  EXPECT_EQ (verdict (), PU_WITNESSES_CRASHED);
}

/* Slow answers may still refute the crash.  */
TEST_F (Witnesses, MostAreAwaitedForLonger)
{
  ask (4);
  add (2, PU_SIGHT_REFUSES);
  now = soon;
  EXPECT_EQ (verdict (), PU_WITNESSES_AWAITED);
  now = until - 1;
  EXPECT_EQ (verdict (), PU_WITNESSES_AWAITED);
  now = until;
  EXPECT_EQ (verdict (), PU_WITNESSES_UNKNOWN);
  add (1, PU_SIGHT_ACCEPTS);
  EXPECT_EQ (verdict (), PU_WITNESSES_RUNS);
}

TEST_F (Witnesses, HalfOfThemConfirmNothing)
{
  ask (4);
  add (2, PU_SIGHT_REFUSES);
  add (2, PU_SIGHT_NONE);
  EXPECT_EQ (verdict (), PU_WITNESSES_UNKNOWN);
}

/* Other instances of an earlier release don't answer.  */
TEST_F (Witnesses, NoAnswerConfirmsNothing)
{
  ask (8);
  now = until;
  EXPECT_EQ (verdict (), PU_WITNESSES_UNKNOWN);
  EXPECT_TRUE (pu_witnesses_none_answered (&w));
  add (1, PU_SIGHT_NONE);
  EXPECT_FALSE (pu_witnesses_none_answered (&w));
}
