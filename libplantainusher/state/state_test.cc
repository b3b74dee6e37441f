#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <cstring>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "base/fuzz_report.h"

extern "C"
{
#include "state/state.h"
}

namespace
{

/* A command with the strings that keep its pointers alive.  */
struct Command
{
  pu_command c = {};
  std::vector<std::string> texts;

  Command () { texts.reserve (16); }
  char *
  text (const std::string &s)
  {
    texts.push_back (s);
    return texts.back ().data ();
  }
};

class State
{
public:
  explicit State (unsigned breaks = 0)
  {
    pu_state_options_t o;

    pu_state_options_init (&o);
    o.claim_window_ms = 1000;
    o.suspect_window_ms = 1000;
    o.test_breaks = breaks;
    s = pu_state_new (&o);
  }
  ~State () { pu_state_free (s); }

  pu_reply
  apply (const Command &c)
  {
    pu_reply r = {};

    EXPECT_TRUE (pu_state_apply (s, pu_state_position (s) + 1, &c.c, &r));
    pu_reply copy = r;
    copy.detail = nullptr;
    copy.claim = nullptr;
    if (r.claim != nullptr)
      {
        claim = *r.claim;
        claim_phase = r.claim->phase;
      }
    pu_reply_clear (&r);
    return copy;
  }

  void
  submit (uint64_t base, const std::string &id, pu_reply *r)
  {
    Command c;

    c.c.type = PU_COMMAND_SUBMIT;
    c.c.pu_command_u.submit
        = { base, 5, c.text (id), c.text ("ann"),         0, FALSE,
            0,    0, 0,           c.text ("{" + id + "}") };
    *r = apply (c);
  }

  /* A document whose rank decides, whatever it was based on.  */
  void
  submit_ranked (uint64_t rank, const std::string &id, pu_reply *r)
  {
    Command c;

    c.c.type = PU_COMMAND_SUBMIT;
    c.c.pu_command_u.submit
        = { 0, 5, c.text (id), c.text ("ann"),         rank, FALSE,
            0, 0, 0,           c.text ("{" + id + "}") };
    *r = apply (c);
  }

  void
  member (const std::string &name, uint64_t incarnation)
  {
    Command c;

    c.c.type = PU_COMMAND_MEMBER_UP;
    c.c.pu_command_u.member_up
        = { c.text (name), incarnation,  c.text ("r"), c.text ("z"),
            c.text ("a"),  c.text ("b"), c.text ("c"), FALSE };
    apply (c);
  }

  pu_outcome
  down (pu_command_type type, const std::string &name, uint64_t incarnation)
  {
    Command c;

    c.c.type = type;
    c.c.pu_command_u.member_down = { c.text (name), incarnation };
    return apply (c).outcome;
  }

  pu_reply
  claim_key (const std::string &key, const std::string &owner,
             uint64_t incarnation, uint64_t attempt, uint64_t wall,
             uint64_t fingerprint = 1, uint64_t window = 0)
  {
    Command c;

    c.c.type = PU_COMMAND_CLAIM;
    c.c.pu_command_u.claim
        = { c.text ("svc"), c.text (key), fingerprint, c.text (owner),
            incarnation,    attempt,      wall,        window };
    return apply (c);
  }

  pu_outcome
  claim_done (const std::string &key, uint64_t position, pu_claim_phase phase)
  {
    Command c;

    c.c.type = PU_COMMAND_CLAIM_DONE;
    c.c.pu_command_u.claim_done.service = c.text ("svc");
    c.c.pu_command_u.claim_done.key = c.text (key);
    c.c.pu_command_u.claim_done.position = position;
    c.c.pu_command_u.claim_done.phase = phase;
    c.c.pu_command_u.claim_done.content_type = c.text ("");
    return apply (c).outcome;
  }

  pu_outcome
  strike (uint64_t fingerprint, const std::string &backend, uint64_t wall,
          bool apart = false)
  {
    Command c;

    c.c.type = PU_COMMAND_STRIKE;
    c.c.pu_command_u.strike
        = { apart, fingerprint, c.text ("m"), c.text (backend), 1, wall };
    return apply (c).outcome;
  }

