#include "daemon/memory_watch.h"

#include <unistd.h>

#include "base/log.h"
#include "rpc/rpc.h"

#define PART "daemon"

/* A link of 1,000 Mbit/s brings 12 MB in this time.  */
#define CHECK_MS 100

#define BYTES_PER_MB ((uint64_t)1 << 20)

struct pu_memory_watch
{
  pu_memory_budget_t budget;
  uv_timer_t *timer;
  int resident; /* descriptor */
  pu_counters_t *counters;
  pu_counter_t used;
  pu_counter_t level;
  pu_counter_t arriving;
  pu_counter_t refused;
};

static void
on_check (uv_timer_t *t)
{
  pu_memory_watch_t *m = t->data;
  bool changed = pu_memory_budget_update (
      &m->budget, pu_memory_read_resident (m->resident));

  pu_counters_set (m->counters, m->used, (gint64)m->budget.used);
  pu_counters_set (m->counters, m->level, m->budget.level);
  pu_counters_set (m->counters, m->arriving, (gint64)m->budget.arriving);
  pu_counters_set (m->counters, m->refused, (gint64)m->budget.refused);
  if (changed)
    {
      pu_log_event (
          PART, "The memory level changed.",
          PU_LOG_TEXT ("level", pu_memory_level_name (m->budget.level)),
          PU_LOG_NUMBER ("used_mb", m->budget.used / BYTES_PER_MB),
          PU_LOG_NUMBER ("limit_mb", m->budget.limit / BYTES_PER_MB));
    }
}

pu_memory_watch_t *
pu_memory_watch_new (uv_loop_t *loop, pu_counters_t *counters,
                     guint32 limit_mb)
{
  pu_memory_watch_t *m = g_new0 (pu_memory_watch_t, 1);

  m->budget.limit
      = limit_mb != 0 ? limit_mb * BYTES_PER_MB : pu_memory_cgroup_limit ();
  m->counters = counters;
  m->used = pu_counters_get (counters, "memory_resident_bytes");
  m->level = pu_counters_get (counters, "memory_level");
  m->arriving = pu_counters_get (counters, "memory_arriving_bytes");
  m->refused = pu_counters_get (counters, "memory_arriving_refused_total");
  pu_counters_set (counters, pu_counters_get (counters, "memory_limit_bytes"),
                   (gint64)m->budget.limit);
  m->resident = pu_memory_open_resident ();
  if (m->resident < 0)
    {
      pu_log_warn (PART, "The memory of this process is not known; its limit "
                         "is not watched.");
    }
  m->timer = pu_rpc_timer_new (loop, m);
  uv_timer_start (m->timer, on_check, 0, CHECK_MS);
  uv_unref ((uv_handle_t *)m->timer);
  return m;
}

void
pu_memory_watch_free (pu_memory_watch_t *m)
{
  if (m == NULL)
    return;
  pu_rpc_timer_free (m->timer);
  if (m->resident >= 0)
    close (m->resident);
  g_free (m);
}

pu_memory_budget_t *
pu_memory_watch_budget (pu_memory_watch_t *m)
{
  return &m->budget;
}
