#include "control/control_fixture_test.h"

#include <cstring>

extern "C"
{
#include "control/blobs.h"
#include "control/packed.h"
}

namespace
{

/* The bytes that a voter may have sent and that no daemon has received.  */
constexpr size_t in_flight_max = 256 << 10;

/* Reads of one voter by many daemons, as seen by all of them together.  */
struct Readers
{
  size_t unread = 0; /* bytes that arrived since the reader's last call */
  size_t unread_max = 0;
  int complete = 0;
  int failed = 0;
};

/* A daemon with a slow connection: it needs `pause_ms` for each chunk.  Once
   `stopped` it makes no call after the first chunk.  */
struct Reader
{
  Readers *all;
  uv_loop_t *loop;
  pu_rpc_client_t *client = nullptr;
  uv_timer_t *timer = nullptr;
  std::string name;
  guint64 pause_ms = 3;
  bool stopped = false;
  bool whole = false; /* an old daemon: takes entries whole */
  bool fresh = false; /* has no state, needs an image */
  uint64_t position = 0;
  pu_blob blob = {};
  std::string received;
  size_t unread = 0;
  std::string text; /* of the document, when complete */

  void
  call (guint32 proc, GBytes *body, pu_rpc_answer_t *fn)
  {
    gsize n;
    const void *data = g_bytes_get_data (body, &n);

    all->unread -= unread;
    unread = 0;
    pu_rpc_client_call (client, PU_RPC_PROGRAM_CONTROL, PU_CONTROL_VERSION,
                        proc, data, n, 8000, fn, this);
    g_bytes_unref (body);
  }

  void
  arrived (size_t n)
  {
    unread += n;
    all->unread += n;
    all->unread_max = std::max (all->unread_max, all->unread);
  }

  void
  poll ()
  {
    pu_poll p = {};

    p.name = name.data ();
    p.incarnation = 1;
    p.position = position;
    p.wait_ms = 2000;
    p.fresh = fresh;
    call (whole ? PU_CONTROL_POLL_DELTAS : PU_CONTROL_POLL_BLOBS,
          pu_codec_encode ((xdrproc_t)xdr_pu_poll, &p), on_polled);
  }

  void
  request_chunk ()
  {
    pu_chunk_request r = {};

    r.name = name.data ();
    r.incarnation = 1;
    r.position = position;
    r.id = blob.id;
    r.offset = static_cast<u_int> (received.size ());
    r.wait_ms = 2000;
    call (PU_CONTROL_CHUNK,
          pu_codec_encode ((xdrproc_t)xdr_pu_chunk_request, &r), on_chunk);
  }

  void
  take_command (const char *bytes, size_t n)
  {
    pu_command c;

    ASSERT_TRUE (pu_command_decode (&c, bytes, n, nullptr));
    if (c.type == PU_COMMAND_SUBMIT)
      {
        text = c.pu_command_u.submit.text;
        all->complete++;
      }
    pu_command_clear (&c);
  }

  void
  take_image (const char *bytes, size_t n)
  {
    pu_state_options_t o;

    pu_state_options_init (&o);
    pu_state_t *s = pu_state_new (&o);
    ASSERT_TRUE (pu_state_decode (s, bytes, n, nullptr));
    text = pu_state_document (s)->text;
    all->complete++;
    pu_state_free (s);
  }

  void
  take_entries (const pu_poll_reply &r)
  {
    for (u_int i = 0; i < r.entries.entries_len; i++)
      {
        const auto &e = r.entries.entries_val[i];

        take_command (e.command.command_val, e.command.command_len);
      }
  }

  void
  later (uv_timer_cb fn)
  {
    if (!stopped || received.empty ())
      uv_timer_start (timer, fn, pause_ms, 0);
  }

  static void
  on_polled (void *d, const guint8 *body, size_t n, const pu_error_t *e)
  {
    auto *t = static_cast<Reader *> (d);
    pu_blob_reply r = {};

    if (e->kind != PU_OK)
      {
        t->all->failed++;
        return;
      }
    if (n > 16384)
      t->arrived (n);
    if (t->whole)
      {
        ASSERT_TRUE (pu_codec_decode ((xdrproc_t)xdr_pu_poll_reply, &r.reply,
                                      sizeof r.reply, body, n, nullptr));
      }
    else
      {
        ASSERT_TRUE (pu_codec_decode ((xdrproc_t)xdr_pu_blob_reply, &r,
                                      sizeof r, body, n, nullptr));
      }
    t->take_entries (r.reply);
    t->position = r.reply.position;
    if (r.blobs.blobs_len > 0)
      {
        t->blob = r.blobs.blobs_val[0];
        t->later ([] (uv_timer_t *u) {
          static_cast<Reader *> (u->data)->request_chunk ();
        });
      }
    else
      {
        t->later (
            [] (uv_timer_t *u) { static_cast<Reader *> (u->data)->poll (); });
      }
    xdr_free ((xdrproc_t)xdr_pu_blob_reply, &r);
  }

