#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/fuzz_report.h"

extern "C"
{
#include "once/once.h"
}

namespace
{

const pu_once_result_t kResult = { 200, "text/plain", "ok", 2 };

class Once
{
public:
  explicit Once (guint breaks = 0)
  {
    pu_once_options_t o;

    pu_once_options_init (&o);
    o.test_breaks = breaks;
    o.retry_ms = 3;
    c = pu_once_new (&o);
  }
  ~Once () { pu_once_free (c); }
  Once (const Once &) = delete;

  pu_once_begin_result_t
  begin (guint64 caller, const char *key = "k", guint64 fingerprint = 1)
  {
    return pu_once_begin (c, caller, "svc", key, fingerprint, 0, 0, 3600000,
                          0);
  }

  pu_once_action_t
  next (pu_once_action_type_t type)
  {
    pu_once_action_t a = {};

    EXPECT_TRUE (pu_once_next (c, &a));
    EXPECT_EQ (type, a.type);
    return a;
  }

  bool
  idle ()
  {
    pu_once_action_t a;

    return !pu_once_next (c, &a);
  }

  pu_once_t *c;
};

} // namespace

TEST (Once, AClaimIsDispatchedAndRecorded)
{
  Once o;
  pu_once_handle_t h;

  EXPECT_EQ (PU_ONCE_BEGIN_ACCEPTED, o.begin (1));
  h = o.next (PU_ONCE_ACTION_CLAIM).handle;
  pu_once_claimed (o.c, h, PU_ONCE_CLAIM_GRANTED, 7, NULL, 0);
  o.next (PU_ONCE_ACTION_DISPATCH);
  pu_once_finished (o.c, h, PU_ONCE_OUTCOME_RAN, &kResult, 0);
  EXPECT_EQ (PU_ONCE_ANSWER_RESULT, o.next (PU_ONCE_ACTION_ANSWER).answer);
  EXPECT_EQ (7u, o.next (PU_ONCE_ACTION_RECORD).position);
  pu_once_recorded (o.c, h, true, 0);
  EXPECT_EQ (0u, pu_once_count_active (o.c));
}

TEST (Once, CallersOfOneKeyShareOneRun)
{
  Once o;
  pu_once_handle_t h;

  o.begin (1);
  h = o.next (PU_ONCE_ACTION_CLAIM).handle;
  EXPECT_EQ (PU_ONCE_BEGIN_ACCEPTED, o.begin (2));
  EXPECT_EQ (PU_ONCE_BEGIN_KEY_REUSED, o.begin (3, "k", 2));
  EXPECT_TRUE (o.idle ());
  pu_once_claimed (o.c, h, PU_ONCE_CLAIM_GRANTED, 7, NULL, 0);
  o.next (PU_ONCE_ACTION_DISPATCH);
  pu_once_finished (o.c, h, PU_ONCE_OUTCOME_RAN, &kResult, 0);
  EXPECT_EQ (1u, o.next (PU_ONCE_ACTION_ANSWER).caller);
  EXPECT_EQ (2u, o.next (PU_ONCE_ACTION_ANSWER).caller);
}

TEST (Once, EachAnswerOfTheLogHasItsAnswer)
{
  const struct
  {
    pu_once_claim_result_t said;
    pu_once_answer_t answer;
  } rows[] = {
    { PU_ONCE_CLAIM_COMPLETED, PU_ONCE_ANSWER_RESULT },
    { PU_ONCE_CLAIM_IN_PROGRESS, PU_ONCE_ANSWER_RUNNING },
    { PU_ONCE_CLAIM_KEY_REUSED, PU_ONCE_ANSWER_CONFLICT },
    { PU_ONCE_CLAIM_OWNER_LOST, PU_ONCE_ANSWER_UNKNOWN },
    { PU_ONCE_CLAIM_ALREADY_CLOSED, PU_ONCE_ANSWER_NOT_RUN },
    { PU_ONCE_CLAIM_REFUSED, PU_ONCE_ANSWER_NOT_RUN },
  };

  for (const auto &row : rows)
    {
      Once o;

      o.begin (1);
      pu_once_claimed (o.c, o.next (PU_ONCE_ACTION_CLAIM).handle, row.said, 7,
                       &kResult, 0);
      EXPECT_EQ (row.answer, o.next (PU_ONCE_ACTION_ANSWER).answer);
      EXPECT_EQ (0u, pu_once_count_active (o.c));
    }
}

