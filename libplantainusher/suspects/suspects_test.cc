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
  explicit Suspects (guint breaks = 0)
  {
    pu_suspects_options_t o;

    pu_suspects_options_init (&o);
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
    apart = 0;
    for (guint i = 0; i < a->len; i++)
      {
        const auto &one = g_array_index (a, pu_suspects_strike_t, i);

        out.push_back (one.fingerprint);
        apart += one.apart;
      }
    std::sort (out.begin (), out.end ());
    g_array_free (a, TRUE);
    return out;
  }

  pu_suspects_t *s;
  int apart = 0; /* of the last death's strikes */
};

} // namespace

TEST (Suspects, ADeathStrikesEachFingerprintOnce)
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

TEST (Suspects, WhatFinishedIsNotStruck)
{
  Suspects t;

  pu_suspects_started (t.s, 1, 7, 0, 1, 0);
  pu_suspects_finished (t.s, 1);
  EXPECT_TRUE (t.died (0, 1).empty ());
}

TEST (Suspects, ANewIncarnationsRequestsLive)
{
  Suspects t;

  pu_suspects_started (t.s, 1, 7, 0, 2, 0);
  EXPECT_TRUE (t.died (0, 1).empty ());
  EXPECT_EQ (1u, pu_suspects_in_flight (t.s));
}

TEST (Suspects, ASuspectRunsOnceAtATimeAndIsStruckAlone)
{
  Suspects t;

  pu_suspects_put (t.s, 7, 1, false);
  EXPECT_EQ (PU_SUSPECTS_RUN_ISOLATED, pu_suspects_check (t.s, 7, 0));
  pu_suspects_started (t.s, 1, 7, 0, 1, 0);
  pu_suspects_started (t.s, 2, 8, 0, 1, 0);
  EXPECT_EQ (PU_SUSPECTS_WAIT, pu_suspects_check (t.s, 7, 0));
  EXPECT_TRUE (pu_suspects_occupied (t.s, 0, 0));
  EXPECT_EQ (std::vector<guint64> ({ 7 }), t.died (0, 1));
  EXPECT_FALSE (pu_suspects_occupied (t.s, 0, 0));
}

TEST (Suspects, TheConvictedAreRefusedUntilLifted)
{
  Suspects t;

  pu_suspects_put (t.s, 7, 2, true);
  EXPECT_EQ (PU_SUSPECTS_REFUSE, pu_suspects_check (t.s, 7, 0));
  pu_suspects_remove (t.s, 7);
  EXPECT_EQ (PU_SUSPECTS_RUN, pu_suspects_check (t.s, 7, 0));
}

TEST (Suspects, AStrikeTheLogNeverTookIsForgotten)
{
  Suspects t;

  pu_suspects_started (t.s, 1, 7, 0, 1, 0);
  t.died (0, 1);
  EXPECT_TRUE (pu_suspects_is_suspect (t.s, 7, 599999));
  EXPECT_FALSE (pu_suspects_is_suspect (t.s, 7, 600000));
}

TEST (Suspects, TheFingerprintTakesModelAndInput)
{
  EXPECT_NE (pu_suspects_fingerprint ("a", "x", 1),
             pu_suspects_fingerprint ("b", "x", 1));
  EXPECT_NE (pu_suspects_fingerprint ("a", "x", 1),
             pu_suspects_fingerprint ("a", "y", 1));
  EXPECT_EQ (pu_suspects_fingerprint ("a", "x", 1),
             pu_suspects_fingerprint ("a", "x", 1));
}

TEST (Suspects, CopiesStayTogetherUntilTheFirstIsAnswered)
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

TEST (Suspects, CopiesWaitWhileItIsNotKnownWhetherOneKilled)
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

TEST (Suspects, WhatWasCutLatelyIsStruck)
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

/* Request 7 is cut as an ordinary one and becomes a suspect by another
   death; then its first backend server dies of request 8.  */
std::vector<guint64>
cut_before_it_was_a_suspect (Suspects &t)
{
  pu_suspects_started (t.s, 1, 7, 0, 1, 0);
  pu_suspects_aborted (t.s, 1, 0);
  pu_suspects_put (t.s, 7, 1, false);
  pu_suspects_started (t.s, 2, 8, 0, 1, 10);
  return t.died (0, 1, 20);
}

} // namespace

