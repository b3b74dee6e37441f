#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/fuzz_report.h"

extern "C"
{
#include "membership/membership.h"
}

namespace
{

constexpr uint64_t start = 100000;

struct Membership
{
  pu_membership_options_t o;
  pu_membership_t *m;
  uint64_t now = start;
  std::map<std::string, uint64_t> members, backends; /* expected */

  explicit Membership (unsigned breaks = 0)
  {
    pu_membership_options_init (&o);
    o.breaks = breaks;
    m = pu_membership_new (&o);
    pu_membership_reset (m, now);
  }

  ~Membership () { pu_membership_free (m); }

  /* Ticks each 100 ms for MS; gives the names that were judged.  */
  std::vector<std::string>
  pass (uint64_t ms, uint64_t step = 100)
  {
    std::vector<std::string> down;
    for (uint64_t end = now + ms; now < end;)
      {
        GArray *v
            = g_array_new (FALSE, FALSE, sizeof (pu_membership_failure_t));
        now += step;
        for (auto &[name, incarnation] : members)
          pu_membership_expect (m, PU_SUBJECT_MEMBER, name.c_str (),
                                incarnation, now);
        for (auto &[name, incarnation] : backends)
          pu_membership_expect (m, PU_SUBJECT_BACKEND, name.c_str (),
                                incarnation, now);
        pu_membership_tick (m, now, v);
        for (guint i = 0; i < v->len; i++)
          down.emplace_back (
              g_array_index (v, pu_membership_failure_t, i).name);
        g_array_free (v, TRUE);
      }
    return down;
  }

  void
  beat (const char *name, uint64_t incarnation = 1, const char *via = "v")
  {
    pu_membership_record_heartbeat (m, PU_SUBJECT_MEMBER, name, incarnation,
                                    via, now);
    pu_membership_record_route_heartbeat (m, via, now);
  }