TEST (Once, AClaimThatTimedOutIsClosedAsNotRun)
{
  Once o;
  pu_once_handle_t h;

  o.begin (1);
  h = o.next (PU_ONCE_ACTION_CLAIM).handle;
  pu_once_claimed (o.c, h, PU_ONCE_CLAIM_TIMED_OUT, 0, NULL, 10);
  EXPECT_EQ (PU_ONCE_ANSWER_NOT_RUN, o.next (PU_ONCE_ACTION_ANSWER).answer);
  pu_once_tick (o.c, 12);
  EXPECT_TRUE (o.idle ());
  pu_once_tick (o.c, 13);
  EXPECT_EQ (1u, o.next (PU_ONCE_ACTION_CLAIM).attempt);
  pu_once_claimed (o.c, h, PU_ONCE_CLAIM_GRANTED, 7, NULL, 13);
  EXPECT_EQ (PU_ONCE_OUTCOME_NOT_RUN, o.next (PU_ONCE_ACTION_RECORD).outcome);
}

TEST (Once, ARefusalAfterATimeoutSettlesNothing)
{
  Once o;
  pu_once_handle_t h;

  o.begin (1);
  h = o.next (PU_ONCE_ACTION_CLAIM).handle;
  pu_once_claimed (o.c, h, PU_ONCE_CLAIM_TIMED_OUT, 0, NULL, 10);
  EXPECT_EQ (PU_ONCE_ANSWER_NOT_RUN, o.next (PU_ONCE_ACTION_ANSWER).answer);
  pu_once_tick (o.c, 13);
  o.next (PU_ONCE_ACTION_CLAIM);
  pu_once_claimed (o.c, h, PU_ONCE_CLAIM_REFUSED, 0, NULL, 20);
  EXPECT_EQ (1u, pu_once_count_active (o.c))
      << "the first may have been recorded";
  pu_once_tick (o.c, 23);
  o.next (PU_ONCE_ACTION_CLAIM);
  pu_once_claimed (o.c, h, PU_ONCE_CLAIM_GRANTED, 7, NULL, 30);
  EXPECT_EQ (PU_ONCE_OUTCOME_NOT_RUN, o.next (PU_ONCE_ACTION_RECORD).outcome);
}

TEST (Once, ARecordIsSentUntilItIsTaken)
{
  Once o;
  pu_once_handle_t h;

  o.begin (1);
  h = o.next (PU_ONCE_ACTION_CLAIM).handle;
  pu_once_claimed (o.c, h, PU_ONCE_CLAIM_GRANTED, 7, NULL, 0);
  o.next (PU_ONCE_ACTION_DISPATCH);
  pu_once_finished (o.c, h, PU_ONCE_OUTCOME_UNKNOWN, NULL, 0);
  EXPECT_EQ (PU_ONCE_ANSWER_UNKNOWN, o.next (PU_ONCE_ACTION_ANSWER).answer);
  o.next (PU_ONCE_ACTION_RECORD);
  pu_once_recorded (o.c, h, false, 10);
  o.begin (2);
  EXPECT_EQ (PU_ONCE_ANSWER_UNKNOWN, o.next (PU_ONCE_ACTION_ANSWER).answer);
  pu_once_tick (o.c, 13);
  o.next (PU_ONCE_ACTION_RECORD);
}

