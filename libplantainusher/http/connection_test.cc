/* How the client ends a connection whose request is given up.  */
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
