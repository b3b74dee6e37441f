#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

extern "C"
{
#include "control/sessions.h"
}

namespace
{

/* What a leader got.  */
struct Received
{
  std::map<std::string, int> daemons;
  std::map<std::string, int> backends;
  std::map<std::string, unsigned> requests; /* by model */
  int messages = 0;
  int taken_at_most = 100;
};

bool
receive (void *data, const pu_sessions *m)
{
  auto *got = static_cast<Received *> (data);

  if (got->messages == got->taken_at_most)
    return false;
  got->messages++;
  EXPECT_STREQ (m->voter, "v1");
  EXPECT_LE (m->sessions.sessions_len, PU_CONTROL_LIST_MAX);
  for (u_int i = 0; i < m->sessions.sessions_len; i++)
    {
      const pu_session &s = m->sessions.sessions_val[i];

      got->daemons[s.name]++;
      EXPECT_LE (s.renewals.renewals_len, PU_CONTROL_LIST_MAX);
      EXPECT_LE (s.demand.demand_len, PU_CONTROL_LIST_MAX);
      for (u_int k = 0; k < s.renewals.renewals_len; k++)
        got->backends[s.renewals.renewals_val[k].backend]++;
      for (u_int k = 0; k < s.demand.demand_len; k++)
        got->requests[s.demand.demand_val[k].model]
            += s.demand.demand_val[k].requests;
    }
  return true;
}

class Sessions : public testing::Test
{
protected:
  void
  TearDown () override
  {
    pu_sessions_free (s_);
  }

  /* Adds a poll of DAEMON with N renewals and N models' demand, in polls of
     at most PU_CONTROL_LIST_MAX items.  */
  void
  poll (std::string daemon, int n = 0)
  {
    std::vector<std::string> names;

    for (int i = 0; i < n; i++)
      names.push_back ("x" + std::to_string (i));
    for (int from = 0; from == 0 || from < n; from += PU_CONTROL_LIST_MAX)
      {
        pu_poll p = {};
        std::vector<pu_renewal> renewals;
        std::vector<pu_demand> demand;

        for (int i = from; i < n && i < from + PU_CONTROL_LIST_MAX; i++)
          {
            renewals.push_back ({ names[i].data (), 1, 0 });
            demand.push_back ({ names[i].data (), 3, 5 });
          }
        p.name = daemon.data ();
        p.incarnation = 1;
        p.renewals.renewals_val = renewals.data ();
        p.renewals.renewals_len = static_cast<u_int> (renewals.size ());
        p.demand.demand_val = demand.data ();
        p.demand.demand_len = static_cast<u_int> (demand.size ());
        pu_sessions_add_poll (s_, &p, 1000);
      }
  }

  Received
  send (int taken_at_most = 100)
  {
    Received got;

    got.taken_at_most = taken_at_most;
    pu_sessions_send (s_, "v1", 1010, receive, &got);
    return got;
  }

  static constexpr int MANY = PU_CONTROL_LIST_MAX + 900;
  pu_sessions_t *s_ = pu_sessions_new ();
};

TEST_F (Sessions, MoreDaemonsThanOneMessageHoldsAreAllTold)
{
  for (int i = 0; i < MANY; i++)
    poll ("d" + std::to_string (i));
  Received got = send ();

  EXPECT_EQ (got.daemons.size (), static_cast<size_t> (MANY));
  EXPECT_EQ (got.messages, 2);
  EXPECT_TRUE (send ().daemons.empty ());
}

TEST_F (Sessions, MoreRenewalsThanOneMessageHoldsAreAllToldOnce)
{
  poll ("d", MANY);
  Received got = send ();

  EXPECT_EQ (got.backends.size (), static_cast<size_t> (MANY));
  EXPECT_EQ (got.requests.size (), static_cast<size_t> (MANY));
  for (const auto &[name, times] : got.backends)
    EXPECT_EQ (times, 1) << name;
  for (const auto &[model, requests] : got.requests)
    EXPECT_EQ (requests, 3u) << model;
  EXPECT_TRUE (send ().daemons.empty ());
}

TEST_F (Sessions, WhatIsNotTakenIsToldLater)
{
  for (int i = 0; i < MANY; i++)
    poll ("d" + std::to_string (i));
  EXPECT_TRUE (send (0).daemons.empty ());
  Received first = send (1);
  Received rest = send ();

  EXPECT_EQ (first.daemons.size () + rest.daemons.size (),
             static_cast<size_t> (MANY));
  for (const auto &[name, times] : rest.daemons)
    EXPECT_EQ (first.daemons.count (name), 0u) << name;
}

TEST_F (Sessions, VoterWithoutPollsSendsOneEmptyMessage)
{
  Received got = send ();

  EXPECT_EQ (got.messages, 1);
  EXPECT_TRUE (got.daemons.empty ());
}

} // namespace
