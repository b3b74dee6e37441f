#include "daemon/serve.h"

#include <signal.h>
#include <stdio.h>
#include <uv.h>

#include "base/log.h"
#include "daemon/daemon.h"

#define PART "serve"
#define EXIT_FINDINGS 1
#define EXIT_NO_START 9

typedef struct
{
  uv_loop_t loop;
  const char *settings_path;
  pu_daemon_t *daemon;
  uv_signal_t term;
  uv_signal_t interrupt;
  uv_signal_t hangup;
} serve_t;

static void
print_findings (const char *path, const pu_findings_t *f)
{
  for (size_t i = 0; i < pu_findings_count (f); i++)
    {
      const pu_finding_t *one = pu_findings_get (f, i);

      if (one->line > 0)
        {
          fprintf (stderr, "%s:%d:%d: %s\n", path, one->line, one->column,
                   one->message);
        }
      else
        {
          fprintf (stderr, "%s: %s: %s\n", path, one->path, one->message);
        }
    }
}

static pu_settings_t *
load (const char *path)
{
  pu_findings_t *f = pu_findings_new ();
  pu_settings_t *s = pu_settings_load (path, f);

  if (s == NULL)
    print_findings (path, f);
  pu_findings_free (f);
  return s;
}

static void
on_stopped (void *data)
{
  serve_t *v = data;

  uv_close ((uv_handle_t *)&v->term, NULL);
  uv_close ((uv_handle_t *)&v->interrupt, NULL);
  uv_close ((uv_handle_t *)&v->hangup, NULL);
  pu_daemon_free (v->daemon);
  v->daemon = NULL;
  uv_stop (&v->loop);
}

static void
on_stop_signal (uv_signal_t *handle, int number)
{
  serve_t *v = handle->data;

  pu_log_note (PART, "Got signal %d.", number);
  pu_daemon_stop (v->daemon, on_stopped, v);
}

static void
on_hangup (uv_signal_t *handle, int number)
{
  serve_t *v = handle->data;
  pu_settings_t *s = load (v->settings_path);

  (void)number;
  if (s == NULL)
    {
      pu_log_warn (PART, "The settings have findings; the old ones stay.");
    }
  else
    {
      pu_daemon_reload (v->daemon, s);
    }
}

static void
listen_signal (serve_t *v, uv_signal_t *handle, int number, uv_signal_cb cb)
{
  uv_signal_init (&v->loop, handle);
  handle->data = v;
  uv_signal_start (handle, cb, number);
}

/* Runs the loop until the daemon has stopped, and on until what it closed is
   gone, for so many turns at most.  */
#define LAST_TURNS 1000

static void
run (serve_t *v)
{
  uv_run (&v->loop, UV_RUN_DEFAULT);
  for (int i = 0; i < LAST_TURNS; i++)
    {
      if (uv_run (&v->loop, UV_RUN_NOWAIT) == 0)
        break;
    }
  if (uv_loop_close (&v->loop) != 0)
    pu_log_warn (PART, "Something was still open at the end.");
}

int
pu_serve_main (const pu_serve_options_t *o)
{
  serve_t v = { .settings_path = o->settings_path };
  pu_settings_t *s = load (o->settings_path);
  pu_error_t e = { PU_OK, "" };

  if (s == NULL)
    return EXIT_FINDINGS;
  pu_log_init ();
  pu_log_set_level (pu_settings_log_level (s));
  signal (SIGPIPE, SIG_IGN);
  uv_loop_init (&v.loop);
  pu_log_note (PART, "Daemon %s starts.", s->name);
  v.daemon = pu_daemon_new (&v.loop, s, &e);
  if (v.daemon == NULL)
    {
      pu_log_warn (PART, "It cannot start: %s", e.message);
      return EXIT_NO_START;
    }
  listen_signal (&v, &v.term, SIGTERM, on_stop_signal);
  listen_signal (&v, &v.interrupt, SIGINT, on_stop_signal);
  listen_signal (&v, &v.hangup, SIGHUP, on_hangup);
  run (&v);
  return 0;
}