  void
  lease (const char *name, const char *home)
  {
    pu_membership_record_heartbeat (m, PU_SUBJECT_BACKEND, name, 1, home, now);
  }
};

using Names = std::vector<std::string>;

/* Beats of A each INTERVAL, then silence while the voter is heard: how long
   until A is down.  */
uint64_t
silence_until_down (Membership &t, uint64_t interval)
{
  uint64_t last = 0;

  t.members = { { "a", 1 } };
  for (int i = 0; i < 40; i++)
    {
      EXPECT_EQ (t.pass (interval), Names{});
      t.beat ("a");
      last = t.now;
    }
  while (t.now - last < 60000)
    {
      pu_membership_record_route_heartbeat (t.m, "v", t.now);
      if (!t.pass (100).empty ())
        return t.now - last;
    }
  return 0;
}

TEST (Membership, SilentDaemonIsDownAfterTheLeast)
{
  Membership t;
  EXPECT_EQ (silence_until_down (t, 2000), 8100U);
}

TEST (Membership, SlowDaemonGetsMoreTime)
{
  Membership t;
  EXPECT_GT (silence_until_down (t, 7900), 8100U);
}

TEST (Membership, UnsteadyDaemonIsNotDeadAndNeedsTheRule)
{
  for (unsigned breaks : { 0U, (unsigned)PU_MEMBERSHIP_BREAK_FIXED })
    {
      Membership t (breaks);
      Names down;

      t.members = { { "a", 1 } };
      t.pass (100);
      /* It slows down step by step, up to intervals over the least.  */
      for (uint64_t gap : { 1000, 4000, 2000, 6000, 3000, 7000, 2000, 10000 })
        {
          for (uint64_t i = 0; i < gap / 100; i++)
            {
              pu_membership_record_route_heartbeat (t.m, "v", t.now);
              auto d = t.pass (100);
              down.insert (down.end (), d.begin (), d.end ());
            }
          t.beat ("a");
        }
      EXPECT_EQ (down.empty (), breaks == 0);
    }
}

TEST (Membership, NewLeaderGivesFullGraceAndNeedsTheRule)
{
  for (unsigned breaks : { 0U, (unsigned)PU_MEMBERSHIP_BREAK_NO_GRACE })
    {
      Membership t (breaks);

      t.members = { { "a", 1 } };
      t.backends = { { "b", 1 } };
      t.pass (100);
      t.now += 60000; /* another one led meanwhile */
      pu_membership_reset (t.m, t.now);
      EXPECT_EQ (t.pass (4900).empty (), breaks == 0);
    }
}

TEST (Membership, SilentVoterIsNotHeldAgainstItsDaemons)
{
  for (unsigned breaks : { 0U, (unsigned)PU_MEMBERSHIP_BREAK_ROUTE })
    {
      Membership t (breaks);

      t.members = { { "a", 1 }, { "c", 1 } };
      t.pass (100);
      t.beat ("a", 1, "v");
      for (int i = 0; i < 20; i++)
        {
          t.beat ("c", 1, "w"); /* the other voter goes on */
          EXPECT_TRUE (t.pass (1000).empty () || breaks != 0);
        }
      EXPECT_EQ (t.pass (200).empty (), breaks == 0);
      if (breaks == 0)
        {
          EXPECT_EQ (t.pass (20000).front (), "a") << "not for ever";
        }
    }
}

TEST (Membership, LeaseGoesOnWhileTheHomeIsSilent)
{
  Membership t;

  t.members = { { "home", 1 } };
  t.backends = { { "b", 1 }, { "d", 1 } };
  t.pass (100);
  t.beat ("home");
  t.lease ("b", "home");
  EXPECT_EQ (t.pass (5200), Names{ "d" }) << "d was never renewed";
  t.beat ("home", 1);
  EXPECT_EQ (t.pass (200), Names{ "b" }) << "the home lives, b does not";
}

TEST (Membership, OldIncarnationIsIgnored)
{
  Membership t;

  t.members = { { "a", 2 } };
  t.pass (100);
  for (int i = 0; i < 8; i++)
    {
      t.pass (1000);
      t.beat ("a", 1);
    }
  EXPECT_EQ (t.pass (200), Names{ "a" });
}

TEST (Membership, OwnPauseIsNotHeldAgainstOthers)
{
  Membership t;

  t.members = { { "a", 1 } };
  t.pass (100);
  t.beat ("a");
  EXPECT_EQ (t.pass (30000, 30000), Names{});
  EXPECT_EQ (t.pass (6000), Names{});
}

TEST (Membership, VerdictRepeatsUntilItIsCarriedOut)
{
  Membership t;

  t.members = { { "a", 1 } };
  EXPECT_EQ (t.pass (14500), (Names{ "a", "a", "a" }));
  t.members.clear ();
  EXPECT_EQ (t.pass (14500), Names{});
}

/* Against an oracle that knows only the promises: nobody is judged before the
   least silence, everybody after the most.  */
RC_GTEST_PROP (Membership, KeepsToItsBounds, ())
{
  Membership t;
  std::map<std::string, uint64_t> heard;
  std::set<std::string> judged; /* since they were last heard */
  const auto steps
      = *rc::gen::container<std::vector<int> > (200, rc::gen::inRange (0, 6));

  for (auto name : { "a", "b", "c", "d" })
    t.members[name] = 1;
  for (int step : steps)
    {
      auto down = t.pass (1000);
      pu_fuzz_report::get ().steps++;
      pu_fuzz_report::get ().faults += step >= 3; /* a beat is lost */
      for (auto &[name, incarnation] : t.members)
        heard.emplace (name, t.now - 900);
      for (auto &name : down)
        RC_ASSERT (t.now - heard[name]
                   > t.o.min_timeout_ms[PU_SUBJECT_MEMBER]);
      judged.insert (down.begin (), down.end ());
      for (auto &[name, at] : heard)
        RC_ASSERT (t.now - at <= t.o.max_timeout_ms[PU_SUBJECT_MEMBER]
                   || judged.count (name) > 0);
      if (step < 3)
        {
          std::string name (1, static_cast<char> ('a' + step));
          t.beat (name.c_str (), 1, step == 0 ? "v" : "w");
          heard[name] = t.now;
          judged.erase (name);
        }
    }
}

}
