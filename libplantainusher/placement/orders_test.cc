#include <gtest/gtest.h>

extern "C"
{
#include "placement/orders.h"
}

namespace
{

constexpr guint32 kBackend = 1;
constexpr guint32 kCopy = 7;
constexpr guint64 kToken = 40;

/* The orders of one leader; the clock starts at 1000 ms.  */
struct UnsentOrders : ::testing::Test
{
  pu_orders_options_t options;
  pu_orders_t *o;
  guint64 now = 1000;
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (pu_orders_action_t));

  UnsentOrders ()
  {
    pu_orders_options_init (&options);
    options.max_orders_per_engine = 1;
    options.max_store_loads = 1;
    o = pu_orders_new (&options, now);
    Report (0);
  }

  ~UnsentOrders () override
  {
    pu_orders_free (o);
    g_array_unref (actions);
  }

  void
  Report (guint64 token)
  {
    pu_ledger_report_t r = {};

    r.backend = kBackend;
    r.incarnation = 1;
    r.token = token;
    pu_orders_handle_report (o, &r, now);
  }

  guint32
  EnqueueLoad (guint32 copy)
  {
    pu_orders_spec_t w = {};

    w.kind = PU_LEDGER_LOAD;
    w.backend = kBackend;
    w.incarnation = 1;
    w.copy = copy;
    w.memory_mb = 1000;
    w.reason = "demand";
    return pu_orders_enqueue (o, &w, now);
  }

  /* Moves the clock by MS and returns how many actions of KIND are due.  */
  int
  Step (guint64 ms, pu_orders_action_kind_t kind)
  {
    int n = 0;

    now += ms;
    g_array_set_size (actions, 0);
    pu_orders_step (o, now, actions);
    for (guint i = 0; i < actions->len; i++)
      n += g_array_index (actions, pu_orders_action_t, i).kind == kind;
    return n;
  }

  /* Proposes a load of kCopy, whose reservation commits after MS.  */
  guint32
  ReserveAfter (guint64 ms)
  {
    guint32 id = EnqueueLoad (kCopy);

    EXPECT_EQ (1, Step (0, PU_ORDERS_ACTION_RESERVE));
    now += ms;
    pu_orders_handle_reserved (o, id, true, kToken, now);
    return id;
  }
};

/* Guards against an order that can no longer be sent, because its reservation
   committed late, but holds its place until the end of its lifetime.  */
TEST_F (UnsentOrders, OrderReservedTooLateToBeSentFailsAtOnce)
{
  ReserveAfter (options.send_ms);
  EXPECT_EQ (1, Step (1, PU_ORDERS_ACTION_UNSENT));
  EXPECT_EQ (0, Step (1, PU_ORDERS_ACTION_SEND));
  EXPECT_EQ (0u, pu_orders_failures (o, kBackend, kCopy, nullptr))
      << "the engine has not failed to load the copy";
}

TEST_F (UnsentOrders, ReservationOfAnUnsentOrderIsReleased)
{
  ReserveAfter (options.send_ms);
  EXPECT_EQ (1, Step (1, PU_ORDERS_ACTION_RELEASE));
}

TEST_F (UnsentOrders, UnsentOrderLeavesItsPlaceToTheNext)
{
  ReserveAfter (options.send_ms);
  Step (1, PU_ORDERS_ACTION_UNSENT);
  EXPECT_NE (0u, EnqueueLoad (kCopy + 1));
  EXPECT_EQ (1, Step (1, PU_ORDERS_ACTION_RESERVE));
}

/* Guards against an order that the shell did not send, but that counts as sent
   until the end of its lifetime.  */
TEST_F (UnsentOrders, OrderThatWasNotSentIsSentAgain)
{
  ReserveAfter (0);
  EXPECT_EQ (1, Step (1, PU_ORDERS_ACTION_SEND));
  pu_orders_handle_unsent (o, kToken, now);
  EXPECT_EQ (1, Step (options.retry_ms, PU_ORDERS_ACTION_SEND));
}

TEST_F (UnsentOrders, OrderThatWasNotSentInTimeFails)
{
  ReserveAfter (0);
  EXPECT_EQ (1, Step (1, PU_ORDERS_ACTION_SEND));
  pu_orders_handle_unsent (o, kToken, now);
  EXPECT_EQ (1, Step (options.send_ms, PU_ORDERS_ACTION_UNSENT));
}

TEST_F (UnsentOrders, OrderThatWasSentOnceMayTakeEffect)
{
  ReserveAfter (0);
  EXPECT_EQ (1, Step (1, PU_ORDERS_ACTION_SEND));
  EXPECT_EQ (1, Step (options.retry_ms, PU_ORDERS_ACTION_SEND));
  pu_orders_handle_unsent (o, kToken, now);
  EXPECT_EQ (0, Step (options.send_ms, PU_ORDERS_ACTION_UNSENT));
  EXPECT_EQ (0, Step (0, PU_ORDERS_ACTION_RELEASE));
}

} // namespace
