/* How the client ends a connection whose request is given up, and how it takes
   ends of connections while a request is being sent.  */
#include <gtest/gtest.h>
#include <uv.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <string>

#include "http/client.h"

namespace
{

constexpr int ROOM = 4096; /* bytes that the server's socket takes unread */
constexpr guint64 SENDING_MS = 200;
constexpr gsize UPLOAD = 16000000; /* more than sockets take unread */

/* A server that accepts nothing and reads nothing until it is told to.  */
class IdleServer
{
  int listener = socket (AF_INET, SOCK_STREAM, 0);

public:
  std::string address;

  IdleServer ()
  {
    struct sockaddr_in at
    {
    };
    socklen_t len = sizeof at;
    const int room = ROOM;

    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    setsockopt (listener, SOL_SOCKET, SO_RCVBUF, &room, sizeof room);
    bind (listener, reinterpret_cast<struct sockaddr *> (&at), sizeof at);
    listen (listener, 1);
    getsockname (listener, reinterpret_cast<struct sockaddr *> (&at), &len);
    address = "127.0.0.1:" + std::to_string (ntohs (at.sin_port));
  }
  ~IdleServer () { close (listener); }

  int
  accept_one () const
  {
    return accept (listener, nullptr, nullptr);
  }

  /* Reads all that arrives on the first connection.  Returns 0 if it ends in
     order, else the error.  */
  int
  read_all () const
  {
    std::array<char, 65536> bytes{};
    const int fd = accept (listener, nullptr, nullptr);
    ssize_t n;
    int error;

    do
      n = read (fd, bytes.data (), bytes.size ());
    while (n > 0);
    error = n < 0 ? errno : 0;
    close (fd);
    return error;
  }
};

/* Sends a request with a body of BODY_BYTES, cancels it before an answer, and
   returns how the server sees the end.  */
int
end_of_cancelled (gsize body_bytes)
{
  IdleServer server;
  uv_loop_t loop;
  const std::string text (body_bytes, 'x');
  GBytes *body = g_bytes_new (text.data (), text.size ());
  pu_http_client_options_t co{};
  pu_http_call_options_t o{};
  pu_http_client_t *client;
  pu_http_call_t *call;
  int end;

  uv_loop_init (&loop);
  co.loop = &loop;
  client = pu_http_client_new (&co);
  o.address = server.address.c_str ();
  o.method = "POST";
  o.target = "/";
  o.body = body;
  call = pu_http_client_start (client, &o, nullptr);
  const guint64 until = uv_now (&loop) + SENDING_MS;
  while (uv_now (&loop) < until)
    {
      uv_run (&loop, UV_RUN_NOWAIT);
      g_usleep (1000);
    }
  pu_http_call_cancel (call);
  pu_http_client_free (client);
  uv_run (&loop, UV_RUN_DEFAULT);
  end = server.read_all ();
  g_bytes_unref (body);
  EXPECT_EQ (0, uv_loop_close (&loop));
  return end;
}

/* A client's call whose answer is not read on once a part of its body has
   come.  */
class PausedCall
{
  uv_loop_t loop{};
  pu_http_client_t *client;
  GBytes *body;
  pu_http_call_t *call;
  bool ended = false;

  void
  run_for (guint64 ms)
  {
    const guint64 until = uv_now (&loop) + ms;

    while (uv_now (&loop) < until && !ended)
      {
        uv_run (&loop, UV_RUN_NOWAIT);
        g_usleep (1000);
      }
  }

public:
  std::string received;
  pu_http_result_t result{};

  PausedCall (const IdleServer &server, gsize body_bytes)
  {
    const std::string text (body_bytes, 'x');
    pu_http_client_options_t co{};
    pu_http_call_options_t o{};

    body = g_bytes_new (text.data (), text.size ());
    uv_loop_init (&loop);
    co.loop = &loop;
    client = pu_http_client_new (&co);
    o.address = server.address.c_str ();
    o.method = "POST";
    o.target = "/";
    o.body = body;
    o.data = this;
    o.events.on_body
        = [] (void *data, pu_http_call_t *c, const char *bytes, gsize len) {
            static_cast<PausedCall *> (data)->received.append (bytes, len);
            pu_http_call_pause (c);
          };
    o.events.on_end
        = [] (void *data, pu_http_call_t *, const pu_http_result_t *r) {
            static_cast<PausedCall *> (data)->result = *r;
            static_cast<PausedCall *> (data)->ended = true;
          };
    call = pu_http_client_start (client, &o, nullptr);
  }
  ~PausedCall ()
  {
    pu_http_client_free (client);
    uv_run (&loop, UV_RUN_DEFAULT);
    g_bytes_unref (body);
    EXPECT_EQ (0, uv_loop_close (&loop));
  }

  void
  run ()
  {
    run_for (SENDING_MS);
  }

  /* Returns how the call ends.  */
  pu_http_end_t
  resume ()
  {
    EXPECT_FALSE (ended);
    if (!ended)
      pu_http_call_resume (call);
    run_for (SENDING_MS);
    EXPECT_TRUE (ended);
    return result.kind;
  }
};

void
reset (int fd)
{
  const struct linger none = { 1, 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &none, sizeof none);
  close (fd);
}

/* The end of a call that is answered in part, without a length, while its
   request is being sent, and whose connection is reset then; before that the
   server ENDS its side in order or not.  */
pu_http_end_t
end_of_reset (bool ends)
{
  static const char part[] = "HTTP/1.1 200 OK\r\n\r\npart";
  const IdleServer server;
  PausedCall call (server, UPLOAD);

  call.run ();
  const int fd = server.accept_one ();

  EXPECT_EQ (static_cast<ssize_t> (sizeof part - 1),
             send (fd, part, sizeof part - 1, 0));
  call.run ();
  EXPECT_EQ ("part", call.received);
  if (ends)
    shutdown (fd, SHUT_WR);
  reset (fd);
  call.run ();
  return call.resume ();
}

} // namespace

/* Guards against a request that is given up while the server can't be reached
   and that the kernel delivers seconds later.  */
TEST (Connection, UnacknowledgedRequestIsNotDeliveredAfterItsEnd)
{
  signal (SIGPIPE, SIG_IGN);
  EXPECT_EQ (ECONNRESET, end_of_cancelled (100000));
}

/* A reset may be lost on the way, while an end in order is sent again until
   the server, which may be at work on the request, has it.  */
TEST (Connection, AcknowledgedRequestIsEndedInOrder)
{
  EXPECT_EQ (0, end_of_cancelled (10));
}

/* Guards against a part of an answer that is taken for the whole: the write
   that fails with the reset takes the error of the socket, which then reads as
   ended in order.  */
TEST (Connection, ResetDuringTheUploadIsNoEndOfAnAnswerWithoutLength)
{
  EXPECT_EQ (PU_HTTP_END_TRUNCATED, end_of_reset (false));
}

/* The server may close before it has read the whole request, which resets the
   connection after the end of the answer.  */
TEST (Connection, ResetBehindTheEndOfAnAnswerWithoutLengthCutsNothing)
{
  EXPECT_EQ (PU_HTTP_END_UNTIL_CLOSE, end_of_reset (true));
}