  pu_outcome
  backend (const std::string &name, uint64_t incarnation, unsigned copies,
           bool leaving = false, bool fenced = false, uint64_t token = 0,
           uint64_t seq = 0)
  {
    Command c;
    std::vector<pu_copy_record> list;

    for (unsigned i = 0; i < copies; i++)
      list.push_back ({ c.text ("m" + std::to_string (i)), c.text ("1"), 100,
                        PU_COPY_READY });
    c.c.type = PU_COMMAND_BACKEND_UP;
    pu_backend_record &b = c.c.pu_command_u.backend_up;
    b = {};
    b.name = c.text (name);
    b.incarnation = incarnation;
    b.service = c.text ("");
    b.address = c.text ("127.0.0.1:1");
    b.region = c.text ("r");
    b.zone = c.text ("z");
    b.accelerators = 1;
    b.memory_mb = 1000;
    b.leaving = leaving;
    b.seq = seq;
    b.fenced = fenced;
    b.token = token;
    b.copies.copies_len = copies;
    b.copies.copies_val = list.data ();
    return apply (c).outcome;
  }

  pu_reply
  reserve (const std::string &name, const std::string &model, unsigned mb)
  {
    Command c;

    c.c.type = PU_COMMAND_RESERVE;
    c.c.pu_command_u.reserve = {
      0, PU_ORDER_LOAD, c.text (name),  1, c.text (model), c.text ("1"), mb,
      0, 1000,          c.text ("test")
    };
    return apply (c);
  }

  pu_outcome
  release (uint64_t token)
  {
    Command c;

    c.c.type = PU_COMMAND_RELEASE;
    c.c.pu_command_u.release = { token, c.text ("test") };
    return apply (c).outcome;
  }

  std::string
  image (bool public_only) const
  {
    GBytes *b = pu_state_encode (s, public_only);
    gsize n;
    const char *p = (const char *)g_bytes_get_data (b, &n);
    std::string out (p, n);

    g_bytes_unref (b);
    return out;
  }

  pu_state_t *s;
  pu_claim_record claim = {};
  pu_claim_phase claim_phase = PU_CLAIM_OPEN;
};

} // namespace

TEST (State, OfTwoSubmitsAtOneVersionOneWins)
{
  State s;
  pu_reply r;

  s.submit (0, "a", &r);
  EXPECT_EQ (PU_OUTCOME_DONE, r.outcome);
  EXPECT_EQ (1u, r.doc_version);
  s.submit (0, "b", &r);
  EXPECT_EQ (PU_OUTCOME_CONFLICT, r.outcome);
  EXPECT_EQ (1u, r.doc_version);
  EXPECT_STREQ ("{a}", pu_state_document (s.s)->text);
}

TEST (State, AResentChangeGetsTheFirstAnswer)
{
  State s;
  pu_reply first;
  pu_reply again;

  s.submit (0, "a", &first);
  s.submit (1, "b", &again);
  s.submit (0, "a", &again);
  EXPECT_EQ (PU_OUTCOME_SEEN, again.outcome);
  EXPECT_EQ (1u, again.doc_version);
  EXPECT_EQ (first.position, again.position);
  EXPECT_EQ (2u, pu_state_document (s.s)->doc_version);
}

TEST (State, AChangeIdForAnotherDocumentIsAConflict)
{
  State s;
  pu_reply r;
  Command c;

  s.submit (0, "a", &r);
  c.c.type = PU_COMMAND_SUBMIT;
  c.c.pu_command_u.submit.base_version = 1;
  c.c.pu_command_u.submit.change_id = c.text ("a");
  c.c.pu_command_u.submit.author = c.text ("ann");
  c.c.pu_command_u.submit.text = c.text ("{other}");
  EXPECT_EQ (PU_OUTCOME_CONFLICT, s.apply (c).outcome);
  EXPECT_EQ (1u, pu_state_document (s.s)->doc_version);
}

TEST (State, NeverAppliesAPositionTwice)
{
  State s;
  pu_reply r;
  Command c;

  s.submit (0, "a", &r);
  c.c.type = PU_COMMAND_NOOP;
  EXPECT_FALSE (pu_state_apply (s.s, 1, &c.c, NULL));
  EXPECT_EQ (1u, pu_state_position (s.s));
}

TEST (State, AnOldIncarnationOfAMemberIsRefused)
{
  State s;

  s.member ("e", 5);
  EXPECT_EQ (PU_OUTCOME_REFUSED, s.down (PU_COMMAND_MEMBER_DOWN, "e", 4));
  s.member ("e", 4);
  EXPECT_EQ (5u, pu_state_member (s.s, "e")->incarnation);
  EXPECT_EQ (PU_OUTCOME_DONE, s.down (PU_COMMAND_MEMBER_DOWN, "e", 5));
  EXPECT_EQ (nullptr, pu_state_member (s.s, "e"));
}

