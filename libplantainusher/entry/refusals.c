/* Reports to the leader of engines that refuse connections from this instance.
   With the leader's own refusal they tell of a crash (placement/outages.h). */

#include "entry/entry_private.h"

#include "base/log.h"

enum
{
  /* Interval of the reports while an engine refuses connections: a new leader
     knows of none.  */
  REFUSAL_REPORT_INTERVAL_MS = 500,
};

static void
on_refusal_reported (void *data, json_t *reply, const pu_error_t *e)
{
  pu_server_t *s = data;
  pu_entry_t *en = s->en;

  en->pending--;
  s->refusal_reporting = false;
  if (reply == NULL)
    {
      pu_log_debug (PU_ENTRY_LOG_SLICE,
                    "The leader was not told that backend server %s refuses "
                    "connections: %s",
                    s->name, e != NULL ? e->message : "no reply.");
    }
  pu_entry_check_stopped (en);
}

void
pu_server_refused (pu_server_t *s)
{
  pu_entry_t *en = s->en;
  guint64 now = uv_now (en->o.loop);

  if (en->o.hooks.report_refusal == NULL || s->plain || s->down
      || s->refusal_reporting || now < s->refusal_report_at)
    return;
  s->refusal_reporting = true;
  s->refusal_report_at = now + REFUSAL_REPORT_INTERVAL_MS;
  en->pending++;
  en->o.hooks.report_refusal (en->o.hooks.data, s->name, s->incarnation,
                              REFUSAL_REPORT_INTERVAL_MS, on_refusal_reported,
                              s);
}
