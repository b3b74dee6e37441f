/* The room that requests may take before they are whole.  */
#include <gtest/gtest.h>
#include <uv.h>

#include <algorithm>
#include <csignal>
#include <functional>
#include <malloc.h>
#include <memory>
#include <string>
#include <vector>

#include "http/server.h"

namespace
{

constexpr guint SAFETY_MS = 20000;
constexpr gsize KB = 1024;
constexpr uint64_t LIMIT = 10000 * KB;
constexpr uint64_t LARGE_MAX = LIMIT / 100 * 20;
constexpr uint64_t ALL_MAX = LIMIT / 100 * 25;

/* A caller that sends what it is told to, when it is told to.  */
struct peer
{
  uv_tcp_t tcp{};
  uv_connect_t connect{};
  std::string got;
  bool connected = false;
  bool closed = false;
  bool closing = false;

  peer (uv_loop_t *loop, int port)
  {
    struct sockaddr_in at;

    uv_ip4_addr ("127.0.0.1", port, &at);
    uv_tcp_init (loop, &tcp);
    tcp.data = this;
    uv_tcp_connect (&connect, &tcp, reinterpret_cast<struct sockaddr *> (&at),
                    [] (uv_connect_t *c, int) {
                      static_cast<peer *> (c->handle->data)->connected = true;
                      uv_read_start (c->handle, alloc, read);
                    });
  }

  void
  send (const std::string &bytes)
  {
    struct out
    {
      uv_write_t write{};
      std::string bytes;
    };
    auto *o = new out;

    if (closing)
      {
        delete o;
        return;
      }
    o->bytes = bytes;
    o->write.data = o;
    uv_buf_t buf = uv_buf_init (&o->bytes[0], o->bytes.size ());
    uv_write (
        &o->write, reinterpret_cast<uv_stream_t *> (&tcp), &buf, 1,
        [] (uv_write_t *w, int) { delete static_cast<out *> (w->data); });
  }

  void
  close ()
  {
    if (closing)
      return;
    closing = true;
    uv_close (reinterpret_cast<uv_handle_t *> (&tcp), [] (uv_handle_t *h) {
      static_cast<peer *> (h->data)->closed = true;
    });
  }

  bool
  has (const std::string &text) const
  {
    return got.find (text) != std::string::npos;
  }

  bool
  is_refused () const
  {
    return has (" 503 ");
  }

  static void
  alloc (uv_handle_t *, size_t, uv_buf_t *buf)
  {
    static char block[65536];

    *buf = uv_buf_init (block, sizeof block);
  }

  static void
  read (uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
  {
    auto *self = static_cast<peer *> (s->data);

    if (n > 0)
      self->got.append (buf->base, static_cast<size_t> (n));
    if (n < 0)
      self->close ();
  }
};

std::string
head_of (gsize length, const std::string &path = "/")
{
  return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: "
         + std::to_string (length) + "\r\n\r\n";
}

const char chunked_head[]
    = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

/* One chunk of 1024 bytes times N.  */
std::string
chunks (gsize n)
{
  std::string all;

  for (gsize i = 0; i < n; i++)
    all += "400\r\n" + std::string (KB, 'x') + "\r\n";
  return all;
}

/* Both kinds of server: h2o's, and the strict one.  */
class Arriving : public testing::TestWithParam<bool>
{
protected:
  uv_loop_t loop{};
  pu_http_server_t *server = nullptr;
  pu_memory_budget_t memory{};
  std::vector<std::unique_ptr<peer> > peers;
  std::vector<std::string> seen; /* paths that reached the handler */
  std::vector<pu_http_request_t *> held;
  uint64_t peak = 0;
  uint64_t counted = 0; /* at least, of the peers of add_counted */
  bool stopped = false;

  void
  SetUp () override
  {
    signal (SIGPIPE, SIG_IGN);
    uv_loop_init (&loop);
    memory.limit = LIMIT;
    pu_http_server_options_t so{};
    so.loop = &loop;
    so.host = "127.0.0.1";
    so.body_max = 1000 * KB;
    so.strict = GetParam ();
    so.memory = &memory;
    so.linger_ms = 1;
    so.refusal_header = "x-outcome";
    so.refusal_value = "not-run";
    so.refusal_body = "{\"refused\":true}";
    so.busy_body = "{\"busy\":true}";
    so.handler = [] (void *d, pu_http_request_t *r) {
      static_cast<Arriving *> (d)->on_request (r);
    };
    so.data = this;
    server = pu_http_server_new (&so, nullptr);
    ASSERT_NE (nullptr, server);
  }

