#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
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
  died (guint32 backend, guint64 incarnation)
  {
    GArray *a = g_array_new (FALSE, FALSE, sizeof (pu_suspects_strike_t));
    std::vector<guint64> out;

    pu_suspects_died (s, backend, incarnation, a, 0);
    for (guint i = 0; i < a->len; i++)
      out.push_back (g_array_index (a, pu_suspects_strike_t, i).fingerprint);
    g_array_free (a, TRUE);
    return out;
  }

  pu_suspects_t *s;
};

} // namespace

TEST (Suspects, ADeathStrikesEachFingerprintOnce)
{
  Suspects t;

  pu_suspects_started (t.s, 1, 7, 0, 1, 0);
  pu_suspects_started (t.s, 2, 7, 0, 1, 0);
  pu_suspects_started (t.s, 3, 8, 1, 1, 0);
  EXPECT_EQ (std::vector<guint64> ({ 7 }), t.died (0, 1));
  EXPECT_EQ (1u, pu_suspects_running (t.s));
  EXPECT_EQ (PU_SUSPECTS_APART, pu_suspects_judge (t.s, 7, 1));
  EXPECT_EQ (PU_SUSPECTS_RUN, pu_suspects_judge (t.s, 8, 1));
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
  EXPECT_EQ (1u, pu_suspects_running (t.s));
}

TEST (Suspects, ASuspectRunsOnceAtATimeAndIsStruckAlone)
{
  Suspects t;

  pu_suspects_put (t.s, 7, 1, false);
  EXPECT_EQ (PU_SUSPECTS_APART, pu_suspects_judge (t.s, 7, 0));
  pu_suspects_started (t.s, 1, 7, 0, 1, 0);
  pu_suspects_started (t.s, 2, 8, 0, 1, 0);
  EXPECT_EQ (PU_SUSPECTS_WAIT, pu_suspects_judge (t.s, 7, 0));
  EXPECT_TRUE (pu_suspects_occupied (t.s, 0));
  EXPECT_EQ (std::vector<guint64> ({ 7 }), t.died (0, 1));
  EXPECT_FALSE (pu_suspects_occupied (t.s, 0));
}

TEST (Suspects, TheConvictedAreRefusedUntilLifted)
{
  Suspects t;

  pu_suspects_put (t.s, 7, 2, true);
  EXPECT_EQ (PU_SUSPECTS_REFUSE, pu_suspects_judge (t.s, 7, 0));
  pu_suspects_lift (t.s, 7);
  EXPECT_EQ (PU_SUSPECTS_RUN, pu_suspects_judge (t.s, 7, 0));
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

namespace
{

constexpr guint64 kPoison = 99;

/* Entries that share a log of strikes; the poison is resent after each
   failure, through any entry, among innocents.  A suspect goes to entry 0,
   which its model hashes to.  */
struct World
{
  World (unsigned seed, guint breaks) : random (seed)
  {
    for (int i = 0; i < 3; i++)
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
          pu_suspects_lift (e->s, f);
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
      pu_suspects_died (e->s, backend, incarnation[backend], a, 0);
    for (guint i = 0; i < a->len; i++)
      {
        const auto &one = g_array_index (a, pu_suspects_strike_t, i);

        (one.apart ? apart : struck).insert (one.fingerprint);
      }
    g_array_free (a, TRUE);
    count_strikes (struck, apart);
    incarnation[backend]++;
  }

  void
  send (guint64 fingerprint)
  {
    int entry = pick (3);
    guint32 backend = pick (6);

    if (pu_suspects_is_suspect (entries[entry]->s, fingerprint, 0))
      entry = 0;
    switch (pu_suspects_judge (entries[entry]->s, fingerprint, 0))
      {
      case PU_SUSPECTS_REFUSE:
        refused.insert (fingerprint);
        return;
      case PU_SUSPECTS_WAIT:
        return;
      case PU_SUSPECTS_APART:
      case PU_SUSPECTS_RUN:
        break;
      }
    for (int n = 0; n < 6; n++)
      {
        if (!pu_suspects_occupied (entries[entry]->s, backend))
          break;
        backend = (backend + 1) % 6;
      }
    if (pu_suspects_occupied (entries[entry]->s, backend))
      return;
    pu_suspects_started (entries[entry]->s, ++requests, fingerprint, backend,
                         incarnation[backend], 0);
    running.push_back ({ entry, requests, backend });
    if (fingerprint == kPoison)
      doomed.insert (backend);
  }

  /* At most two backend servers are lost, and no innocent is refused.  */
  bool
  holds () const
  {
    for (guint64 f : refused)
      {
        if (f != kPoison)
          return false;
      }
    return lost <= 2;
  }

  bool
  play ()
  {
    for (int step = 0; step < 200; step++)
      {
        pu_fuzz_report::get ().steps++;
        /* Once it is known, many resend it at the same time.  */
        const bool resend = doomed.empty () || strikes[kPoison] > 0;

        send (pick (4) == 0 && resend ? kPoison : 1 + pick (20));
        if (!doomed.empty () && pick (3) == 0)
          {
            const guint32 backend = *doomed.begin ();

            doomed.erase (backend);
            kill (backend);
          }
        if (!running.empty () && pick (2) == 0)
          {
            const Running r = running[pick ((int)running.size ())];

            if (doomed.count (r.backend) == 0)
              pu_suspects_finished (entries[r.entry]->s, r.request);
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
    guint32 backend;
  };

  std::mt19937 random;
  std::vector<std::unique_ptr<Suspects> > entries;
  std::map<guint64, guint> strikes;
  std::map<guint32, guint64> incarnation;
  std::vector<Running> running;
  std::set<guint32> doomed;
  std::set<guint64> refused;
  guint64 requests = 0;
  int lost = 0;
};

bool
caught (guint breaks)
{
  for (unsigned seed = 1; seed <= 100; seed++)
    {
      if (!World (seed, breaks).play ())
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

TEST (SuspectsFuzz, BrokenRulesAreCaught)
{
  EXPECT_TRUE (caught (PU_SUSPECTS_BREAK_NO_STRIKE));
  EXPECT_TRUE (caught (PU_SUSPECTS_BREAK_TOGETHER));
  EXPECT_TRUE (caught (PU_SUSPECTS_BREAK_NO_CONVICTION));
}
