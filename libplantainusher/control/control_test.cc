#include "control/control_fixture_test.h"

#include <map>

namespace
{

/* The document version in the image that is saved in FOLDER; 0 if none.  */
uint64_t
saved_version (const std::string &folder)
{
  constexpr gsize header = 24;
  pu_state_options_t o;
  uint64_t found = 0;
  char *text;
  gsize n;

  if (!g_file_get_contents ((folder + "/view").c_str (), &text, &n, nullptr))
    return 0;
  pu_state_options_init (&o);
  pu_state_t *s = pu_state_new (&o);
  EXPECT_TRUE (pu_state_decode (s, text + header, n - header, nullptr));
  if (pu_state_document (s) != nullptr)
    found = pu_state_document (s)->doc_version;
  pu_state_free (s);
  g_free (text);
  return found;
}

TEST_F (Control, SubmittedDocumentIsAcceptedAndInForceAtTheAgent)
{
  start_all ();
  start_agent ();
  Answer a = submit (0, "one");
  EXPECT_EQ (a.kind, PU_OK);
  EXPECT_EQ (a.outcome, PU_OUTCOME_DONE);
  EXPECT_EQ (a.doc_version, 1U);
  run_until ([&] { return version () == 1 && pu_agent_joined (agent); });
  EXPECT_TRUE (pu_agent_ready (agent));
  for (int i = 1; i < 30; i++) /* more than the feed retains */
    EXPECT_EQ (submit (i, "change " + std::to_string (i)).doc_version, i + 1U);
  run_until ([&] { return version () == 30; });
  EXPECT_GT (changes, 2) << "the view changes step by step";
}

TEST_F (Control, StaleBaseVersionIsAConflictThatReturnsTheCurrentVersion)
{
  start_all ();
  start_agent ();
  submit (0, "one");
  Answer a = submit (0, "two");
  EXPECT_EQ (a.outcome, PU_OUTCOME_CONFLICT);
  EXPECT_EQ (a.doc_version, 1U);
}

TEST_F (Control, ResentChangeGetsTheFirstAnswerAfterTheLeaderStops)
{
  start_all ();
  start_agent ();
  Answer first = submit (0, "one");
  run_until ([&] { return leader () != nullptr; });
  Voter *old = leader ();
  stop (*old);
  Answer again = submit (0, "one");
  EXPECT_EQ (again.kind, PU_OK);
  EXPECT_EQ (again.outcome, PU_OUTCOME_SEEN);
  EXPECT_EQ (again.doc_version, 1U);
  EXPECT_EQ (again.position, first.position);
  EXPECT_EQ (submit (1, "two").doc_version, 2U);
  start (*old);
  run_until ([&] {
    const pu_doc_record *d
        = pu_state_document (pu_control_state (old->control));
    return d != nullptr && d->doc_version == 2;
  });
}

TEST_F (Control, WithoutQuorumNothingIsAcceptedAndTheViewIsUnchanged)
{
  start_all ();
  start_agent ();
  submit (0, "one");
  run_until ([&] { return version () == 1; });
  stop (*voters[0]);
  stop (*voters[1]);
  Answer a = submit (1, "two", 1500);
  EXPECT_TRUE (a.kind == PU_ERROR_UNAVAILABLE || a.kind == PU_ERROR_TIMEOUT);
  /* Once the last voter knows that it has no quorum, it refuses each submit
     with a certain outcome.  */
  run_until ([&] { return leader () == nullptr; });
  EXPECT_EQ (submit (1, "three", 500).kind, PU_ERROR_UNAVAILABLE);
  EXPECT_EQ (version (), 1U);
  EXPECT_TRUE (pu_agent_ready (agent));
  start (*voters[0]);
  Answer b = submit (1, "three");
  EXPECT_EQ (b.kind, PU_OK);
  /* The change of unknown outcome may have been accepted before "three".  If
     so, it must not be lost.  */
  EXPECT_EQ (b.outcome == PU_OUTCOME_CONFLICT,
             submit (1, "two").outcome == PU_OUTCOME_SEEN);
}

/* A voter that hears no leader doesn't know what others have accepted.  It
   must not hold polls, and daemons must not wait for it.  */
TEST_F (Control, VoterWithoutALeaderRefusesPollsUntilItHearsOne)
{
  start_all ();
  start_agent ();
  submit (0, "one");
  run_until ([&] { return version () == 1; });
  run_until ([&] { return pu_agent_view_age_ms (agent) < 450; });
  Voter *last = leader ();
  for (auto &v : voters)
    {
      if (v.get () != last)
        stop (*v);
    }
  run_until (
      [&] { return failures () >= 6 && pu_agent_view_age_ms (agent) > 450; });
  EXPECT_EQ (version (), 1U);
  EXPECT_TRUE (pu_agent_ready (agent));
  for (auto &v : voters)
    {
      if (v.get () != last)
        start (*v);
    }
  run_until ([&] { return pu_agent_view_age_ms (agent) < 450; });
  EXPECT_EQ (submit (1, "two").doc_version, 2U);
  run_until ([&] { return version () == 2; });
}

TEST_F (Control, AgentStartsFromItsSavedImageAndNeverGoesBack)
{
  std::string folder = root + "/kept";

  start_all ();
  start_agent (folder.c_str ());
  submit (0, "one");
  run_until ([&] { return saved_version (folder) == 1; });
  pu_agent_free (agent);
  for (auto &v : voters)
    stop (*v);
  start_agent (folder.c_str (), 2);
  EXPECT_FALSE (pu_agent_ready (agent))
      << "the agent must try the voters first";
  run_until ([&] { return pu_agent_ready (agent); });
  EXPECT_EQ (version (), 1U) << "no voter runs";
  EXPECT_TRUE (pu_agent_may_show (agent)) << "it was in force here";
  EXPECT_FALSE (pu_agent_caught_up (agent));
  start_all ();
  EXPECT_EQ (submit (1, "two").doc_version, 2U);
  run_until ([&] { return version () == 2 && pu_agent_joined (agent); });
  run_until ([&] { return pu_agent_caught_up (agent); });
}

/* The voters lost their disks and started another log.  Its state is not the
   one that operators accepted before, so an agent must not adopt it.  */
TEST_F (Control, AgentRejectsTheStateOfAnotherLog)
{
  std::string folder = root + "/kept";

  start_all ();
  start_agent (folder.c_str ());
  submit (0, "one");
  run_until ([&] { return saved_version (folder) == 1; });
  pu_agent_free (agent);
  agent = nullptr;
  for (auto &v : voters)
    {
      stop (*v);
      v->folder += "-new";
    }
  start_all ();
  run_until ([&] { return leader () != nullptr; });
  start_agent (folder.c_str (), 2);
  run_until ([&] { return pu_agent_ready (agent); });
  EXPECT_EQ (version (), 1U);
  EXPECT_FALSE (pu_agent_connected (agent));
  EXPECT_FALSE (pu_agent_joined (agent));
}

/* A copy of a proposal arrives after the proposal has ended at its daemon.  */
TEST_F (Control, DelayedCopyOfAnEndedProposalIsNotRun)
{
  start_all ();
  start_agent ();
  submit (0, "one");
  run_until ([&] { return leader () != nullptr; });
  struct
  {
    uint64_t seq, floor;
    pu_error_kind_t kind;
  } rows[] = { { 5, 4, PU_OK },
               { 4, 4, PU_OK },
               { 3, 4, PU_ERROR_UNAVAILABLE },
               { 9, 9, PU_OK },
               { 8, 7, PU_ERROR_UNAVAILABLE } };
  for (auto &row : rows)
    {
      char name[] = "other", nothing[] = "\0\0\0\0";
      pu_propose x = {};
      pu_propose_reply r = {};

      x.proposer = name;
      x.incarnation = 1;
      x.seq = row.seq;
      x.floor = row.floor;
      x.timeout_ms = 1000;
      x.command.command_val = nothing; /* PU_COMMAND_NOOP */
      x.command.command_len = 4;
      GBytes *b = pu_codec_encode ((xdrproc_t)xdr_pu_propose, &x);
      gsize n;
      const void *body = g_bytes_get_data (b, &n);
      pu_rpc_client_call (
          pu_agent_peer (agent, leader ()->address.c_str ()),
          PU_RPC_PROGRAM_CONTROL, PU_CONTROL_VERSION, PU_CONTROL_PROPOSE, body,
          n, 1000,
          [] (void *d, const guint8 *answer, size_t size,
              const pu_error_t *e) {
            ASSERT_EQ (e->kind, PU_OK);
            ASSERT_TRUE (pu_codec_decode ((xdrproc_t)xdr_pu_propose_reply, d,
                                          sizeof (pu_propose_reply), answer,
                                          size, nullptr));
          },
          &r);
      g_bytes_unref (b);
      run_until ([&] { return r.message != nullptr; });
      EXPECT_EQ (r.kind, row.kind) << row.seq;
      xdr_free ((xdrproc_t)xdr_pu_propose_reply, &r);
    }
}

TEST_F (Control, DutiesRunOnOneLeaderAndOnlyWithItsLease)
{
  start_all ();
  run_until ([&] { return leader () != nullptr && leader ()->ticks > 3; });
  Voter *old = leader ();
  EXPECT_EQ (old->begun, 1);
  stop (*old);
  EXPECT_EQ (old->ended, 1);
  run_until ([&] { return leader () != nullptr && leader ()->ticks > 3; });
  for (auto &v : voters)
    EXPECT_FALSE (v->acted_without_lease);
}

TEST_F (Control, LeaderReceivesSessionsThroughAnyVoter)
{
  json_t *status = nullptr;

  start_all ();
  start_agent ();
  run_until ([&] { return pu_agent_joined (agent); });
  run_until ([&] {
    pu_agent_status (
        agent, 1000,
        [] (void *d, json_t *result, const pu_error_t *) {
          *static_cast<json_t **> (d) = json_incref (result);
        },
        &status);
    run_until ([&] { return status != nullptr; });
    json_t *s = json_object_get (status, "sessions");
    const char *name
        = json_string_value (json_object_get (json_array_get (s, 0), "name"));
    bool found = name != nullptr && std::string (name) == "entry";
    json_decref (status);
    status = nullptr;
    return found;
  });
}

TEST_F (Control, SilentDaemonAndSilentBackendServerAreMarkedDown)
{
  pu_command c = {};
  pu_backend_record &b = c.pu_command_u.backend_up;
  char name[] = "engine", empty[] = "";
  Answer a;

  session_ms = 500;
  start_all ();
  start_agent ();
  c.type = PU_COMMAND_BACKEND_UP;
  b.name = name;
  b.incarnation = 3;
  b.service = b.address = b.region = b.zone = empty;
  pu_agent_propose (agent, &c, 5000, take_answer, &a);
  run_until ([&] { return a.count > 0 && pu_agent_joined (agent); });
  auto up = [&] (const pu_state_t *s) {
    const pu_backend_record *x = pu_state_backend (s, "engine");
    return x != nullptr && !x->down;
  };
  auto renew = [&] {
    guint64 end = uv_now (&loop) + 100;
    pu_agent_renew (agent, "engine", 3);
    run_until ([&] { return uv_now (&loop) >= end; });
  };
  /* Changes are sent to the agent 100 ms apart, and later if the leader was
     elected just before.  */
  for (int i = 0; i < 50 && !up (pu_agent_view (agent)); i++)
    renew ();
  ASSERT_TRUE (up (pu_agent_view (agent)));
  for (int i = 0; i < 15; i++) /* three times the minimum timeout */
    {
      renew ();
      EXPECT_TRUE (up (pu_agent_view (agent)));
    }
  run_until ([&] { return !up (pu_agent_view (agent)); });
  EXPECT_TRUE (pu_agent_joined (agent)) << "only the backend server is silent";
  pu_agent_free (agent);
  agent = nullptr;
  run_until ([&] {
    return leader () != nullptr
           && pu_state_member (pu_control_state (leader ()->control), "entry")
                  == nullptr;
  });
}

/* Guards against a lease that ends because a voter that was cut off got its
   renewal and passed it on to nobody.  */
TEST_F (Control, RenewalThatAVoterDoesNotPassOnReachesTheNextVoter)
{
  pu_command c = {};
  pu_backend_record &b = c.pu_command_u.backend_up;
  char name[] = "engine", empty[] = "";

  start_all ();
  start_agent ();
  c.type = PU_COMMAND_BACKEND_UP;
  b.name = name;
  b.incarnation = 3;
  b.service = b.address = b.region = b.zone = empty;
  propose (c);
  run_until ([&] { return pu_agent_joined (agent); });
  transfer_leadership_from_polled_voter ();
  guint64 end = uv_now (&loop) + 1000;
  run_until ([&] { return uv_now (&loop) >= end; });
  auto unsent = [&] {
    json_t *dump = pu_agent_dump (agent);
    auto n = json_integer_value (json_object_get (dump, "renewals"));
    json_decref (dump);
    return n;
  };
  pu_agent_renew (agent, "engine", 3);
  guint64 renewed = uv_now (&loop);
  run_until ([&] { return unsent () == 0; });
  stop (polled_voter ());
  run_until ([&] {
    return leader () != nullptr
           && pu_control_backend_silent_ms (leader ()->control, "engine")
                  <= uv_now (&loop) - renewed + 20;
  });
}

/* The record of an engine in the agent's view differs from the voters' record,
   so the next delta of it does not apply.  The agent must request an image. */
TEST_F (Control, DeltaThatDoesNotApplyIsFollowedByAnImage)
{
  const auto proc = reinterpret_cast<xdrproc_t> (xdr_pu_state_image);
  char name[] = "engine", empty[] = "", model[] = "m";
  pu_copy_record copy = { model, empty, 100, PU_COPY_LOADING };
  pu_command c = {};
  pu_backend_record &b = c.pu_command_u.backend_up;
  pu_state_image m;
  Answer a;

  start_all ();
  start_agent ();
  c.type = PU_COMMAND_BACKEND_UP;
  b.name = name;
  b.incarnation = 3;
  b.service = b.address = b.region = b.zone = empty;
  b.seq = 1;
  b.copies.copies_len = 1;
  b.copies.copies_val = &copy;
  pu_agent_propose (agent, &c, 5000, take_answer, &a);
  run_until ([&] { return a.count > 0 && pu_agent_joined (agent); });
  auto *view = const_cast<pu_state_t *> (pu_agent_view (agent));
  auto shown = [&] {
    const pu_backend_record *x = pu_state_backend (view, "engine");
    return x == nullptr ? copy : x->copies.copies_val[0];
  };
  run_until ([&] { return pu_state_backend (view, "engine") != nullptr; });
  GBytes *bytes = pu_state_encode (view, true);
  gsize n;
  const void *data = g_bytes_get_data (bytes, &n);
  ASSERT_TRUE (pu_codec_decode (proc, &m, sizeof m, data, n, nullptr));
  g_bytes_unref (bytes);
  m.backends.backends_val[0].copies.copies_val[0].memory_mb = 7;
  bytes = pu_codec_encode (proc, &m);
  data = g_bytes_get_data (bytes, &n);
  ASSERT_TRUE (pu_state_decode (view, data, n, nullptr));
  g_bytes_unref (bytes);
  xdr_free (proc, &m);
  EXPECT_EQ (shown ().memory_mb, 7U);
  copy.phase = PU_COPY_READY;
  b.seq = 2;
  pu_agent_propose (agent, &c, 5000, take_answer, &a);
  run_until ([&] { return shown ().phase == PU_COPY_READY; });
  EXPECT_EQ (shown ().memory_mb, 100U);
}

/* Backend servers check in one after the other.  One reply and one poll per
   check-in and daemon would be too expensive when a fleet starts.  */
TEST_F (Control, BurstOfCheckInsIsSentInFewReplies)
{
  constexpr int many = 200;
  char empty[] = "";
  int known = 0;

  start_all ();
  start_agent ();
  run_until ([&] { return pu_agent_joined (agent); });
  guint64 begin = uv_now (&loop);
  int before = changes;
  for (int i = 0; i < many; i++)
    {
      std::string name = "g" + std::to_string (i);
      pu_command c = {};
      pu_backend_record &b = c.pu_command_u.backend_up;
      Answer a;

      c.type = PU_COMMAND_BACKEND_UP;
      b.name = name.data ();
      b.incarnation = 1;
      b.service = b.address = b.region = b.zone = empty;
      pu_agent_propose (agent, &c, 5000, take_answer, &a);
      run_until ([&] { return a.count > 0; });
    }
  run_until ([&] {
    std::string name = "g" + std::to_string (known);

    known
        += pu_state_backend (pu_agent_view (agent), name.c_str ()) != nullptr;
    return known == many;
  });
  /* One reply with changes per 100 ms, one empty reply per 200 ms, and a few
     more at the start.  */
  guint64 took = uv_now (&loop) - begin;
  EXPECT_LE (changes - before, static_cast<int> (took / 100 + took / 200) + 4);
}

/* A voter with a full disk does not acknowledge entries.  Once the leader's
   send window is full, that voter gets no more entries, and the agent that
   polls it must get them from another voter.  */
TEST_F (Control, VoterThatCannotWriteDoesNotDelayTheAgent)
{
  constexpr int more_than_send_window = 20;

  start_all ();
  start_agent ();
  EXPECT_EQ (submit (0, "first").doc_version, 1U);
  run_until ([&] { return version () == 1; });
  transfer_leadership_from_polled_voter ();
  polled_voter ().disk_full = true;
  for (int i = 1; i <= more_than_send_window; i++)
    {
      EXPECT_EQ (submit (i, "change " + std::to_string (i)).kind, PU_OK);
    }
  run_until ([&] { return version () == 1 + more_than_send_window; });
  EXPECT_FALSE (polled_voter ().disk_full);
  for (auto &v : voters)
    v->disk_full = false;
}

/* When all instances restart at once, a daemon without a disk would refuse all
   callers until the voters have a leader.  The test starts a single voter, so
   that no leader can be elected.  A voter that started long ago and has no
   leader may be partitioned, and the saved state may be of any age.  */
TEST_F (Control, VoterInItsFirstElectionSendsTheSavedState)
{
  struct
  {
    guint32 startup_grace_ms;
    bool ready;
  } const rows[] = { { wait_timeout_ms, true }, { 0, false } };
  constexpr guint64 polling_ms = 500;
  pu_state_options_t o;
  pu_error_t e;
  gsize n;

  start_all ();
  start_agent ();
  EXPECT_EQ (submit (0, "first").doc_version, 1U);
  run_until ([&] { return version () == 1; });
  GBytes *image = pu_state_encode (pu_agent_view (agent), true);
  const void *data = g_bytes_get_data (image, &n);
  pu_state_options_init (&o);
  saved = pu_state_new (&o);
  ASSERT_TRUE (pu_state_decode (saved, data, n, &e)) << e.message;
  g_bytes_unref (image);
  for (auto &v : voters)
    stop (*v);
  for (auto &row : rows)
    {
      pu_agent_free (agent);
      stop (*voters[0]);
      startup_grace_ms = row.startup_grace_ms;
      start (*voters[0]);
      start_agent ();
      guint64 end = uv_now (&loop) + polling_ms;
      run_until ([&] { return uv_now (&loop) >= end; });
      EXPECT_EQ (pu_agent_ready (agent), row.ready) << row.startup_grace_ms;
      EXPECT_EQ (version (), row.ready ? 1U : 0U);
      EXPECT_EQ (leader (), nullptr);
    }
  stop (*voters[0]);
  pu_state_free (saved);
}

TEST_F (Control, HigherIncarnationSupersedesADaemonOfTheSameName)
{
  start_all ();
  start_agent ();
  run_until ([&] { return pu_agent_joined (agent); });
  pu_agent_t *first = agent;
  start_agent (nullptr, 7);
  run_until ([&] { return pu_agent_joined (agent); });
  EXPECT_EQ (pu_agent_incarnation (agent), 7U);
  pu_agent_free (first);
  pu_agent_free (agent);
  start_agent (nullptr, 5);
  run_until ([&] { return pu_agent_joined (agent); });
  EXPECT_EQ (pu_agent_incarnation (agent), 8U)
      << "a clock went back; one above the known incarnation";
}

/* What the leader's tasks were told.  */
struct Told
{
  std::map<std::string, guint32> requests;
  std::map<std::string, std::pair<guint32, guint32> > urgency;
};

/* Guards against urgency that the leader takes for demand of a model of
   another name, or that voters on its way lose.  */
TEST_F (Control, UrgencyReachesTheLeaderBesideTheDemand)
{
  Told told;

  start_all ();
  start_agent ();
  run_until ([&] { return pu_agent_joined (agent); });
  for (auto &v : voters)
    {
      pu_control_on_demand (
          v->control,
          [] (void *data, const char *model, guint32 requests, guint32) {
            static_cast<Told *> (data)->requests[model] += requests;
          },
          &told);
      pu_control_on_urgency (
          v->control,
          [] (void *data, const char *model, guint32 ms, guint32 weighted) {
            static_cast<Told *> (data)->urgency[model] = { ms, weighted };
          },
          &told);
    }
  pu_agent_demand (agent, "m", 2, 300);
  pu_agent_urgency (agent, "m", 100, 400);
  pu_agent_urgency (agent, "m", 200, 800);
  run_until ([&] { return !told.urgency.empty (); });
  EXPECT_EQ (told.requests, (std::map<std::string, guint32>{ { "m", 2 } }));
  EXPECT_EQ (told.urgency["m"], std::make_pair (300U, 1200U));
}

/* Guards against demand that is forgotten unsent, as a poll has no room for
   all models at once.  */
TEST_F (Control, DemandForMoreModelsThanAPollCarriesReachesTheLeader)
{
  const guint models = PU_CONTROL_LIST_MAX + 904;
  Told told;

  start_all ();
  start_agent ();
  run_until ([&] { return pu_agent_joined (agent); });
  for (auto &v : voters)
    {
      pu_control_on_demand (
          v->control,
          [] (void *data, const char *model, guint32 requests, guint32) {
            static_cast<Told *> (data)->requests[model] += requests;
          },
          &told);
    }
  for (guint i = 0; i < models; i++)
    pu_agent_demand (agent, ("m" + std::to_string (i)).c_str (), 1, 1);
  run_until ([&] { return told.requests.size () == models; });
  for (const auto &one : told.requests)
    EXPECT_EQ (1u, one.second) << one.first;
}

} // namespace
