#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstring>
#include <string>
#include <vector>

#include "state/hunks.h"
#include "state/state_fixture_test.h"

TEST (State, SecondSubmitWithTheSameBaseVersionConflicts)
{
  StateFixture s;
  pu_reply r;

  s.submit (0, "a", &r);
  EXPECT_EQ (PU_OUTCOME_DONE, r.outcome);
  EXPECT_EQ (1u, r.doc_version);
  s.submit (0, "b", &r);
  EXPECT_EQ (PU_OUTCOME_CONFLICT, r.outcome);
  EXPECT_EQ (1u, r.doc_version);
  EXPECT_STREQ ("{a}", pu_state_document (s.state)->text);
}

TEST (State, ResentChangeGetsTheFirstReply)
{
  StateFixture s;
  pu_reply first;
  pu_reply again;

  s.submit (0, "a", &first);
  s.submit (1, "b", &again);
  s.submit (0, "a", &again);
  EXPECT_EQ (PU_OUTCOME_SEEN, again.outcome);
  EXPECT_EQ (1u, again.doc_version);
  EXPECT_EQ (first.position, again.position);
  EXPECT_EQ (2u, pu_state_document (s.state)->doc_version);
}

TEST (State, ChangeIdReusedForAnotherDocumentConflicts)
{
  StateFixture s;
  pu_reply r;
  OwnedCommand c;

  s.submit (0, "a", &r);
  c.command.type = PU_COMMAND_SUBMIT;
  c.command.pu_command_u.submit.base_version = 1;
  c.command.pu_command_u.submit.change_id = c.text ("a");
  c.command.pu_command_u.submit.author = c.text ("ann");
  c.command.pu_command_u.submit.text = c.text ("{other}");
  EXPECT_EQ (PU_OUTCOME_CONFLICT, s.apply (c).outcome);
  EXPECT_EQ (1u, pu_state_document (s.state)->doc_version);
}

TEST (State, PositionIsAppliedOnce)
{
  StateFixture s;
  pu_reply r;
  OwnedCommand c;

  s.submit (0, "a", &r);
  c.command.type = PU_COMMAND_NOOP;
  EXPECT_FALSE (pu_state_apply (s.state, 1, &c.command, NULL));
  EXPECT_EQ (1u, pu_state_position (s.state));
}

TEST (State, OldMemberIncarnationIsRefused)
{
  StateFixture s;

  s.member ("e", 5);
  EXPECT_EQ (PU_OUTCOME_REFUSED, s.down (PU_COMMAND_MEMBER_DOWN, "e", 4));
  s.member ("e", 4);
  EXPECT_EQ (5u, pu_state_member (s.state, "e")->incarnation);
  EXPECT_EQ (PU_OUTCOME_DONE, s.down (PU_COMMAND_MEMBER_DOWN, "e", 5));
  EXPECT_EQ (nullptr, pu_state_member (s.state, "e"));
}

TEST (State, LeavingFlagLastsUntilANewIncarnation)
{
  StateFixture s;

  s.backend ("b", 1, 1);
  s.down (PU_COMMAND_BACKEND_LEAVING, "b", 1);
  s.backend ("b", 1, 2);
  EXPECT_TRUE (pu_state_backend (s.state, "b")->leaving);
  s.backend ("b", 2, 0);
  EXPECT_FALSE (pu_state_backend (s.state, "b")->leaving);
}

/* Guards against a backend server that left while it was down, and gets
   requests again after a late report.  */
TEST (State, LeaveOfADownBackendServerIsKept)
{
  StateFixture s;
  StateFixture t;
  std::string bytes;

  s.backend ("b", 1, 1);
  s.down (PU_COMMAND_BACKEND_DOWN, "b", 1);
  EXPECT_EQ (PU_OUTCOME_DONE, s.down (PU_COMMAND_BACKEND_LEAVING, "b", 1));
  EXPECT_EQ (PU_OUTCOME_SEEN, s.down (PU_COMMAND_BACKEND_LEAVING, "b", 1));
  bytes = s.image (false);
  ASSERT_TRUE (
      pu_state_decode (t.state, bytes.data (), bytes.size (), nullptr));
  t.backend ("b", 1, 2);
  EXPECT_FALSE (pu_state_backend (t.state, "b")->down);
  EXPECT_TRUE (pu_state_backend (t.state, "b")->leaving);
  EXPECT_EQ (PU_OUTCOME_CONFLICT, t.reserve ("b", "m", 1).outcome);
}

