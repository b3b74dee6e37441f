#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <random>
#include <string>

#include "base/fuzz_report.h"
#include "state/state_rig_test.h"

namespace
{

/* One random command from a small world, so that they meet.  */
void
random_step (State &s, std::mt19937 &random,
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
            || r.position != pu_state_position (s.s))
          break;
        granted[key]++;
        /* One attempt is granted anew once at most.  */
        const std::string one = key + name + std::to_string (incarnation) + "/"
                                + std::to_string (attempt);
        if (++granted["attempt " + one] > 1)
          granted[key] += 1000;
      }
      break;
    case 6:
      {
        const pu_claim_record *c = pu_state_claim (s.s, "svc", key.c_str ());

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
   not run, so grants exceed such closings by one at most.  */
bool
grants_hold (unsigned seed, unsigned breaks)
{
  State s (breaks);
  std::mt19937 random (seed);
  std::map<std::string, int> granted;
  std::map<std::string, int> closed;

  for (uint64_t step = 1; step <= 200; step++)
    {
      random_step (s, random, granted, closed, step);
      for (const auto &g : granted)
        {
          const bool attempt = g.first.compare (0, 8, "attempt ") == 0;

          if (!attempt && g.second > closed[g.first] + 1)
            return false;
        }
    }
  return true;
}

/* Oracle of the document: an accepted change names the version before it, and
   versions rise by one.  */
bool
versions_are_linear (unsigned seed, unsigned breaks)
{
  State s (breaks);
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

/* Oracle of ranks: the rank in force only rises, and each submission is
   acknowledged, whatever its rank is.  */
bool
ranks_only_rise (unsigned seed, unsigned breaks)
{
  State s (breaks);
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
      if (pu_state_document (s.s)->rank != highest)
        return false;
    }
  return true;
}

/* Oracle of pu_state_each_changed_backend: a reader that follows it, now and
   then, has the records that the state has.  */
bool
reader_has_all (unsigned seed)
{
  using Seen = std::map<std::string, std::string>;
  State s;
  std::mt19937 random (seed);
  std::map<std::string, int> granted;
  std::map<std::string, int> closed;
  Seen reader;
  uint64_t since = 0;
  const auto put = [] (const pu_backend_record *b, void *data) {
    (*static_cast<Seen *> (data))[b->name]
        = std::to_string (b->incarnation) + "/"
          + std::to_string (b->copies.copies_len)
          + (b->leaving ? " leaving" : "") + (b->down ? " down" : "");
  };

  for (uint64_t step = 1; step <= 200; step++)
    {
      const std::string name = "b" + std::to_string (random () % 2);
      Seen whole;

      random_step (s, random, granted, closed, step);
      if (random () % 4 == 0)
        s.down (random () % 2 == 0 ? PU_COMMAND_BACKEND_DOWN
                                   : PU_COMMAND_BACKEND_LEAVING,
                name, 1 + random () % 2);
      if (random () % 3 != 0)
        continue;
      if (!pu_state_each_changed_backend (s.s, since, put, &reader))
        pu_state_each_backend (s.s, put, &reader);
      since = pu_state_change_count (s.s);
      pu_state_each_backend (s.s, put, &whole);
      if (reader != whole)
        return false;
    }
  return true;
}

bool
caught (bool (*holds) (unsigned, unsigned), unsigned breaks)
{
  for (unsigned seed = 1; seed <= 50; seed++)
    {
      if (!holds (seed, breaks))
        return true;
    }
  return false;
}

} // namespace

RC_GTEST_PROP (StateFuzz, AKeyIsGrantedOnceUnlessItDidNotRun, (unsigned seed))
{
  RC_ASSERT (grants_hold (seed, 0));
}

RC_GTEST_PROP (StateFuzz, AReaderOfChangesHasAll, (unsigned seed))
{
  RC_ASSERT (reader_has_all (seed));
}

RC_GTEST_PROP (StateFuzz, VersionsAreLinear, (unsigned seed))
{
  RC_ASSERT (versions_are_linear (seed, 0));
}

RC_GTEST_PROP (StateFuzz, TheHighestRankIsInForce, (unsigned seed))
{
  RC_ASSERT (ranks_only_rise (seed, 0));
}

TEST (StateFuzz, BrokenRulesAreCaught)
{
  EXPECT_TRUE (caught (ranks_only_rise, PU_STATE_BREAK_NO_RANK_CHECK));
  EXPECT_TRUE (caught (grants_hold, PU_STATE_BREAK_REGRANT_UNKNOWN));
  EXPECT_TRUE (caught (grants_hold, PU_STATE_BREAK_REOPEN_CLAIM));
  EXPECT_TRUE (caught (versions_are_linear, PU_STATE_BREAK_NO_BASE_CHECK));
}

/* A voter that starts from an image goes on exactly as one that did not.  */
RC_GTEST_PROP (StateFuzz, AnImageIsTheState, (unsigned seed))
{
  State s;
  State t;
  std::mt19937 random (seed);
  std::map<std::string, int> none;
  std::string bytes;

  for (uint64_t step = 1; step <= 100; step++)
    random_step (s, random, none, none, step);
  bytes = s.image (false);
  RC_ASSERT (pu_state_decode (t.s, bytes.data (), bytes.size (), NULL));
  for (uint64_t step = 101; step <= 200; step++)
    {
      std::mt19937 same = random;

      random_step (s, random, none, none, step);
      random_step (t, same, none, none, step);
      RC_ASSERT (t.image (false) == s.image (false));
    }
}
