#include "control/control_fixture_test.h"

namespace
{

constexpr guint64 tick_ms = 15;
constexpr size_t bytes_per_tick = 20 << 10; /* of each connection, each way */

/* A connection through a relay.  */
struct Path
{
  uv_tcp_t ends[2] = {}; /* the one accepted, the one made */
  std::string queues[2]; /* read from that end */
  uv_connect_t connect = {};
  bool connected = false;
  bool closed = false;

  void
  close ()
  {
    if (closed)
      return;
    closed = true;
    for (auto &end : ends)
      uv_close (reinterpret_cast<uv_handle_t *> (&end), nullptr);
  }

  void
  read (int end)
  {
    uv_read_start (
        reinterpret_cast<uv_stream_t *> (&ends[end]),
        [] (uv_handle_t *, size_t, uv_buf_t *buf) {
          static char bytes[65536];
          *buf = uv_buf_init (bytes, sizeof bytes);
        },
        [] (uv_stream_t *s, ssize_t n, const uv_buf_t *buf) {
          auto *p = static_cast<Path *> (s->data);
          int from = reinterpret_cast<uv_tcp_t *> (s) == &p->ends[1];
          if (n < 0)
            p->close ();
          else
            p->queues[from].append (buf->base, static_cast<size_t> (n));
        });
  }

  void
  pass_on (int from)
  {
    std::string &q = queues[from];
    size_t n = std::min (q.size (), bytes_per_tick);
    uv_buf_t buf = uv_buf_init (q.data (), static_cast<unsigned> (n));
    int done;

    if (closed || !connected || n == 0)
      return;
    done = uv_try_write (reinterpret_cast<uv_stream_t *> (&ends[1 - from]),
                         &buf, 1);
    if (done > 0)
      q.erase (0, static_cast<size_t> (done));
  }
};

/* Passes connections on to a voter, slowly.  */
struct Relay
{
  uv_tcp_t listener = {};
  uv_timer_t timer = {};
  struct sockaddr_in to = {};
  std::vector<std::unique_ptr<Path> > paths;
  std::string address;

  void
  start (uv_loop_t *loop, const std::string &target)
  {
    struct sockaddr_in at;
    int size = sizeof at;

    uv_ip4_addr ("127.0.0.1", atoi (target.c_str () + target.rfind (':') + 1),
                 &to);
    uv_ip4_addr ("127.0.0.1", 0, &at);
    uv_tcp_init (loop, &listener);
    uv_timer_init (loop, &timer);
    listener.data = timer.data = this;
    uv_tcp_bind (&listener, reinterpret_cast<sockaddr *> (&at), 0);
    uv_tcp_getsockname (&listener, reinterpret_cast<sockaddr *> (&at), &size);
    address = "127.0.0.1:" + std::to_string (ntohs (at.sin_port));
    ASSERT_EQ (uv_listen (reinterpret_cast<uv_stream_t *> (&listener), 16,
                          on_connection),
               0);
    uv_timer_start (
        &timer,
        [] (uv_timer_t *t) {
          for (auto &p : static_cast<Relay *> (t->data)->paths)
            {
              p->pass_on (0);
              p->pass_on (1);
            }
        },
        tick_ms, tick_ms);
  }

  static void
  on_connection (uv_stream_t *s, int)
  {
    auto *r = static_cast<Relay *> (s->data);
    auto p = std::make_unique<Path> ();

    for (auto &end : p->ends)
      {
        uv_tcp_init (s->loop, &end);
        end.data = p.get ();
      }
    p->connect.data = p.get ();
    uv_accept (s, reinterpret_cast<uv_stream_t *> (&p->ends[0]));
    p->read (0);
    uv_tcp_connect (&p->connect, &p->ends[1],
                    reinterpret_cast<sockaddr *> (&r->to),
                    [] (uv_connect_t *c, int status) {
                      auto *path = static_cast<Path *> (c->data);
                      if (path->closed)
                        return;
                      path->connected = status == 0;
                      if (path->connected)
                        path->read (1);
                      else
                        path->close ();
                    });
    r->paths.push_back (std::move (p));
  }

  void
  close ()
  {
    uv_close (reinterpret_cast<uv_handle_t *> (&listener), nullptr);
    uv_close (reinterpret_cast<uv_handle_t *> (&timer), nullptr);
    for (auto &p : paths)
      p->close ();
  }
};

/* Voters whose connections to each other pass 4 MB in three election
   timeouts.  */
class SlowLinks : public Control
{
public:
  std::vector<std::unique_ptr<Relay> > relays;

  void
  SetUp () override
  {
    Control::SetUp ();
    election_ms = 1000;
    for (size_t i = 0; i < voters.size (); i++)
      {
        relays.push_back (std::make_unique<Relay> ());
        relays[i]->start (&loop, voters[i]->address);
        voters[i]->address = relays[i]->address;
        peers[i].address = voters[i]->address.data ();
      }
  }

  void
  TearDown () override
  {
    for (auto &r : relays)
      r->close ();
    Control::TearDown ();
  }

  void
  propose (Voter &v, Answer *a, uint64_t base, std::string text)
  {
    pu_command c = {};
    std::string change = std::to_string (base);
    char author[] = "ann";

    c.type = PU_COMMAND_SUBMIT;
    c.pu_command_u.submit.base_version = base;
    c.pu_command_u.submit.change_id = change.data ();
    c.pu_command_u.submit.author = author;
    c.pu_command_u.submit.text = text.data ();
    pu_control_propose (v.control, &c, take_answer, a);
  }

  int
  terms_begun () const
  {
    int n = 0;

    for (auto &v : voters)
      n += v->begun;
    return n;
  }
};

/* The entry is under way for several election timeouts.  */
TEST_F (SlowLinks, LeaderStaysInOfficeWhileALargeEntryPasses)
{
  Answer a, b;

  start_all ();
  run_until ([&] { return leader () != nullptr; });
  Voter &first = *leader ();
  propose (first, &a, 0, random_text (4 << 20));
  propose (first, &b, 1, "{}");
  run_until ([&] { return a.count > 0 && b.count > 0; });
  EXPECT_EQ (a.kind, PU_OK);
  EXPECT_EQ (a.outcome, PU_OUTCOME_DONE);
  EXPECT_EQ (b.kind, PU_OK);
  EXPECT_EQ (b.outcome, PU_OUTCOME_DONE);
  EXPECT_EQ (terms_begun (), 1);
  EXPECT_EQ (leader (), &first);
}

} // namespace
