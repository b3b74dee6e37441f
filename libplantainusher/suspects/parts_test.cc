#include <gtest/gtest.h>

#include <initializer_list>
#include <set>
#include <vector>

extern "C"
{
#include "suspects/parts.h"
}

namespace
{

constexpr guint64 COMMON = 1;
constexpr guint64 BAD = 2;
constexpr guint64 OTHER = 3;

class Parts : public testing::Test
{
protected:
  Parts ()
  {
    pu_parts_options_init (&o);
    o.learn_runs = 0;
    make ();
  }
  ~Parts () override { pu_parts_free (p); }

  void
  make ()
  {
    pu_parts_free (p);
    p = pu_parts_new (&o);
  }

  guint64
  start (std::vector<guint64> parts, guint64 backend, guint64 request = 0)
  {
    guint64 run = ++runs;

    pu_parts_started (p, run, request != 0 ? request : run, parts.data (),
                      static_cast<guint> (parts.size ()), backend, 1, now);
    return run;
  }

  void
  clear (std::vector<guint64> parts)
  {
    pu_parts_completed (p, start (std::move (parts), 99), true, now);
  }

  std::set<guint64>
  died (guint64 backend)
  {
    GArray *a = g_array_new (FALSE, FALSE, sizeof (pu_parts_accusation_t));
    std::set<guint64> out;

    pu_parts_backend_died (p, backend, 1, a, now);
    for (guint i = 0; i < a->len; i++)
      out.insert (g_array_index (a, pu_parts_accusation_t, i).part);
    g_array_free (a, TRUE);
    return out;
  }

  /* A request with PARTS crashes BACKEND.  */
  std::set<guint64>
  crash (std::vector<guint64> parts, guint64 backend, guint64 request = 0)
  {
    start (std::move (parts), backend, request);
    return died (backend);
  }

  std::set<guint64>
  lifts ()
  {
    GArray *a = g_array_new (FALSE, FALSE, sizeof (guint64));
    std::set<guint64> out;

    pu_parts_take_lifts (p, a);
    for (guint i = 0; i < a->len; i++)
      out.insert (g_array_index (a, guint64, i));
    g_array_free (a, TRUE);
    return out;
  }

  pu_parts_verdict_t
  check (std::vector<guint64> parts)
  {
    return pu_parts_check (p, parts.data (),
                           static_cast<guint> (parts.size ()), now, nullptr);
  }

  void
  put (guint64 part, std::vector<pu_parts_crash_t> crashes)
  {
    pu_parts_put (p, part, crashes.data (),
                  static_cast<guint> (crashes.size ()), now);
  }

