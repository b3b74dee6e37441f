/* Requests for a model that no backend server has: they wait while the leader
   is asked to have it loaded.  */

#include "entry/entry_private.h"
#include "entry/trace.h"

#include <string.h>

enum
{
  WANT_MS = 900,      /* an answer that takes longer is asked for anew */
  AGAIN_MS = 100,     /* after a refusal */
  EXTRA_MS = 4000,    /* a copy that was told of shows in a report by then */
  DUE_LIFE_MS = 1000, /* what was told of a load's end is asked for anew */
  /* A caller that is about to leave is told when to come back: by then a
     first event would hardly be on its way.  */
  LEAVES_MS = 100,
  /* Callers honour Retry-After up to that part of the time they have left, as
     the users' protocol says.  */
  RETURN_SHARE = 3,
  RETRY_MS = 1000, /* nothing is known of a load */
  STATUS_UNAVAILABLE = 503,
};

/* A model that is asked for.  */
typedef struct
{
  pu_entry_t *en;
  char *model;
  bool asked;
  guint64 again_at; /* loop time, here and below */
  guint64 due_at;   /* a copy is not ready before */
  guint64 due_told; /* when that was told; 0: it was not */
} want_t;

void
pu_want_free (gpointer want)
{
  want_t *w = want;

  g_free (w->model);
  g_free (w);
}

bool
pu_model_wait_allowed (const pu_exchange_t *x)
{
  const pu_entry_t *en = x->en;

  return en->o.hooks.want != NULL && !x->q.plain && x->q.here
         && pu_document_find_model (en->document, x->q.model)
                != PU_HANDLE_NONE;
}

/* When the caller of X goes that has had nothing yet.  */
static guint64
leaves_at (const pu_exchange_t *x)
{
  return x->q.leaves != 0 ? x->q.leaves : x->q.deadline;
}

/* Whether the caller of X is served no worse if it comes back for the copy
   than if it waits here.  No copy will be ready while it stays; and either
   none will be before its deadline, or it would come back, after a third of
   the time it has left, no sooner than it would leave.  */
static bool
is_in_vain (const pu_exchange_t *x, const want_t *w, guint64 now)
{
  guint64 left = x->q.deadline - MIN (x->q.deadline, now);
  guint64 back_at = now + left / RETURN_SHARE;

  if (w->due_told == 0 || now >= w->due_told + DUE_LIFE_MS
      || w->due_at <= leaves_at (x))
    return false;
  return w->due_at > x->q.deadline || back_at >= leaves_at (x);
}

/* Ends X: its caller is told when a copy can be ready.  */
static void
want_refuse (pu_exchange_t *x, const want_t *w, guint64 now)
{
  const pu_refusal_t r
      = { STATUS_UNAVAILABLE, "copy", PU_RUN_OUTCOME_NOT_RUN,
          w->due_at > now ? (guint)(w->due_at - now) : RETRY_MS };

  x->wants = false;
  pu_exchange_fail (x, &r, "Its model is not loaded anywhere yet.");
}

typedef void want_fn (pu_exchange_t *x, const want_t *w, guint64 now);

/* FN for each exchange that waits for the model of W; it may end them.  */
static void
waiting_each (const want_t *w, want_fn *fn)
{
  pu_entry_t *en = w->en;
  GArray *numbers = g_array_new (FALSE, FALSE, sizeof (guint64));

  for (GList *l = en->open.head; l != NULL; l = l->next)
    {
      const pu_exchange_t *x = l->data;

      if (x->wants && strcmp (x->q.model, w->model) == 0)
        g_array_append_val (numbers, x->number);
    }
  for (guint i = 0; i < numbers->len; i++)
    {
      pu_exchange_t *x = g_hash_table_lookup (
          en->numbers, &g_array_index (numbers, guint64, i));

      if (x != NULL && x->wants)
        fn (x, w, uv_now (en->o.loop));
    }
  g_array_free (numbers, TRUE);
}

/* X is offered to the router again.  */
static void
offer_again (pu_exchange_t *x, const want_t *w, guint64 now)
{
  (void)w;
  (void)now;
  x->wants = false;
  pu_exchange_offer (x);
}

static void
refuse_in_vain (pu_exchange_t *x, const want_t *w, guint64 now)
{
  if (is_in_vain (x, w, now))
    want_refuse (x, w, now);
}

static void
due_take (want_t *w, const json_t *due)
{
  guint64 now = uv_now (w->en->o.loop);

  w->due_told = json_is_integer (due) ? now : 0;
  w->due_at = now + (guint64)MAX (0, json_integer_value (due));
}

static void
on_placed (void *data, json_t *place, const pu_error_t *e)
{
  want_t *w = data;
  pu_entry_t *en = w->en;
  const char *name = json_string_value (json_object_get (place, "backend"));
  pu_server_t *s = name != NULL ? pu_server_find (en, name) : NULL;

  (void)e;
  en->pending--;
  w->asked = false;
  w->again_at = uv_now (en->o.loop) + AGAIN_MS;
  due_take (w, json_object_get (place, "due_ms"));
  if (s != NULL && !s->down && !en->freed)
    {
      pu_server_mark_present (s, w->model, uv_now (en->o.loop) + EXTRA_MS);
      waiting_each (w, offer_again);
    }
  else if (!en->freed)
    {
      waiting_each (w, refuse_in_vain);
    }
  pu_entry_check_stopped (en);
}

static void
want_ask (want_t *w)
{
  pu_entry_t *en = w->en;

  w->asked = true;
  en->pending++;
  en->o.hooks.want (en->o.hooks.data, w->model, WANT_MS, on_placed, w);
}

static want_t *
want_get (pu_entry_t *en, const char *model)
{
  want_t *w = g_hash_table_lookup (en->wants, model);

  if (w != NULL)
    return w;
  w = g_new0 (want_t, 1);
  w->en = en;
  w->model = g_strdup (model);
  g_hash_table_insert (en->wants, w->model, w);
  return w;
}

void
pu_model_wait_begin (pu_exchange_t *x)
{
  pu_entry_t *en = x->en;
  guint64 now = uv_now (en->o.loop);
  want_t *w = want_get (en, x->q.model);

  if (is_in_vain (x, w, now))
    {
      want_refuse (x, w, now);
      return;
    }
  x->phase = PU_EXCHANGE_WAITING;
  x->wants = true;
  pu_trace_model_wait (x);
  if (!w->asked && now >= w->again_at)
    want_ask (w);
}

void
pu_model_wait_tick (pu_exchange_t *x, guint64 now)
{
  pu_entry_t *en = x->en;
  want_t *w = want_get (en, x->q.model);
  pu_router_model_t m = pu_router_find_model (en->router, x->q.model);

  if (m != PU_ROUTER_NONE && pu_router_ready_copies (en->router, m) > 0)
    {
      offer_again (x, w, now);
    }
  else if (now + LEAVES_MS >= leaves_at (x) || is_in_vain (x, w, now))
    {
      want_refuse (x, w, now);
    }
  else if (!w->asked && now >= w->again_at)
    {
      want_ask (w);
    }
}