TEST (State, LeavingStaysUntilANewIncarnation)
{
  State s;

  s.backend ("b", 1, 1);
  s.down (PU_COMMAND_BACKEND_LEAVING, "b", 1);
  s.backend ("b", 1, 2);
  EXPECT_TRUE (pu_state_backend (s.s, "b")->leaving);
  s.backend ("b", 2, 0);
  EXPECT_FALSE (pu_state_backend (s.s, "b")->leaving);
}

TEST (State, AReservationThatDoesNotFitIsRefused)
{
  State s;

  s.backend ("b", 1, 2);
  EXPECT_EQ (PU_OUTCOME_DONE, s.reserve ("b", "big", 700).outcome);
  EXPECT_EQ (900u, pu_state_committed_mb (s.s, "b"));
  EXPECT_EQ (PU_OUTCOME_CONFLICT, s.reserve ("b", "more", 101).outcome);
  EXPECT_EQ (PU_OUTCOME_DONE, s.reserve ("b", "more", 100).outcome);
}

/* Another order for the same copy carries the later token that closes the
   earlier one; the copy is counted once, at the largest.  */
TEST (State, TwoOrdersForOneCopyAreCountedOnce)
{
  State s;

  s.backend ("b", 1, 2);
  s.reserve ("b", "big", 700);
  EXPECT_EQ (PU_OUTCOME_DONE, s.reserve ("b", "big", 1).outcome);
  EXPECT_EQ (900u, pu_state_committed_mb (s.s, "b"));
  EXPECT_EQ (PU_OUTCOME_CONFLICT, s.reserve ("b", "big", 801).outcome);
  EXPECT_EQ (PU_OUTCOME_DONE, s.reserve ("b", "big", 800).outcome);
  EXPECT_EQ (1000u, pu_state_committed_mb (s.s, "b"));
}

TEST (State, AReleaseThatTheLedgerRefusesKeepsTheOrder)
{
  State s;

  s.backend ("b", 1, 0, false, true);
  const uint64_t token = s.reserve ("b", "big", 700).position;
  EXPECT_EQ (PU_OUTCOME_REFUSED, s.release (token));
  EXPECT_NE (nullptr, pu_state_order (s.s, token));
  EXPECT_EQ (700u, pu_state_committed_mb (s.s, "b"));
  s.backend ("b", 1, 0, false, true, token + 1);
  EXPECT_EQ (PU_OUTCOME_DONE, s.release (token));
  EXPECT_EQ (nullptr, pu_state_order (s.s, token));
  EXPECT_EQ (PU_OUTCOME_SEEN, s.release (token));
}

TEST (State, AnOlderReportChangesNothing)
{
  State s;

  EXPECT_EQ (PU_OUTCOME_DONE, s.backend ("b", 1, 2, false, false, 0, 7));
  EXPECT_EQ (PU_OUTCOME_REFUSED, s.backend ("b", 1, 1, false, false, 0, 6));
  EXPECT_EQ (2u, pu_state_backend (s.s, "b")->copies.copies_len);
  EXPECT_EQ (PU_OUTCOME_SEEN, s.backend ("b", 1, 2, false, false, 0, 8));
  EXPECT_EQ (PU_OUTCOME_DONE, s.backend ("b", 1, 1, false, false, 0, 9));
  EXPECT_EQ (PU_OUTCOME_DONE, s.backend ("b", 2, 0, false, false, 0, 1));
}

TEST (State, ABackendThatIsDownKeepsItsReservations)
{
  State s;

  s.backend ("b", 1, 1);
  s.reserve ("b", "big", 700);
  s.down (PU_COMMAND_BACKEND_DOWN, "b", 1);
  EXPECT_TRUE (pu_state_backend (s.s, "b")->down);
  EXPECT_EQ (800u, pu_state_committed_mb (s.s, "b"));
  s.backend ("b", 2, 0);
  EXPECT_EQ (700u, pu_state_committed_mb (s.s, "b"));
}

TEST (State, ADeadOwnersClaimIsUnknownAndNeverRunsAgain)
{
  State s;

  s.member ("e1", 1);
  s.member ("e2", 1);
  EXPECT_EQ (PU_OUTCOME_DONE, s.claim_key ("k", "e1", 1, 1, 10).outcome);
  EXPECT_EQ (PU_OUTCOME_BUSY, s.claim_key ("k", "e2", 1, 1, 11).outcome);
  s.down (PU_COMMAND_MEMBER_DOWN, "e1", 1);
  EXPECT_EQ (PU_OUTCOME_SEEN, s.claim_key ("k", "e2", 1, 2, 12).outcome);
  EXPECT_EQ (PU_CLAIM_UNKNOWN, s.claim_phase);
}

