#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <csignal>
#include <functional>
#include <string>
#include <vector>

extern "C"
{
#include "rpc/client.h"
#include "rpc/link.h"
#include "rpc/message.h"
#include "rpc/pool.h"
#include "rpc/server.h"
}

namespace
{

constexpr guint32 program = PU_RPC_PROGRAM_CONTROL;
constexpr guint32 echo = 1, slow = 2, refuse = 3, garbage = 4, one_way = 5;
constexpr guint wait_ms = 5000;

/* A loop with a server of echo and a client, made with short times.  */
class Rpc : public ::testing::Test
{
public:
  uv_loop_t loop;
  pu_counters_t *counters = pu_counters_new ();
  pu_rpc_server_t *server = nullptr;
  pu_rpc_client_t *client = nullptr;
  std::vector<pu_rpc_call_t *> held;
  std::string seen;
  std::vector<bool> states;
  guint closed = 0;
  guint16 port = 0;

  void
  SetUp () override
  {
    uv_loop_init (&loop);
  }

  void
  TearDown () override
  {
    pu_rpc_client_free (client);
    pu_rpc_server_free (server);
    for (auto *call : held)
      pu_rpc_call_drop (call);
    uv_run (&loop, UV_RUN_DEFAULT);
    EXPECT_EQ (uv_loop_close (&loop), 0);
    pu_counters_free (counters);
  }

  std::string
  address () const
  {
    return "127.0.0.1:" + std::to_string (port);
  }

  void
  serve (const char *key = "secret")
  {
    std::string at = address ();
    pu_rpc_server_options_t o = {};
    pu_error_t e;

    o.loop = &loop;
    o.address = at.c_str ();
    o.key = key;
    o.counters = counters;
    o.max_record = 100000;
    server = pu_rpc_server_new (&o, &e);
    ASSERT_NE (server, nullptr) << e.message;
    port = pu_rpc_server_port (server);
    for (guint32 proc = echo; proc <= one_way; proc++)
      pu_rpc_server_add (server, program, 1, proc, handlers[proc], this);
  }

  void
  dial (const char *key = "secret", const char *source = nullptr)
  {
    std::string at = address ();
    pu_rpc_client_options_t o = {};

    o.loop = &loop;
    o.address = at.c_str ();
    o.source = source;
    o.key = key;
    o.counters = counters;
    o.max_record = 200000;
    o.connect_ms = 200;
    o.backoff_min_ms = 5;
    o.backoff_max_ms = 20;
    o.ping_ms = 20;
    o.silent_ms = 40;
    o.on_state = [] (void *d, bool up) {
      static_cast<Rpc *> (d)->states.push_back (up);
    };
    o.data = this;
    client = pu_rpc_client_new (&o, nullptr);
    ASSERT_NE (client, nullptr);
  }

  /* Runs the loop until DONE holds.  */
  void
  run_until (const std::function<bool ()> &done)
  {
    guint64 start = uv_now (&loop);
    uv_timer_t *tick = pu_rpc_timer_new (&loop, nullptr);

    uv_timer_start (
        tick, [] (uv_timer_t *) {}, 1, 1);
    while (!done () && uv_now (&loop) - start < wait_ms)
      uv_run (&loop, UV_RUN_ONCE);
    pu_rpc_timer_free (tick);
    EXPECT_TRUE (done ());
  }

  struct Answer
  {
    int count = 0;
    pu_error_kind_t kind = PU_OK;
    std::string body;
  };

  guint32
  start (Answer *a, guint32 proc, const std::string &body, guint timeout)
  {
    return pu_rpc_client_call (
        client, program, 1, proc, body.data (), body.size (), timeout,
        [] (void *d, const guint8 *b, size_t n, const pu_error_t *e) {
          auto *answer = static_cast<Answer *> (d);
          answer->count++;
          answer->kind = e->kind;
          answer->body.assign (reinterpret_cast<const char *> (b), n);
        },
        a);
  }

  Answer
  call (guint32 proc, const std::string &body = "abcd", guint timeout = 2000)
  {
    Answer a;

    start (&a, proc, body, timeout);
    EXPECT_EQ (a.count, 0) << "answered from within the call";
    run_until ([&] { return a.count > 0; });
    return a;
  }

