#include <gtest/gtest.h>

#include <cerrno>
#include <functional>
#include <memory>
#include <string>
#include <vector>

extern "C"
{
#include "agent/agent.h"
#include "control/control.h"
#include "control/generated/control_msg.h"
#include "state/codec.h"
}

namespace
{

constexpr guint64 patience_ms = 20000;
const char *const key = "a peer key of some length";

/* One voter of the test: a server, and a control while it runs.  */
struct Voter
{
  std::string name, address, folder;
  pu_rpc_server_t *server = nullptr;
  pu_control_t *control = nullptr;
  int begun = 0, ended = 0, ticks = 0;
  bool acted_without_lease = false;
  bool full = false; /* its disk */
  pu_journal_fs_t fs = *pu_journal_fs_system ();
};

int64_t
write_unless_full (void *data, int fd, const void *p, size_t n, int64_t at)
{
  const pu_journal_fs_t *system = pu_journal_fs_system ();

  return static_cast<Voter *> (data)->full
             ? -ENOSPC
             : system->write (system->data, fd, p, n, at);
}

/* Three voters with journals on disk, and agents, on one loop.  */
class Control : public ::testing::Test
{
public:
  uv_loop_t loop;
  std::string root;
  std::vector<std::unique_ptr<Voter> > voters;
  std::vector<pu_log_peer> peers;
  pu_agent_t *agent = nullptr;
  guint32 session_ms = 8000;
  guint32 startup_grace_ms = 3000;
  pu_state_t *kept = nullptr; /* by the voters' daemons */
  int changes = 0;
  uint64_t position = 0; /* that the agent has shown */
  uint64_t shown = 0;    /* version that any agent has shown */
  bool went_back = false;

  void
  SetUp () override
  {
    char path[] = "/tmp/control_test.XXXXXX";

    uv_loop_init (&loop);
    root = mkdtemp (path);
    for (int i = 0; i < 3; i++)
      {
        auto v = std::make_unique<Voter> ();
        v->name = "c" + std::to_string (i);
        v->folder = root + "/" + v->name;
        v->address = "127.0.0.1:0";
        serve (*v);
        voters.push_back (std::move (v));
      }
    for (auto &v : voters)
      {
        pu_log_peer p = {};
        p.name = v->name.data ();
        p.address = v->address.data ();
        peers.push_back (p);
      }
  }

  void
  TearDown () override
  {
    pu_agent_free (agent);
    for (auto &v : voters)
      stop (*v);
    uv_run (&loop, UV_RUN_DEFAULT);
    EXPECT_EQ (uv_loop_close (&loop), 0);
    EXPECT_FALSE (went_back);
    std::string remove = "rm -rf " + root;
    EXPECT_EQ (system (remove.c_str ()), 0);
  }

  void
  serve (Voter &v)
  {
    pu_rpc_server_options_t o = {};
    pu_error_t e;

    o.loop = &loop;
    o.address = v.address.c_str ();
    o.key = key;
    v.server = pu_rpc_server_new (&o, &e);
    ASSERT_NE (v.server, nullptr) << e.message;
    v.address = "127.0.0.1:" + std::to_string (pu_rpc_server_port (v.server));
  }

  void
  start (Voter &v)
  {
    pu_control_options_t o;
    pu_control_leader_task_t duty = {};
    pu_error_t e;

    if (v.server == nullptr)
      serve (v);
    pu_control_options_init (&o);
    o.loop = &loop;
    o.server = v.server;
    o.name = v.name.c_str ();
    o.address = v.address.c_str ();
    o.key = key;
    o.folder = v.folder.c_str ();
    v.fs.write = write_unless_full;
    v.fs.data = &v;
    o.fs = &v.fs;
    o.voters = peers.data ();
    o.n_voters = peers.size ();
    o.seed = static_cast<uint64_t> (v.name[1]);
    o.heartbeat_ms = 50;
    o.election_ms = 200;
    o.tick_ms = 20;
    o.sessions_ms = 100;
    o.ring_entries = 8;
    for (int i = 0; i < 2; i++)
      {
        o.membership.min_timeout_ms[i] = session_ms;
        o.membership.max_timeout_ms[i] = 2 * session_ms;
      }
    o.membership.route_timeout_ms = session_ms;
    o.startup_grace_ms = startup_grace_ms;
    o.kept = [] (void *d) -> const pu_state_t * {
      return static_cast<Control *> (d)->kept;
    };
    o.kept_data = this;
    v.control = pu_control_new (&o, &e);
    ASSERT_NE (v.control, nullptr) << e.message;
    duty.data = &v;
    duty.begin = [] (void *d, uint64_t, uint64_t) {
      static_cast<Voter *> (d)->begun++;
    };
    duty.end = [] (void *d) { static_cast<Voter *> (d)->ended++; };
    duty.tick = [] (void *d, uint64_t) {
      auto *x = static_cast<Voter *> (d);
      x->ticks++;
      x->acted_without_lease |= !pu_control_is_leader (x->control);
    };
    pu_control_add_leader_task (v.control, &duty);
  }

