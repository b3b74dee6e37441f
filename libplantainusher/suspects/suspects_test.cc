#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "base/fuzz_report.h"

extern "C"
{
#include "suspects/suspects.h"
}

namespace
{

class Suspects
{
public:
  explicit Suspects (guint breaks = 0, guint isolate_strikes = 1,
                     guint together_strikes = 0)
  {
    pu_suspects_options_t o;

    pu_suspects_options_init (&o);
    o.isolate_strikes = isolate_strikes;
    o.together_strikes = together_strikes;
    o.test_breaks = breaks;
    s = pu_suspects_new (&o);
  }
  ~Suspects () { pu_suspects_free (s); }
  Suspects (const Suspects &) = delete;

  std::vector<guint64>
  died (guint32 backend, guint64 incarnation, guint64 now = 0)
  {
    GArray *a = g_array_new (FALSE, FALSE, sizeof (pu_suspects_strike_t));
    std::vector<guint64> out;

    pu_suspects_backend_died (s, backend, incarnation, a, now);
    isolated_strikes = 0;
    for (guint i = 0; i < a->len; i++)
      {
        const auto &one = g_array_index (a, pu_suspects_strike_t, i);

        out.push_back (one.fingerprint);
        isolated_strikes += one.apart;
      }
    std::sort (out.begin (), out.end ());
    g_array_free (a, TRUE);
    return out;
  }

  pu_suspects_t *s;
  int isolated_strikes = 0; /* of the last death */
};

} // namespace

TEST (Suspects, DeathStrikesEachFingerprintOnce)
{
  Suspects t;

  pu_suspects_started (t.s, 1, 7, 0, 1, 0);
  pu_suspects_started (t.s, 2, 7, 0, 1, 0);
  pu_suspects_started (t.s, 3, 8, 1, 1, 0);
  EXPECT_EQ (std::vector<guint64> ({ 7 }), t.died (0, 1));
  EXPECT_EQ (1u, pu_suspects_in_flight (t.s));
  EXPECT_EQ (PU_SUSPECTS_RUN_ISOLATED, pu_suspects_check (t.s, 7, 1));
  EXPECT_EQ (PU_SUSPECTS_RUN, pu_suspects_check (t.s, 8, 1));
}

TEST (Suspects, FinishedRequestGetsNoStrike)
{
  Suspects t;

  pu_suspects_started (t.s, 1, 7, 0, 1, 0);
  pu_suspects_finished (t.s, 1);
  EXPECT_TRUE (t.died (0, 1).empty ());
}

TEST (Suspects, DeathOfOldIncarnationKeepsRequestsOfNewOne)
{
  Suspects t;

  pu_suspects_started (t.s, 1, 7, 0, 2, 0);
  EXPECT_TRUE (t.died (0, 1).empty ());
  EXPECT_EQ (1u, pu_suspects_in_flight (t.s));
}

TEST (Suspects, SuspectRunsOnceAtATimeAndAloneGetsTheStrike)
{
  Suspects t;

  pu_suspects_put (t.s, 7, 1, false);
  EXPECT_EQ (PU_SUSPECTS_RUN_ISOLATED, pu_suspects_check (t.s, 7, 0));
  pu_suspects_started (t.s, 1, 7, 0, 1, 0);
  pu_suspects_started (t.s, 2, 8, 0, 1, 0);
  EXPECT_EQ (PU_SUSPECTS_WAIT, pu_suspects_check (t.s, 7, 0));
  EXPECT_TRUE (pu_suspects_is_reserved (t.s, 0, 0));
  EXPECT_EQ (std::vector<guint64> ({ 7 }), t.died (0, 1));
  EXPECT_FALSE (pu_suspects_is_reserved (t.s, 0, 0));
}