TEST (Once, AKeyOutOfItsWindowIsRefused)
{
  Once o;
  const char *key = "018f0000-0000-7000-8000-000000000000";
  const guint64 made = pu_once_key_time_ms (key);

  EXPECT_EQ (0x018f00000000u, made);
  EXPECT_EQ (0u, pu_once_key_time_ms ("018f0000-0000-4000-8000-000000000000"));
  EXPECT_EQ (
      PU_ONCE_BEGIN_KEY_EXPIRED,
      pu_once_begin (o.c, 1, "s", key, 1, made, made + 600000, 600000, 0));
  EXPECT_EQ (PU_ONCE_BEGIN_ACCEPTED, pu_once_begin (o.c, 1, "s", key, 1, made,
                                                    made + 500000, 600000, 0));
  EXPECT_EQ (600000u, o.next (PU_ONCE_ACTION_CLAIM).window_ms);
}

namespace
{

/* The log as the oracle knows it: per key one owner, or an outcome.  */
struct Claim
{
  int owner = 0;
  guint64 attempt = 0;
  bool open = false;
  bool closed = false;
  pu_once_outcome_t outcome = PU_ONCE_OUTCOME_NOT_RUN;
};

/* Three entries, a log whose answers get lost or come late, and a backend
   server that counts its runs.  */
struct World
{
  explicit World (unsigned seed, guint breaks) : random (seed)
  {
    for (int i = 0; i < 3; i++)
      entries.push_back (std::make_unique<Once> (breaks));
  }

  int
  pick (int n)
  {
    return (int)(random () % n);
  }

  pu_once_claim_result_t
  claim (int entry, const std::string &key, guint64 attempt)
  {
    Claim &k = log[key];

    if (k.attempt == attempt && k.owner == entry && (k.open || k.closed))
      return k.open ? PU_ONCE_CLAIM_GRANTED : PU_ONCE_CLAIM_ALREADY_CLOSED;
    if (k.open)
      return PU_ONCE_CLAIM_IN_PROGRESS;
    if (k.closed && k.outcome == PU_ONCE_OUTCOME_RAN)
      return PU_ONCE_CLAIM_COMPLETED;
    if (k.closed && k.outcome == PU_ONCE_OUTCOME_UNKNOWN)
      return PU_ONCE_CLAIM_OWNER_LOST;
    k = { entry, attempt, true, false, PU_ONCE_OUTCOME_NOT_RUN };
    return PU_ONCE_CLAIM_GRANTED;
  }

  void
  run (int entry, const pu_once_action_t &a)
  {
    const int fate = pick (3);
    const std::string key = a.key;

    pu_fuzz_report::get ().faults += fate == 2 ? 1 : 0;
    if (fate != 0)
      runs[key]++;
    finished.push_back ({ entry, a.handle, fate, now + pick (5) });
  }

  void
  carry_out (int entry, const pu_once_action_t &a)
  {
    pu_once_t *c = entries[entry]->c;

    switch (a.type)
      {
      case PU_ONCE_ACTION_CLAIM:
        {
          pu_once_claim_result_t said = PU_ONCE_CLAIM_REFUSED;

          if (pick (5) > 0)
            said = claim (entry, a.key, a.attempt);
          if (pick (4) == 0)
            {
              said = PU_ONCE_CLAIM_TIMED_OUT;
              pu_fuzz_report::get ().faults++;
            }
          pu_once_claimed (c, a.handle, said, 1, &kResult, now);
          break;
        }
      case PU_ONCE_ACTION_DISPATCH:
        run (entry, a);
        break;
      case PU_ONCE_ACTION_RECORD:
        {
          const bool reached = pick (3) > 0;

          pu_fuzz_report::get ().faults += reached ? 0 : 1;
          Claim &k = log[a.key];

          if (reached && k.open && k.owner == entry && k.attempt == a.attempt)
            {
              k.open = false;
              k.closed = true;
              k.outcome = a.outcome;
            }
          pu_once_recorded (c, a.handle, reached && pick (4) > 0, now);
          break;
        }
      case PU_ONCE_ACTION_ANSWER:
        answers[a.caller]++;
        if (a.answer == PU_ONCE_ANSWER_NOT_RUN)
          told_not_run[a.caller] = a.key;
        break;
      }
  }

  void
  drain (int entry)
  {
    pu_once_action_t a;

    while (pu_once_next (entries[entry]->c, &a))
      carry_out (entry, a);
  }

