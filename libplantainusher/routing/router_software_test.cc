/* Requests that resume a stream: only one software version may run them.  */

#include "routing/router.h"

#include <gtest/gtest.h>

#include <vector>

namespace
{

class RouterSoftware : public testing::Test
{
protected:
  void
  SetUp () override
  {
    const pu_router_service_options_t s
        = { "chat", 1, 0, 0, 5000, 0, 20, false, 0 };
    pu_router_options_t o;

    pu_router_options_init (&o);
    r_ = pu_router_new (&o);
    chat_ = pu_router_set_service (r_, &s);
    m_ = pu_router_set_model (r_, "m", nullptr, 0);
  }
  void
  TearDown () override
  {
    pu_router_free (r_);
  }

  pu_router_backend_t
  backend (const std::string &name, const char *software, guint slots = 4)
  {
    const pu_router_copy_t copy = { "m", "1", PU_ROUTER_COPY_READY };
    pu_router_backend_options_t b = {};

    b.name = name.c_str ();
    b.incarnation = 1;
    b.region = b.zone = "";
    b.software = software;
    b.slots = slots;
    b.copies = &copy;
    b.n_copies = 1;
    return pu_router_set_backend (r_, &b);
  }

  pu_router_decision_t
  offer (const char *software)
  {
    pu_router_request_t q = {};
    pu_router_decision_t d;

    q.service = chat_;
    q.model = m_;
    q.deadline = now_ + 5000;
    q.repeatable = true;
    q.software = software;
    pu_router_offer (r_, &q, now_, &d);
    return d;
  }

  std::vector<pu_router_decision_t>
  schedule ()
  {
    GArray *out = g_array_new (FALSE, FALSE, sizeof (pu_router_decision_t));
    std::vector<pu_router_decision_t> list;

    pu_router_schedule (r_, now_, out);
    for (guint i = 0; i < out->len; i++)
      list.push_back (g_array_index (out, pu_router_decision_t, i));
    g_array_free (out, TRUE);
    return list;
  }

  pu_router_t *r_ = nullptr;
  pu_router_service_t chat_ = 0;
  pu_router_model_t m_ = 0;
  guint64 now_ = 100000;
};

TEST_F (RouterSoftware, ResumedStreamGoesToItsVersionAmongManyOthers)
{
  for (int i = 0; i < 40; i++)
    backend ("other-" + std::to_string (i), "v1.1");
  const pu_router_backend_t only = backend ("only", "v1.2", 60);

  for (int i = 0; i < 50; i++)
    {
      const pu_router_decision_t d = offer ("v1.2");

      ASSERT_EQ (PU_ROUTER_DISPATCH, d.verdict) << i;
      EXPECT_EQ (only, d.backend);
    }
}

TEST_F (RouterSoftware, ResumedStreamWithoutItsVersionIsRefusedAtOnce)
{
  backend ("a", "v1.1");
  backend ("b", "");
  for (const char *software : { "v1.2", "" })
    {
      const pu_router_decision_t d = offer (software);

      EXPECT_EQ (PU_ROUTER_REFUSE, d.verdict);
      EXPECT_EQ (PU_ROUTER_REASON_COPY, d.reason);
      EXPECT_EQ (PU_ROUTER_NOT_RUN, d.ran);
    }
  EXPECT_EQ (PU_ROUTER_DISPATCH, offer (nullptr).verdict);
}

TEST_F (RouterSoftware, StreamThatBeganIsRetriedAtItsVersionOnly)
{
  const pu_router_backend_t a = backend ("a", "v1.1");
  const pu_router_backend_t b = backend ("b", "v1.1");
  for (int i = 0; i < 8; i++)
    backend ("c-" + std::to_string (i), "v1.2");
  pu_router_decision_t d = offer ("v1.1");

  pu_router_first_token (r_, d.ticket, now_);
  pu_router_set_software (r_, d.ticket, "v1.1");
  const pu_router_backend_t first = d.backend;
  pu_router_retry (r_, d.ticket, PU_ROUTER_FAIL_TRUNCATED, now_, &d);
  ASSERT_EQ (PU_ROUTER_DISPATCH, d.verdict);
  EXPECT_EQ (first == a ? b : a, d.backend);
  pu_router_retry (r_, d.ticket, PU_ROUTER_FAIL_TRUNCATED, now_, &d);
  EXPECT_EQ (PU_ROUTER_REFUSE, d.verdict);
}

TEST_F (RouterSoftware, WaitingRequestsOfOneVersionDoNotHoldUpTheOthers)
{
  const pu_router_backend_t a = backend ("a", "v1.1", 1);
  const pu_router_backend_t b = backend ("b", "v1.2", 1);
  const pu_ticket_t on_a = offer ("v1.1").ticket;
  const pu_ticket_t on_b = offer ("v1.2").ticket;

  ASSERT_NE (a, b);
  for (int i = 0; i < 10; i++)
    ASSERT_EQ (PU_ROUTER_QUEUED, offer ("v1.1").verdict);
  const pu_ticket_t last = offer (nullptr).ticket;
  pu_router_finished (r_, on_b, PU_ROUTER_COMPLETE, now_);
  const auto started = schedule ();
  ASSERT_EQ (1u, started.size ());
  EXPECT_EQ (last, started[0].ticket);
  pu_router_finished (r_, on_a, PU_ROUTER_COMPLETE, now_);
  EXPECT_EQ (1u, schedule ().size ());
}

TEST_F (RouterSoftware, WaitingRequestIsRefusedWhenItsVersionIsGone)
{
  const pu_router_backend_t a = backend ("a", "v1.1", 1);
  backend ("b", "v1.2", 1);
  offer ("v1.1");
  offer ("v1.2");
  const pu_ticket_t waiting = offer ("v1.1").ticket;

  schedule ();
  pu_router_set_leaving (r_, a);
  const auto refused = schedule ();
  ASSERT_EQ (1u, refused.size ());
  EXPECT_EQ (waiting, refused[0].ticket);
  EXPECT_EQ (PU_ROUTER_REFUSE, refused[0].verdict);
  EXPECT_EQ (PU_ROUTER_REASON_COPY, refused[0].reason);
}

} // namespace