TEST (Suspects, RequestsOfOneCrashRunOnUnlessThatIsEnoughToIsolateThem)
{
  Suspects t (0, 2);

  pu_suspects_started (t.s, 1, 7, 0, 1, 0);
  pu_suspects_started (t.s, 2, 8, 0, 1, 0);
  EXPECT_EQ (std::vector<guint64> ({ 7, 8 }), t.died (0, 1));
  EXPECT_EQ (PU_SUSPECTS_RUN, pu_suspects_check (t.s, 7, 1));
  pu_suspects_put (t.s, 7, 1, false);
  EXPECT_EQ (PU_SUSPECTS_RUN, pu_suspects_check (t.s, 7, 1));
  pu_suspects_started (t.s, 3, 7, 1, 1, 1);
  EXPECT_EQ (std::vector<guint64> ({ 7 }), t.died (1, 1));
  EXPECT_EQ (0, t.isolated_strikes);
  EXPECT_EQ (PU_SUSPECTS_RUN_ISOLATED, pu_suspects_check (t.s, 7, 2));
  EXPECT_EQ (PU_SUSPECTS_RUN, pu_suspects_check (t.s, 8, 2));
}

TEST (Suspects, IdenticalRequestsOfManyCallersMayRunOnSeveralServers)
{
  Suspects t (0, 2, 1);

  pu_suspects_started (t.s, 1, 7, 0, 1, 0);
  EXPECT_FALSE (pu_suspects_must_avoid (t.s, 7, 1, 0, 0));
  pu_suspects_put (t.s, 7, 1, false);
  EXPECT_TRUE (pu_suspects_must_avoid (t.s, 7, 1, 0, 0));
  EXPECT_FALSE (pu_suspects_must_avoid (t.s, 7, 0, 0, 0));
}

TEST (Suspects, StrikesOfCrashesThatTheLogDoesNotKnowAddUp)
{
  Suspects t (0, 2);

  for (guint i = 0; i < 2; i++)
    {
      EXPECT_EQ (i, pu_suspects_strikes (t.s, 7, 0));
      pu_suspects_started (t.s, i, 7, i, 1, 0);
      t.died (i, 1);
    }
  EXPECT_TRUE (pu_suspects_is_suspect (t.s, 7, 0));
  EXPECT_FALSE (pu_suspects_is_suspect (t.s, 7, 600000));
}

TEST (Suspects, ConnectionsThatAreLeftShowThatAServerRuns)
{
  Suspects t;

  pu_suspects_started (t.s, 1, 7, 0, 1, 0);
  pu_suspects_started (t.s, 2, 8, 0, 1, 0);
  pu_suspects_aborted (t.s, 1, 0);
  EXPECT_TRUE (pu_suspects_has_open (t.s, 0, 1));
  pu_suspects_connection_lost (t.s, 2);
  EXPECT_FALSE (pu_suspects_has_open (t.s, 0, 1));
}

TEST (Suspects, ConvictedRequestIsRefusedUntilLifted)
{
  Suspects t;

  pu_suspects_put (t.s, 7, 2, true);
  EXPECT_EQ (PU_SUSPECTS_REFUSE, pu_suspects_check (t.s, 7, 0));
  pu_suspects_remove (t.s, 7);
  EXPECT_EQ (PU_SUSPECTS_RUN, pu_suspects_check (t.s, 7, 0));
}

TEST (Suspects, LocalStrikeExpires)
{
  Suspects t;

  pu_suspects_started (t.s, 1, 7, 0, 1, 0);
  t.died (0, 1);
  EXPECT_TRUE (pu_suspects_is_suspect (t.s, 7, 599999));
  EXPECT_FALSE (pu_suspects_is_suspect (t.s, 7, 600000));
}

TEST (Suspects, FingerprintCoversModelAndInput)
{
  EXPECT_NE (pu_suspects_fingerprint ("a", "x", 1),
             pu_suspects_fingerprint ("b", "x", 1));
  EXPECT_NE (pu_suspects_fingerprint ("a", "x", 1),
             pu_suspects_fingerprint ("a", "y", 1));
  EXPECT_EQ (pu_suspects_fingerprint ("a", "x", 1),
             pu_suspects_fingerprint ("a", "x", 1));
}

