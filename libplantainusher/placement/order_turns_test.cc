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
  static constexpr guint64 TRANSIT = 300;
  pu_order_turns_t *t = nullptr;

  void
  Make (bool checks_tokens)
  {
    const pu_order_turns_options_t o
        = { LEASE, TRANSIT, START, checks_tokens };

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
  Make (true);
  pu_order_turns_begin (t, 2, START);
  EXPECT_TRUE (pu_order_turns_allows (t, "a", START));
  pu_order_turns_record (t, "a", true, START);
  pu_order_turns_record (t, "a", true, START + 100);
  EXPECT_TRUE (pu_order_turns_allows (t, "a", START + 101));
  pu_order_turns_begin (t, 4, START + 500);
  EXPECT_FALSE (pu_order_turns_allows (t, "a", START + 100 + WAIT - 1));
  EXPECT_TRUE (pu_order_turns_allows (t, "a", START + 100 + WAIT));
  EXPECT_TRUE (pu_order_turns_allows (t, "b", START + 501));
}

TEST_F (OrderTurns, LeaderOfTheNextTermGoesOnAtOnce)
{
  Make (true);
  pu_order_turns_begin (t, 2, START);
  pu_order_turns_record (t, "a", true, START);
  for (guint64 term : { 2, 3 })
    {
      pu_order_turns_begin (t, term, START + 10);
      EXPECT_TRUE (pu_order_turns_allows (t, "a", START + 10)) << term;
    }
}

TEST_F (OrderTurns, OrdersOfSeveralEarlierTurnsCountByTheLatest)
{
  Make (true);
  pu_order_turns_begin (t, 2, START);
  pu_order_turns_record (t, "a", true, START);
  pu_order_turns_begin (t, 4, START + WAIT);
  pu_order_turns_record (t, "a", true, START + WAIT);
  pu_order_turns_begin (t, 6, START + WAIT + 1);
  EXPECT_FALSE (pu_order_turns_allows (t, "a", START + 2 * WAIT - 1));
  EXPECT_TRUE (pu_order_turns_allows (t, "a", START + 2 * WAIT));
}

TEST_F (OrderTurns, OrderWithoutAnAnswerCountsAsLongAsItMayArrive)
{
  Make (true);
  pu_order_turns_begin (t, 2, START);
  pu_order_turns_record (t, "a", false, START);
  pu_order_turns_begin (t, 4, START + 10);
  EXPECT_FALSE (pu_order_turns_allows (t, "a", START + TRANSIT + WAIT - 1));
  EXPECT_TRUE (pu_order_turns_allows (t, "a", START + TRANSIT + WAIT));
}

TEST_F (OrderTurns, NewLeaderWaitsForTheLastOrdersOfTheLeaderBefore)
{
  constexpr guint64 LATER = START + 10 * WAIT;

  for (bool checks_tokens : { true, false })
    {
      Make (checks_tokens);
      pu_order_turns_begin (t, 7, LATER);
      EXPECT_EQ (checks_tokens,
                 pu_order_turns_allows (t, "a", LATER + TRANSIT - 1));
      EXPECT_TRUE (pu_order_turns_allows (t, "a", LATER + TRANSIT));
      pu_order_turns_free (t);
      t = nullptr;
    }
}

TEST_F (OrderTurns, RestartedProcessWaitsWhereEnginesDoNotCheckTokens)
{
  for (bool checks_tokens : { true, false })
    {
      Make (checks_tokens);
      pu_order_turns_begin (t, 7, START + 1000);
      EXPECT_EQ (checks_tokens,
                 pu_order_turns_allows (t, "a", START + WAIT + TRANSIT - 1));
      EXPECT_TRUE (pu_order_turns_allows (t, "a", START + WAIT + TRANSIT));
      pu_order_turns_free (t);
      t = nullptr;
    }
}

} // namespace
