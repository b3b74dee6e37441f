#include "daemon/daemon.h"

#include "base/breaks.h"
#include "base/log.h"
#include "daemon/parts.h"

#define PART "daemon"
#define STOP_TICK_MS 20
#define LEAVE_MS 2000  /* for the log to take that it leaves */
#define DEPART_MS 1000 /* for the log to take that it is down */
#define HAND_MS 2000   /* for another voter to lead */
#define CLOSE_MS 500   /* for idle connections of operators to be closed */
#define MS_PER_S 1000

/* --- the planned stop, phase by phase --- */

static void
enter (pu_daemon_t *d, pu_daemon_phase_t phase)
{
  d->phase = phase;
  d->phase_since = uv_now (d->loop);
}

static uint64_t
in_phase_ms (const pu_daemon_t *d)
{
  return uv_now (d->loop) - d->phase_since;
}

/* Another voter leads while this one serves what is left, so that no vote is
   needed when it is killed before its end.  */
static void
on_left (void *data, const pu_reply *r, const pu_error_t *e)
{
  pu_daemon_t *d = data;

  (void)r;
  if (e->kind != PU_OK)
    pu_log_warn (PART, "Leaving is not in the log: %s", e->message);
  if (d->control != NULL)
    pu_control_begin_stop (d->control);
}

static void
on_departed (void *data, const pu_reply *r, const pu_error_t *e)
{
  pu_daemon_t *d = data;

  (void)r;
  if (e->kind != PU_OK)
    pu_log_warn (PART, "The departure is not in the log: %s", e->message);
  if (d->control != NULL)
    pu_control_step_down (d->control);
  enter (d, PU_DAEMON_HANDING);
}

static void
begin_departing (pu_daemon_t *d)
{
  enter (d, PU_DAEMON_DEPARTING);
  pu_agent_depart (d->agent, DEPART_MS, on_departed, d);
}

static void
on_entry_stopped (void *data)
{
  begin_departing (data);
}

static void
on_control_closed (void *data)
{
  pu_daemon_t *d = data;

  d->control = NULL;
  pu_daemon_allowances_end (d);
  pu_placer_free (d->placer);
  d->placer = NULL;
  pu_sequenced_free (d->sequenced);
  d->sequenced = NULL;
  d->closed_control = true;
}

static void
on_operators_stopped (void *data)
{
  pu_daemon_t *d = data;

  d->closed_operators = true;
}

static void
on_platform_stopped (void *data)
{
  pu_daemon_t *d = data;

  d->closed_platform = true;
}

static void
begin_finishing (pu_daemon_t *d)
{
  enter (d, PU_DAEMON_FINISHING);
  if (d->entry != NULL)
    {
      pu_entry_stop (d->entry, on_entry_stopped, d);
    }
  else
    {
      begin_departing (d);
    }
}

static void
begin_closing (pu_daemon_t *d)
{
  enter (d, PU_DAEMON_CLOSING);
  d->closed_control = d->control == NULL;
  if (d->control != NULL)
    pu_control_close (d->control, on_control_closed, d);
  pu_http_server_stop (d->operators, on_operators_stopped, d);
  pu_metrics_free (d->metrics);
  d->metrics = NULL;
  d->closed_platform = d->platform == NULL;
  if (d->platform != NULL)
    pu_platform_stop (d->platform, on_platform_stopped, d);
}

/* How long callers may still come with an old answer about entries.  */
static uint64_t
leave_ms (const pu_daemon_t *d)
{
  const pu_settings_timing_t *t = &d->settings->timing;

  if (d->entry == NULL || d->hurry)
    return 0;
  if (t->leave_ms > 0)
    return t->leave_ms;
  return (uint64_t)t->entries_ttl_s * MS_PER_S + STOP_TICK_MS;
}

static void
step_handing (pu_daemon_t *d)
{
  bool leads = d->control != NULL && pu_control_is_leader (d->control);

  if (leads && in_phase_ms (d) < HAND_MS)
    return;
  begin_closing (d);
}

static void
step_finishing (pu_daemon_t *d)
{
  uint64_t limit = (uint64_t)(d->settings->limits.drain_s * MS_PER_S);
  guint open = pu_entry_in_flight (d->entry);

  if (!d->hurry && in_phase_ms (d) < limit
      && !pu_break_active (PU_BREAK_STOP_CUTS))
    return;
  if (open > 0)
    {
      pu_log_warn (PART, "Gave up %u requests at the end of the drain time.",
                   open);
    }
  pu_entry_abort (d->entry);
}

static void
listeners_abort (pu_daemon_t *d)
{
  pu_http_server_abort (d->operators);
  if (d->platform != NULL)
    pu_platform_abort (d->platform);
}

static void
step_closing (pu_daemon_t *d)
{
  if (in_phase_ms (d) > CLOSE_MS)
    listeners_abort (d);
  if (!d->closed_control || !d->closed_operators || !d->closed_platform)
    return;
  enter (d, PU_DAEMON_STOPPED);
  uv_timer_stop (&d->timer);
  pu_log_note (PART, "Stopped.");
  if (d->stopped != NULL)
    d->stopped (d->stopped_data);
}

