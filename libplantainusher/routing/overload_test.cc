#include <algorithm>
#include <map>

#include "router_fixture_test.h"

extern "C"
{
#include "routing/overload.h"
}

namespace
{

constexpr guint64 BEGIN = 100000;
constexpr guint TARGET_MS = 1000;
constexpr guint TIMEOUT_MS = 4000;
constexpr guint RUN_MS = 100;

class Overload : public ::testing::Test
{
protected:
  /* CAME requests a span, of which STARTED start, for MS.  */
  void
  play (guint came, guint started, guint ms)
  {
    for (const guint64 end = now_ + ms; now_ < end; now_ += 500)
      {
        for (guint i = 0; i < came; i++)
          pu_overload_came (&o_, now_);
        for (guint i = 0; i < started; i++)
          pu_overload_started (&o_, now_);
      }
  }

  pu_overload_t o_ = {};
  guint64 now_ = BEGIN;
};

pu_router_service_options_t
service ()
{
  pu_router_service_options_t s = {};

  s.name = "s";
  s.first_token_ms = TARGET_MS;
  s.timeout_ms = TIMEOUT_MS;
  s.max_queue = 1000;
  s.serve_late = true;
  return s;
}

/* One backend server with one slot that runs each request for RUN_MS.  */
class OverloadedRouter : public OneModelRouter
{
protected:
  OverloadedRouter () : OneModelRouter (service ())
  {
    Backend b;

    b.slots = 1;
    set_backend ("b", b);
  }

  struct Running
  {
    pu_ticket_t ticket = 0;
    guint64 ends_at = 0;
  };

  void
  handle (const pu_router_decision_t &d)
  {
    if (d.verdict == PU_ROUTER_DISPATCH)
      running_ = { d.ticket, now_ + RUN_MS };
    if (d.verdict != PU_ROUTER_REFUSE)
      return;
    refused_++;
    longest_wait_ = std::max (longest_wait_, now_ - offered_at_[d.ticket]);
  }

  void
  step ()
  {
    if (running_.ticket != 0 && now_ >= running_.ends_at)
      {
        pu_router_first_token (r_, running_.ticket, now_);
        pu_router_finished (r_, running_.ticket, PU_ROUTER_COMPLETE, now_);
        running_ = {};
        served_++;
      }
    for (const auto &d : schedule ())
      handle (d);
    now_++;
  }

  void
  offer ()
  {
    pu_router_decision_t d = offer_to ("b", now_ + TIMEOUT_MS);

    offered_at_[d.ticket] = now_;
    handle (d);
  }

  /* A request each INTERVAL_MS for MS; 0: none.  */
  void
  play (guint interval_ms, guint ms)
  {
    for (guint i = 0; i < ms; i++)
      {
        if (interval_ms > 0 && i % interval_ms == 0)
          offer ();
        step ();
      }
  }

  std::map<pu_ticket_t, guint64> offered_at_;
  Running running_;
  guint served_ = 0;
  guint refused_ = 0;
  guint64 longest_wait_ = 0;
};

} // namespace

TEST_F (Overload, LastsWhenMoreComeThanStartForTwoSeconds)
{
  play (10, 5, 2000);
  EXPECT_TRUE (pu_overload_lasts (&o_, now_));
  EXPECT_DOUBLE_EQ (pu_overload_starts_per_ms (&o_, now_), 0.01);
}

TEST_F (Overload, BurstIsNone)
{
  play (50, 5, 500);
  play (0, 5, 1500);
  EXPECT_FALSE (pu_overload_lasts (&o_, now_));
}

TEST_F (Overload, EndsWithTheFirstSpanInWhichMoreStart)
{
  play (10, 5, 4000);
  play (5, 6, 500);
  EXPECT_FALSE (pu_overload_lasts (&o_, now_));
}

TEST_F (Overload, PauseIsNone)
{
  play (10, 5, 2000);
  EXPECT_FALSE (pu_overload_lasts (&o_, now_ + 2500));
  EXPECT_FALSE (pu_overload_lasts (&o_, now_ + 100000));
}

/* Three times as many come as can be served.  */
TEST_F (OverloadedRouter, RequestThatWillNotStartIsRefusedSoon)
{
  play (RUN_MS / 3, 5000);
  served_ = refused_ = 0;
  longest_wait_ = 0;
  play (RUN_MS / 3, 10000);
  EXPECT_GE (served_, 95u);
  EXPECT_GE (refused_, 150u);
  EXPECT_LE (longest_wait_, TARGET_MS + 50);
}

TEST_F (OverloadedRouter, LateRequestsOfABurstAreServed)
{
  for (guint i = 0; i < 30; i++)
    offer ();
  play (0, 4000);
  EXPECT_EQ (served_, 30u);
  EXPECT_EQ (refused_, 0u);
}

/* An owner must not count the target from when a request reaches it.  */
TEST_F (OverloadedRouter, RequestThatIsLateByItsAgeDoesNotGoFirst)
{
  pu_router_request_t q = request_until (now_ + TIMEOUT_MS);
  pu_router_decision_t late;
  pu_router_decision_t in_time;

  offer ();
  q.backend_name = "b";
  q.age_ms = TARGET_MS;
  pu_router_offer (r_, &q, now_, &late);
  ASSERT_EQ (PU_ROUTER_QUEUED, late.verdict);
  now_++;
  q.age_ms = 0;
  pu_router_offer (r_, &q, now_, &in_time);
  ASSERT_EQ (PU_ROUTER_QUEUED, in_time.verdict);
  schedule ();
  now_ += RUN_MS;
  pu_router_finished (r_, running_.ticket, PU_ROUTER_COMPLETE, now_);
  for (const auto &d : schedule ())
    EXPECT_EQ (in_time.ticket, d.ticket);
}
