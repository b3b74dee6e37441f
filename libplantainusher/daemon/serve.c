#include "daemon/serve.h"

#include <signal.h>
#include <stdio.h>
#include <sys/stat.h>
#include <uv.h>

#include "base/log.h"
#include "daemon/daemon.h"

#define PART "serve"
#define EXIT_FINDINGS 1
#define EXIT_NO_START 9
/* Between two looks at the settings file, which may be changed without a
   signal: well within the seconds in which a change is to be in force.  */
#define LOOK_MS 1000
/* Lines of the log that are no news of their own wait so long for others. */
#define FLUSH_MS 100

typedef struct
{
  uv_loop_t loop;
  const char *settings_path;
  pu_daemon_t *daemon;
  uv_signal_t term;
  uv_signal_t interrupt;
  uv_signal_t hangup;
  uv_timer_t look;
  uv_timer_t flush;
  struct stat seen; /* of the settings file, when it was last read */
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
  uv_close ((uv_handle_t *)&v->look, NULL);
  uv_close ((uv_handle_t *)&v->flush, NULL);
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

/* Whether the settings file is another than the one that was read; what it is
   now counts as read.  */
static bool
has_changed (serve_t *v)
{
  struct stat now;
  bool changed;

  if (stat (v->settings_path, &now) != 0)
    return false;
  changed = now.st_ino != v->seen.st_ino || now.st_size != v->seen.st_size
            || now.st_mtim.tv_sec != v->seen.st_mtim.tv_sec
            || now.st_mtim.tv_nsec != v->seen.st_mtim.tv_nsec;
  v->seen = now;
  return changed;
}

static void
settings_reload (serve_t *v)
{
  pu_settings_t *s = load (v->settings_path);

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
on_hangup (uv_signal_t *handle, int number)
{
  serve_t *v = handle->data;

  (void)number;
  has_changed (v);
  settings_reload (v);
}

static void
on_look (uv_timer_t *timer)
{
  serve_t *v = timer->data;

  if (has_changed (v))
    settings_reload (v);
}

static void
on_flush (uv_timer_t *timer)
{
  (void)timer;
  pu_log_flush ();
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
  pu_settings_t *s;
  pu_error_t e = { PU_OK, "" };

  /* Before it is read: a change meanwhile is seen by the next look.  */
  has_changed (&v);
  s = load (o->settings_path);
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
  uv_timer_init (&v.loop, &v.look);
  v.look.data = &v;
  uv_timer_start (&v.look, on_look, LOOK_MS, LOOK_MS);
  uv_timer_init (&v.loop, &v.flush);
  uv_timer_start (&v.flush, on_flush, FLUSH_MS, FLUSH_MS);
  listen_signal (&v, &v.term, SIGTERM, on_stop_signal);
  listen_signal (&v, &v.interrupt, SIGINT, on_stop_signal);
  listen_signal (&v, &v.hangup, SIGHUP, on_hangup);
  run (&v);
  return 0;
}