  void
  stop (Voter &v)
  {
    bool closed = false;

    if (v.control != nullptr)
      {
        pu_control_close (
            v.control, [] (void *d) { *static_cast<bool *> (d) = true; },
            &closed);
        run_until ([&] { return closed; });
      }
    v.control = nullptr;
    pu_rpc_server_free (v.server);
    v.server = nullptr;
  }

  void
  start_all ()
  {
    for (auto &v : voters)
      start (*v);
  }

  void
  run_until (const std::function<bool ()> &done)
  {
    guint64 begin = uv_now (&loop);
    uv_timer_t *tick = pu_rpc_timer_new (&loop, nullptr);

    uv_timer_start (
        tick, [] (uv_timer_t *) {}, 1, 1);
    while (!done () && uv_now (&loop) - begin < patience_ms)
      uv_run (&loop, UV_RUN_ONCE);
    pu_rpc_timer_free (tick);
    ASSERT_TRUE (done ());
  }

  Voter *
  leader ()
  {
    for (auto &v : voters)
      {
        if (v->control != nullptr && pu_control_is_leader (v->control))
          return v.get ();
      }
    return nullptr;
  }

  void
  start_agent (const char *folder = nullptr, uint64_t incarnation = 1)
  {
    pu_agent_options_t o;
    pu_member_record self = {};
    std::vector<const char *> join;
    pu_error_t e;
    char empty[] = "", name[] = "entry", address[] = "127.0.0.1:9";

    self.name = name;
    self.incarnation = incarnation;
    self.region = self.zone = self.operator_address = empty;
    self.caller_address = self.peer_address = address;
    for (auto &v : voters)
      join.push_back (v->address.c_str ());
    pu_agent_options_init (&o);
    o.loop = &loop;
    o.key = key;
    o.self = &self;
    o.join = join.data ();
    o.n_join = join.size ();
    o.folder = folder;
    o.poll_wait_ms = 200;
    o.attempt_ms = 500;
    o.keep_ms = 10;
    o.trust_ms = 100;
    o.data = this;
    o.on_change = [] (void *d) {
      auto *t = static_cast<Control *> (d);
      uint64_t p = pu_state_position (pu_agent_view (t->agent));
      t->changes++;
      t->went_back |= p < t->position || t->version () < t->shown;
      t->position = p;
      t->shown = t->version ();
    };
    position = 0;
    agent = pu_agent_new (&o, &e);
    ASSERT_NE (agent, nullptr) << e.message;
  }

  struct Answer
  {
    int count = 0;
    pu_error_kind_t kind = PU_OK;
    pu_outcome outcome = PU_OUTCOME_DONE;
    uint64_t doc_version = 0, position = 0;
    std::string detail;
  };

  static void
  take_answer (void *d, const pu_reply *r, const pu_error_t *e)
  {
    auto *a = static_cast<Answer *> (d);

    a->count++;
    a->kind = e->kind;
    if (r == nullptr)
      return;
    a->outcome = r->outcome;
    a->doc_version = r->doc_version;
    a->position = r->position;
    a->detail = r->detail;
  }

  void
  begin_submit (Answer *a, uint64_t base, std::string change, guint timeout)
  {
    pu_command c = {};
    char author[] = "ann", text[] = "{}";

    c.type = PU_COMMAND_SUBMIT;
    c.pu_command_u.submit.base_version = base;
    c.pu_command_u.submit.change_id = change.data ();
    c.pu_command_u.submit.author = author;
    c.pu_command_u.submit.text = text;
    pu_agent_propose (agent, &c, timeout, take_answer, a);
  }