TEST (Suspects, WhatWasCutBeforeItWasASuspectDidNotRunApart)
{
  Suspects good;
  Suspects bad (PU_SUSPECTS_BREAK_CUT_APART);

  EXPECT_EQ (std::vector<guint64> ({ 7, 8 }),
             cut_before_it_was_a_suspect (good));
  EXPECT_EQ (0, good.apart);
  /* The guilty one goes free.  */
  EXPECT_EQ (std::vector<guint64> ({ 7 }), cut_before_it_was_a_suspect (bad));
}

TEST (Suspects, ACutSuspectRanApartWhenNothingWasSentThereSince)
{
  Suspects t;

  pu_suspects_started (t.s, 1, 8, 0, 1, 0);
  pu_suspects_put (t.s, 7, 1, false);
  pu_suspects_started (t.s, 2, 7, 0, 1, 0);
  pu_suspects_aborted (t.s, 2, 10);
  EXPECT_EQ (PU_SUSPECTS_WAIT, pu_suspects_check (t.s, 7, 1009));
  EXPECT_TRUE (pu_suspects_occupied (t.s, 0, 1009));
  EXPECT_FALSE (pu_suspects_occupied (t.s, 0, 1010));
  EXPECT_EQ (PU_SUSPECTS_RUN_ISOLATED, pu_suspects_check (t.s, 7, 1010));
  EXPECT_EQ (std::vector<guint64> ({ 7 }), t.died (0, 1, 20));
  EXPECT_EQ (1, t.apart);
}

TEST (Suspects, ACutSuspectIsNotAloneWhenOthersWereSentThereSince)
{
  Suspects t;

  pu_suspects_put (t.s, 7, 1, false);
  pu_suspects_started (t.s, 1, 7, 0, 1, 0);
  pu_suspects_aborted (t.s, 1, 10);
  pu_suspects_started (t.s, 2, 8, 0, 1, 20);
  EXPECT_EQ (std::vector<guint64> ({ 7, 8 }), t.died (0, 1, 30));
  EXPECT_EQ (0, t.apart);
}

namespace
{

constexpr guint64 kPoison = 99;

constexpr int kEntries = 3;
constexpr int kBackends = 6;
constexpr guint64 kStepMs = 10;

/* How the entries choose a backend server.  */
enum class Choice
{
  Alike,    /* the fingerprint decides, the same at each entry */
  OneOther, /* but the last entry finds some busy */
  Random    /* a deliberate fault: each for itself */
};

/* Entries that share a log of strikes; copies of the poison are sent at any
   time through any entry, among innocents.  A suspect goes to entry 0, which
   its model hashes to.  */
struct World
{
  World (unsigned seed, guint breaks, Choice how = Choice::Alike)
      : choice (how), random (seed)
  {
    for (int i = 0; i < kEntries; i++)
      entries.push_back (std::make_unique<Suspects> (breaks));
  }

  int
  pick (int n)
  {
    return (int)(random () % n);
  }

