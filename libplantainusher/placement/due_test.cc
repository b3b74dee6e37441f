#include <gtest/gtest.h>

#include <vector>

extern "C"
{
#include "placement/due.h"
}

namespace
{

constexpr guint32 kModel = 7;
constexpr pu_due_times_t kTimes = { 6000, 1000 };

/* Two engines that have each sent a report; the clock starts at 1000 ms.  */
struct Due : ::testing::Test
{
  pu_dispatcher_t *d = nullptr;
  guint64 now = 1000;
  std::vector<pu_due_engine_t> engines = { { 0, false, 0 }, { 1, false, 0 } };

  Due ()
  {
    pu_dispatcher_options_t o;

    pu_dispatcher_options_init (&o);
    d = pu_dispatcher_new (&o);
    for (guint32 i = 0; i < 2; i++)
      {
        pu_dispatcher_add_engine (d, i, now);
        Report (i, {});
      }
  }

  ~Due () override { pu_dispatcher_free (d); }

  void
  Report (guint32 engine, std::vector<guint32> held, bool busy = false)
  {
    pu_dispatcher_report_t r = {};

    r.accepted = busy ? 1 : 0;
    r.busy = busy;
    r.loaded = held.data ();
    r.n_loaded = held.size ();
    pu_dispatcher_handle_report (d, engine, &r, now, now);
  }

  /* Orders a load of kModel on ENGINE, which accepts the order.  */
  void
  StartLoad (guint32 engine)
  {
    const pu_dispatcher_order_t o = { PU_DISPATCHER_LOAD, kModel, false };
    GArray *actions
        = g_array_new (FALSE, FALSE, sizeof (pu_dispatcher_action_t));

    ASSERT_TRUE (pu_dispatcher_enqueue (d, engine, &o, now));
    pu_dispatcher_step (d, nullptr, nullptr, now, actions);
    pu_dispatcher_handle_answer (d, engine, PU_DISPATCHER_ACCEPTED, now);
    g_array_unref (actions);
  }

  guint32
  DueMs () const
  {
    return pu_due_ms (d, engines.data (), engines.size (), kModel, &kTimes,
                      now);
  }
};

TEST_F (Due, FullLoadTimeWhenNoLoadIsUnderWay)
{
  EXPECT_EQ (6000u, DueMs ());
  engines[1].cached = true;
  EXPECT_EQ (1000u, DueMs ()) << "engine 1 has it on its disk";
}

TEST_F (Due, LoadCountsFromWhenItsEngineMayBeOrdered)
{
  engines[0].wait_ms = 2000;
  engines[1].wait_ms = 500;
  EXPECT_EQ (6500u, DueMs ());
  engines[0].cached = true;
  EXPECT_EQ (3000u, DueMs ());
}

TEST_F (Due, RemainingTimeOfALoadUnderWay)
{
  StartLoad (0);
  now += 2500;
  EXPECT_EQ (3500u, DueMs ());
  now += 5000;
  EXPECT_EQ (0u, DueMs ()) << "the load has run longer than expected";
}

TEST_F (Due, ZeroWhenACopyIsReady)
{
  now += 5000;
  Report (1, { kModel });
  EXPECT_EQ (0u, DueMs ());
}

TEST_F (Due, ZeroUntilEveryEngineHasReported)
{
  pu_dispatcher_add_engine (d, 2, now);
  engines.push_back ({ 2, false, 0 });
  EXPECT_EQ (0u, DueMs ());
}

} // namespace