TEST (Suspects, DuplicatesShareABackendServerUntilAnswered)
{
  Suspects t;

  pu_suspects_started (t.s, 1, 7, 3, 1, 0);
  EXPECT_FALSE (pu_suspects_must_avoid (t.s, 7, 3, 0, 10));
  EXPECT_TRUE (pu_suspects_must_avoid (t.s, 7, 4, 0, 10));
  EXPECT_FALSE (pu_suspects_must_avoid (t.s, 8, 4, 0, 10));
  EXPECT_TRUE (pu_suspects_must_avoid (t.s, 7, 4, 10, 209));
  EXPECT_FALSE (pu_suspects_must_avoid (t.s, 7, 4, 10, 210));
  pu_suspects_started (t.s, 2, 7, 4, 1, 0);
  EXPECT_TRUE (pu_suspects_must_avoid (t.s, 7, 3, 0, 10));
  pu_suspects_answered (t.s, 1);
  EXPECT_TRUE (pu_suspects_must_avoid (t.s, 7, 3, 0, 10));
  EXPECT_FALSE (pu_suspects_must_avoid (t.s, 7, 4, 0, 10));
  pu_suspects_finished (t.s, 2);
  EXPECT_FALSE (pu_suspects_must_avoid (t.s, 7, 3, 0, 10));
}

TEST (Suspects, DuplicatesWaitWhileABackendServerIsChecked)
{
  Suspects t;

  pu_suspects_started (t.s, 1, 7, 3, 1, 0);
  pu_suspects_answered (t.s, 1);
  pu_suspects_connection_lost (t.s, 1);
  EXPECT_EQ (PU_SUSPECTS_WAIT, pu_suspects_check (t.s, 7, 0));
  EXPECT_EQ (PU_SUSPECTS_RUN, pu_suspects_check (t.s, 8, 0));
  pu_suspects_aborted (t.s, 1, 0);
  EXPECT_EQ (PU_SUSPECTS_RUN, pu_suspects_check (t.s, 7, 0));
}

TEST (Suspects, RecentlyAbortedRequestGetsAStrike)
{
  Suspects t;

  pu_suspects_started (t.s, 1, 7, 0, 1, 0);
  pu_suspects_started (t.s, 2, 8, 0, 1, 0);
  pu_suspects_aborted (t.s, 1, 0);
  pu_suspects_aborted (t.s, 2, 100);
  EXPECT_EQ (0u, pu_suspects_in_flight (t.s));
  EXPECT_EQ (std::vector<guint64> ({ 8 }), t.died (0, 1, 5099));
  EXPECT_TRUE (t.died (0, 1, 5099).empty ());
}

namespace
{

/* Request 7 is aborted before it is a suspect, and becomes one when another
   backend server dies.  Then request 8 crashes the backend server that request
   7 was aborted on.  */
std::vector<guint64>
aborted_before_suspected (Suspects &t)
{
  pu_suspects_started (t.s, 1, 7, 0, 1, 0);
  pu_suspects_aborted (t.s, 1, 0);
  pu_suspects_put (t.s, 7, 1, false);
  pu_suspects_started (t.s, 2, 8, 0, 1, 10);
  return t.died (0, 1, 20);
}

} // namespace

TEST (Suspects, RequestAbortedBeforeItWasASuspectWasNotIsolated)
{
  Suspects good;
  Suspects bad (PU_SUSPECTS_BREAK_ABORTED_ISOLATED);

  EXPECT_EQ (std::vector<guint64> ({ 7, 8 }), aborted_before_suspected (good));
  EXPECT_EQ (0, good.isolated_strikes);
  /* With the fault, request 8, which crashed the backend server, gets no
     strike.  */
  EXPECT_EQ (std::vector<guint64> ({ 7 }), aborted_before_suspected (bad));
}

TEST (Suspects, AbortedSuspectWasIsolatedIfNothingWasSentAfterIt)
{
  Suspects t;

  pu_suspects_started (t.s, 1, 8, 0, 1, 0);
  pu_suspects_put (t.s, 7, 1, false);
  pu_suspects_started (t.s, 2, 7, 0, 1, 0);
  pu_suspects_aborted (t.s, 2, 10);
  EXPECT_EQ (PU_SUSPECTS_WAIT, pu_suspects_check (t.s, 7, 1009));
  EXPECT_TRUE (pu_suspects_is_reserved (t.s, 0, 1009));
  EXPECT_FALSE (pu_suspects_is_reserved (t.s, 0, 1010));
  EXPECT_EQ (PU_SUSPECTS_RUN_ISOLATED, pu_suspects_check (t.s, 7, 1010));
  EXPECT_EQ (std::vector<guint64> ({ 7 }), t.died (0, 1, 20));
  EXPECT_EQ (1, t.isolated_strikes);
}

