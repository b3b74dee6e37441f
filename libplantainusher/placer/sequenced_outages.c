#include "placer/sequenced_private.h"

#include <string.h>

#include "base/log.h"

/* Engines that have crashed, as entries report and this leader's own calls
   confirm.  They are down at once, rather than at the end of their lease, so
   that entries ask for other copies of their models.  Their memory is not
   taken as free: that an engine counts its orders makes it safe to order one
   that is up after all.  */

#define PART "placer"

static void
on_down_proposed (void *data, const pu_reply *r, const pu_error_t *e)
{
  (void)data;
  (void)r;
  if (e->kind != PU_OK)
    {
      pu_log_info (PART,
                   "An engine that refuses connections was not recorded "
                   "as down: %s",
                   e->message);
    }
}

static void
propose_down (pu_sequenced_t *s, guint32 engine)
{
  const engine_t *e = pu_sequenced_get_engine (s->leader, engine);
  pu_command c = { .type = PU_COMMAND_BACKEND_DOWN };

  pu_log_note (PART,
               "Backend server %s refuses connections from this instance and "
               "from others: it is down.",
               e->name);
  c.pu_command_u.backend_down.name = e->name;
  c.pu_command_u.backend_down.incarnation = e->incarnation;
  pu_control_propose (s->options.control, &c, on_down_proposed, NULL);
}

static bool
is_only_engine (const leader_state_t *l, guint32 engine)
{
  for (guint32 i = 0; i < l->engines->len; i++)
    {
      if (i != engine && pu_sequenced_get_engine (l, i)->in_state)
        return false;
    }
  return true;
}

void
pu_sequenced_probe_another (pu_sequenced_t *s, guint32 engine)
{
  leader_state_t *l = s->leader;
  guint64 now = pu_sequenced_now (s);

  for (guint n = 0; n < l->engines->len; n++)
    {
      guint32 i = l->next_probe++ % l->engines->len;

      if (i != engine && pu_sequenced_get_engine (l, i)->in_state
          && !pu_outages_refuses (l->outages, i, now))
        {
          pu_sequenced_probe (s, i);
          return;
        }
    }
}

static void
propose_down_if_out (pu_sequenced_t *s, guint32 engine)
{
  pu_outages_t *o = s->leader->outages;
  guint64 now = pu_sequenced_now (s);

  if (pu_outages_confirm (o, engine, is_only_engine (s->leader, engine), now))
    {
      propose_down (s, engine);
    }
  else if (pu_outages_is_suspected (o, engine, now))
    {
      pu_sequenced_probe_another (s, engine);
    }
}

/* Proposes the outages that a connection to another engine confirms.  */
static void
propose_confirmed (pu_sequenced_t *s)
{
  guint32 engine;

  while (s->leader != NULL
         && pu_outages_confirm_next (s->leader->outages, pu_sequenced_now (s),
                                     &engine))
    propose_down (s, engine);
}

/* Returns the handle of the engine NAME in INCARNATION, if it is up.  */
static bool
find_engine (const leader_state_t *l, const char *name, guint64 incarnation,
             guint32 *engine)
{
  for (guint32 i = 0; i < l->engines->len; i++)
    {
      const engine_t *e = pu_sequenced_get_engine (l, i);

      if (e->name == NULL || !e->in_state || e->incarnation != incarnation
          || strcmp (e->name, name) != 0)
        continue;
      *engine = i;
      return true;
    }
  return false;
}

void
pu_sequenced_on_refusal (void *data, const char *name, uint64_t incarnation,
                         const char *instance)
{
  pu_sequenced_t *s = data;
  guint64 now = pu_sequenced_now (s);
  guint32 engine;

  if (s->leader == NULL
      || !find_engine (s->leader, name, incarnation, &engine))
    return;
  pu_dispatcher_request_report (s->leader->dispatcher, engine, now);
  if (strcmp (instance, s->options.name) != 0)
    {
      pu_outages_add_report (s->leader->outages, engine, now);
      propose_down_if_out (s, engine);
    }
  if (s->leader != NULL)
    pu_sequenced_step_engine (s, engine);
}

void
pu_sequenced_note_connection (pu_sequenced_t *s, guint64 started)
{
  pu_outages_add_connection (s->leader->outages, started);
  propose_confirmed (s);
}

void
pu_sequenced_note_call (pu_sequenced_t *s, guint32 engine,
                        const pu_http_result_t *result, guint64 started)
{
  if (result->refused)
    {
      pu_outages_add_refusal (s->leader->outages, engine,
                              pu_sequenced_now (s));
      propose_down_if_out (s, engine);
    }
  else if (result->head)
    {
      pu_outages_add_answer (s->leader->outages, engine, started);
      if (!result->reused)
        pu_sequenced_note_connection (s, started);
    }
}