  Answer
  submit (uint64_t base, const std::string &change, guint timeout = 10000)
  {
    Answer a;

    begin_submit (&a, base, change, timeout);
    EXPECT_EQ (a.count, 0) << "answered from within";
    run_until ([&] { return a.count > 0; });
    return a;
  }

  /* The voter that the agent polls.  */
  Voter &
  polled ()
  {
    json_t *dump = pu_agent_dump (agent);
    std::string at = json_string_value (json_object_get (dump, "voter"));

    json_decref (dump);
    for (auto &v : voters)
      {
        if (v->address == at)
          return *v;
      }
    ADD_FAILURE () << "polls " << at;
    return *voters[0];
  }

  uint64_t
  version ()
  {
    const pu_doc_record *d = pu_state_document (pu_agent_view (agent));
    return d == nullptr ? 0 : d->doc_version;
  }
};

/* The version in the image that is kept in FOLDER; 0 when there is none.  */
uint64_t
kept_version (const std::string &folder)
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

TEST_F (Control, SubmitIsAcceptedAndInForceAtTheAgent)
{
  start_all ();
  start_agent ();
  Answer a = submit (0, "one");
  EXPECT_EQ (a.kind, PU_OK);
  EXPECT_EQ (a.outcome, PU_OUTCOME_DONE);
  EXPECT_EQ (a.doc_version, 1U);
  run_until ([&] { return version () == 1 && pu_agent_joined (agent); });
  EXPECT_TRUE (pu_agent_ready (agent));
  for (int i = 1; i < 30; i++) /* more than the ring holds */
    EXPECT_EQ (submit (i, "change " + std::to_string (i)).doc_version, i + 1U);
  run_until ([&] { return version () == 30; });
  EXPECT_GT (changes, 2) << "deltas, one by one";
}

TEST_F (Control, StaleBaseIsAConflictThatTellsTheVersion)
{
  start_all ();
  start_agent ();
  submit (0, "one");
  Answer a = submit (0, "two");
  EXPECT_EQ (a.outcome, PU_OUTCOME_CONFLICT);
  EXPECT_EQ (a.doc_version, 1U);
}

TEST_F (Control, ResendGivesTheFirstAnswerAfterTheLeaderStops)
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

TEST_F (Control, WithoutQuorumNothingIsAcceptedAndTheViewStays)
{
  start_all ();
  start_agent ();
  submit (0, "one");
  run_until ([&] { return version () == 1; });
  stop (*voters[0]);
  stop (*voters[1]);
  Answer a = submit (1, "two", 1500);
  EXPECT_TRUE (a.kind == PU_ERROR_UNAVAILABLE || a.kind == PU_ERROR_TIMEOUT);
  /* By now the last voter knows that it is alone: a refusal is certain.  */
  run_until ([&] { return leader () == nullptr; });
  EXPECT_EQ (submit (1, "three", 500).kind, PU_ERROR_UNAVAILABLE);
  EXPECT_EQ (version (), 1U);
  EXPECT_TRUE (pu_agent_ready (agent));
  start (*voters[0]);
  Answer b = submit (1, "three");
  EXPECT_EQ (b.kind, PU_OK);
  /* The one of unknown outcome may have been first, and is never lost then. */
  EXPECT_EQ (b.outcome == PU_OUTCOME_CONFLICT,
             submit (1, "two").outcome == PU_OUTCOME_SEEN);
}

TEST_F (Control, AgentStartsFromItsKeptImageAndNeverGoesBack)
{
  std::string folder = root + "/kept";

  start_all ();
  start_agent (folder.c_str ());
  submit (0, "one");
  run_until ([&] { return kept_version (folder) == 1; });
  pu_agent_free (agent);
  for (auto &v : voters)
    stop (*v);
  start_agent (folder.c_str (), 2);
  EXPECT_FALSE (pu_agent_ready (agent)) << "voters are asked first";
  run_until ([&] { return pu_agent_ready (agent); });
  EXPECT_EQ (version (), 1U) << "no voter is there";
  start_all ();
  EXPECT_EQ (submit (1, "two").doc_version, 2U);
  run_until ([&] { return version () == 2 && pu_agent_joined (agent); });
}

/* The voters' disks are gone and another log was begun: its state is not the
   one that operators accepted before, and is not taken.  */
TEST_F (Control, AgentDoesNotTakeAnotherLog)
{
  std::string folder = root + "/kept";

  start_all ();
  start_agent (folder.c_str ());
  submit (0, "one");
  run_until ([&] { return kept_version (folder) == 1; });
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

/* A copy of a proposal that its daemon has given up arrives late.  */
TEST_F (Control, LateCopyIsNotRun)
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

TEST_F (Control, DutiesRunOnOneLeaderUnderItsLease)
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

TEST_F (Control, LeaderHearsOfSessionsThroughAnyVoter)
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

TEST_F (Control, SilentDaemonAndItsBackendServerAreDown)
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
  /* News of it is let go to the agent 100 ms apart, later where the leader
     was elected just before.  */
  for (int i = 0; i < 50 && !up (pu_agent_view (agent)); i++)
    renew ();
  ASSERT_TRUE (up (pu_agent_view (agent)));
  for (int i = 0; i < 15; i++) /* three times the least */
    {
      renew ();
      EXPECT_TRUE (up (pu_agent_view (agent)));
    }
  run_until ([&] { return !up (pu_agent_view (agent)); });
  EXPECT_TRUE (pu_agent_joined (agent)) << "no report, yet the daemon lives";
  pu_agent_free (agent);
  agent = nullptr;
  run_until ([&] {
    return leader () != nullptr
           && pu_state_member (pu_control_state (leader ()->control), "entry")
                  == nullptr;
  });
}

/* The record of the engine in the agent's copy is another than the voters':
   the next change of it does not fit, and the copy comes whole.  */
TEST_F (Control, DeltaThatDoesNotFitBringsAnImage)
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

/* Backend servers check in one after the other: an answer and a poll for each
   of them, at each daemon, is what a fleet's start would cost.  */
TEST_F (Control, RushOfCheckInsIsToldInFewAnswers)
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
  /* A telling in 100 ms, an empty poll in 200, and a few more for a start.  */
  guint64 took = uv_now (&loop) - begin;
  EXPECT_LE (changes - before, static_cast<int> (took / 100 + took / 200) + 4);
}