  void
  finish ()
  {
    pu_error_t e;
    GBytes *content
        = pu_packed_content (received.data (), received.size (),
                             blob.content_size, PU_CONTROL_IMAGE_MAX, &e);
    gsize n;

    ASSERT_NE (content, nullptr) << e.message;
    auto *data = static_cast<const char *> (g_bytes_get_data (content, &n));
    if (blob.image)
      take_image (data, n);
    else
      take_command (data, n);
    g_bytes_unref (content);
    fresh = false;
    later ([] (uv_timer_t *u) { static_cast<Reader *> (u->data)->poll (); });
  }

  static void
  on_chunk (void *d, const guint8 *body, size_t n, const pu_error_t *e)
  {
    auto *t = static_cast<Reader *> (d);
    pu_chunk chunk;

    if (e->kind != PU_OK)
      {
        t->all->failed++;
        return;
      }
    ASSERT_TRUE (pu_codec_decode ((xdrproc_t)xdr_pu_chunk, &chunk,
                                  sizeof chunk, body, n, nullptr));
    EXPECT_TRUE (chunk.known);
    t->received.append (chunk.bytes.bytes_val, chunk.bytes.bytes_len);
    t->arrived (chunk.bytes.bytes_len);
    xdr_free ((xdrproc_t)xdr_pu_chunk, &chunk);
    if (t->received.size () == t->blob.size)
      t->finish ();
    else
      t->later ([] (uv_timer_t *u) {
        static_cast<Reader *> (u->data)->request_chunk ();
      });
  }
};

class Transfer : public Control
{
public:
  Readers readers;
  std::vector<std::unique_ptr<Reader> > list;

  /* A log that has an entry for readers to wait after.  */
  void
  start_log ()
  {
    start_all ();
    start_agent ();
    EXPECT_EQ (submit (0, "first").outcome, PU_OUTCOME_DONE);
    run_until ([&] { return version () == 1 && pu_agent_joined (agent); });
  }

  Reader &
  add_reader (Voter &v, uint64_t position)
  {
    auto r = std::make_unique<Reader> ();
    pu_rpc_client_options_t o = {};
    pu_error_t e;

    r->all = &readers;
    r->loop = &loop;
    r->name = "reader" + std::to_string (list.size ());
    r->position = position;
    r->timer = pu_rpc_timer_new (&loop, r.get ());
    o.loop = &loop;
    o.address = v.address.c_str ();
    o.key = key;
    r->client = pu_rpc_client_new (&o, &e);
    list.push_back (std::move (r));
    return *list.back ();
  }

  void
  TearDown () override
  {
    for (auto &r : list)
      {
        pu_rpc_client_free (r->client);
        pu_rpc_timer_free (r->timer);
      }
    Control::TearDown ();
  }

