#include "placer/sequenced_private.h"

#include "placement/due.h"

/* Requests of daemons for a copy of a model or adapter.  */

enum
{
  COPY_REQUEST_TIMEOUT_MS = 800, /* time-out of a request; a daemon requests a
                                    copy that takes longer again */
  CHECK_INTERVAL_MS = 5, /* interval between checks while requests wait */
  /* Hundreds of daemons ask for the same models and adapters.  For this time
     they get the same answer, and the engines count as they were.  */
  ANSWER_MAX_AGE_MS = 50,
};

/* The answer to a request for a copy that can't be had at once.  */
typedef struct
{
  guint32 due_ms; /* 0: unknown */
  guint64 computed_ms;
} due_time_t;

/* A request that waits until its copy is ready.  */
typedef struct
{
  pu_sequenced_t *owner;
  GList link;
  pu_control_copy_request_t *request;
  guint32 engine;
  guint32 item;
  guint64 deadline_ms;
} copy_request_t;

static void on_check_timer (uv_timer_t *t);

/* Returns the lesser of A and B, where 0 means unknown.  */
static guint32
min_known (guint32 a, guint32 b)
{
  return a > 0 && b > 0 ? MIN (a, b) : MAX (a, b);
}

/* Returns the milliseconds until the adapter ITEM may be loaded on one of the
   engines that hold its base model; 0: now, or no engine holds it.  */
static guint32
adapter_wait_ms (const pu_sequenced_t *s, guint32 item)
{
  const leader_state_t *l = s->leader;
  guint32 base = pu_adapters_base (l->adapters, item);
  guint32 wait_ms = G_MAXUINT32;

  for (guint32 i = 0; i < l->engines->len; i++)
    {
      const engine_t *e = pu_sequenced_get_engine (l, i);

      if (e->name != NULL && e->usable
          && pu_dispatcher_phase (l->dispatcher, i, base)
                 == PU_DISPATCHER_READY)
        wait_ms = MIN (wait_ms, pu_sequenced_order_wait_ms (s, i));
    }
  return wait_ms != G_MAXUINT32 ? wait_ms : 0;
}

/* Returns the milliseconds until ITEM or, if it is an adapter, its base model
   can be ready on any engine; 0: unknown.  */
static guint32
model_due_ms (pu_sequenced_t *s, guint32 item)
{
  leader_state_t *l = s->leader;
  guint32 base = pu_adapters_contains (l->adapters, item)
                     ? pu_adapters_base (l->adapters, item)
                     : item;
  pu_model_handle_t h = pu_document_find_model (
      l->document, pu_names_name (&l->item_names, base));
  GArray *engines = g_array_new (FALSE, FALSE, sizeof (pu_due_engine_t));
  pu_due_times_t t = { 0 };
  guint32 ms;

  if (h != PU_HANDLE_NONE)
    {
      const pu_model_t *m = pu_document_model (l->document, h);

      t.store_ms = m->load_ms;
      t.cached_load_ms = min_known (m->disk_load_ms, m->host_load_ms);
    }
  for (guint32 i = 0; i < l->engines->len; i++)
    {
      const engine_t *e = pu_sequenced_get_engine (l, i);
      pu_due_engine_t d = { .engine = i };

      if (e->name == NULL || !e->usable)
        continue;
      d.cached
          = g_hash_table_contains (e->cached_items, GUINT_TO_POINTER (base));
      d.wait_ms = pu_sequenced_order_wait_ms (s, i);
      g_array_append_val (engines, d);
    }
  ms = pu_due_ms (l->dispatcher,
                  (const pu_due_engine_t *)(void *)engines->data, engines->len,
                  base, &t, pu_sequenced_now (s));
  g_array_unref (engines);
  return ms;
}

/* Returns the current answer for ITEM, or NULL if there is none.  */
static const due_time_t *
find_due_time (const pu_sequenced_t *s, guint32 item)
{
  const due_time_t *t
      = g_hash_table_lookup (s->leader->due_times, GUINT_TO_POINTER (item));

  return t != NULL && pu_sequenced_now (s) < t->computed_ms + ANSWER_MAX_AGE_MS
             ? t
             : NULL;
}

static const due_time_t *
compute_due_time (pu_sequenced_t *s, guint32 item)
{
  due_time_t *t = g_new0 (due_time_t, 1);

  t->computed_ms = pu_sequenced_now (s);
  t->due_ms = s->leader->document != NULL ? model_due_ms (s, item) : 0;
  if (pu_adapters_contains (s->leader->adapters, item))
    t->due_ms = MAX (t->due_ms, adapter_wait_ms (s, item));
  g_hash_table_insert (s->leader->due_times, GUINT_TO_POINTER (item), t);
  return t;
}