  void
  TearDown () override
  {
    for (auto &p : peers)
      p->close ();
    pu_http_server_stop (
        server, [] (void *d) { *static_cast<bool *> (d) = true; }, &stopped);
    pu_http_server_abort (server);
    until ([this] { return stopped; });
    pu_http_server_free (server);
    uv_run (&loop, UV_RUN_DEFAULT);
    EXPECT_EQ (0, uv_loop_close (&loop));
    EXPECT_EQ (0u, memory.arriving) << "bytes stay counted";
    EXPECT_LE (peak, ALL_MAX);
  }

  /* A request to /hold is answered by the test.  */
  void
  on_request (pu_http_request_t *r)
  {
    gsize n = 0;

    seen.push_back (pu_http_request_path (r));
    pu_http_request_body (r, &n);
    if (seen.back () == "/hold")
      {
        held.push_back (r);
        return;
      }
    const std::string body = std::to_string (n);
    pu_http_respond (r, 200, nullptr, 0, body.c_str (), body.size ());
  }

  void
  until (const std::function<bool ()> &done)
  {
    uv_timer_t limit;
    bool over = false;

    uv_timer_init (&loop, &limit);
    limit.data = &over;
    uv_timer_start (
        &limit, [] (uv_timer_t *t) { *static_cast<bool *> (t->data) = true; },
        SAFETY_MS, 0);
    while (!done () && !over)
      {
        uv_run (&loop, UV_RUN_ONCE);
        peak = std::max (peak, memory.arriving);
      }
    EXPECT_FALSE (over) << "the safety limit passed";
    uv_close (reinterpret_cast<uv_handle_t *> (&limit), nullptr);
    uv_run (&loop, UV_RUN_NOWAIT);
  }

  peer &
  add (const std::string &bytes)
  {
    peers.push_back (
        std::make_unique<peer> (&loop, pu_http_server_port (server)));
    peer &p = *peers.back ();

    until ([&] { return p.connected; });
    p.send (bytes);
    return p;
  }

  /* A peer of which at least N bytes, or all, are counted, or that was
     refused. What comes in chunks is counted without their framing in the end.
   */
  peer &
  add_counted (const std::string &bytes, gsize n = 0)
  {
    peer &p = add (bytes);

    counted += n != 0 ? n : bytes.size ();
    until ([&] { return memory.arriving >= counted || p.closed; });
    return p;
  }

  /* Waits until a request that waits for bytes counts as slow.  */
  void
  stall ()
  {
    const uint64_t end = uv_now (&loop) + 1100;

    until ([&] { return uv_now (&loop) >= end; });
  }