  uint64_t
  position ()
  {
    return pu_state_position (pu_agent_view (agent));
  }
};

/* The whole fleet waits for the next document at one voter.  Answered at once
   it would fill that voter's link for seconds, and its memory with the queues
   of the connections.  */
TEST_F (Transfer, DocumentForManyDaemonsIsSentWithinABoundOnBytesInFlight)
{
  constexpr int many = 300;
  std::string text = random_text (500000);

  start_log ();
  for (int i = 0; i < many; i++)
    add_reader (*voters[0], position ()).poll ();
  EXPECT_EQ (submit (1, "large", 10000, text).outcome, PU_OUTCOME_DONE);
  run_until ([&] { return readers.complete == many && version () == 2; });
  EXPECT_EQ (readers.failed, 0);
  EXPECT_LE (readers.unread_max, in_flight_max);
  for (auto &r : list)
    ASSERT_TRUE (r->text == text);
}

TEST_F (Transfer, ImageForManyDaemonsIsSentWithinABoundOnBytesInFlight)
{
  constexpr int many = 60;
  std::string text = random_text (500000);

  start_log ();
  EXPECT_EQ (submit (1, "large", 10000, text).outcome, PU_OUTCOME_DONE);
  run_until ([&] { return leader () != nullptr && version () == 2; });
  for (int i = 0; i < many; i++)
    {
      Reader &r = add_reader (*leader (), 0);

      r.fresh = true;
      r.poll ();
    }
  run_until ([&] { return readers.complete == many; });
  EXPECT_LE (readers.unread_max, in_flight_max);
  for (auto &r : list)
    ASSERT_TRUE (r->text == text);
}

/* During an upgrade daemons of the old version take entries whole.  */
TEST_F (Transfer, OldDaemonsGetTheEntryWholeAndOneAfterTheOther)
{
  constexpr int many = 10;
  std::string text = random_text (300000);

  start_log ();
  for (int i = 0; i < many; i++)
    {
      Reader &r = add_reader (*voters[0], position ());

      r.whole = true;
      r.poll ();
    }
  EXPECT_EQ (submit (1, "large", 10000, text).outcome, PU_OUTCOME_DONE);
  run_until ([&] { return readers.complete == many; });
  EXPECT_EQ (readers.failed, 0);
  for (auto &r : list)
    ASSERT_TRUE (r->text == text);
}

TEST_F (Transfer, DaemonsThatStopReadingDoNotStopTheOthers)
{
  constexpr int many = 60;
  std::string text = random_text (200000);

  start_log ();
  for (int i = 0; i < many; i++)
    {
      Reader &r = add_reader (*voters[0], position ());

      r.stopped = i % 2 == 0;
      r.poll ();
    }
  Reader &old = add_reader (*voters[0], position ());
  old.whole = true;
  old.poll ();
  EXPECT_EQ (submit (1, "large", 10000, text).outcome, PU_OUTCOME_DONE);
  run_until ([&] { return readers.complete == many / 2 + 1; });
  EXPECT_EQ (readers.failed, 0);
}

/* Heartbeats and small entries are answered all the while.  */
TEST_F (Transfer, BulkDataWaitsWhileTheVoterIsShortOfMemory)
{
  std::string text = random_text (200000);

  memory.limit = 1000;
  start_log ();
  pu_memory_budget_update (&memory, 750);
  EXPECT_EQ (submit (1, "large", 10000, text).outcome, PU_OUTCOME_DONE);
  Reader &r = add_reader (*voters[0], position ());
  r.poll ();
  Reader &old = add_reader (*voters[0], position ());
  old.whole = true;
  old.poll ();
  guint64 begin = uv_now (&loop);
  run_until ([&] { return uv_now (&loop) - begin > 2000; });
  EXPECT_EQ (readers.complete, 0);
  EXPECT_EQ (readers.failed, 0);
  EXPECT_TRUE (pu_agent_connected (agent));
  EXPECT_NE (leader (), nullptr);
  pu_memory_budget_update (&memory, 100);
  run_until ([&] { return readers.complete == 2 && version () == 2; });
}

TEST_F (Transfer, DocumentOfTheLargestSizeReachesTheAgent)
{
  std::string text = random_text (4 << 20);

  start_log ();
  EXPECT_EQ (submit (1, "large", 15000, text).outcome, PU_OUTCOME_DONE);
  run_until ([&] { return version () == 2; });
  EXPECT_TRUE (pu_state_document (pu_agent_view (agent))->text == text);
}

/* The voter stops when the agent has half of the document.  Asking the next
   voter for all of it would send each byte twice.  */
TEST_F (Transfer, TransferGoesOnWhereItStoppedWhenTheVoterStops)
{
  std::string text = random_text (4 << 20);
  size_t sent;

  agent_counters = pu_counters_new ();
  pu_counter_t in = pu_counters_get (agent_counters, "rpc_bytes_in_total");
  start_log ();
  gint64 before = pu_counters_value (agent_counters, in);
  Answer a;
  begin_submit (&a, 1, "large", 15000, text);
  sent = text.size () * 3 / 4; /* at least: the text does not compress more */
  run_until ([&] {
    return pu_counters_value (agent_counters, in) - before
           > static_cast<gint64> (sent / 2);
  });
  stop (polled_voter ());
  run_until ([&] { return version () == 2 && a.count > 0; });
  EXPECT_TRUE (pu_state_document (pu_agent_view (agent))->text == text);
  EXPECT_LT (pu_counters_value (agent_counters, in) - before,
             static_cast<gint64> (sent * 5 / 4));
  pu_agent_free (agent);
  agent = nullptr;
  pu_counters_free (agent_counters);
}

TEST_F (Transfer, VoterOfAnOldVersionIsPolledInTheOldWay)
{
  std::string text = random_text (200000);

  start_all ();
  for (auto &v : voters)
    {
      for (guint32 proc : { PU_CONTROL_POLL_BLOBS, PU_CONTROL_CHUNK })
        pu_rpc_server_remove (v->server, PU_RPC_PROGRAM_CONTROL,
                              PU_CONTROL_VERSION, proc);
    }
  start_agent ();
  EXPECT_EQ (submit (0, "large", 10000, text).outcome, PU_OUTCOME_DONE);
  run_until ([&] { return version () == 1 && pu_agent_joined (agent); });
  EXPECT_TRUE (pu_state_document (pu_agent_view (agent))->text == text);
}

TEST_F (Transfer, VoterOfAnOldVersionGetsAProposalUncompressed)
{
  const std::string text (200000, 'x');

  start_all ();
  for (auto &v : voters)
    {
      pu_rpc_server_remove (v->server, PU_RPC_PROGRAM_CONTROL,
                            PU_CONTROL_VERSION, PU_CONTROL_PROPOSE_PACKED);
    }
  start_agent ();
  EXPECT_EQ (submit (0, "large", 10000, text).outcome, PU_OUTCOME_DONE);
  run_until ([&] { return version () == 1; });
  EXPECT_TRUE (pu_state_document (pu_agent_view (agent))->text == text);
}

/* A fake voter answers each poll with a blob of the given description, and
   each request for a chunk with the given bytes.  */
class DamagedTransfer : public Control
{
public:
  pu_blob blob = {};
  std::string bytes;
  int polls = 0, chunks = 0;

