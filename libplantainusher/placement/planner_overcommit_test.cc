/* Fleets with more models than their engines can hold.  */

#include "placement/planner_fixture_test.h"

#include <set>

namespace
{

/* Three models of 60 MB and two engines of 100 MB.  */
struct Overcommitted : Planner
{
  Overcommitted ()
  {
    AddEngines (2);
    for (guint32 i = 0; i < 3; i++)
      DeclareItem (i, 60);
    copies[0] = { { 0, 1, 60, PU_PLAN_READY } };
    copies[1] = { { 1, 1, 60, PU_PLAN_READY } };
    ReportEngine (0);
    ReportEngine (1);
  }

  void
  Demand (guint32 item, double streams)
  {
    pu_planner_add_demand (p, item, 10, streams * 1000);
  }

  /* The moves of up to N steps, during each of which ITEM gets demand of
     STREAMS.  */
  std::string
  StepsWithDemand (unsigned n, guint32 item, double streams)
  {
    std::string all;

    for (unsigned i = 0; i < n; i++)
      {
        Demand (item, streams);
        all += Step ();
      }
    return all;
  }
};

TEST_F (Overcommitted, IdleModelWithoutACopyReplacesNothing)
{
  for (int i = 0; i < 20; i++)
    EXPECT_EQ ("", Step ());
  EXPECT_TRUE (pu_planner_is_overcommitted (p));
}

/* Guards against a placement that never moves again once each place holds the
   last copy of a model: requests for the model without a copy were refused all
   day while engines with idle models had no request.  */
TEST_F (Overcommitted, IdleLastCopyYieldsToAModelInDemand)
{
  Demand (0, 2);
  std::string moves = StepsWithDemand (10, 2, 2);

  EXPECT_EQ ("unload 1.1@1 load 2.1@1 ", moves) << "item 0 has had demand";
  EXPECT_EQ (1U, pu_planner_ready_copies (p, 0));
}

/* At the start of a leader the engines report one after the other.  */
TEST_F (Overcommitted, NoLastCopyYieldsBeforeAllEnginesAreKnown)
{
  std::string moves = StepsWithDemand (4, 2, 2);

  EXPECT_EQ ("", moves);
  copies.push_back ({});
  ReportEngine (2);
  EXPECT_EQ ("load 2.1@2 ", Step ());
}

/* Guards against the unload of a last copy that is sent after an engine has
   returned, before the next step.  */
TEST_F (Overcommitted, UnloadOfALastCopyIsNotSentOnceAllModelsFit)
{
  std::string moves;

  Demand (0, 2);
  for (int i = 0; i < 10 && moves.empty (); i++)
    {
      Demand (2, 2);
      moves = Step (false);
    }
  ASSERT_EQ ("unload 1.1@1 ", moves);
  EXPECT_TRUE (pu_planner_may_unload (p, 1, 1, 1));
  copies.push_back ({});
  ReportEngine (2);
  EXPECT_FALSE (pu_planner_may_unload (p, 1, 1, 1));
}

/* Guards against the unload of a last copy by a later order, which fences off
   the one that was planned for an item with more demand.  */
TEST_F (Overcommitted, CopyThatHasYieldedMayNotYieldAgainUnplanned)
{
  std::string moves;

  Demand (0, 2);
  for (int i = 0; i < 10 && moves.empty (); i++)
    {
      Demand (2, 2);
      moves = Step (false);
    }
  ASSERT_EQ ("unload 1.1@1 ", moves);
  copies[1].clear ();
  ReportEngine (1);
  copies[1] = { { 1, 1, 60, PU_PLAN_UNLOADING } };
  ReportEngine (1);
  EXPECT_FALSE (pu_planner_may_unload (p, 1, 1, 1));
}

/* Guards against a last copy that yields although all models fitted a moment
   ago, between two steps.  */
TEST_F (Overcommitted, LastCopiesYieldOnlyAfterAWhileWithoutEnoughEngines)
{
  std::string moves = StepsWithDemand (4, 2, 2);

  copies.push_back ({});
  ReportEngine (2);
  ReportEngine (2, false);
  EXPECT_EQ ("", moves + StepsWithDemand (5, 2, 2));
  EXPECT_EQ ("unload 0.1@0 load 2.1@0 ", StepsWithDemand (3, 2, 2));
}

TEST_F (Overcommitted, ModelsWithEqualDemandDoNotEvictEachOther)
{
  for (int i = 0; i < 10; i++)
    {
      Demand (0, 2);
      Demand (1, 2);
      Step ();
    }
  for (int i = 0; i < 60; i++)
    {
      for (guint32 k = 0; k < 3; k++)
        Demand (k, 2);
      EXPECT_EQ ("", Step ());
    }
}

/* Requests for models whose number exceeds the places come in turn, each for a
   while.  Each model gets a copy while it is asked for.  */
TEST_F (Overcommitted, EachModelGetsACopyInTurn)
{
  for (guint32 turn = 0; turn < 6; turn++)
    {
      guint32 item = (turn + 2) % 3;

      StepsWithDemand (90, item, 3);
      EXPECT_GE (pu_planner_ready_copies (p, item), 1U) << turn;
    }
}

TEST_F (Planner, LastCopyStaysWhereAllModelsFit)
{
  AddEngines (2);
  DeclareItem (0, 60);
  DeclareItem (1, 60);
  for (int i = 0; i < 4; i++)
    Step ();
  for (int i = 0; i < 60; i++)
    {
      pu_planner_add_demand (p, 0, 100, 100 * 1000.0);
      EXPECT_EQ ("", Step ());
    }
  EXPECT_FALSE (pu_planner_is_overcommitted (p));
}

} // namespace
