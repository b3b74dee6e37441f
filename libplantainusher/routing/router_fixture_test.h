#ifndef PU_ROUTER_FIXTURE_TEST_H
#define PU_ROUTER_FIXTURE_TEST_H

#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C"
{
#include "routing/router.h"
}

/* A router of one service with one model, of which each backend server has a
   ready copy.  */
class OneModelRouter : public testing::Test
{
protected:
  explicit OneModelRouter (const pu_router_service_options_t &service)
  {
    pu_router_options_t o;

    pu_router_options_init (&o);
    r_ = pu_router_new (&o);
    chat_ = pu_router_set_service (r_, &service);
    m_ = pu_router_set_model (r_, "m", nullptr, 0);
  }
  ~OneModelRouter () override { pu_router_free (r_); }

  struct Backend
  {
    guint64 incarnation = 1;
    const char *software = nullptr;
    guint slots = 0;
  };

  pu_router_backend_t
  set_backend (const std::string &name, const Backend &options)
  {
    const pu_router_copy_t copy = { "m", "1", PU_ROUTER_COPY_READY };
    pu_router_backend_options_t b = {};

    b.name = name.c_str ();
    b.incarnation = options.incarnation;
    b.region = b.zone = "";
    b.software = options.software;
    b.slots = options.slots;
    b.copies = &copy;
    b.n_copies = 1;
    return pu_router_set_backend (r_, &b);
  }

  /* A request that may be repeated.  */
  pu_router_request_t
  request_until (guint64 deadline) const
  {
    pu_router_request_t q = {};

    q.service = chat_;
    q.model = m_;
    q.deadline = deadline;
    q.repeatable = true;
    return q;
  }

  /* Offers a request that may be repeated; SOFTWARE: it resumes a stream.  */
  pu_router_decision_t
  offer_until (guint64 deadline, const char *software = nullptr)
  {
    pu_router_request_t q = request_until (deadline);
    pu_router_decision_t d;

    q.software = software;
    pu_router_offer (r_, &q, now_, &d);
    return d;
  }

  /* Offers a request that only BACKEND may run.  */
  pu_router_decision_t
  offer_to (const char *backend, guint64 deadline)
  {
    pu_router_request_t q = request_until (deadline);
    pu_router_decision_t d;

    q.backend_name = backend;
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

#endif
