#include <gtest/gtest.h>

#include "placement/order_turns.h"

namespace
{

class OrderTurns : public ::testing::Test
{
protected:
  static constexpr guint64 START = 50000;
  static constexpr guint64 LEASE = 3000;
  static constexpr guint64 WAIT = 3060; /* a lease and two clocks' drift */
  pu_order_turns_t *t = nullptr;

  void
  Make (bool wait_after_start)
  {
    const pu_order_turns_options_t o = { LEASE, START, wait_after_start };

    t = pu_order_turns_new (&o);
  }
  void
  TearDown () override
  {
    pu_order_turns_free (t);
  }
};

TEST_F (OrderTurns, ReturningLeaderWaitsForEachEngineThatItOrdered)
{
  Make (false);
  pu_order_turns_begin (t, 2, START);
  EXPECT_TRUE (pu_order_turns_allows (t, "a", START));
  pu_order_turns_record (t, "a", START);
  pu_order_turns_record (t, "a", START + 100);
  EXPECT_TRUE (pu_order_turns_allows (t, "a", START + 101));
  pu_order_turns_begin (t, 4, START + 500);
  EXPECT_FALSE (pu_order_turns_allows (t, "a", START + 100 + WAIT - 1));
  EXPECT_TRUE (pu_order_turns_allows (t, "a", START + 100 + WAIT));
  EXPECT_TRUE (pu_order_turns_allows (t, "b", START + 501));
}

TEST_F (OrderTurns, LeaderOfTheNextTermGoesOnAtOnce)
{
  Make (false);
  pu_order_turns_begin (t, 2, START);
  pu_order_turns_record (t, "a", START);
  for (guint64 term : { 2, 3 })
    {
      pu_order_turns_begin (t, term, START + 10);
      EXPECT_TRUE (pu_order_turns_allows (t, "a", START + 10)) << term;
    }
}

TEST_F (OrderTurns, OrdersOfSeveralEarlierTurnsCountByTheLatest)
{
  Make (false);
  pu_order_turns_begin (t, 2, START);
  pu_order_turns_record (t, "a", START);
  pu_order_turns_begin (t, 4, START + WAIT);
  pu_order_turns_record (t, "a", START + WAIT);
  pu_order_turns_begin (t, 6, START + WAIT + 1);
  EXPECT_FALSE (pu_order_turns_allows (t, "a", START + 2 * WAIT - 1));
  EXPECT_TRUE (pu_order_turns_allows (t, "a", START + 2 * WAIT));
}

TEST_F (OrderTurns, RestartedProcessWaitsWhereEnginesDoNotCheckTokens)
{
  for (bool wait : { true, false })
    {
      Make (wait);
      pu_order_turns_begin (t, 7, START + 1000);
      EXPECT_EQ (!wait, pu_order_turns_allows (t, "a", START + WAIT - 1));
      EXPECT_TRUE (pu_order_turns_allows (t, "a", START + WAIT));
      pu_order_turns_free (t);
      t = nullptr;
    }
}

} // namespace