  static constexpr pu_rpc_handler_t *handlers[] = {
    nullptr,
    [] (void *, pu_rpc_call_t *c, const guint8 *b, size_t n) {
      pu_rpc_call_reply (c, b, n);
    },
    [] (void *d, pu_rpc_call_t *c, const guint8 *, size_t) {
      static_cast<Rpc *> (d)->held.push_back (c);
      pu_rpc_call_on_close (
          c,
          [] (void *x, pu_rpc_call_t *) { static_cast<Rpc *> (x)->closed++; },
          d);
    },
    [] (void *, pu_rpc_call_t *c, const guint8 *, size_t) {
      pu_rpc_call_refuse (c);
    },
    [] (void *, pu_rpc_call_t *c, const guint8 *, size_t) {
      pu_rpc_call_garbage (c);
    },
    [] (void *d, pu_rpc_call_t *c, const guint8 *b, size_t n) {
      auto *t = static_cast<Rpc *> (d);
      t->seen.append (reinterpret_cast<const char *> (b), n);
      pu_rpc_call_drop (c);
    },
  };

  gint64
  counter (const char *name)
  {
    return pu_counters_value (counters, pu_counters_get (counters, name));
  }
};

TEST_F (Rpc, AnswersByKind)
{
  serve ();
  dial ();
  EXPECT_EQ (call (echo, "hello---").body, "hello---");
  EXPECT_EQ (call (refuse).kind, PU_ERROR_UNAVAILABLE);
  EXPECT_EQ (call (garbage).kind, PU_ERROR_INVALID);
  EXPECT_EQ (call (77).kind, PU_ERROR_NOT_FOUND);
  EXPECT_EQ (call (echo, std::string (200004, 'x')).kind, PU_ERROR_TOO_LARGE);
  EXPECT_EQ (call (slow, "abcd", 30).kind, PU_ERROR_TIMEOUT);
  EXPECT_EQ (states, std::vector<bool>{ true });
  EXPECT_GT (counter ("rpc_bytes_out_total"), 300);
  EXPECT_EQ (counter ("rpc_bytes_out_total"), counter ("rpc_bytes_in_total"));
}

/* The loop is blocked behind the answer until the deadline is over: the answer
   is in the client's socket then.  */
TEST_F (Rpc, AnswerThatArrivedWhileTheLoopWasBlockedIsNoTimeout)
{
  constexpr guint32 holds = 6;
  constexpr guint held_us = 200000, timeout = 50;
  Answer a;

  serve ();
  pu_rpc_server_add (
      server, program, 1, holds,
      [] (void *, pu_rpc_call_t *c, const guint8 *b, size_t n) {
        pu_rpc_call_reply (c, b, n);
        g_usleep (held_us);
      },
      this);
  dial ();
  EXPECT_EQ (call (echo).kind, PU_OK);
  start (&a, holds, "late", timeout);
  /* Timers run once a turn, before the loop waits, as in a daemon; with
     UV_RUN_ONCE they run behind it too.  */
  for (guint64 end = uv_now (&loop) + wait_ms;
       a.count == 0 && uv_now (&loop) < end;)
    uv_run (&loop, UV_RUN_NOWAIT);
  EXPECT_EQ (a.kind, PU_OK);
  EXPECT_EQ (a.body, "late");
}

TEST_F (Rpc, PipelinesAndAnswersInAnyOrder)
{
  Answer a[3];

  serve ();
  dial ();
  start (&a[0], slow, "aaaa", 2000);
  start (&a[1], slow, "bbbb", 2000);
  start (&a[2], echo, "cccc", 2000);
  run_until ([&] { return a[2].count == 1 && held.size () == 2; });
  pu_rpc_call_reply (held[1], "2222", 4);
  pu_rpc_call_reply (held[0], "1111", 4);
  held.clear ();
  run_until ([&] { return a[0].count + a[1].count == 2; });
  EXPECT_EQ (a[0].body, "1111");
  EXPECT_EQ (a[1].body, "2222");
}

TEST_F (Rpc, CancelledCallIsNotAnswered)
{
  Answer a;

  serve ();
  dial ();
  pu_rpc_client_cancel (client, start (&a, echo, "abcd", 2000));
  EXPECT_EQ (call (echo).kind, PU_OK);
  EXPECT_EQ (a.count, 0);
}

TEST_F (Rpc, OneWayCallsNeedAConnection)
{
  serve ();
  dial ();
  EXPECT_FALSE (pu_rpc_client_send (client, program, 1, one_way, "abcd", 4));
  run_until ([&] { return pu_rpc_client_up (client); });
  EXPECT_TRUE (pu_rpc_client_send (client, program, 1, one_way, "efgh", 4));
  run_until ([&] { return seen == "efgh"; });
}

TEST_F (Rpc, WrongKeyIsDeniedAndCounted)
{
  serve ();
  dial ("other");
  EXPECT_EQ (call (echo).kind, PU_ERROR_DENIED);
  run_until ([&] { return pu_rpc_server_connections (server) == 0; });
  EXPECT_TRUE (states.empty ());
}

/* A peer that skips the handshake, or proves with a wrong key, is denied and
   reaches no handler.  */
TEST_F (Rpc, PeerWithoutProofIsDenied)
{
  struct Peer
  {
    std::vector<pu_rpc_message_t> to_send;
    pu_rpc_link_t *link = nullptr;
    pu_error_kind_t last = PU_OK;
    bool closed = false;
  };
  pu_rpc_message_t call = {}, hello = {}, prove = {};
  pu_rpc_counters_t own;

  call.program = program;
  call.version = 1;
  call.proc = one_way;
  hello.program = prove.program = PU_RPC_PROGRAM_LINK;
  hello.version = prove.version = PU_RPC_LINK_VERSION;
  hello.flavor = prove.flavor = PU_RPC_AUTH_FLAVOR;
  hello.proc = PU_RPC_LINK_HELLO;
  hello.auth_size = PU_RPC_NONCE_SIZE;
  prove.proc = PU_RPC_LINK_PROVE;
  prove.auth_size = PU_RPC_PROOF_SIZE;
  pu_rpc_counters_init (&own, nullptr);
  serve ();
  const std::vector<pu_rpc_message_t> rows[]
      = { { call }, { hello, call }, { hello, prove } };
  for (const auto &row : rows)
    {
      Peer peer;
      struct sockaddr_storage any = {};
      struct sockaddr_storage at;
      pu_rpc_link_options_t o = { &loop, &own, 4096, 65536 };
      pu_rpc_link_events_t events = {};

      peer.to_send = row;
      events.data = &peer;
      events.on_message = [] (void *d, const pu_rpc_message_t *m) {
        static_cast<Peer *> (d)->last = m->kind;
        return true;
      };
      events.on_closed = [] (void *d, const pu_error_t *) {
        static_cast<Peer *> (d)->closed = true;
      };
      pu_rpc_address_parse (address ().c_str (), &at, nullptr);
      peer.link = pu_rpc_link_connect (
          &o, &at, &any,
          [] (void *d) {
            auto *p = static_cast<Peer *> (d);
            for (const auto &m : p->to_send)
              pu_rpc_link_send (p->link, pu_rpc_message_encode_call (&m));
          },
          &events);
      run_until ([&] { return peer.closed; });
      EXPECT_EQ (peer.last, PU_ERROR_DENIED);
    }
  EXPECT_EQ (counter ("rpc_denied_total"), 3);
  EXPECT_EQ (seen, "");
}

TEST_F (Rpc, EmptyKeyIsInvalid)
{
  pu_rpc_client_options_t o = {};
  pu_error_t e;

  o.loop = &loop;
  o.address = "127.0.0.1:1";
  o.key = "";
  EXPECT_EQ (pu_rpc_client_new (&o, &e), nullptr);
  EXPECT_EQ (e.kind, PU_ERROR_INVALID);
}

TEST_F (Rpc, TooLargeRecordClosesTheConnection)
{
  serve ();
  dial ();
  EXPECT_EQ (call (echo, std::string (150000, 'x')).kind, PU_ERROR_TIMEOUT);
  EXPECT_EQ (counter ("rpc_malformed_total"), 1);
  run_until ([&] { return pu_rpc_client_up (client); });
  EXPECT_EQ (call (echo).kind, PU_OK);
}

TEST_F (Rpc, ReconnectsAfterTheServerRestarts)
{
  Answer a;

  serve ();
  dial ();
  start (&a, slow, "abcd", 2000);
  run_until ([&] { return held.size () == 1; });
  pu_rpc_server_free (server);
  server = nullptr;
  run_until ([&] { return a.count == 1; });
  EXPECT_EQ (a.kind, PU_ERROR_TIMEOUT);
  EXPECT_EQ (closed, 1U);
  EXPECT_EQ (call (echo).kind, PU_ERROR_UNAVAILABLE);
  serve ();
  run_until ([&] { return pu_rpc_client_up (client); });
  EXPECT_EQ (call (echo).kind, PU_OK);
  EXPECT_EQ (states, (std::vector<bool>{ true, false, true }));
}

/* A listener between client and server that can go silent: connections that
   are open then carry nothing more, and stay open.  */
struct Relay
{
  struct Pair
  {
    uv_tcp_t side[2];
    uv_connect_t req;
    bool silent;
    int open;
  };