/* Guards against a backend server that left before its first report arrived,
   and is served from then on.  */
TEST (State, LeaveOfAnUnknownIncarnationIsKept)
{
  StateFixture s;
  StateFixture t;
  std::string bytes;

  EXPECT_EQ (PU_OUTCOME_DONE, s.down (PU_COMMAND_BACKEND_LEAVING, "b", 2));
  EXPECT_TRUE (pu_state_backend (s.state, "b")->down);
  bytes = s.image (true);
  ASSERT_TRUE (
      pu_state_decode (t.state, bytes.data (), bytes.size (), nullptr));
  t.backend ("b", 1, 1);
  EXPECT_TRUE (pu_state_backend (t.state, "b")->down) << "an earlier one";
  t.backend ("b", 2, 1);
  EXPECT_FALSE (pu_state_backend (t.state, "b")->down);
  EXPECT_TRUE (pu_state_backend (t.state, "b")->leaving);
  t.backend ("b", 3, 1);
  EXPECT_FALSE (pu_state_backend (t.state, "b")->leaving);
  EXPECT_EQ (PU_OUTCOME_DONE, t.down (PU_COMMAND_BACKEND_LEAVING, "b", 4));
  EXPECT_EQ (4u, pu_state_backend (t.state, "b")->incarnation);
  EXPECT_TRUE (pu_state_backend (t.state, "b")->down);
}

/* Guards against a leave that ends the service of the next incarnation.  */
TEST (State, LeaveOfAnEarlierIncarnationConflicts)
{
  StateFixture s;

  s.backend ("b", 1, 1);
  s.backend ("b", 2, 1);
  EXPECT_EQ (PU_OUTCOME_CONFLICT, s.down (PU_COMMAND_BACKEND_LEAVING, "b", 1));
  EXPECT_FALSE (pu_state_backend (s.state, "b")->leaving);
}

namespace
{

/* The names of the backend servers that changed after SINCE, the latest first;
   "all" when the state cannot list them.  */
std::string
changed_backends (const StateFixture &s, uint64_t since)
{
  std::string found;
  const auto add = [] (const pu_backend_record *b, void *data) {
    *static_cast<std::string *> (data) += std::string (b->name) + " ";
  };

  if (!pu_state_each_changed_backend (s.state, since, add, &found))
    return "all";
  return found;
}

} // namespace

/* With a thousand backend servers, a change of one must not make a reader
   visit all of them.  */
TEST (State, OnlyChangedBackendServersAreVisited)
{
  StateFixture s;
  std::string bytes;

  s.backend ("a", 1, 1);
  s.backend ("b", 1, 1);
  uint64_t seen = pu_state_change_count (s.state);
  EXPECT_EQ ("b a ", changed_backends (s, 0));
  EXPECT_EQ ("", changed_backends (s, seen));
  s.backend ("a", 1, 1);
  EXPECT_EQ ("", changed_backends (s, seen)) << "the same report again";
  s.backend ("a", 1, 2);
  EXPECT_EQ ("a ", changed_backends (s, seen));
  seen = pu_state_change_count (s.state);
  s.down (PU_COMMAND_BACKEND_LEAVING, "b", 1);
  EXPECT_EQ ("b ", changed_backends (s, seen));
  seen = pu_state_change_count (s.state);
  s.down (PU_COMMAND_BACKEND_DOWN, "b", 1);
  EXPECT_EQ ("b ", changed_backends (s, seen));
  bytes = s.image (true);
  ASSERT_TRUE (
      pu_state_decode (s.state, bytes.data (), bytes.size (), nullptr));
  EXPECT_EQ ("all", changed_backends (s, seen)) << "an image";
  EXPECT_EQ ("", changed_backends (s, pu_state_change_count (s.state)));
}