  pu_parts_options_t o;
  pu_parts_t *p = nullptr;
  guint64 runs = 0;
  guint64 now = 1000;
};

using Set = std::set<guint64>;

TEST_F (Parts, CrashAccusesPartsThatNoRunHasCleared)
{
  clear ({ COMMON });
  EXPECT_EQ (crash ({ COMMON, BAD }, 1), Set ({ BAD }));
}

TEST_F (Parts, DifferentServersUnderDifferentRequestsConvict)
{
  clear ({ COMMON });
  crash ({ COMMON, BAD }, 1);
  EXPECT_EQ (check ({ BAD }), PU_PARTS_ACCUSED);
  crash ({ COMMON, BAD }, 2);
  EXPECT_EQ (check ({ BAD }), PU_PARTS_SUSPECTED);
  crash ({ COMMON, BAD }, 3);
  EXPECT_EQ (check ({ COMMON, BAD }), PU_PARTS_CONVICTED);
  EXPECT_EQ (check ({ COMMON, OTHER }), PU_PARTS_UNKNOWN);
}

TEST_F (Parts, OneRequestOnManyServersDoesNotConvict)
{
  for (guint64 backend = 1; backend <= 5; backend++)
    crash ({ BAD }, backend, 7);
  EXPECT_EQ (check ({ BAD }), PU_PARTS_ACCUSED);
}

TEST_F (Parts, ManyRequestsOnOneServerDoNotConvict)
{
  for (guint64 i = 0; i < 5; i++)
    crash ({ BAD }, 1);
  EXPECT_EQ (check ({ BAD }), PU_PARTS_ACCUSED);
}

TEST_F (Parts, AccusationsOfTheLogAndOwnOnesAddUp)
{
  put (BAD, { { 1, 100 }, { 2, 200 } });
  EXPECT_EQ (check ({ BAD }), PU_PARTS_SUSPECTED);
  crash ({ BAD }, 3);
  EXPECT_EQ (check ({ BAD }), PU_PARTS_CONVICTED);
  now += o.own_ms;
  EXPECT_EQ (check ({ BAD }), PU_PARTS_SUSPECTED);
}

TEST_F (Parts, HeadAndFirstEventClearNothing)
{
  guint64 run = start ({ BAD }, 1);

  pu_parts_wrote (p, run, 0, now);
  pu_parts_wrote (p, run, 1, now);
  now += o.written_ms;
  pu_parts_wrote (p, run, 2, now);
  EXPECT_FALSE (pu_parts_is_cleared (p, BAD, now));
  EXPECT_EQ (died (1), Set ({ BAD }));
}

TEST_F (Parts, RunThatWritesOnClearsAndLifts)
{
  guint64 run = start ({ BAD }, 1);

  put (BAD, { { 1, 100 }, { 2, 200 }, { 3, 300 } });
  EXPECT_EQ (check ({ BAD }), PU_PARTS_CONVICTED);
  pu_parts_wrote (p, run, 1, now);
  pu_parts_wrote (p, run, o.written_events, now + 1);
  EXPECT_EQ (check ({ BAD }), PU_PARTS_CONVICTED);
  now += o.written_ms;
  pu_parts_wrote (p, run, o.written_events, now);
  EXPECT_EQ (check ({ BAD }), PU_PARTS_UNKNOWN);
  EXPECT_EQ (lifts (), Set ({ BAD }));
  EXPECT_EQ (lifts (), Set ());
}

TEST_F (Parts, RunThatBrokeOffClearsNothingAndIsAccused)
{
  pu_parts_ended (p, start ({ BAD }, 1), true, now);
  EXPECT_FALSE (pu_parts_is_cleared (p, BAD, now));
  EXPECT_EQ (died (1), Set ({ BAD }));
  pu_parts_ended (p, start ({ BAD }, 2), true, now);
  now += o.ended_ms;
  pu_parts_tick (p, now);
  EXPECT_EQ (died (2), Set ());
}

TEST_F (Parts, RunThatEndedOtherwiseIsNotAccused)
{
  pu_parts_ended (p, start ({ BAD }, 1), false, now);
  EXPECT_EQ (died (1), Set ());
}

TEST_F (Parts, ResponseThatEndedWithItsConnectionClearsIfItsServerLives)
{
  pu_parts_completed (p, start ({ OTHER }, 1), false, now);
  pu_parts_completed (p, start ({ BAD }, 2), false, now);
  pu_parts_completed (p, start ({ COMMON }, 3), false, now);
  pu_parts_backend_alive (p, 1, 1, now);
  pu_parts_backend_alive (p, 2, 1, now - 1);
  pu_parts_backend_alive (p, 3, 1, now);
  EXPECT_FALSE (pu_parts_is_cleared (p, OTHER, now));
  EXPECT_EQ (died (3), Set ({ COMMON }));
  now += o.closed_ms;
  pu_parts_tick (p, now);
  EXPECT_TRUE (pu_parts_is_cleared (p, OTHER, now));
  EXPECT_FALSE (pu_parts_is_cleared (p, BAD, now));
  EXPECT_FALSE (pu_parts_is_cleared (p, COMMON, now));
  EXPECT_EQ (died (2), Set ({ BAD }));
}

TEST_F (Parts, NewerIncarnationIsNotAccused)
{
  guint64 bad = BAD;

  pu_parts_started (p, 1, 1, &bad, 1, 1, 2, now);
  EXPECT_EQ (died (1), Set ());
}

TEST_F (Parts, PartWithMoreCrashesExplainsOthers)
{
  put (BAD, { { 1, 10 }, { 2, 20 }, { 3, 30 }, { 4, 40 } });
  put (OTHER, { { 1, 10 }, { 2, 20 }, { 3, 31 } });
  EXPECT_EQ (check ({ BAD }), PU_PARTS_CONVICTED);
  EXPECT_EQ (check ({ OTHER }), PU_PARTS_SUSPECTED);
}

TEST_F (Parts, OnlyARequestWithAllPartsOfTheSameCrashesIsRefused)
{
  put (COMMON, { { 1, 10 }, { 2, 20 }, { 3, 30 } });
  put (BAD, { { 1, 10 }, { 2, 20 }, { 3, 30 } });
  EXPECT_EQ (check ({ COMMON, BAD }), PU_PARTS_CONVICTED);
  EXPECT_EQ (check ({ COMMON, OTHER }), PU_PARTS_SUSPECTED);
  clear ({ COMMON });
  EXPECT_EQ (check ({ COMMON, OTHER }), PU_PARTS_UNKNOWN);
  EXPECT_EQ (check ({ BAD, OTHER }), PU_PARTS_CONVICTED);
}

TEST_F (Parts, ClearedPartsAreForgottenInTheEnd)
{
  clear ({ BAD });
  now += o.cleared_ms;
  EXPECT_FALSE (pu_parts_is_cleared (p, BAD, now));
  o.cleared_max = 2;
  make ();
  clear ({ COMMON });
  clear ({ OTHER });
  clear ({ COMMON });
  clear ({ BAD });
  EXPECT_TRUE (pu_parts_is_cleared (p, COMMON, now));
  EXPECT_TRUE (pu_parts_is_cleared (p, BAD, now));
  EXPECT_FALSE (pu_parts_is_cleared (p, OTHER, now));
}

TEST_F (Parts, EntryThatHasSeenFewRunsAccusesNobody)
{
  o.learn_runs = 2;
  make ();
  EXPECT_EQ (crash ({ BAD }, 1), Set ());
  clear ({ COMMON });
  EXPECT_EQ (crash ({ BAD }, 2), Set ());
  clear ({ COMMON });
  EXPECT_EQ (crash ({ BAD }, 3), Set ({ BAD }));
  make ();
  start ({ COMMON }, 9);
  now += o.learn_ms;
  EXPECT_EQ (crash ({ BAD }, 4), Set ({ BAD }));
}

TEST_F (Parts, FewPartsAreAccusedOfACrashTheYoungestRunsThatAnsweredFirst)
{
  o.accused_max = 2;
  make ();
  pu_parts_wrote (p, start ({ 11 }, 1), 1, now);
  pu_parts_wrote (p, start ({ 12 }, 1), 1, now);
  pu_parts_wrote (p, start ({ 13 }, 1), 0, now);
  start ({ 14 }, 1);
  EXPECT_EQ (died (1), Set ({ 12, 13 }));
}

TEST_F (Parts, ConvictionRestsAfterItsLastCrash)
{
  put (BAD, { { 1, 10 }, { 2, 20 }, { 3, 30 } });
  now += o.rest_after_ms - 1;
  EXPECT_EQ (check ({ BAD }), PU_PARTS_CONVICTED);
  now += o.rest_after_ms + 1;
  EXPECT_EQ (check ({ BAD }), PU_PARTS_SUSPECTED);
  /* The same again is no news; another crash is.  */
  put (BAD, { { 1, 10 }, { 2, 20 }, { 3, 30 } });
  EXPECT_EQ (check ({ BAD }), PU_PARTS_SUSPECTED);
  crash ({ BAD }, 4);
  EXPECT_EQ (check ({ BAD }), PU_PARTS_CONVICTED);
}

TEST_F (Parts, CrashesAtOtherEntriesCountForAWhileWithoutTheLog)
{
  const pu_parts_crash_t crashes[] = { { 1, 10 }, { 2, 20 }, { 3, 30 } };

  clear ({ COMMON });
  crash ({ BAD }, 1);
  for (const pu_parts_crash_t &one : crashes)
    {
      pu_parts_heard (p, BAD, &one, now);
      pu_parts_heard (p, COMMON, &one, now);
      /* The same crash twice is one.  */
      pu_parts_heard (p, OTHER, &crashes[0], now);
    }
  EXPECT_EQ (check ({ BAD }), PU_PARTS_CONVICTED);
  EXPECT_EQ (check ({ OTHER }), PU_PARTS_ACCUSED);
  EXPECT_EQ (check ({ COMMON }), PU_PARTS_UNKNOWN);
  now += o.heard_ms;
  EXPECT_EQ (check ({ BAD }), PU_PARTS_ACCUSED);
  pu_parts_tick (p, now);
  EXPECT_EQ (check ({ OTHER }), PU_PARTS_UNKNOWN);
}

TEST_F (Parts, RunThatGotOnAnswersWhatOtherEntriesHaveSeen)
{
  const pu_parts_crash_t crashes[] = { { 1, 10 }, { 2, 20 }, { 3, 30 } };

  for (const pu_parts_crash_t &one : crashes)
    pu_parts_heard (p, BAD, &one, now);
  EXPECT_EQ (check ({ BAD }), PU_PARTS_CONVICTED);
  clear ({ BAD });
  EXPECT_EQ (check ({ BAD }), PU_PARTS_UNKNOWN);
}

TEST_F (Parts, RemovedFromTheLog)
{
  put (BAD, { { 1, 10 }, { 2, 20 }, { 3, 30 } });
  pu_parts_remove (p, BAD);
  EXPECT_EQ (check ({ BAD }), PU_PARTS_UNKNOWN);
}

} // namespace