TEST (Suspects, AbortedSuspectWasNotIsolatedIfOthersWereSentAfterIt)
{
  Suspects t;

  pu_suspects_put (t.s, 7, 1, false);
  pu_suspects_started (t.s, 1, 7, 0, 1, 0);
  pu_suspects_aborted (t.s, 1, 10);
  pu_suspects_started (t.s, 2, 8, 0, 1, 20);
  EXPECT_EQ (std::vector<guint64> ({ 7, 8 }), t.died (0, 1, 30));
  EXPECT_EQ (0, t.isolated_strikes);
}

namespace
{

constexpr guint64 kCrashing = 99;

constexpr int kEntries = 3;
constexpr int kBackends = 6;
constexpr guint64 kStepMs = 10;

/* How the entries choose a backend server for a fingerprint.  */
enum class Routing
{
  Consistent,   /* all entries use the same order of preference */
  OneDivergent, /* the last entry skips backend servers at random, as if
                   they were busy */
  Random        /* deliberate fault: each choice is random */
};

/* Entries that share a log of strikes.  Duplicates of the crashing request are
   sent at any time through any entry, among harmless requests.  A suspect goes
   to entry 0, which stands for the one that its model hashes to.  */
struct Simulation
{
  Simulation (unsigned seed, guint breaks, Routing how = Routing::Consistent)
      : routing (how), random (seed)
  {
    for (int i = 0; i < kEntries; i++)
      entries.push_back (std::make_unique<Suspects> (breaks));
  }

  int
  pick (int n)
  {
    return (int)(random () % n);
  }

  /* Applies the strikes of one death as the log does (state/apply_suspects.c):
     when isolated requests were hit, only these are counted.  */
  void
  count_strikes (const std::set<guint64> &struck,
                 const std::set<guint64> &isolated)
  {
    for (guint64 f : isolated.empty () ? struck : isolated)
      {
        const guint n = ++strikes[f];

        for (const auto &e : entries)
          pu_suspects_put (e->s, f, n, n >= 2);
      }
    if (isolated.empty ())
      return;
    for (guint64 f : struck)
      {
        if (strikes[f] > 0 || isolated.count (f) > 0)
          continue;
        for (const auto &e : entries)
          pu_suspects_remove (e->s, f);
      }
  }

  void
  kill (guint32 backend)
  {
    GArray *a = g_array_new (FALSE, FALSE, sizeof (pu_suspects_strike_t));
    std::set<guint64> struck;
    std::set<guint64> isolated;

    backends_lost++;
    pu_fuzz_report::get ().faults++;
    for (const auto &e : entries)
      pu_suspects_backend_died (e->s, backend, incarnation[backend], a, now);
    for (guint i = 0; i < a->len; i++)
      {
        const auto &one = g_array_index (a, pu_suspects_strike_t, i);

        (one.apart ? isolated : struck).insert (one.fingerprint);
      }
    g_array_free (a, TRUE);
    count_strikes (struck, isolated);
    incarnation[backend]++;
  }

  /* The backend server that ENTRY sends FINGERPRINT to; none when it has to
     wait.  */
  std::optional<guint32>
  choose (int entry, guint64 fingerprint)
  {
    pu_suspects_t *s = entries[entry]->s;
    std::vector<guint32> order (kBackends);

    std::iota (order.begin (), order.end (), 0);
    std::sort (order.begin (), order.end (), [=] (guint32 a, guint32 b) {
      return fingerprint * 31 % (a + 7) < fingerprint * 31 % (b + 7);
    });
    if (routing == Routing::Random)
      std::shuffle (order.begin (), order.end (), random);
    for (guint32 b : order)
      {
        if (pu_suspects_is_reserved (s, b, now))
          continue;
        if (routing == Routing::OneDivergent && entry == kEntries - 1
            && pick (2))
          continue;
        if (pu_suspects_must_avoid (s, fingerprint, b, 0, now))
          return std::nullopt;
        return b;
      }
    return std::nullopt;
  }