static void
on_stop_tick (uv_timer_t *timer)
{
  pu_daemon_t *d = timer->data;

  switch (d->phase)
    {
    case PU_DAEMON_RUNNING:
    case PU_DAEMON_STOPPED:
      return;
    case PU_DAEMON_LEAVING:
      if (in_phase_ms (d) >= leave_ms (d))
        begin_finishing (d);
      return;
    case PU_DAEMON_FINISHING:
      step_finishing (d);
      return;
    case PU_DAEMON_DEPARTING:
      /* The next phase begins in on_departed.  */
      return;
    case PU_DAEMON_HANDING:
      step_handing (d);
      return;
    case PU_DAEMON_CLOSING:
      step_closing (d);
      return;
    }
}

void
pu_daemon_stop (pu_daemon_t *d, void (*stopped) (void *data), void *data)
{
  d->stopped = stopped;
  d->stopped_data = data;
  if (d->phase != PU_DAEMON_RUNNING)
    {
      d->hurry = true;
      return;
    }
  pu_log_note (PART, "Stopping: new callers are sent elsewhere.");
  enter (d, PU_DAEMON_LEAVING);
  if (d->entry != NULL)
    pu_entry_leave (d->entry);
  pu_agent_leave (d->agent, LEAVE_MS, on_left, d);
  uv_timer_start (&d->timer, on_stop_tick, STOP_TICK_MS, STOP_TICK_MS);
}

/* --- the rest --- */

static void
warn_of_fixed (const pu_daemon_t *d, const pu_settings_t *s)
{
  char **fixed = pu_settings_restart_diff (d->started, s);

  for (char **f = fixed; *f != NULL; f++)
    pu_log_warn (PART, "A change of %s needs a restart.", *f);
  g_strfreev (fixed);
}

static void
apply_settings (pu_daemon_t *d)
{
  const pu_settings_t *s = d->settings;
  pu_operator_key_t *keys = pu_daemon_operator_keys (s);
  pu_entry_options_t o;

  pu_operator_set_keys (d->operator, keys, s->keys.operators.n);
  g_free (keys);
  if (d->entry != NULL)
    {
      pu_entry_options_init (&o);
      pu_daemon_entry_reloadable (s, &o);
      pu_entry_reload (d->entry, &o);
    }
  if (d->control != NULL)
    pu_control_set_claims_max (d->control, s->limits.max_claims);
  pu_log_set_level (pu_settings_log_level (s));
}

/* The parts hold strings of the settings that they were made from.  */
static void
free_settings (pu_daemon_t *d)
{
  if (d->settings != d->started)
    pu_settings_free (d->settings);
  d->settings = NULL;
}

/* Where else a voter may be asked from now on.  */
static void
take_join (pu_daemon_t *d, const pu_settings_t *s)
{
  GPtrArray *join = pu_daemon_join_addresses (s);

  pu_agent_join_add (d->agent, (const char *const *)join->pdata, join->len);
  g_ptr_array_free (join, TRUE);
}

void
pu_daemon_reload (pu_daemon_t *d, pu_settings_t *s)
{
  if (pu_settings_on_platform (s))
    pu_platform_settings (s);
  take_join (d, s);
  warn_of_fixed (d, s);
  pu_settings_keep_restart_fields (s, d->started);
  free_settings (d);
  d->settings = s;
  apply_settings (d);
  pu_log_note (PART, "Read the settings again.");
}

static void
free_parts (pu_daemon_t *d)
{
  pu_metrics_free (d->metrics);
  if (d->operators != NULL)
    pu_http_server_free (d->operators);
  pu_operator_free (d->operator);
  pu_platform_free (d->platform);
  if (d->entry != NULL)
    pu_entry_free (d->entry);
  pu_origin_file_free (d->origin_file);
  if (d->agent != NULL)
    pu_agent_free (d->agent);
  if (d->peers != NULL)
    pu_rpc_server_free (d->peers);
  pu_daemon_allowances_end (d);
  pu_lag_free (d->lag);
  pu_memory_watch_free (d->memory);
  pu_counters_free (d->counters);
}

static void
on_timer_closed (uv_handle_t *h)
{
  pu_daemon_t *d = h->data;

  g_free (d);
}

void
pu_daemon_free (pu_daemon_t *d)
{
  free_parts (d);
  free_settings (d);
  pu_settings_free (d->started);
  uv_close ((uv_handle_t *)&d->timer, on_timer_closed);
}

pu_daemon_t *
pu_daemon_new (uv_loop_t *loop, pu_settings_t *s, pu_error_t *e)
{
  pu_daemon_t *d = g_new0 (pu_daemon_t, 1);

  if (pu_settings_on_platform (s))
    pu_platform_settings (s);
  d->loop = loop;
  d->started = s;
  d->settings = s;
  d->counters = pu_counters_new ();
  d->lag = pu_lag_new (loop, d->counters);
  d->memory = pu_memory_watch_new (loop, d->counters, s->limits.memory_mb);
  uv_timer_init (loop, &d->timer);
  d->timer.data = d;
  uv_update_time (loop);
  if (pu_daemon_build (d, e))
    return d;
  /* The process ends after a failed start: what was built is left to it.  */
  return NULL;
}
