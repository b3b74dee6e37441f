#include "routing/router_fixture_test.h"

namespace
{

pu_router_service_options_t
service ()
{
  pu_router_service_options_t s = {};

  s.name = "s";
  s.timeout_ms = 4000;
  s.max_queue = 100;
  return s;
}

class TriedBackend : public OneModelRouter
{
protected:
  TriedBackend () : OneModelRouter (service ()) {}

  /* Offers a request of which an attempt failed on BACKEND, and returns the
     name of the backend server that it goes to.  */
  std::string
  goes_to (const char *backend)
  {
    pu_router_request_t q = request_until (now_ + 4000);
    pu_router_decision_t d;

    q.tried_backend = backend;
    pu_router_offer (r_, &q, now_, &d);
    return pu_router_backend_name (r_, d.backend);
  }
};

} // namespace

TEST_F (TriedBackend, IsLeftForOthersWhenTheRequestIsOfferedAgain)
{
  set_backend ("a", Backend ());
  set_backend ("b", Backend ());
  for (int i = 0; i < 20; i++)
    {
      EXPECT_EQ (goes_to ("a"), "b");
      EXPECT_EQ (goes_to ("b"), "a");
    }
}

TEST_F (TriedBackend, IsTriedAgainWhenItIsTheOnlyOne)
{
  set_backend ("a", Backend ());
  EXPECT_EQ (goes_to ("a"), "a");
}

TEST_F (TriedBackend, ThatIsGoneDoesNotMatter)
{
  set_backend ("a", Backend ());
  EXPECT_EQ (goes_to ("gone"), "a");
}

/* An owner that would not send a request has not spent an attempt at its
   backend server.  */
TEST_F (TriedBackend, ThatWasDeclinedByItsOwnerLeavesTheOnlyAttemptForOthers)
{
  pu_router_request_t q = request_until (now_ + 4000);
  pu_router_decision_t d;
  std::string first;

  set_backend ("a", Backend ());
  set_backend ("b", Backend ());
  pu_router_set_service_retries (r_, 0, 0);
  q.attempts_max = 1;
  q.repeatable = false;
  pu_router_offer (r_, &q, now_, &d);
  ASSERT_EQ (PU_ROUTER_DISPATCH, d.verdict);
  first = pu_router_backend_name (r_, d.backend);
  pu_router_retry (r_, d.ticket, PU_ROUTER_FAIL_DECLINED, now_, &d);
  ASSERT_EQ (PU_ROUTER_DISPATCH, d.verdict);
  EXPECT_NE (first, pu_router_backend_name (r_, d.backend));
  pu_router_retry (r_, d.ticket, PU_ROUTER_FAIL_DECLINED, now_, &d);
  EXPECT_EQ (PU_ROUTER_REFUSE, d.verdict);
  EXPECT_EQ (PU_ROUTER_NOT_RUN, d.ran);
}