  void
  send (guint64 fingerprint)
  {
    int entry = pick (kEntries);

    if (pu_suspects_is_suspect (entries[entry]->s, fingerprint, now))
      entry = 0;
    switch (pu_suspects_check (entries[entry]->s, fingerprint, now))
      {
      case PU_SUSPECTS_REFUSE:
        refused.insert (fingerprint);
        return;
      case PU_SUSPECTS_WAIT:
        return;
      case PU_SUSPECTS_RUN_ISOLATED:
      case PU_SUSPECTS_RUN:
        break;
      }
    const auto backend = choose (entry, fingerprint);

    if (!backend)
      return;
    pu_suspects_started (entries[entry]->s, ++requests, fingerprint, *backend,
                         incarnation[*backend], now);
    running.push_back ({ entry, requests, fingerprint, *backend });
    if (fingerprint == kCrashing)
      crashing_backends.insert (*backend);
  }

  /* At most two backend servers are lost, and no harmless request is
     convicted.  With OneDivergent, two can die at the same time before there
     is a suspect, which may convict a harmless request that ran on both.  */
  bool
  invariants_hold () const
  {
    for (const auto &[fingerprint, n] : strikes)
      {
        if (fingerprint != kCrashing && n >= 2
            && routing != Routing::OneDivergent)
          return false;
      }
    return backends_lost <= 2;
  }

  /* Aborts, answers or finishes a random request in flight.  A backend server
     that is about to crash answers and finishes none.  */
  void
  advance_request ()
  {
    const Running r = running[pick ((int)running.size ())];
    pu_suspects_t *s = entries[r.entry]->s;

    if (pick (4) == 0)
      pu_suspects_aborted (s, r.request, now);
    else if (crashing_backends.count (r.backend) > 0)
      return;
    else if (pick (2) == 0)
      pu_suspects_answered (s, r.request);
    else
      pu_suspects_finished (s, r.request);
  }

  bool
  run ()
  {
    for (int step = 0; step < 200; step++)
      {
        pu_fuzz_report::get ().steps++;
        now += kStepMs;
        send (pick (4) == 0 ? kCrashing : 1 + pick (20));
        if (pick (8) == 0)
          for (int i = 0; i < 2 * kEntries; i++)
            send (kCrashing);
        if (!running.empty () && pick (2) == 0)
          advance_request ();
        while (!crashing_backends.empty ()
               && (pick (3) == 0 || routing == Routing::OneDivergent))
          {
            const guint32 backend = *crashing_backends.begin ();

            crashing_backends.erase (backend);
            kill (backend);
          }
        if (!invariants_hold ())
          return false;
      }
    return true;
  }

  struct Running
  {
    int entry;
    guint64 request;
    guint64 fingerprint;
    guint32 backend;
  };

  Routing routing;
  std::mt19937 random;
  std::vector<std::unique_ptr<Suspects> > entries;
  std::map<guint64, guint> strikes;
  std::map<guint32, guint64> incarnation;
  std::vector<Running> running;
  std::set<guint32> crashing_backends;
  std::set<guint64> refused;
  guint64 requests = 0;
  guint64 now = 0;
  int backends_lost = 0;
};

bool
fault_is_found (guint breaks, Routing how = Routing::Consistent)
{
  for (unsigned seed = 1; seed <= 100; seed++)
    {
      if (!Simulation (seed, breaks, how).run ())
        return true;
    }
  return false;
}

} // namespace

RC_GTEST_PROP (SuspectsFuzz,
               CrashingRequestCostsTwoBackendServersAndConvictsNoOther,
               (unsigned seed))
{
  RC_ASSERT (Simulation (seed, 0).run ());
}

RC_GTEST_PROP (SuspectsFuzz, DivergentEntryCostsNoThirdBackendServer,
               (unsigned seed))
{
  RC_ASSERT (Simulation (seed, 0, Routing::OneDivergent).run ());
}

TEST (SuspectsFuzz, DeliberateFaultsAreCaught)
{
  EXPECT_TRUE (fault_is_found (PU_SUSPECTS_BREAK_NO_STRIKE));
  EXPECT_TRUE (fault_is_found (PU_SUSPECTS_BREAK_CONCURRENT));
  EXPECT_TRUE (fault_is_found (PU_SUSPECTS_BREAK_NO_REFUSAL));
  EXPECT_TRUE (fault_is_found (0, Routing::Random));
  EXPECT_TRUE (fault_is_found (PU_SUSPECTS_BREAK_SPREAD_DUPLICATES,
                               Routing::OneDivergent));
}