/* What it can't write it doesn't acknowledge, so the leader sends it no more
   than a few messages.  */
TEST_F (Control, VoterThatCannotWriteKeepsNoNewsFromTheAgent)
{
  constexpr int more_than_a_window = 20;

  start_all ();
  start_agent ();
  EXPECT_EQ (submit (0, "first").doc_version, 1U);
  run_until ([&] { return version () == 1; });
  while (leader () == nullptr || leader () == &polled ())
    {
      Voter &v = polled ();
      stop (v);
      run_until ([&] { return leader () != nullptr; });
      start (v);
      run_until (
          [&] { return leader () != nullptr && pu_agent_ready (agent); });
    }
  polled ().full = true;
  for (int i = 1; i <= more_than_a_window; i++)
    {
      EXPECT_EQ (submit (i, "change " + std::to_string (i)).kind, PU_OK);
    }
  run_until ([&] { return version () == 1 + more_than_a_window; });
  EXPECT_FALSE (polled ().full);
  for (auto &v : voters)
    v->full = false;
}

/* All instances restart at once: until the voters have a leader, a daemon
   without a disk would turn every caller away.  One voter is started, so that
   there is none.  A voter that started long ago and has no leader is cut off:
   its state may be of any age.  */
TEST_F (Control, VoterThatIsElectingGivesWhatIsKept)
{
  struct
  {
    guint32 startup_grace_ms;
    bool ready;
  } const rows[] = { { patience_ms, true }, { 0, false } };
  constexpr guint64 polls_ms = 500;
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
  kept = pu_state_new (&o);
  ASSERT_TRUE (pu_state_decode (kept, data, n, &e)) << e.message;
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
      guint64 end = uv_now (&loop) + polls_ms;
      run_until ([&] { return uv_now (&loop) >= end; });
      EXPECT_EQ (pu_agent_ready (agent), row.ready) << row.startup_grace_ms;
      EXPECT_EQ (version (), row.ready ? 1U : 0U);
      EXPECT_EQ (leader (), nullptr);
    }
  stop (*voters[0]);
  pu_state_free (kept);
}

TEST_F (Control, HigherIncarnationTakesOver)
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
  EXPECT_EQ (pu_agent_incarnation (agent), 8U) << "a clock went back";
}

} // namespace