/* When more than 1024 backend servers are down, the record of one is evicted.
   A list of changed records cannot show this: a reader must read all.  */
TEST (State, EvictedBackendServerForcesAFullRead)
{
  StateFixture s;

  for (int i = 0; i < 1025; i++)
    {
      const std::string name = "b" + std::to_string (i);
      const uint64_t seen = pu_state_change_count (s.state);

      s.backend (name, 1, 0);
      EXPECT_EQ (PU_OUTCOME_DONE, s.down (PU_COMMAND_BACKEND_DOWN, name, 1));
      EXPECT_EQ (i < 1024 ? name + " " : "all", changed_backends (s, seen));
    }
}

/* Guards against a leave that is forgotten at once, as another record was
   evicted in the order of names.  A voter that starts from an image evicts the
   same records.  */
TEST (State, EvictsTheBackendServerThatIsDownForLongest)
{
  StateFixture s;
  StateFixture t;
  std::string bytes;

  for (int i = 0; i < 1024; i++)
    {
      const std::string name = "b" + std::to_string (5000 - i);

      s.backend (name, 1, 0);
      s.down (PU_COMMAND_BACKEND_DOWN, name, 1);
    }
  bytes = s.image (false);
  ASSERT_TRUE (
      pu_state_decode (t.state, bytes.data (), bytes.size (), nullptr));
  for (StateFixture *one : { &s, &t })
    {
      one->down (PU_COMMAND_BACKEND_LEAVING, "a", 1);
      EXPECT_NE (nullptr, pu_state_backend (one->state, "a"));
      EXPECT_EQ (nullptr, pu_state_backend (one->state, "b5000"));
      one->down (PU_COMMAND_BACKEND_LEAVING, "a2", 1);
      EXPECT_NE (nullptr, pu_state_backend (one->state, "a"));
      EXPECT_EQ (nullptr, pu_state_backend (one->state, "b4999"));
    }
  EXPECT_EQ (s.image (false), t.image (false));
}

/* Guards against an end of all voters: an image has no room for more records
   than PU_LIST_MAX.  */
TEST (State, BackendServersBeyondTheRoomOfAnImageAreRefused)
{
  StateFixture s;
  StateFixture t;
  std::string bytes;

  for (int i = 0; i < PU_LIST_MAX; i++)
    s.backend ("b" + std::to_string (i), 1, 0);
  EXPECT_FALSE (pu_state_has_room_for_backend (s.state, "c"));
  EXPECT_TRUE (pu_state_has_room_for_backend (s.state, "b7"));
  s.backend ("c", 1, 0);
  EXPECT_EQ (PU_OUTCOME_REFUSED, s.down (PU_COMMAND_BACKEND_LEAVING, "d", 1));
  EXPECT_EQ (nullptr, pu_state_backend (s.state, "c"));
  EXPECT_EQ (nullptr, pu_state_backend (s.state, "d"));
  for (bool public_only : { false, true })
    {
      bytes = s.image (public_only);
      ASSERT_TRUE (
          pu_state_decode (t.state, bytes.data (), bytes.size (), nullptr));
    }
  s.down (PU_COMMAND_BACKEND_DOWN, "b7", 1);
  EXPECT_TRUE (pu_state_has_room_for_backend (s.state, "c"));
  s.backend ("c", 1, 0);
  EXPECT_NE (nullptr, pu_state_backend (s.state, "c"));
  EXPECT_EQ (nullptr, pu_state_backend (s.state, "b7"));
}

TEST (State, ReservationOverTheMemoryLimitConflicts)
{
  StateFixture s;

  s.backend ("b", 1, 2);
  EXPECT_EQ (PU_OUTCOME_DONE, s.reserve ("b", "big", 700).outcome);
  EXPECT_EQ (900u, pu_state_committed_mb (s.state, "b"));
  EXPECT_EQ (PU_OUTCOME_CONFLICT, s.reserve ("b", "more", 101).outcome);
  EXPECT_EQ (PU_OUTCOME_DONE, s.reserve ("b", "more", 100).outcome);
}