  gsize
  refused () const
  {
    return static_cast<gsize> (
        std::count_if (peers.begin (), peers.end (),
                       [] (const auto &p) { return p->is_refused (); }));
  }
};

/* What the strict server alone does: it counts with each read.  */
class StrictArriving : public Arriving
{
};

/* What h2o reads.  */
class H2oArriving : public Arriving
{
};

/* Each connection could hold a body of the largest size, uncounted, until the
   system ends the process.  */
TEST_P (Arriving, PartsOfManyLargeBodiesStayUnderTheBound)
{
  peer &running
      = add (head_of (500 * KB, "/hold") + std::string (500 * KB, 'r'));

  until ([&] { return held.size () == 1; });
  EXPECT_EQ (0u, memory.arriving) << "a whole body is counted no more";
  for (int i = 0; i < 60; i++)
    add (i % 2 == 0 ? head_of (900 * KB) : chunked_head);
  for (int round = 0; round < 30; round++)
    {
      for (gsize i = 1; i < peers.size (); i++)
        peers[i]->send (i % 2 == 1 ? std::string (10 * KB, 'x') : chunks (10));
      for (int turn = 0; turn < 5; turn++)
        {
          uv_run (&loop, UV_RUN_NOWAIT);
          peak = std::max (peak, memory.arriving);
        }
    }
  until ([&] { return refused () > 0; });
  peer &small = add (head_of (KB) + std::string (KB, 's'));
  until ([&] { return small.closed || small.has ("1024"); });
  EXPECT_TRUE (small.has (" 200 ")) << small.got;
  EXPECT_GT (peak, LARGE_MAX / 2) << "the bound was never near";
  EXPECT_LE (peak, ALL_MAX);
  EXPECT_EQ (memory.refused, refused ());
  for (const auto &p : peers)
    {
      if (!p->is_refused ())
        continue;
      EXPECT_TRUE (p->has ("Retry-After: 1\r\n")) << p->got;
      EXPECT_TRUE (p->has ("x-outcome: not-run\r\n")) << p->got;
      EXPECT_TRUE (p->has ("Connection: close\r\n")) << p->got;
      EXPECT_TRUE (p->has ("{\"busy\":true}")) << p->got;
    }
  EXPECT_EQ (seen, (std::vector<std::string>{ "/hold", "/" }));
  EXPECT_FALSE (running.closed);
  pu_http_respond (held[0], 200, nullptr, 0, "ran", 3);
  until ([&] { return running.closed || running.has ("ran"); });
  EXPECT_TRUE (running.has ("ran"));
}

/* A length that the room can't hold is refused before its bytes come; so is
   one whose sender waits for a word.  */
TEST_P (StrictArriving, StatedLengthWithoutRoomIsRefusedAtTheHead)
{
  add_counted (head_of (900 * KB) + std::string (800 * KB, 'a'));
  add_counted (head_of (900 * KB) + std::string (800 * KB, 'b'));
  ASSERT_EQ (0u, refused ());
  peer &late = add ("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
                    "Content-Length: 921600\r\n\r\n");

  until ([&] { return late.closed; });
  EXPECT_TRUE (late.is_refused ()) << late.got;
  EXPECT_FALSE (late.has ("100 Continue")) << late.got;
  EXPECT_EQ (1u, refused ());
}

/* What follows the answer of a refused request is the rest of its body.  */
TEST_P (StrictArriving, RestOfARefusedBodyIsNoRequest)
{
  add_counted (head_of (900 * KB) + std::string (800 * KB, 'a'));
  add_counted (head_of (900 * KB) + std::string (800 * KB, 'b'));
  peer &late = add (head_of (900 * KB));

  until ([&] { return late.is_refused (); });
  late.send ("GET /inner HTTP/1.1\r\nHost: h\r\n\r\n");
  until ([&] { return late.closed; });
  EXPECT_TRUE (seen.empty ());
  EXPECT_EQ (late.got.find (" 503 "), late.got.rfind (" 503 "));
}

/* Where all send at a good pace, those that came first become whole.  */
TEST_P (StrictArriving, NewestLargeBodyIsRefusedFirst)
{
  peer &first = add_counted (head_of (900 * KB) + std::string (700 * KB, 'a'));
  peer &second
      = add_counted (head_of (900 * KB) + std::string (700 * KB, 'b'));
  peer &third = add_counted (chunked_head + chunks (500), 500 * KB);

  EXPECT_EQ (0u, refused ());
  first.send (std::string (200 * KB, 'a'));
  until ([&] { return first.closed || first.has ("921600"); });
  EXPECT_TRUE (first.has (" 200 "));
  second.send (std::string (200 * KB, 'b'));
  until ([&] { return second.closed || second.has ("921600"); });
  EXPECT_TRUE (second.has (" 200 "));
  until ([&] { return third.closed; });
  EXPECT_TRUE (third.is_refused ());
}

/* Whoever holds room and sends nothing gives way to those that send: the one
   that holds most first, so that few are refused.  */
TEST_P (Arriving, StalledBodiesGiveWay)
{
  peer &less = add_counted (head_of (900 * KB) + std::string (600 * KB, 'a'));
  peer &most = add_counted (head_of (900 * KB) + std::string (800 * KB, 'b'));

  stall ();
  peer &sends = add (head_of (900 * KB) + std::string (800 * KB, 'c'));
  until ([&] { return most.closed; });
  EXPECT_TRUE (most.is_refused ());
  sends.send (std::string (100 * KB, 'c'));
  until ([&] { return sends.closed || sends.has ("921600"); });
  EXPECT_TRUE (sends.has (" 200 ")) << sends.got;
  EXPECT_FALSE (less.closed);
}

/* A byte now and then does not keep the room.  */
TEST_P (Arriving, SlowBodiesGiveWay)
{
  peer &slow = add_counted (chunked_head + chunks (20), 20 * KB);

  for (int i = 0; i < 29; i++)
    add_counted (chunked_head + chunks (60), 60 * KB);
  stall ();
  for (auto &p : peers)
    p->send ("1\r\nx\r\n");
  for (int turn = 0; turn < 20; turn++)
    uv_run (&loop, UV_RUN_NOWAIT);
  ASSERT_EQ (0u, refused ());
  peer &sends = add (head_of (900 * KB) + std::string (800 * KB, 'c'));
  until ([&] { return refused () > 0; });
  sends.send (std::string (100 * KB, 'c'));
  until ([&] { return sends.closed || sends.has ("921600"); });
  EXPECT_TRUE (sends.has (" 200 ")) << sends.got;
  EXPECT_FALSE (slow.closed) << "others hold more";
}

/* The last part of the share is for requests that are small so far.  */
TEST_P (StrictArriving, LargeBodiesLeaveRoomForSmallOnes)
{
  add_counted (head_of (1000 * KB) + std::string (950 * KB, 'a'));
  add_counted (head_of (1000 * KB) + std::string (950 * KB, 'b'));
  peer &large = add (head_of (200 * KB) + std::string (KB, 'c'));
  until ([&] { return large.closed; });
  EXPECT_TRUE (large.is_refused ());
  peer &small = add_counted (head_of (60 * KB) + std::string (50 * KB, 'd'));
  EXPECT_FALSE (small.closed);
  EXPECT_GT (memory.arriving, LARGE_MAX - 60 * KB);
  small.send (std::string (10 * KB, 'd'));
  until ([&] { return small.closed || small.has ("61440"); });
  EXPECT_TRUE (small.has (" 200 ")) << small.got;
}

/* The bound comes on top of what the process uses.  */
TEST_P (Arriving, LargeBodiesAreRefusedWhileTheProcessIsShortOfMemory)
{
  peer &begun = add_counted (head_of (900 * KB) + std::string (100 * KB, 'a'));

  pu_memory_budget_update (&memory, LIMIT / 10 * 9);
  begun.send (std::string (10 * KB, 'a'));
  until ([&] { return begun.closed; });
  EXPECT_TRUE (begun.is_refused ());
  peer &small = add (head_of (KB) + std::string (KB, 's'));
  until ([&] { return small.closed || small.has ("1024"); });
  EXPECT_TRUE (small.has (" 200 ")) << "the handler decides on small ones";
}

/* What could never have room is not to be sent again.  */
TEST_P (StrictArriving, BodyOverTheBoundIsTooLarge)
{
  pu_http_server_set_limits (server, 0, 100000 * KB, 0);
  for (const std::string &sent :
       { head_of (LARGE_MAX + 1), chunked_head + chunks (LARGE_MAX / KB + 1) })
    {
      peer &p = add (sent);

      until ([&] { return p.closed; });
      EXPECT_TRUE (p.has (" 413 ")) << p.got;
    }
}

/* A request in progress goes on to its end; what came behind it does not. */
TEST_P (StrictArriving, RequestInProgressOutlivesWhatIsBehindIt)
{
  add_counted (head_of (1000 * KB) + std::string (950 * KB, 'a'));
  add_counted (head_of (1000 * KB) + std::string (950 * KB, 'b'));
  std::vector<peer *> asking;

  for (int i = 0; i < 20; i++)
    asking.push_back (&add ("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n"));
  until ([&] { return held.size () == asking.size (); });
  for (peer *p : asking)
    p->send (head_of (60 * KB, "/behind") + std::string (50 * KB, 'x'));
  for (int turn = 0; turn < 100; turn++)
    {
      uv_run (&loop, UV_RUN_NOWAIT);
      peak = std::max (peak, memory.arriving);
    }
  for (pu_http_request_t *r : held)
    pu_http_respond (r, 200, nullptr, 0, "ran", 3);
  until ([&] {
    return std::all_of (asking.begin (), asking.end (),
                        [] (const peer *p) { return p->has ("ran"); });
  });
  EXPECT_LE (peak, ALL_MAX);
  until ([&] {
    return std::any_of (asking.begin (), asking.end (),
                        [] (const peer *p) { return p->closed; });
  });
}

/* h2o sets anew what reads a connection after each request.  */
TEST_P (Arriving, LaterRequestsOfAConnectionAreCounted)
{
  for (int i = 0; i < 30; i++)
    {
      peer &p = add (head_of (KB) + std::string (KB, 's'));

      until ([&] { return p.closed || p.has ("1024"); });
    }
  EXPECT_EQ (0u, memory.arriving);
  EXPECT_EQ (30u, seen.size ());
  for (auto &p : peers)
    p->send (head_of (900 * KB) + std::string (200 * KB, 'x'));
  until ([&] { return refused () >= 20; });
  EXPECT_LE (peak, ALL_MAX);
  EXPECT_EQ (30u, seen.size ());
  EXPECT_EQ (0u, held.size ());
}

/* A connection that stays open keeps nothing of a body that was answered.  */
TEST_P (Arriving, IdleConnectionKeepsNoMemoryOfItsLastBody)
{
  const size_t before = mallinfo2 ().uordblks + mallinfo2 ().hblkhd;

  for (int i = 0; i < 32; i++)
    {
      peer &p = add (head_of (900 * KB) + std::string (900 * KB, 'x'));

      until ([&] { return p.closed || p.has ("921600"); });
    }
  EXPECT_LT (mallinfo2 ().uordblks + mallinfo2 ().hblkhd, before + 2000 * KB);
}

std::string
frame (char type, char flags, char stream, const std::string &payload)
{
  const gsize n = payload.size ();
  const char head[] = { static_cast<char> (n >> 16),
                        static_cast<char> (n >> 8),
                        static_cast<char> (n),
                        type,
                        flags,
                        0,
                        0,
                        0,
                        stream };

  return std::string (head, sizeof head) + payload;
}

constexpr char DATA = 0, HEADERS = 1, RST_STREAM = 3, SETTINGS = 4;
constexpr char END_STREAM = 1, END_HEADERS = 4;

/* POST / of the scheme http and the authority h.  */
std::string
h2_head (char stream)
{
  return frame (HEADERS, END_HEADERS, stream, "\x83\x84\x86\x01\x01h");
}

std::string
h2_data (char stream, gsize blocks, char flags = 0)
{
  std::string all;

  for (gsize i = 0; i < blocks; i++)
    all += frame (DATA, i + 1 == blocks ? flags : 0, stream,
                  std::string (10 * KB, 'x'));
  return all;
}

/* The streams of one HTTP/2 connection could hold a body each, too.  */
TEST_P (H2oArriving, PartsOfManyStreamsStayUnderTheBound)
{
  const std::string preface = std::string ("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
                              + frame (SETTINGS, 0, 0, "");

  for (int i = 0; i < 10; i++)
    {
      peer &p = add (preface);

      for (char stream = 1; stream < 21; stream += 2)
        p.send (h2_head (stream) + h2_data (stream, 30));
    }
  until ([&] { return memory.refused > 0; });
  const std::string reset
      = frame (RST_STREAM, 0, 19, std::string ("\0\0\0\x07", 4)).substr (0, 8);
  until ([&] {
    return std::any_of (peers.begin (), peers.end (), [&] (const auto &p) {
      return p->has (reset) && p->has (std::string ("\0\0\0\x07", 4));
    });
  });
  EXPECT_TRUE (seen.empty ());
  EXPECT_GT (memory.arriving, LARGE_MAX / 2);
  EXPECT_LE (memory.arriving, LARGE_MAX);
  peer &small = add (preface);
  small.send (h2_head (1) + h2_data (1, 1, END_STREAM));
  until ([&] { return small.closed || small.has ("10240"); });
  EXPECT_TRUE (small.has ("10240"));
  EXPECT_EQ (seen, std::vector<std::string>{ "/" });
}

INSTANTIATE_TEST_SUITE_P (Servers, Arriving, testing::Values (false, true));
INSTANTIATE_TEST_SUITE_P (Servers, StrictArriving, testing::Values (true));
INSTANTIATE_TEST_SUITE_P (Servers, H2oArriving, testing::Values (false));

} // namespace