  uv_loop_t *loop;
  uv_tcp_t listener;
  std::vector<Pair *> pairs;
  std::string to;
  std::string source; /* host of the last connection */
  bool mute_new = false;
  guint16 port = 0;

  static void
  pass (uv_stream_t *from, ssize_t n, const uv_buf_t *buf)
  {
    auto *p = static_cast<Pair *> (from->data);
    auto *other = reinterpret_cast<uv_stream_t *> (
        &p->side[from == reinterpret_cast<uv_stream_t *> (&p->side[0])]);
    uv_buf_t out
        = uv_buf_init (buf->base, n > 0 ? static_cast<unsigned> (n) : 0);

    if (n > 0 && !p->silent)
      uv_try_write (other, &out, 1);
    if (n < 0)
      uv_read_stop (from);
    g_free (buf->base);
  }

  static void
  read (uv_tcp_t *t)
  {
    uv_read_start (
        reinterpret_cast<uv_stream_t *> (t),
        [] (uv_handle_t *, size_t n, uv_buf_t *b) {
          *b = uv_buf_init (static_cast<char *> (g_malloc (n)), n);
        },
        pass);
  }

  static std::string
  peer_of (const uv_tcp_t *t)
  {
    struct sockaddr_in at = {};
    int size = sizeof at;
    char host[INET_ADDRSTRLEN] = "";

    uv_tcp_getpeername (t, reinterpret_cast<struct sockaddr *> (&at), &size);
    uv_ip4_name (&at, host, sizeof host);
    return host;
  }

