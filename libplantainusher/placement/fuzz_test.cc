#include "placement/world_test.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "base/fuzz_report.h"

namespace
{

constexpr int kOps = 150;

std::string
Run (unsigned seed, const std::vector<unsigned> &ops, const Breaks &b)
{
  World w (seed, b);

  for (size_t i = 0; i < ops.size () && w.fault.empty (); i++)
    w.Op (ops[i]);
  if (w.fault.empty ())
    w.Calm ();
  pu_fuzz_report::get ().steps += w.steps;
  pu_fuzz_report::get ().faults += w.faults;
  return w.fault;
}

RC_GTEST_PROP (PlacementFuzz, MemoryHoldsAndEveryItemIsReachable, ())
{
  auto seed = *rc::gen::resize (100, rc::gen::arbitrary<unsigned> ());
  auto ops
      = *rc::gen::resize (100, rc::gen::container<std::vector<unsigned> > (
                                   kOps, rc::gen::arbitrary<unsigned> ()));

  RC_ASSERT (Run (seed, ops, Breaks ()) == "");
}

/* The first fault that the break causes over a fixed row of seeds.  */
std::string
FirstFault (const Breaks &b)
{
  for (unsigned seed = 1; seed <= 200; seed++)
    {
      std::mt19937 rng (seed);
      std::vector<unsigned> ops;

      for (int i = 0; i < kOps; i++)
        ops.push_back (rng ());
      std::string fault = Run (seed, ops, b);
      if (!fault.empty ())
        return fault;
    }
  return "";
}

struct Case
{
  const char *name;
  Breaks breaks;
  const char *fault;
};

class PlacementBreak : public ::testing::TestWithParam<Case>
{
};

TEST_P (PlacementBreak, IsCaught)
{
  EXPECT_NE (FirstFault (GetParam ().breaks).find (GetParam ().fault),
             std::string::npos);
}

const char kOver[] = "over its size";

INSTANTIATE_TEST_SUITE_P (
    Each, PlacementBreak,
    ::testing::Values (
        Case{ "NoCheck", { PU_LEDGER_BREAK_NO_MEMORY_CHECK, 0, 0 }, kOver },
        Case{ "OwnToken", { PU_LEDGER_BREAK_OWN_TOKEN_FENCES, 0, 0 }, kOver },
        Case{
            "DownFrees", { PU_LEDGER_BREAK_DOWN_CLOSES_ORDERS, 0, 0 }, kOver },
        Case{ "ReleaseOnLostAnswer", { 0, 0, PU_ORDERS_BREAK_LOST }, kOver },
        Case{ "ReleaseOnTimeout",
              { 0, 0, PU_ORDERS_BREAK_RELEASE_ON_TIMEOUT },
              kOver },
        Case{
            "NewLeaderDoesNotWait", { 0, 0, PU_ORDERS_BREAK_NO_WAIT }, kOver },
        Case{
            "SentBeforeReserved", { 0, 0, PU_ORDERS_BREAK_UNLOGGED }, kOver },
        Case{ "UnloadLastCopy",
              { 0, PU_PLANNER_BREAK_LAST_COPY, 0 },
              "last ready copy" }),
    [] (const ::testing::TestParamInfo<Case> &i) { return i.param.name; });

} // namespace
