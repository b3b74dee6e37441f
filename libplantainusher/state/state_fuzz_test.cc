#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <random>
#include <string>

#include "base/fuzz_report.h"
#include "state/state_fixture_test.h"

namespace
{

/* Applies one random command.  Names and numbers come from small sets, so that
   commands often concern the same object.  GRANTED counts the grants of each
   key and attempt, CLOSED_NOT_RUN the closings of each key as not run.  */
void
random_step (StateFixture &s, std::mt19937 &random,
             std::map<std::string, int> &granted,
             std::map<std::string, int> &closed_not_run, uint64_t step)
{
  const auto pick = [&random] (int n) { return (int)(random () % n); };
  const std::string name = "e" + std::to_string (pick (3));
  const std::string key
      = "k" + std::to_string (step / 40) + "/" + std::to_string (pick (2));
  pu_reply r;

  pu_fuzz_report::get ().steps++;
  switch (pick (8))
    {
    case 0:
      s.submit (pick (4), "c" + std::to_string (pick (6)), &r);
      break;
    case 1:
      s.member (name, 1 + pick (3));
      break;
    case 2:
      s.down (PU_COMMAND_MEMBER_DOWN, name, 1 + pick (3));
      break;
    case 3:
      s.backend ("b" + std::to_string (pick (2)), 1 + pick (2), pick (3));
      break;
    case 4:
      s.reserve ("b" + std::to_string (pick (2)),
                 "m" + std::to_string (pick (5)), 100 * (1 + pick (6)));
      break;
    case 5:
      {
        const int incarnation = 1 + pick (3);
        const uint64_t attempt = step / 64;

        r = s.claim_key (key, name, incarnation, attempt, step);
        if (r.outcome != PU_OUTCOME_DONE
            || r.position != pu_state_position (s.state))
          break;
        granted[key]++;
        /* A second grant to the same attempt is a fault: adding 1000 makes
           the oracle fail.  */
        const std::string attempt_id = key + name
                                       + std::to_string (incarnation) + "/"
                                       + std::to_string (attempt);
        if (++granted["attempt " + attempt_id] > 1)
          granted[key] += 1000;
      }
      break;
    case 6:
      {
        const pu_claim_record *c
            = pu_state_claim (s.state, "svc", key.c_str ());

        if (c == nullptr)
          break;
        bool not_run = pick (4) > 0;
        if (s.claim_done (key, c->position,
                          not_run ? PU_CLAIM_NOT_RUN : PU_CLAIM_RAN)
                == PU_OUTCOME_DONE
            && not_run)
          closed_not_run[key]++;
        break;
      }
    default:
      s.strike (pick (3), "b" + std::to_string (pick (3)), step,
                pick (2) == 0);
    }
}

/* Oracle of at-most-once: a key is granted again only after it was closed as
   not run, so the grants of a key exceed such closings by one at most.  */
bool
claims_are_at_most_once (unsigned seed, unsigned breaks)
{
  StateFixture s (breaks);
  std::mt19937 random (seed);
  std::map<std::string, int> granted;
  std::map<std::string, int> closed_not_run;

  for (uint64_t step = 1; step <= 200; step++)
    {
      random_step (s, random, granted, closed_not_run, step);
      for (const auto &g : granted)
        {
          const bool is_attempt = g.first.compare (0, 8, "attempt ") == 0;

          if (!is_attempt && g.second > closed_not_run[g.first] + 1)
            return false;
        }
    }
  return true;
}

/* Oracle of the document: an accepted change has the version in force as its
   base, and versions rise by one.  */
bool
versions_are_sequential (unsigned seed, unsigned breaks)
{
  StateFixture s (breaks);
  std::mt19937 random (seed);
  uint64_t version = 0;
  pu_reply r;

  for (int step = 0; step < 100; step++)
    {
      const uint64_t base = random () % 4;

      s.submit (base, "c" + std::to_string (random () % 20), &r);
      if (r.outcome != PU_OUTCOME_DONE)
        continue;
      if (base != version || r.doc_version != version + 1)
        return false;
      version = r.doc_version;
    }
  return true;
}

/* Oracle of ranks: the highest rank submitted so far is in force, and each
   submission is acknowledged, whatever its rank is.  */
bool
highest_rank_is_in_force (unsigned seed, unsigned breaks)
{
  StateFixture s (breaks);
  std::mt19937 random (seed);
  uint64_t highest = 0;
  pu_reply r;

  for (int step = 0; step < 100; step++)
    {
      const uint64_t rank = 1 + random () % 50;
      const std::string id
          = std::to_string (rank) + "/" + std::to_string (random () % 3);

      s.submit_ranked (rank, id, &r);
      if (r.outcome != PU_OUTCOME_DONE && r.outcome != PU_OUTCOME_SEEN)
        return false;
      highest = std::max (highest, rank);
      if (pu_state_document (s.state)->rank != highest)
        return false;
    }
  return true;
}

/* Oracle of pu_state_each_changed_backend: a reader that calls it at random
   steps, and reads all records when it fails, has the records of the state. */
bool
reader_has_all_records (unsigned seed)
{
  using Records = std::map<std::string, std::string>;
  StateFixture s;
  std::mt19937 random (seed);
  std::map<std::string, int> granted;
  std::map<std::string, int> closed_not_run;
  Records reader;
  uint64_t since = 0;
  const auto put = [] (const pu_backend_record *b, void *data) {
    (*static_cast<Records *> (data))[b->name]
        = std::to_string (b->incarnation) + "/"
          + std::to_string (b->copies.copies_len)
          + (b->leaving ? " leaving" : "") + (b->down ? " down" : "");
  };

  for (uint64_t step = 1; step <= 200; step++)
    {
      const std::string name = "b" + std::to_string (random () % 2);
      Records expected;

      random_step (s, random, granted, closed_not_run, step);
      if (random () % 4 == 0)
        s.down (random () % 2 == 0 ? PU_COMMAND_BACKEND_DOWN
                                   : PU_COMMAND_BACKEND_LEAVING,
                name, 1 + random () % 2);
      if (random () % 3 != 0)
        continue;
      if (!pu_state_each_changed_backend (s.state, since, put, &reader))
        pu_state_each_backend (s.state, put, &reader);
      since = pu_state_change_count (s.state);
      pu_state_each_backend (s.state, put, &expected);
      if (reader != expected)
        return false;
    }
  return true;
}

/* Whether ORACLE fails for one of 50 seeds when BREAKS are injected.  */
bool
is_detected (bool (*oracle) (unsigned, unsigned), unsigned breaks)
{
  for (unsigned seed = 1; seed <= 50; seed++)
    {
      if (!oracle (seed, breaks))
        return true;
    }
  return false;
}

} // namespace