TEST (State, ALateCopyOfAClaimDoesNotOpenItAgain)
{
  State s;
  pu_reply r;

  s.member ("e", 1);
  r = s.claim_key ("k", "e", 1, 1, 10);
  s.claim_done ("k", r.position, PU_CLAIM_NOT_RUN);
  EXPECT_EQ (PU_OUTCOME_SEEN, s.claim_key ("k", "e", 1, 1, 10).outcome);
  EXPECT_EQ (PU_OUTCOME_DONE, s.claim_key ("k", "e", 1, 2, 11).outcome);
}

/* Found by the fuzz: seed 1, case 64.  */
TEST (State, ACopyOfAnEarlierAttemptDoesNotOpenItEither)
{
  State s;
  pu_reply r;

  s.member ("e1", 1);
  s.member ("e2", 1);
  r = s.claim_key ("k", "e1", 1, 1, 10);
  s.claim_done ("k", r.position, PU_CLAIM_NOT_RUN);
  r = s.claim_key ("k", "e2", 1, 1, 11);
  s.claim_done ("k", r.position, PU_CLAIM_NOT_RUN);
  EXPECT_EQ (PU_OUTCOME_SEEN, s.claim_key ("k", "e1", 1, 1, 10).outcome);
  EXPECT_EQ (PU_OUTCOME_DONE, s.claim_key ("k", "e1", 1, 2, 12).outcome);
}

TEST (State, AKeyForAnotherRequestIsAConflict)
{
  State s;

  s.member ("e", 1);
  s.claim_key ("k", "e", 1, 1, 10, 7);
  EXPECT_EQ (PU_OUTCOME_CONFLICT, s.claim_key ("k", "e", 1, 2, 10, 8).outcome);
}

TEST (State, ClaimsLeaveAfterTheirWindow)
{
  State s;
  pu_reply r;

  s.member ("e", 1);
  r = s.claim_key ("k", "e", 1, 1, 10);
  s.claim_done ("k", r.position, PU_CLAIM_RAN);
  s.claim_key ("x", "e", 1, 2, 1010);
  EXPECT_NE (nullptr, pu_state_claim (s.s, "svc", "k"));
  s.claim_key ("y", "e", 1, 3, 1011);
  EXPECT_EQ (nullptr, pu_state_claim (s.s, "svc", "k"));
}

TEST (State, AClaimsOwnWindowCounts)
{
  State s;
  pu_reply r;

  s.member ("e", 1);
  r = s.claim_key ("long", "e", 1, 1, 10, 1, 5000);
  s.claim_done ("long", r.position, PU_CLAIM_RAN);
  r = s.claim_key ("short", "e", 1, 2, 10, 1, 50);
  s.claim_done ("short", r.position, PU_CLAIM_RAN);
  s.claim_key ("x", "e", 1, 3, 1011);
  EXPECT_EQ (nullptr, pu_state_claim (s.s, "svc", "short"));
  EXPECT_NE (nullptr, pu_state_claim (s.s, "svc", "long"));
}

namespace
{

/* Submits TEXT at BASE as a delta against FROM's document; returns the bytes
   that went into the log.  */
size_t
submit_delta (State &from, State &to, uint64_t base, const std::string &text)
{
  pu_command c = {};
  pu_reply r;
  size_t sent;

  c.type = PU_COMMAND_SUBMIT;
  c.pu_command_u.submit.base_version = base;
  c.pu_command_u.submit.change_id
      = strdup (std::to_string (pu_state_position (to.s)).c_str ());
  c.pu_command_u.submit.author = strdup ("");
  c.pu_command_u.submit.text = strdup (text.c_str ());
  pu_state_shrink_submit (from.s, &c.pu_command_u.submit);
  sent = strlen (c.pu_command_u.submit.text);
  EXPECT_TRUE (pu_state_apply (to.s, pu_state_position (to.s) + 1, &c, &r));
  pu_reply_clear (&r);
  pu_command_clear (&c);
  return sent;
}

} // namespace

