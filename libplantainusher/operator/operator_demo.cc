/* The operators' paths and the console over a fake daemon, for the browser
   test: `operator_demo PORT`.  GET /demo/log?no-quorum and ?lost-answer say
   what the next submission meets.  */

#include <cstdio>
#include <cstdlib>
#include <cstring>

#include <uv.h>

#include "operator/fake_daemon.h"
#include "operator/mount.h"

namespace
{

struct Demo
{
  fake::Daemon daemon;
  pu_operator_t *op = nullptr;
  pu_http_server_t *server = nullptr;
  uv_signal_t signal{};
};

void
set_log (Demo *demo, pu_http_request_t *r)
{
  const std::string mode = pu_http_request_query (r);

  demo->daemon.log = mode == "no-quorum"     ? fake::Log::NO_QUORUM
                     : mode == "lost-answer" ? fake::Log::LOST_ANSWER
                                             : fake::Log::WORKS;
  pu_http_respond (r, 200, nullptr, 0, "{}", 2);
}

void
on_request (void *data, pu_http_request_t *r)
{
  auto *demo = static_cast<Demo *> (data);

  if (strcmp (pu_http_request_path (r), "/demo/log") == 0)
    set_log (demo, r);
  else
    pu_operator_on_request (demo->op, r);
}

void
on_stopped (void *data)
{
  auto *demo = static_cast<Demo *> (data);

  pu_http_server_free (demo->server);
  uv_close ((uv_handle_t *)&demo->signal, nullptr);
}

void
on_signal (uv_signal_t *s, int)
{
  auto *demo = static_cast<Demo *> (s->data);

  pu_http_server_stop (demo->server, on_stopped, demo);
}

void
make_operator (Demo *demo)
{
  const pu_operator_key_t key = { "demo", "demo-key" };
  pu_operator_options_t o;

  pu_operator_options_init (&o);
  o.keys = &key;
  o.n_keys = 1;
  o.hooks = demo->daemon.hooks ();
  demo->daemon.add_member ("entry-1");
  demo->daemon.add_engine ("eng-1");
  demo->op = pu_operator_new (&o);
}

}

int
main (int argc, char **argv)
{
  Demo demo;
  uv_loop_t loop;
  pu_http_server_options_t so = {};
  pu_error_t e = {};

  uv_loop_init (&loop);
  make_operator (&demo);
  so.loop = &loop;
  so.host = "127.0.0.1";
  so.port = argc > 1 ? atoi (argv[1]) : 0;
  so.body_max = PU_OPERATOR_BODY_MAX;
  so.handler = on_request;
  so.data = &demo;
  demo.server = pu_http_server_new (&so, &e);
  if (demo.server == nullptr)
    {
      fprintf (stderr, "%s\n", e.message);
      return 1;
    }
  printf ("%d\n", pu_http_server_port (demo.server));
  fflush (stdout);
  uv_signal_init (&loop, &demo.signal);
  demo.signal.data = &demo;
  uv_signal_start (&demo.signal, on_signal, SIGTERM);
  uv_run (&loop, UV_RUN_DEFAULT);
  uv_loop_close (&loop);
  pu_operator_free (demo.op);
  return 0;
}
