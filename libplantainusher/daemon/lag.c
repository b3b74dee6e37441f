#include "daemon/lag.h"

#include "base/log.h"

#define PART "daemon"

/* Between two lines of the log.  */
#define LOG_PERIOD_MS 1000

struct pu_lag
{
  uv_loop_t *loop;
  uv_check_t check;     /* runs after the loop has waited for events */
  uv_prepare_t prepare; /* runs before it waits */
  guint64 since;        /* loop time when the turn began; 0: none did */
  guint64 logged_at;
  pu_counters_t *counters;
  pu_counter_t turns;
  pu_counter_t blocked_ms;
  guint handles; /* not yet closed */
};

/* The loop's time was read when its wait ended, before the callbacks of what
   had arrived.  */
static void
on_check (uv_check_t *h)
{
  pu_lag_t *lag = h->data;

  lag->since = uv_now (lag->loop);
}

static void
on_prepare (uv_prepare_t *h)
{
  pu_lag_t *lag = h->data;
  guint64 now;

  uv_update_time (lag->loop);
  now = uv_now (lag->loop);
  if (lag->since == 0 || now - lag->since < PU_LAG_TOLD_MS)
    return;
  pu_counters_add (lag->counters, lag->turns, 1);
  pu_counters_add (lag->counters, lag->blocked_ms, (gint64)(now - lag->since));
  if (pu_log_limited (&lag->logged_at, now, LOG_PERIOD_MS))
    {
      pu_log_event (PART, "The event loop was blocked.",
                    PU_LOG_NUMBER ("ms", now - lag->since));
    }
}

pu_lag_t *
pu_lag_new (uv_loop_t *loop, pu_counters_t *counters)
{
  pu_lag_t *lag = g_new0 (pu_lag_t, 1);

  lag->loop = loop;
  lag->counters = counters;
  lag->turns = pu_counters_get (counters, "event_loop_blocked_total");
  lag->blocked_ms = pu_counters_get (counters, "event_loop_blocked_ms_total");
  uv_check_init (loop, &lag->check);
  uv_prepare_init (loop, &lag->prepare);
  lag->check.data = lag;
  lag->prepare.data = lag;
  lag->handles = 2;
  uv_check_start (&lag->check, on_check);
  uv_prepare_start (&lag->prepare, on_prepare);
  uv_unref ((uv_handle_t *)&lag->check);
  uv_unref ((uv_handle_t *)&lag->prepare);
  return lag;
}

static void
on_closed (uv_handle_t *h)
{
  pu_lag_t *lag = h->data;

  if (--lag->handles == 0)
    g_free (lag);
}

void
pu_lag_free (pu_lag_t *lag)
{
  if (lag == NULL)
    return;
  uv_close ((uv_handle_t *)&lag->check, on_closed);
  uv_close ((uv_handle_t *)&lag->prepare, on_closed);
}