  static void
  accept (uv_stream_t *l, int)
  {
    auto *r = static_cast<Relay *> (l->data);
    auto *p = new Pair ();
    struct sockaddr_storage at;

    p->silent = r->mute_new;
    for (auto &side : p->side)
      {
        uv_tcp_init (r->loop, &side);
        side.data = p;
      }
    uv_accept (l, reinterpret_cast<uv_stream_t *> (&p->side[0]));
    r->source = peer_of (&p->side[0]);
    pu_rpc_address_parse (r->to.c_str (), &at, nullptr);
    uv_tcp_connect (&p->req, &p->side[1],
                    reinterpret_cast<struct sockaddr *> (&at),
                    [] (uv_connect_t *req, int) {
                      auto *q = static_cast<Pair *> (req->handle->data);
                      read (&q->side[0]);
                      read (&q->side[1]);
                    });
    r->pairs.push_back (p);
  }

  Relay (uv_loop_t *on, const std::string &target) : loop (on), to (target)
  {
    struct sockaddr_storage at;
    struct sockaddr_in name;
    int size = sizeof name;

    pu_rpc_address_parse ("127.0.0.1:0", &at, nullptr);
    uv_tcp_init (loop, &listener);
    listener.data = this;
    uv_tcp_bind (&listener, reinterpret_cast<struct sockaddr *> (&at), 0);
    uv_listen (reinterpret_cast<uv_stream_t *> (&listener), 8, accept);
    uv_tcp_getsockname (&listener, reinterpret_cast<struct sockaddr *> (&name),
                        &size);
    port = ntohs (name.sin_port);
  }