  static void
  reply (pu_rpc_call_t *call, xdrproc_t proc, const void *record)
  {
    GBytes *b = pu_codec_encode (proc, record);
    gsize n;
    const void *data = g_bytes_get_data (b, &n);

    pu_rpc_call_reply (call, data, n);
    g_bytes_unref (b);
  }

  void
  serve_blob ()
  {
    for (auto &v : voters)
      {
        pu_rpc_server_add (
            v->server, PU_RPC_PROGRAM_CONTROL, PU_CONTROL_VERSION,
            PU_CONTROL_POLL_BLOBS,
            [] (void *d, pu_rpc_call_t *call, const guint8 *, size_t) {
              auto *t = static_cast<DamagedTransfer *> (d);
              pu_blob_reply r = {};
              char none[] = "";

              t->polls++;
              r.reply.leader = none;
              r.reply.cluster = 1;
              r.reply.position = 5;
              r.blobs.blobs_val = &t->blob;
              r.blobs.blobs_len = 1;
              reply (call, (xdrproc_t)xdr_pu_blob_reply, &r);
            },
            this);
        pu_rpc_server_add (
            v->server, PU_RPC_PROGRAM_CONTROL, PU_CONTROL_VERSION,
            PU_CONTROL_CHUNK,
            [] (void *d, pu_rpc_call_t *call, const guint8 *, size_t) {
              auto *t = static_cast<DamagedTransfer *> (d);
              pu_chunk c = {};

              t->chunks++;
              c.known = TRUE;
              c.bytes.bytes_val = t->bytes.data ();
              c.bytes.bytes_len = static_cast<u_int> (t->bytes.size ());
              reply (call, (xdrproc_t)xdr_pu_chunk, &c);
            },
            this);
      }
  }
};

TEST_F (DamagedTransfer, BlobThatCannotBeTakenIsNotTakenAndPollsGoOn)
{
  std::string content (20000, 'x');
  GBytes *in = g_bytes_new_static (content.data (), content.size ());
  GBytes *out = pu_packed_new (in);
  gsize n;
  auto *data = static_cast<const char *> (g_bytes_get_data (out, &n));
  std::string packed (data, n);
  struct
  {
    const char *name;
    std::string bytes;
    u_int size, content_size;
    bool right_id;
    bool fetched;
  } rows[] = {
    { "bytes of another blob", packed, 0, 20000, false, true },
    { "damaged content", std::string (packed.size (), 'z'), 0, 20000, true,
      true },
    { "content of another size", packed, 0, 19999, true, true },
    { "more bytes than the blob has", packed + "more", (u_int)packed.size (),
      20000, true, true },
    { "content over the limit", packed, 0, PU_CONTROL_IMAGE_MAX + 1, true,
      false },
    { "more compressed bytes than possible", packed, 40000, 20000, true,
      false },
    { "no bytes", packed, 0xffffffff, 0, true, false },
  };

  g_bytes_unref (in);
  g_bytes_unref (out);
  serve_blob ();
  start_agent ();
  for (auto &row : rows)
    {
      bytes = row.bytes;
      blob.image = TRUE;
      blob.position = 5;
      blob.id = pu_blob_id (bytes.data (), bytes.size ()) + !row.right_id;
      blob.size = row.size != 0 ? row.size : (u_int)bytes.size ();
      blob.content_size = row.content_size;
      int polled = polls;
      run_until ([&] { return polls > polled; });
      int fetched = chunks;
      polled = polls;
      run_until ([&] { return polls > polled + 1; });
      EXPECT_EQ (chunks > fetched, row.fetched) << row.name;
      EXPECT_FALSE (pu_agent_has_view (agent)) << row.name;
    }
}

} // namespace
