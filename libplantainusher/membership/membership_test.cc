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

constexpr uint64_t START_MS = 100000;

struct Membership
{
  pu_membership_options_t o;
  pu_membership_t *m;
  uint64_t now = START_MS;
  std::map<std::string, uint64_t> members, backends; /* name: incarnation */

  explicit Membership (unsigned breaks = 0)
  {
    pu_membership_options_init (&o);
    o.breaks = breaks;
    m = pu_membership_new (&o);
    pu_membership_reset (m, now);
  }

  ~Membership () { pu_membership_free (m); }

  /* Begins anew with the options as they are now.  */
  void
  restart ()
  {
    pu_membership_free (m);
    m = pu_membership_new (&o);
    pu_membership_reset (m, now);
  }

  /* Advances the clock by MS with a tick each STEP_MS; returns the names
     reported as failed.  */
  std::vector<std::string>
  advance (uint64_t ms, uint64_t step_ms = 100)
  {
    std::vector<std::string> down;
    for (uint64_t end = now + ms; now < end;)
      {
        GArray *v
            = g_array_new (FALSE, FALSE, sizeof (pu_membership_failure_t));
        now += step_ms;
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
  heartbeat (const char *name, uint64_t incarnation = 1, const char *via = "v")
  {
    pu_membership_record_heartbeat (m, PU_SUBJECT_MEMBER, name, incarnation,
                                    via, now);
    pu_membership_record_route_heartbeat (m, via, now);
  }

  void
  renew_lease (const char *name, const char *home)
  {
    pu_membership_record_heartbeat (m, PU_SUBJECT_BACKEND, name, 1, home, now);
  }
};

using Names = std::vector<std::string>;

/* Sends heartbeats of A each INTERVAL ms, then none while its voter is still
   heard.  Returns how long A is silent before it is reported as failed.  */
uint64_t
silence_until_failed_ms (Membership &t, uint64_t interval)
{
  uint64_t last = 0;

  t.members = { { "a", 1 } };
  for (int i = 0; i < 40; i++)
    {
      EXPECT_EQ (t.advance (interval), Names{});
      t.heartbeat ("a");
      last = t.now;
    }
  while (t.now - last < 60000)
    {
      pu_membership_record_route_heartbeat (t.m, "v", t.now);
      if (!t.advance (100).empty ())
        return t.now - last;
    }
  return 0;
}

TEST (Membership, SilentDaemonFailsAfterMinimumTimeout)
{
  Membership t;
  EXPECT_EQ (silence_until_failed_ms (t, 2000), 8100U);
}

TEST (Membership, SlowHeartbeatsExtendTheTimeout)
{
  Membership t;
  EXPECT_GT (silence_until_failed_ms (t, 7900), 8100U);
}

TEST (Membership, IrregularHeartbeatsNeedAnAdaptiveTimeout)
{
  for (unsigned breaks : { 0U, (unsigned)PU_MEMBERSHIP_BREAK_FIXED_TIMEOUT })
    {
      Membership t (breaks);
      Names down;

      t.members = { { "a", 1 } };
      t.advance (100);
      /* Irregular intervals, the last one over the minimum timeout.  */
      for (uint64_t gap : { 1000, 4000, 2000, 6000, 3000, 7000, 2000, 10000 })
        {
          for (uint64_t i = 0; i < gap / 100; i++)
            {
              pu_membership_record_route_heartbeat (t.m, "v", t.now);
              auto d = t.advance (100);
              down.insert (down.end (), d.begin (), d.end ());
            }
          t.heartbeat ("a");
        }
      EXPECT_EQ (down.empty (), breaks == 0);
    }
}

TEST (Membership, NewLeaderRestartsTimeouts)
{
  for (unsigned breaks : { 0U, (unsigned)PU_MEMBERSHIP_BREAK_NO_RESET })
    {
      Membership t (breaks);

      t.members = { { "a", 1 } };
      t.backends = { { "b", 1 } };
      t.advance (100);
      t.now += 60000; /* another voter leads meanwhile */
      pu_membership_reset (t.m, t.now);
      EXPECT_EQ (t.advance (4900).empty (), breaks == 0);
    }
}

TEST (Membership, SilentRouteExtendsTheTimeout)
{
  for (unsigned breaks : { 0U, (unsigned)PU_MEMBERSHIP_BREAK_IGNORE_ROUTE })
    {
      Membership t (breaks);

      t.members = { { "a", 1 }, { "c", 1 } };
      t.advance (100);
      t.heartbeat ("a", 1, "v");
      for (int i = 0; i < 20; i++)
        {
          t.heartbeat ("c", 1, "w"); /* the other voter is heard */
          EXPECT_TRUE (t.advance (1000).empty () || breaks != 0);
        }
      EXPECT_EQ (t.advance (200).empty (), breaks == 0);
      if (breaks == 0)
        {
          EXPECT_EQ (t.advance (20000).front (), "a")
              << "fails after the maximum timeout";
        }
    }
}

/* With a minimum timeout below the route's, all members that reported through
   a frozen voter were reported before that voter was suspected.  */
TEST (Membership, SilentRouteIsSuspectedBeforeItsMembers)
{
  Membership t;

  t.o.min_timeout_ms[PU_SUBJECT_MEMBER] = 1200;
  t.o.max_timeout_ms[PU_SUBJECT_MEMBER] = 2400;
  t.restart ();
  t.members = { { "a", 1 }, { "c", 1 } };
  t.advance (100);
  for (int i = 0; i < 10; i++)
    {
      t.heartbeat ("a", 1, "v");
      t.heartbeat ("c", 1, "w");
      EXPECT_EQ (t.advance (200), Names{});
    }
  for (int i = 0; i < 10; i++)
    {
      t.heartbeat ("c", 1, "w");
      EXPECT_EQ (t.advance (200), Names{});
    }
  EXPECT_EQ (t.advance (600), Names{ "a" });
}

TEST (Membership, SilentHomeEntryExtendsTheLease)
{
  Membership t;

  t.members = { { "home", 1 } };
  t.backends = { { "b", 1 }, { "d", 1 } };
  t.advance (100);
  t.heartbeat ("home");
  t.renew_lease ("b", "home");
  EXPECT_EQ (t.advance (5200), Names{ "d" }) << "d was never renewed";
  t.heartbeat ("home", 1);
  EXPECT_EQ (t.advance (200), Names{ "b" })
      << "the home entry is up, b is not";
}

TEST (Membership, OldIncarnationIsIgnored)
{
  Membership t;

  t.members = { { "a", 2 } };
  t.advance (100);
  for (int i = 0; i < 8; i++)
    {
      t.advance (1000);
      t.heartbeat ("a", 1);
    }
  EXPECT_EQ (t.advance (200), Names{ "a" });
}

TEST (Membership, LocalPauseIsNotCountedAsSilence)
{
  Membership t;

  t.members = { { "a", 1 } };
  t.advance (100);
  t.heartbeat ("a");
  EXPECT_EQ (t.advance (30000, 30000), Names{});
  EXPECT_EQ (t.advance (6000), Names{});
}

TEST (Membership, FailureIsReportedAgainWhileExpected)
{
  Membership t;

  t.members = { { "a", 1 } };
  EXPECT_EQ (t.advance (14500), (Names{ "a", "a", "a" }));
  t.members.clear ();
  EXPECT_EQ (t.advance (14500), Names{});
}

/* No daemon is reported as failed before the minimum timeout, and each silent
   one is reported after the maximum.  */
RC_GTEST_PROP (Membership, KeepsToItsBounds, ())
{
  Membership t;
  std::map<std::string, uint64_t> heard;
  std::set<std::string> reported; /* since their last heartbeat */
  const auto events
      = *rc::gen::container<std::vector<int> > (200, rc::gen::inRange (0, 6));

  for (auto name : { "a", "b", "c", "d" })
    t.members[name] = 1;
  for (int event : events)
    {
      auto down = t.advance (1000);
      pu_fuzz_report::get ().steps++;
      pu_fuzz_report::get ().faults += event >= 3; /* a heartbeat is lost */
      for (auto &[name, incarnation] : t.members)
        heard.emplace (name, t.now - 900);
      for (auto &name : down)
        RC_ASSERT (t.now - heard[name]
                   > t.o.min_timeout_ms[PU_SUBJECT_MEMBER]);
      reported.insert (down.begin (), down.end ());
      for (auto &[name, at] : heard)
        RC_ASSERT (t.now - at <= t.o.max_timeout_ms[PU_SUBJECT_MEMBER]
                   || reported.count (name) > 0);
      if (event < 3)
        {
          std::string name (1, static_cast<char> ('a' + event));
          t.heartbeat (name.c_str (), 1, event == 0 ? "v" : "w");
          heard[name] = t.now;
          reported.erase (name);
        }
    }
}

}