  ~Relay ()
  {
    uv_close (reinterpret_cast<uv_handle_t *> (&listener), nullptr);
    for (auto *p : pairs)
      {
        uv_close (reinterpret_cast<uv_handle_t *> (&p->side[0]), nullptr);
        uv_close (reinterpret_cast<uv_handle_t *> (&p->side[1]), nullptr);
      }
    uv_run (loop, UV_RUN_NOWAIT);
    uv_run (loop, UV_RUN_NOWAIT);
    for (auto *p : pairs)
      delete p;
  }
};

TEST_F (Rpc, ConnectsFromItsSource)
{
  const struct
  {
    const char *source;
    const char *seen;
  } cases[] = {
    { nullptr, "127.0.0.1" },     { "127.0.0.77:9", "127.0.0.77" },
    { "0.0.0.0:9", "127.0.0.1" }, { "[::]:9", "127.0.0.1" },
    { "[::1]:9", "127.0.0.1" },
  };

  serve ();
  for (const auto &c : cases)
    {
      Relay relay (&loop, address ());
      guint16 served = port;

      port = relay.port;
      dial ("secret", c.source);
      EXPECT_EQ (call (echo).kind, PU_OK) << c.seen;
      EXPECT_EQ (relay.source, c.seen);
      pu_rpc_client_free (client);
      client = nullptr;
      port = served;
    }
}

TEST_F (Rpc, SourceThatCannotBeReadIsInvalid)
{
  pu_rpc_client_options_t o = {};
  pu_error_t e;

  o.loop = &loop;
  o.address = "127.0.0.1:1";
  o.key = "secret";
  o.source = "here:1";
  EXPECT_EQ (pu_rpc_client_new (&o, &e), nullptr);
  EXPECT_EQ (e.kind, PU_ERROR_INVALID);
}

TEST_F (Rpc, SilentConnectionIsReplacedByAFreshOne)
{
  Answer a;

  serve ();
  {
    Relay relay (&loop, address ());
    port = relay.port;
    dial ();
    EXPECT_EQ (call (echo).kind, PU_OK);
    relay.pairs[0]->silent = true;
    start (&a, echo, "abcd", 4000);
    run_until ([&] { return a.count == 1; });
    EXPECT_EQ (a.kind, PU_ERROR_TIMEOUT);
    EXPECT_EQ (counter ("rpc_silent_connections_total"), 1);
    EXPECT_EQ (call (echo).kind, PU_OK);
    EXPECT_EQ (states, std::vector<bool>{ true }) << "the peer never was down";
    pu_rpc_client_free (client);
    client = nullptr;
  }
}

TEST_F (Rpc, SilentPeerIsDownAfterTheSecondOpinion)
{
  Answer a;

  serve ();
  {
    Relay relay (&loop, address ());
    port = relay.port;
    dial ();
    EXPECT_EQ (call (echo).kind, PU_OK);
    relay.pairs[0]->silent = true;
    relay.mute_new = true;
    start (&a, echo, "abcd", 4000);
    run_until ([&] { return a.count == 1; });
    EXPECT_EQ (a.kind, PU_ERROR_TIMEOUT);
    EXPECT_EQ (states, (std::vector<bool>{ true, false }));
    relay.mute_new = false;
    run_until ([&] { return pu_rpc_client_up (client); });
    pu_rpc_client_free (client);
    client = nullptr;
  }
}

TEST_F (Rpc, PingsKeepAQuietConnectionUp)
{
  serve ();
  dial ();
  EXPECT_EQ (call (echo).kind, PU_OK);
  gint64 before = counter ("rpc_messages_in_total");
  run_until ([&] { return counter ("rpc_messages_in_total") > before + 6; });
  EXPECT_EQ (counter ("rpc_silent_connections_total"), 0);
  EXPECT_EQ (states, std::vector<bool>{ true });
}

/* Answers go to a peer that has closed: an error, not the end of the process.
   The default disposition is put back, as a daemon that forgot it has it.  */
TEST_F (Rpc, WritingToAClosedPeerIsNoSignal)
{
  Answer a[20];

  signal (SIGPIPE, SIG_DFL);
  serve ();
  dial ();
  for (auto &x : a)
    start (&x, slow, "abcd", 2000);
  run_until ([&] { return held.size () == 20; });
  pu_rpc_client_free (client);
  client = nullptr;
  for (auto *call : held) /* before the loop shows the end */
    {
      pu_rpc_call_reply (call, "abcd", 4);
      g_usleep (1000);
    }
  held.clear ();
  run_until ([&] { return pu_rpc_server_connections (server) == 0; });
}

TEST_F (Rpc, RemovedHandlerIsNotFound)
{
  serve ();
  dial ();
  EXPECT_EQ (call (echo).kind, PU_OK);
  pu_rpc_server_remove (server, program, 1, echo);
  EXPECT_EQ (call (echo).kind, PU_ERROR_NOT_FOUND);
  EXPECT_EQ (call (refuse).kind, PU_ERROR_UNAVAILABLE);
}

TEST_F (Rpc, PoolKeepsOneClientAnAddressUntilItIsIdle)
{
  pu_rpc_pool_options_t o = {};
  pu_rpc_pool_t *pool;

  o.client.loop = &loop;
  o.client.key = "secret";
  o.idle_ms = 40;
  pool = pu_rpc_pool_new (&o);
  EXPECT_EQ (pu_rpc_pool_get (pool, "nowhere"), nullptr);
  auto *first = pu_rpc_pool_get (pool, "127.0.0.1:1");
  EXPECT_EQ (pu_rpc_pool_get (pool, "127.0.0.1:1"), first);
  run_until ([&] { return pu_rpc_pool_size (pool) == 0; });
  pu_rpc_pool_free (pool);
}

TEST_F (Rpc, ClientMayBeFreedFromAnAnswer)
{
  serve ();
  dial ();
  pu_rpc_client_call (
      client, program, 1, echo, "abcd", 4, 2000,
      [] (void *d, const guint8 *, size_t, const pu_error_t *) {
        auto *t = static_cast<Rpc *> (d);
        pu_rpc_client_free (t->client);
        t->client = nullptr;
      },
      this);
  run_until ([&] { return client == nullptr; });
}

/* Any split of the stream gives the same records; the oracle is the list of
   bodies that were encoded.  */
RC_GTEST_PROP (Reader, GivesEachRecordUnderAnySplit,
               (const std::vector<std::string> &bodies))
{
  std::string stream;
  std::vector<std::string> got;
  pu_rpc_reader_t r;
  pu_error_t e;
  size_t at = 0;

  for (const auto &b : bodies)
    {
      std::string body = b + std::string ((4 - b.size () % 4) % 4, '\0');
      pu_rpc_message_t m = {};
      m.xid = 5;
      m.program = program;
      m.body = reinterpret_cast<const guint8 *> (body.data ());
      m.body_size = body.size ();
      GByteArray *record = pu_rpc_message_encode_call (&m);
      stream.append (reinterpret_cast<char *> (record->data), record->len);
      g_byte_array_unref (record);
    }
  pu_rpc_reader_init (&r, 1 << 20);
  while (at < stream.size ())
    {
      auto n = *rc::gen::inRange<size_t> (1, 64);
      n = std::min (n, stream.size () - at);
      pu_rpc_reader_feed (&r, stream.data () + at, n);
      at += n;
      while (GByteArray *record = pu_rpc_reader_next (&r, &e))
        {
          pu_rpc_message_t m;
          RC_ASSERT (
              pu_rpc_message_decode (&m, record->data, record->len, &e));
          got.emplace_back (reinterpret_cast<const char *> (m.body),
                            m.body_size);
          g_byte_array_unref (record);
        }
      RC_ASSERT (e.kind == PU_OK);
    }
  pu_rpc_reader_clear (&r);
  RC_ASSERT (got.size () == bodies.size ());
  for (size_t i = 0; i < got.size (); i++)
    RC_ASSERT (got[i].substr (0, bodies[i].size ()) == bodies[i]);
}

TEST (Reader, RefusesWhatItCannotHold)
{
  struct
  {
    std::string bytes;
    pu_error_kind_t kind;
  } rows[] = {
    { std::string ("\x80\x00\x10\x04", 4), PU_ERROR_TOO_LARGE },
    { std::string ("\xff\xff\xff\xff", 4), PU_ERROR_TOO_LARGE },
    { std::string (8192, '\0'), PU_ERROR_CORRUPT },
    { std::string ("\x80\x00\x00\x08\x00", 5), PU_OK },
  };

  for (const auto &row : rows)
    {
      pu_rpc_reader_t r;
      pu_error_t e;

      pu_rpc_reader_init (&r, 4096);
      pu_rpc_reader_feed (&r, row.bytes.data (), row.bytes.size ());
      EXPECT_EQ (pu_rpc_reader_next (&r, &e), nullptr);
      EXPECT_EQ (e.kind, row.kind);
      pu_rpc_reader_clear (&r);
    }
}

TEST (Proof, DependsOnKeyRoleAndNonces)
{
  pu_rpc_nonces_t nonces = {};
  guint8 a[PU_RPC_PROOF_SIZE], b[PU_RPC_PROOF_SIZE];

  pu_rpc_proof ("key", "client", &nonces, a);
  pu_rpc_proof ("key", "client", &nonces, b);
  EXPECT_TRUE (pu_rpc_proof_equal (a, b, sizeof a));
  pu_rpc_proof ("key", "server", &nonces, b);
  EXPECT_FALSE (pu_rpc_proof_equal (a, b, sizeof a));
  pu_rpc_proof ("kez", "client", &nonces, b);
  EXPECT_FALSE (pu_rpc_proof_equal (a, b, sizeof a));
  nonces.server[3] = 1;
  pu_rpc_proof ("key", "client", &nonces, b);
  EXPECT_FALSE (pu_rpc_proof_equal (a, b, sizeof a));
}

}