TEST (Delta, CarriesOnlyWhatDiffers)
{
  State s;

  EXPECT_EQ (11u, submit_delta (s, s, 0, "hello world"));
  EXPECT_EQ (1u, submit_delta (s, s, 1, "hello, world"));
  EXPECT_STREQ ("hello, world", pu_state_document (s.s)->text);
  EXPECT_EQ (0u, submit_delta (s, s, 2, "hello world"));
  EXPECT_STREQ ("hello world", pu_state_document (s.s)->text);
}

TEST (Delta, AgainstAnotherTextIsRefused)
{
  State s;
  State other;

  submit_delta (s, s, 0, "one text");
  submit_delta (other, other, 0, "one list");
  submit_delta (s, other, 1, "one test");
  EXPECT_STREQ ("one list", pu_state_document (other.s)->text);
  EXPECT_EQ (1u, pu_state_document (other.s)->doc_version);
}

RC_GTEST_PROP (Delta, GivesTheSameText, (std::vector<std::string> texts))
{
  State s;
  uint64_t version = 0;

  for (std::string text : texts)
    {
      text = text.c_str ();
      submit_delta (s, s, version++, text);
      RC_ASSERT (text == pu_state_document (s.s)->text);
    }
}

TEST (State, ASecondLostBackendConvicts)
{
  State s;

  s.strike (9, "b1", 10);
  EXPECT_EQ (PU_OUTCOME_SEEN, s.strike (9, "b1", 11));
  EXPECT_FALSE (pu_state_suspect (s.s, 9)->convicted);
  s.strike (9, "b2", 12);
  EXPECT_TRUE (pu_state_suspect (s.s, 9)->convicted);
}

TEST (State, ASuspectThatRanApartAccountsForADeathAlone)
{
  State s;

  s.strike (1, "b1", 10);
  s.strike (2, "b1", 10);
  s.strike (2, "b2", 11);
  EXPECT_TRUE (pu_state_suspect (s.s, 2)->convicted);
  s.strike (1, "b2", 12, true);
  EXPECT_TRUE (pu_state_suspect (s.s, 1)->convicted);
  EXPECT_FALSE (pu_state_suspect (s.s, 2)->convicted);
  EXPECT_EQ (1u, pu_state_suspect (s.s, 2)->strikes);
  EXPECT_EQ (PU_OUTCOME_SEEN, s.strike (3, "b2", 13));
  EXPECT_EQ (nullptr, pu_state_suspect (s.s, 3));
}

TEST (State, AnOldStrikeIsForgotten)
{
  State s;

  s.strike (9, "b1", 10);
  s.strike (9, "b2", 1011);
  EXPECT_EQ (1u, pu_state_suspect (s.s, 9)->strikes);
}

TEST (State, RefusesBytesThatAreNoImage)
{
  State s;
  pu_reply r;
  pu_error_t e;
  std::string bytes;

  s.submit (0, "a", &r);
  bytes = s.image (false);
  EXPECT_FALSE (pu_state_decode (s.s, bytes.data (), bytes.size () - 4, &e));
  EXPECT_EQ (PU_ERROR_CORRUPT, e.kind);
  EXPECT_EQ (1u, pu_state_document (s.s)->doc_version);
}

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

RC_GTEST_PROP (StateFuzz, VersionsAreLinear, (unsigned seed))
{
  RC_ASSERT (versions_are_linear (seed, 0));
}

RC_GTEST_PROP (StateFuzz, TheHighestRankIsInForce, (unsigned seed))
{
  RC_ASSERT (ranks_only_rise (seed, 0));
}

/* Of two documents of one rank the first stays: the other is acknowledged and
   never in force.  */
TEST (State, OtherContentOfTheRankInForceChangesNothing)
{
  State s;
  pu_reply r;

  s.submit_ranked (7, "one", &r);
  EXPECT_EQ (PU_OUTCOME_DONE, r.outcome);
  s.submit_ranked (7, "other", &r);
  EXPECT_EQ (PU_OUTCOME_SEEN, r.outcome);
  EXPECT_STREQ ("{one}", pu_state_document (s.s)->text);
  EXPECT_EQ (1u, pu_state_document (s.s)->doc_version);
}

TEST (StateFuzz, BrokenRulesAreCaught)
{
  EXPECT_TRUE (caught (ranks_only_rise, PU_STATE_BREAK_RANK));
  EXPECT_TRUE (caught (grants_hold, PU_STATE_BREAK_REGRANT_UNKNOWN));
  EXPECT_TRUE (caught (grants_hold, PU_STATE_BREAK_LATE_COPY));
  EXPECT_TRUE (caught (versions_are_linear, PU_STATE_BREAK_BASE_VERSION));
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