/* A later order for the same copy has the higher token and so closes the
   earlier one.  The copy is counted once, with the largest of the sizes.  */
TEST (State, OrdersForTheSameCopyAreCountedOnce)
{
  StateFixture s;

  s.backend ("b", 1, 2);
  s.reserve ("b", "big", 700);
  EXPECT_EQ (PU_OUTCOME_DONE, s.reserve ("b", "big", 1).outcome);
  EXPECT_EQ (900u, pu_state_committed_mb (s.state, "b"));
  EXPECT_EQ (PU_OUTCOME_CONFLICT, s.reserve ("b", "big", 801).outcome);
  EXPECT_EQ (PU_OUTCOME_DONE, s.reserve ("b", "big", 800).outcome);
  EXPECT_EQ (1000u, pu_state_committed_mb (s.state, "b"));
}

TEST (State, ReleaseRefusedByTheLedgerKeepsTheOrder)
{
  StateFixture s;

  s.backend ("b", 1, 0, false, true);
  const uint64_t token = s.reserve ("b", "big", 700).position;
  EXPECT_EQ (PU_OUTCOME_REFUSED, s.release (token));
  EXPECT_NE (nullptr, pu_state_order (s.state, token));
  EXPECT_EQ (700u, pu_state_committed_mb (s.state, "b"));
  s.backend ("b", 1, 0, false, true, token + 1);
  EXPECT_EQ (PU_OUTCOME_DONE, s.release (token));
  EXPECT_EQ (nullptr, pu_state_order (s.state, token));
  EXPECT_EQ (PU_OUTCOME_SEEN, s.release (token));
}

TEST (State, StaleReportChangesNothing)
{
  StateFixture s;

  EXPECT_EQ (PU_OUTCOME_DONE, s.backend ("b", 1, 2, false, false, 0, 7));
  EXPECT_EQ (PU_OUTCOME_REFUSED, s.backend ("b", 1, 1, false, false, 0, 6));
  EXPECT_EQ (2u, pu_state_backend (s.state, "b")->copies.copies_len);
  EXPECT_EQ (PU_OUTCOME_SEEN, s.backend ("b", 1, 2, false, false, 0, 8));
  EXPECT_EQ (PU_OUTCOME_DONE, s.backend ("b", 1, 1, false, false, 0, 9));
  EXPECT_EQ (PU_OUTCOME_DONE, s.backend ("b", 2, 0, false, false, 0, 1));
}

TEST (State, DownBackendServerKeepsItsReservations)
{
  StateFixture s;

  s.backend ("b", 1, 1);
  s.reserve ("b", "big", 700);
  s.down (PU_COMMAND_BACKEND_DOWN, "b", 1);
  EXPECT_TRUE (pu_state_backend (s.state, "b")->down);
  EXPECT_EQ (800u, pu_state_committed_mb (s.state, "b"));
  s.backend ("b", 2, 0);
  EXPECT_EQ (700u, pu_state_committed_mb (s.state, "b"));
}

TEST (State, OpenClaimOfADownOwnerIsNeverRegranted)
{
  StateFixture s;

  s.member ("e1", 1);
  s.member ("e2", 1);
  EXPECT_EQ (PU_OUTCOME_DONE, s.claim_key ("k", "e1", 1, 1, 10).outcome);
  EXPECT_EQ (PU_OUTCOME_BUSY, s.claim_key ("k", "e2", 1, 1, 11).outcome);
  s.down (PU_COMMAND_MEMBER_DOWN, "e1", 1);
  EXPECT_EQ (PU_OUTCOME_SEEN, s.claim_key ("k", "e2", 1, 2, 12).outcome);
  EXPECT_EQ (PU_CLAIM_UNKNOWN, s.claim_phase);
}

TEST (State, LateDuplicateDoesNotReopenAClosedClaim)
{
  StateFixture s;
  pu_reply r;

  s.member ("e", 1);
  r = s.claim_key ("k", "e", 1, 1, 10);
  s.claim_done ("k", r.position, PU_CLAIM_NOT_RUN);
  EXPECT_EQ (PU_OUTCOME_SEEN, s.claim_key ("k", "e", 1, 1, 10).outcome);
  EXPECT_EQ (PU_OUTCOME_DONE, s.claim_key ("k", "e", 1, 2, 11).outcome);
}