RC_GTEST_PROP (StateFuzz, KeyIsRegrantedOnlyAfterNotRun, (unsigned seed))
{
  RC_ASSERT (claims_are_at_most_once (seed, 0));
}

RC_GTEST_PROP (StateFuzz, ReaderOfChangesHasAllRecords, (unsigned seed))
{
  RC_ASSERT (reader_has_all_records (seed));
}

RC_GTEST_PROP (StateFuzz, VersionsAreSequential, (unsigned seed))
{
  RC_ASSERT (versions_are_sequential (seed, 0));
}

RC_GTEST_PROP (StateFuzz, HighestRankIsInForce, (unsigned seed))
{
  RC_ASSERT (highest_rank_is_in_force (seed, 0));
}

TEST (StateFuzz, InjectedFaultsAreDetected)
{
  EXPECT_TRUE (
      is_detected (highest_rank_is_in_force, PU_STATE_BREAK_NO_RANK_CHECK));
  EXPECT_TRUE (
      is_detected (claims_are_at_most_once, PU_STATE_BREAK_REGRANT_UNKNOWN));
  EXPECT_TRUE (
      is_detected (claims_are_at_most_once, PU_STATE_BREAK_REOPEN_CLAIM));
  EXPECT_TRUE (
      is_detected (versions_are_sequential, PU_STATE_BREAK_NO_BASE_CHECK));
}

/* A voter that restores an image must stay equal to the voter that made it,
   for the same commands.  */
RC_GTEST_PROP (StateFuzz, RestoredImageContinuesAsTheOriginal, (unsigned seed))
{
  StateFixture s;
  StateFixture t;
  std::mt19937 random (seed);
  std::map<std::string, int> unused;
  std::string bytes;

  for (uint64_t step = 1; step <= 100; step++)
    random_step (s, random, unused, unused, step);
  bytes = s.image (false);
  RC_ASSERT (pu_state_decode (t.state, bytes.data (), bytes.size (), NULL));
  for (uint64_t step = 101; step <= 200; step++)
    {
      std::mt19937 same = random;

      random_step (s, random, unused, unused, step);
      random_step (t, same, unused, unused, step);
      RC_ASSERT (t.image (false) == s.image (false));
    }
}