  /* The log's rule (state/apply.c): a death that a suspect met apart counts
     against it alone.  */
  void
  count_strikes (const std::set<guint64> &struck,
                 const std::set<guint64> &apart)
  {
    for (guint64 f : apart.empty () ? struck : apart)
      {
        const guint n = ++strikes[f];

        for (const auto &e : entries)
          pu_suspects_put (e->s, f, n, n >= 2);
      }
    if (apart.empty ())
      return;
    for (guint64 f : struck)
      {
        if (strikes[f] > 0 || apart.count (f) > 0)
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
    std::set<guint64> apart;

    lost++;
    pu_fuzz_report::get ().faults++;
    for (const auto &e : entries)
      pu_suspects_backend_died (e->s, backend, incarnation[backend], a, now);
    for (guint i = 0; i < a->len; i++)
      {
        const auto &one = g_array_index (a, pu_suspects_strike_t, i);

        (one.apart ? apart : struck).insert (one.fingerprint);
      }
    g_array_free (a, TRUE);
    count_strikes (struck, apart);
    incarnation[backend]++;
  }

  /* Where ENTRY sends FINGERPRINT; none when it has to wait.  */
  std::optional<guint32>
  choose (int entry, guint64 fingerprint)
  {
    pu_suspects_t *s = entries[entry]->s;
    std::vector<guint32> order (kBackends);

    std::iota (order.begin (), order.end (), 0);
    std::sort (order.begin (), order.end (), [=] (guint32 a, guint32 b) {
      return fingerprint * 31 % (a + 7) < fingerprint * 31 % (b + 7);
    });
    if (choice == Choice::Random)
      std::shuffle (order.begin (), order.end (), random);
    for (guint32 b : order)
      {
        if (pu_suspects_occupied (s, b, now))
          continue;
        if (choice == Choice::OneOther && entry == kEntries - 1 && pick (2))
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
    if (fingerprint == kPoison)
      doomed.insert (*backend);
  }

  /* At most two backend servers are lost, and no innocent is convicted.  Two
     first deaths at the same moment may convict who ran at both.  */
  bool
  holds () const
  {
    for (const auto &[fingerprint, n] : strikes)
      {
        if (fingerprint != kPoison && n >= 2 && choice != Choice::OneOther)
          return false;
      }
    return lost <= 2;
  }

  /* Something happens to a request that runs: it is answered, ends, or its
     caller goes.  Nobody hears from a backend server that is about to die.  */
  void
  go_on ()
  {
    const Running r = running[pick ((int)running.size ())];
    pu_suspects_t *s = entries[r.entry]->s;

    if (pick (4) == 0)
      pu_suspects_aborted (s, r.request, now);
    else if (doomed.count (r.backend) > 0)
      return;
    else if (pick (2) == 0)
      pu_suspects_answered (s, r.request);
    else
      pu_suspects_finished (s, r.request);
  }

  bool
  play ()
  {
    for (int step = 0; step < 200; step++)
      {
        pu_fuzz_report::get ().steps++;
        now += kStepMs;
        send (pick (4) == 0 ? kPoison : 1 + pick (20));
        if (pick (8) == 0)
          for (int i = 0; i < 2 * kEntries; i++)
            send (kPoison);
        if (!running.empty () && pick (2) == 0)
          go_on ();
        while (!doomed.empty ()
               && (pick (3) == 0 || choice == Choice::OneOther))
          {
            const guint32 backend = *doomed.begin ();

            doomed.erase (backend);
            kill (backend);
          }
        if (!holds ())
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

  Choice choice;
  std::mt19937 random;
  std::vector<std::unique_ptr<Suspects> > entries;
  std::map<guint64, guint> strikes;
  std::map<guint32, guint64> incarnation;
  std::vector<Running> running;
  std::set<guint32> doomed;
  std::set<guint64> refused;
  guint64 requests = 0;
  guint64 now = 0;
  int lost = 0;
};

bool
caught (guint breaks, Choice how = Choice::Alike)
{
  for (unsigned seed = 1; seed <= 100; seed++)
    {
      if (!World (seed, breaks, how).play ())
        return true;
    }
  return false;
}

} // namespace

RC_GTEST_PROP (SuspectsFuzz, APoisonTakesTwoBackendServersAndNoInnocent,
               (unsigned seed))
{
  RC_ASSERT (World (seed, 0).play ());
}

RC_GTEST_PROP (SuspectsFuzz, OneEntryThatChoosesOtherwiseCostsNoThird,
               (unsigned seed))
{
  RC_ASSERT (World (seed, 0, Choice::OneOther).play ());
}

TEST (SuspectsFuzz, BrokenRulesAreCaught)
{
  EXPECT_TRUE (caught (PU_SUSPECTS_BREAK_NO_STRIKE));
  EXPECT_TRUE (caught (PU_SUSPECTS_BREAK_TOGETHER));
  EXPECT_TRUE (caught (PU_SUSPECTS_BREAK_NO_CONVICTION));
  EXPECT_TRUE (caught (0, Choice::Random));
  EXPECT_TRUE (caught (PU_SUSPECTS_BREAK_SCATTER, Choice::OneOther));
}