  void
  finish_due ()
  {
    for (size_t n = finished.size (); n > 0; n--)
      {
        Finished f = finished.front ();

        finished.pop_front ();
        if (f.due > now)
          {
            finished.push_back (f);
            continue;
          }
        /* 0: did not run; 1: ran; 2: ran and the answer was lost.  */
        const pu_once_outcome_t outcomes[]
            = { PU_ONCE_OUTCOME_NOT_RUN, PU_ONCE_OUTCOME_RAN,
                PU_ONCE_OUTCOME_UNKNOWN };
        pu_once_finished (entries[f.entry]->c, f.handle, outcomes[f.fate],
                          &kResult, now);
      }
  }

  /* At most one run for a key; one answer for a caller; who was told that
     its call did not run, alone with its key, was told the truth.  */
  bool
  holds () const
  {
    for (const auto &r : runs)
      {
        if (r.second > 1)
          return false;
      }
    for (const auto &a : answers)
      {
        if (a.second != 1)
          return false;
      }
    for (const auto &t : told_not_run)
      {
        auto r = runs.find (t.second);

        if (callers_of.at (t.second) == 1 && r != runs.end () && r->second > 0)
          return false;
      }
    return true;
  }

  bool
  play (int steps)
  {
    for (guint64 caller = 1; (int)caller <= steps; caller++, now++)
      {
        const int entry = pick (3);
        const std::string key = pick (3) == 0
                                    ? "solo" + std::to_string (caller)
                                    : "k" + std::to_string (caller / 20);

        callers_of[key]++;
        pu_fuzz_report::get ().steps++;
        entries[entry]->begin (caller, key.c_str ());
        drain (entry);
        finish_due ();
        if (pick (10) == 0)
          pu_once_remove_caller (entries[entry]->c, caller, now);
        for (int e = 0; e < 3; e++)
          {
            pu_once_tick (entries[e]->c, now);
            drain (e);
          }
        if (!holds ())
          return false;
      }
    return settles ();
  }

  bool
  busy () const
  {
    for (const auto &e : entries)
      {
        if (pu_once_count_active (e->c) > 0)
          return true;
      }
    return false;
  }

  /* Entries that live come to rest and leave no claim open: its key would be
     blocked for as long as they live.  */
  bool
  settles ()
  {
    for (int n = 0; n < 1000 && busy (); n++, now++)
      {
        finish_due ();
        for (int e = 0; e < 3; e++)
          {
            pu_once_tick (entries[e]->c, now);
            drain (e);
          }
      }
    for (const auto &k : log)
      {
        if (k.second.open)
          return false;
      }
    return holds () && !busy ();
  }

  struct Finished
  {
    int entry;
    pu_once_handle_t handle;
    int fate;
    guint64 due;
  };

  std::mt19937 random;
  guint64 now = 1;
  std::vector<std::unique_ptr<Once> > entries;
  std::map<std::string, Claim> log;
  std::map<std::string, int> runs;
  std::map<std::string, int> callers_of;
  std::map<guint64, int> answers;
  std::map<guint64, std::string> told_not_run;
  std::deque<Finished> finished;
};

bool
caught (guint breaks)
{
  for (unsigned seed = 1; seed <= 50; seed++)
    {
      if (!World (seed, breaks).play (300))
        return true;
    }
  return false;
}

} // namespace

RC_GTEST_PROP (OnceFuzz, RunsAtMostOnceAndTellsTheTruth, (unsigned seed))
{
  RC_ASSERT (World (seed, 0).play (300));
}

TEST (OnceFuzz, BrokenRulesAreCaught)
{
  EXPECT_TRUE (caught (PU_ONCE_BREAK_DISPATCH_LATE));
  EXPECT_TRUE (caught (PU_ONCE_BREAK_ONE_ATTEMPT));
  EXPECT_TRUE (caught (PU_ONCE_BREAK_RAN_AS_NOT_RUN));
  EXPECT_TRUE (caught (PU_ONCE_BREAK_FORGET_TIMEOUT));
}
