#include "placer/sequenced_private.h"

#include "placement/due.h"

/* Daemons that wait for a copy.  */

enum
{
  WANT_MS = 800, /* a copy that takes longer is asked for anew */
  WATCH_MS = 5,  /* between two looks at the copies that are waited for */
};

/* A daemon waits for a copy.  */
typedef struct
{
  pu_sequenced_t *s;
  GList link;
  pu_control_want_t *want;
  guint32 engine;
  guint32 item;
  guint64 until; /* ms */
} want_t;

static void on_watch (uv_timer_t *t);

/* The shorter of A and B that is told.  */
static guint32
least_told (guint32 a, guint32 b)
{
  return a > 0 && b > 0 ? MIN (a, b) : MAX (a, b);
}

/* How long until MODEL, or the base of the adapter that it is, can be ready
   anywhere; 0: nothing is known of that.  */
static guint32
model_due (pu_sequenced_t *s, guint32 item)
{
  lead_t *l = s->lead;
  guint32 base = pu_adapters_contains (l->adapters, item)
                     ? pu_adapters_base (l->adapters, item)
                     : item;
  pu_model_handle_t h
      = pu_document_find_model (l->document, pu_names_name (&l->items, base));
  GArray *engines = g_array_new (FALSE, FALSE, sizeof (pu_due_engine_t));
  pu_due_times_t t = { 0 };
  guint32 ms;

  if (h != PU_HANDLE_NONE)
    {
      const pu_model_t *m = pu_document_model (l->document, h);

      t.store_ms = m->load_ms;
      t.cached_load_ms = least_told (m->disk_load_ms, m->host_load_ms);
    }
  for (guint32 i = 0; i < l->engines->len; i++)
    {
      const engine_t *e = pu_sequenced_engine (l, i);
      pu_due_engine_t d = { i, false };

      if (e->name == NULL || !e->usable)
        continue;
      d.quick = g_hash_table_contains (e->cached, GUINT_TO_POINTER (base));
      g_array_append_val (engines, d);
    }
  ms = pu_due_ms (l->dispatcher,
                  (const pu_due_engine_t *)(void *)engines->data, engines->len,
                  base, &t, pu_sequenced_now (s));
  g_array_unref (engines);
  return ms;
}

/* No engine has ITEM or can be given it at once.  */
static void
answer_due (pu_sequenced_t *s, guint32 item, pu_control_want_t *want)
{
  guint32 ms = s->lead->document != NULL ? model_due (s, item) : 0;

  pu_control_want_answer (
      want, ms > 0 ? json_pack ("{s:I}", "due_ms", (json_int_t)ms) : NULL);
}

static void
want_answer (want_t *w, bool ready)
{
  pu_sequenced_t *s = w->s;
  json_t *place = NULL;

  if (ready)
    {
      place = json_pack ("{s:s}", "backend",
                         pu_sequenced_engine (s->lead, w->engine)->name);
    }
  g_queue_unlink (&s->wants, &w->link);
  pu_control_want_answer (w->want, place);
  g_free (w);
}

void
pu_sequenced_wants_check (pu_sequenced_t *s)
{
  GList *next;

  for (GList *l = s->wants.head; l != NULL; l = next)
    {
      want_t *w = l->data;
      pu_dispatcher_phase_t phase
          = pu_dispatcher_phase (s->lead->dispatcher, w->engine, w->item);

      next = l->next;
      if (phase == PU_DISPATCHER_READY)
        {
          want_answer (w, true);
        }
      else if (phase == PU_DISPATCHER_ABSENT
               || phase == PU_DISPATCHER_UNLOADING
               || pu_sequenced_now (s) >= w->until)
        {
          want_answer (w, false);
        }
    }
  if (s->wants.head != NULL && !uv_is_active ((uv_handle_t *)&s->watch))
    uv_timer_start (&s->watch, on_watch, WATCH_MS, 0);
}

static void
on_watch (uv_timer_t *t)
{
  pu_sequenced_t *s = t->data;

  if (s->lead == NULL)
    return;
  pu_sequenced_act (s);
  pu_sequenced_wants_check (s);
}

void
pu_sequenced_on_want (void *data, const char *model, pu_control_want_t *want)
{
  pu_sequenced_t *s = data;
  lead_t *l = s->lead;
  want_t *w;
  guint32 item;
  guint32 engine;

  if (l == NULL || !pu_names_find (&l->items, model, &item))
    {
      pu_control_want_answer (want, NULL);
      return;
    }
  /* Only adapters are loaded at once; models by the next plan.  */
  if (!pu_adapters_contains (l->adapters, item))
    {
      answer_due (s, item, want);
      return;
    }
  for (guint32 i = 0; i < l->engines->len; i++)
    pu_sequenced_engine_plan (s, i);
  engine = pu_adapters_ensure_loaded (l->adapters, item, pu_sequenced_now (s));
  if (engine == PU_ADAPTERS_NONE)
    {
      answer_due (s, item, want);
      return;
    }
  w = g_new0 (want_t, 1);
  w->s = s;
  w->link.data = w;
  w->want = want;
  w->engine = engine;
  w->item = item;
  w->until = pu_sequenced_now (s) + WANT_MS;
  g_queue_push_tail_link (&s->wants, &w->link);
  pu_sequenced_act (s);
  pu_sequenced_wants_check (s);
}

void
pu_sequenced_wants_refuse (pu_sequenced_t *s)
{
  want_t *w;

  while ((w = g_queue_peek_head (&s->wants)) != NULL)
    want_answer (w, false);
}