/* Answers REQUEST with T, and when to ask again.  */
static void
answer_due (pu_sequenced_t *s, const due_time_t *t,
            pu_control_copy_request_t *request)
{
  json_t *answer = json_pack ("{s:I}", "ask_again_ms",
                              (json_int_t)s->leader->pace.interval_ms);

  if (t->due_ms > 0)
    {
      json_object_set_new (answer, "due_ms",
                           json_integer ((json_int_t)t->due_ms));
    }
  pu_control_copy_request_answer (request, answer);
}

static void
copy_request_answer (copy_request_t *r, bool ready)
{
  pu_sequenced_t *s = r->owner;
  json_t *place = NULL;

  if (ready)
    {
      place = json_pack ("{s:s}", "backend",
                         pu_sequenced_get_engine (s->leader, r->engine)->name);
    }
  g_queue_unlink (&s->copy_requests, &r->link);
  pu_control_copy_request_answer (r->request, place);
  g_free (r);
}

/* Answers R if its copy is ready, is no longer being loaded, or has timed
   out.  */
static void
copy_request_check (copy_request_t *r)
{
  pu_sequenced_t *s = r->owner;
  pu_dispatcher_phase_t phase
      = pu_dispatcher_phase (s->leader->dispatcher, r->engine, r->item);

  if (phase == PU_DISPATCHER_READY)
    {
      copy_request_answer (r, true);
    }
  else if (phase == PU_DISPATCHER_ABSENT || phase == PU_DISPATCHER_UNLOADING
           || pu_sequenced_now (s) >= r->deadline_ms)
    {
      copy_request_answer (r, false);
    }
}

static void
check_timer_start (pu_sequenced_t *s)
{
  if (s->copy_requests.head != NULL
      && !uv_is_active ((uv_handle_t *)&s->copy_request_timer))
    {
      uv_timer_start (&s->copy_request_timer, on_check_timer,
                      CHECK_INTERVAL_MS, 0);
    }
}

void
pu_sequenced_check_copy_requests (pu_sequenced_t *s)
{
  GList *next;

  for (GList *l = s->copy_requests.head; l != NULL; l = next)
    {
      next = l->next;
      copy_request_check (l->data);
    }
  check_timer_start (s);
}

static void
on_check_timer (uv_timer_t *t)
{
  pu_sequenced_t *s = t->data;

  if (s->leader == NULL)
    return;
  pu_sequenced_step (s);
  pu_sequenced_check_copy_requests (s);
}

/* Waits until ITEM, whose load on ENGINE has been queued, is ready there.  */
static void
copy_request_wait (pu_sequenced_t *s, guint32 item, guint32 engine,
                   pu_control_copy_request_t *request)
{
  copy_request_t *r = g_new0 (copy_request_t, 1);

  r->owner = s;
  r->link.data = r;
  r->request = request;
  r->engine = engine;
  r->item = item;
  r->deadline_ms = pu_sequenced_now (s) + COPY_REQUEST_TIMEOUT_MS;
  g_queue_push_tail_link (&s->copy_requests, &r->link);
  pu_sequenced_step_engine (s, engine);
  copy_request_check (r);
  check_timer_start (s);
}

void
pu_sequenced_on_copy_request (void *data, const char *model,
                              pu_control_copy_request_t *request)
{
  pu_sequenced_t *s = data;
  leader_state_t *l = s->leader;
  guint32 engine = PU_ADAPTERS_NONE;
  const due_time_t *t;
  guint32 item;

  if (l == NULL || !pu_names_find (&l->item_names, model, &item))
    {
      pu_control_copy_request_answer (request, NULL);
      return;
    }
  pu_copy_pace_add (&l->pace, pu_sequenced_now (s));
  t = find_due_time (s, item);
  /* Only adapters are loaded immediately; models wait for the next plan.  */
  if (t == NULL && pu_adapters_contains (l->adapters, item))
    {
      pu_sequenced_refresh_engines (s, ANSWER_MAX_AGE_MS);
      engine = pu_adapters_ensure_loaded (l->adapters, item,
                                          pu_sequenced_now (s));
    }
  if (engine != PU_ADAPTERS_NONE)
    {
      copy_request_wait (s, item, engine, request);
    }
  else
    {
      answer_due (s, t != NULL ? t : compute_due_time (s, item), request);
    }
}

void
pu_sequenced_refuse_copy_requests (pu_sequenced_t *s)
{
  copy_request_t *r;

  while ((r = g_queue_peek_head (&s->copy_requests)) != NULL)
    copy_request_answer (r, false);
}