/* A claim must remember closed attempts before the last one too: a late
   duplicate of one of them would claim the key once more.  */
TEST (State, DuplicateOfAnEarlierAttemptDoesNotReopenAClaim)
{
  StateFixture s;
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

TEST (State, KeyReusedForAnotherRequestConflicts)
{
  StateFixture s;

  s.member ("e", 1);
  s.claim_key ("k", "e", 1, 1, 10, 7);
  EXPECT_EQ (PU_OUTCOME_CONFLICT, s.claim_key ("k", "e", 1, 2, 10, 8).outcome);
}

TEST (State, ClosedClaimsExpireAfterTheWindow)
{
  StateFixture s;
  pu_reply r;

  s.member ("e", 1);
  r = s.claim_key ("k", "e", 1, 1, 10);
  s.claim_done ("k", r.position, PU_CLAIM_RAN);
  s.claim_key ("x", "e", 1, 2, 1010);
  EXPECT_NE (nullptr, pu_state_claim (s.state, "svc", "k"));
  s.claim_key ("y", "e", 1, 3, 1011);
  EXPECT_EQ (nullptr, pu_state_claim (s.state, "svc", "k"));
}

TEST (State, ClaimWindowOverridesTheDefault)
{
  StateFixture s;
  pu_reply r;

  s.member ("e", 1);
  r = s.claim_key ("long", "e", 1, 1, 10, 1, 5000);
  s.claim_done ("long", r.position, PU_CLAIM_RAN);
  r = s.claim_key ("short", "e", 1, 2, 10, 1, 50);
  s.claim_done ("short", r.position, PU_CLAIM_RAN);
  s.claim_key ("x", "e", 1, 3, 1011);
  EXPECT_EQ (nullptr, pu_state_claim (s.state, "svc", "short"));
  EXPECT_NE (nullptr, pu_state_claim (s.state, "svc", "long"));
}

namespace
{

/* Submits TEXT with base version BASE to TO, as a delta against the document
   of FROM.  Returns the size of the text in the command.  */
size_t
submit_delta (StateFixture &from, StateFixture &to, uint64_t base,
              const std::string &text)
{
  pu_command c = {};
  pu_reply r;
  size_t text_bytes;

  c.type = PU_COMMAND_SUBMIT;
  c.pu_command_u.submit.base_version = base;
  c.pu_command_u.submit.change_id
      = strdup (std::to_string (pu_state_position (to.state)).c_str ());
  c.pu_command_u.submit.author = strdup ("");
  c.pu_command_u.submit.text = strdup (text.c_str ());
  pu_state_delta_encode_submit (from.state, &c.pu_command_u.submit);
  text_bytes = strlen (c.pu_command_u.submit.text);
  EXPECT_TRUE (
      pu_state_apply (to.state, pu_state_position (to.state) + 1, &c, &r));
  pu_reply_clear (&r);
  pu_command_clear (&c);
  return text_bytes;
}

} // namespace

TEST (Delta, CarriesOnlyTheDifference)
{
  StateFixture s;

  EXPECT_EQ (11u, submit_delta (s, s, 0, "hello world"));
  EXPECT_EQ (1u, submit_delta (s, s, 1, "hello, world"));
  EXPECT_STREQ ("hello, world", pu_state_document (s.state)->text);
  EXPECT_EQ (0u, submit_delta (s, s, 2, "hello world"));
  EXPECT_STREQ ("hello world", pu_state_document (s.state)->text);
}

/* A text of N different lines; those with a number in CHANGED differ from the
   text without changes.  */
static std::string
lines (int n, const std::vector<int> &changed)
{
  std::string text;

  for (int i = 0; i < n; i++)
    {
      bool is_changed
          = std::find (changed.begin (), changed.end (), i) != changed.end ();

      text += "the line number " + std::to_string (i * 7919) + " of many"
              + (is_changed ? ", as changed" : "") + "\n";
    }
  return text;
}

/* The delta of an edit in two places must not carry the unchanged text between
   them.  */
TEST (Delta, OmitsUnchangedTextBetweenTwoEdits)
{
  StateFixture s;
  const std::string next = lines (1000, { 10, 900 });

  submit_delta (s, s, 0, lines (1000, {}));
  EXPECT_LE (submit_delta (s, s, 1, next), 100u);
  EXPECT_STREQ (next.c_str (), pu_state_document (s.state)->text);
  EXPECT_LE (submit_delta (s, s, 2, lines (1000, { 5, 500, 901 })), 250u);
}

TEST (Hunks, MalformedHunksAreRefused)
{
  for (const char *bad :
       { "x", "=", "=1", "=1,", "=1,2", "=,2\n", "=0,11\n", "=11,0\n",
         "=-1,2\n", "=1,99999999999999999999\n", "+", "+3\nab", "+3ab",
         "+4294967296\n", "=0,10\n=0,10\n=0,10\n" })
    {
      GString *out = g_string_new (nullptr);

      EXPECT_FALSE (pu_hunks_apply (bad, "0123456789", 10, 25, out)) << bad;
      g_string_free (out, TRUE);
    }
}

RC_GTEST_PROP (Hunks, DiffThenApplyGivesTheTarget, ())
{
  const auto word
      = rc::gen::container<std::string> (rc::gen::inRange<char> ('a', 'd'));
  const auto base = *rc::gen::resize (2000, word);
  auto target = base;
  const int edits = *rc::gen::inRange (0, 6);

  for (int i = 0; i < edits; i++)
    {
      size_t at = target.empty ()
                      ? 0
                      : *rc::gen::inRange<size_t> (0, target.size ());
      size_t removed = *rc::gen::inRange<size_t> (0, 60);

      target = target.substr (0, at) + *rc::gen::resize (40, word)
               + target.substr (std::min (target.size (), at + removed));
    }
  char *hunks = pu_hunks_diff (base.data (), base.size (), target.data (),
                               target.size ());
  GString *out = g_string_new (nullptr);
  bool ok = pu_hunks_apply (hunks, base.data (), base.size (), target.size (),
                            out);
  std::string result (out->str, out->len);

  g_string_free (out, TRUE);
  g_free (hunks);
  RC_ASSERT (ok);
  RC_ASSERT (result == target);
}

TEST (Delta, DeltaForAnotherBaseIsRefused)
{
  StateFixture s;
  StateFixture other;

  submit_delta (s, s, 0, "one text");
  submit_delta (other, other, 0, "one list");
  submit_delta (s, other, 1, "one test");
  EXPECT_STREQ ("one list", pu_state_document (other.state)->text);
  EXPECT_EQ (1u, pu_state_document (other.state)->doc_version);
}

RC_GTEST_PROP (Delta, RoundTripGivesTheSubmittedText,
               (std::vector<std::string> texts))
{
  StateFixture s;
  uint64_t version = 0;

  for (std::string text : texts)
    {
      text = text.c_str ();
      submit_delta (s, s, version++, text);
      RC_ASSERT (text == pu_state_document (s.state)->text);
    }
}

TEST (State, SecondLostBackendServerConvicts)
{
  StateFixture s;

  s.strike (9, "b1", 10);
  EXPECT_EQ (PU_OUTCOME_SEEN, s.strike (9, "b1", 11));
  EXPECT_FALSE (pu_state_suspect (s.state, 9)->convicted);
  s.strike (9, "b2", 12);
  EXPECT_TRUE (pu_state_suspect (s.state, 9)->convicted);
}

TEST (State, RequestLostWithManyBackendServersAtOnceIsNotConvicted)
{
  StateFixture s (0, true);

  s.strike (9, "b1", 10);
  s.strike (9, "b2", 10);
  s.strike (9, "b3", 10);
  EXPECT_FALSE (pu_state_suspect (s.state, 9)->convicted);
  s.strike (9, "b4", 11, true);
  EXPECT_TRUE (pu_state_suspect (s.state, 9)->convicted);
}

TEST (State, SuspectsThatAreNotConvictedExpire)
{
  StateFixture s;

  s.strike (1, "b1", 10);
  s.strike (2, "b1", 10);
  s.strike (2, "b2", 10);
  s.strike (3, "b3", 1011);
  EXPECT_EQ (nullptr, pu_state_suspect (s.state, 1));
  EXPECT_TRUE (pu_state_suspect (s.state, 2)->convicted);
}

TEST (State, StrikesOfPartsOfPromptsOutliveAnIsolatedSuspect)
{
  StateFixture s;

  s.strike (1, "b1#00000000000000aa", 10);
  s.strike (2, "b1", 11, true);
  s.strike (3, "b1#00000000000000bb", 12);
  EXPECT_EQ (1U, pu_state_suspect (s.state, 1)->strikes);
  EXPECT_EQ (1U, pu_state_suspect (s.state, 3)->strikes);
}

TEST (State, IsolatedSuspectClearsTheOthersOfThatLoss)
{
  StateFixture s;

  s.strike (1, "b1", 10);
  s.strike (2, "b1", 10);
  s.strike (2, "b2", 11);
  EXPECT_TRUE (pu_state_suspect (s.state, 2)->convicted);
  s.strike (1, "b2", 12, true);
  EXPECT_TRUE (pu_state_suspect (s.state, 1)->convicted);
  EXPECT_FALSE (pu_state_suspect (s.state, 2)->convicted);
  EXPECT_EQ (1u, pu_state_suspect (s.state, 2)->strikes);
  EXPECT_EQ (PU_OUTCOME_SEEN, s.strike (3, "b2", 13));
  EXPECT_EQ (nullptr, pu_state_suspect (s.state, 3));
}

TEST (State, StrikeSentAgainIsNotCountedHoweverManyAreKnown)
{
  StateFixture s;

  for (int i = 0; i < PU_LOST_MAX + 4; i++)
    {
      std::string lost = "b" + std::to_string (i);

      s.strike (9, lost, 10);
      EXPECT_EQ (PU_OUTCOME_SEEN, s.strike (9, lost, 10)) << lost;
    }
  EXPECT_EQ (PU_LOST_MAX + 4u, pu_state_suspect (s.state, 9)->strikes);
}

TEST (State, LossOfAnIsolatedSuspectIsAttributedHoweverManyAreKnown)
{
  StateFixture s;

  for (int i = 0; i < PU_LOST_MAX + 4; i++)
    {
      std::string lost = "b" + std::to_string (i);

      s.strike (9, lost, 10, true);
      EXPECT_EQ (PU_OUTCOME_SEEN, s.strike (8, lost, 10)) << lost;
    }
  EXPECT_EQ (nullptr, pu_state_suspect (s.state, 8));
}

TEST (State, ExpiredStrikeIsNotCounted)
{
  StateFixture s;

  s.strike (9, "b1", 10);
  s.strike (9, "b2", 1011);
  EXPECT_EQ (1u, pu_state_suspect (s.state, 9)->strikes);
}

TEST (State, TruncatedImageIsRefused)
{
  StateFixture s;
  pu_reply r;
  pu_error_t e;
  std::string bytes;

  s.submit (0, "a", &r);
  bytes = s.image (false);
  EXPECT_FALSE (
      pu_state_decode (s.state, bytes.data (), bytes.size () - 4, &e));
  EXPECT_EQ (PU_ERROR_CORRUPT, e.kind);
  EXPECT_EQ (1u, pu_state_document (s.state)->doc_version);
}

/* Of two documents with the same rank the first stays in force; the other is
   acknowledged but never comes into force.  */
TEST (State, SubmitWithTheRankInForceChangesNothing)
{
  StateFixture s;
  pu_reply r;

  s.submit_ranked (7, "one", &r);
  EXPECT_EQ (PU_OUTCOME_DONE, r.outcome);
  s.submit_ranked (7, "other", &r);
  EXPECT_EQ (PU_OUTCOME_SEEN, r.outcome);
  EXPECT_STREQ ("{one}", pu_state_document (s.state)->text);
  EXPECT_EQ (1u, pu_state_document (s.state)->doc_version);
}
