/* Requests for a model that no backend server has: they wait while the leader
   is asked to have it loaded.  */

#include "entry/entry_private.h"
#include "entry/trace.h"

#include <string.h>

enum
{
  WANT_MS = 900,   /* an answer that takes longer is asked for anew */
  AGAIN_MS = 100,  /* after a refusal */
  EXTRA_MS = 4000, /* a copy that was told of shows in a report by then */
};

/* A model that is asked for.  */
typedef struct
{
  pu_entry_t *en;
  char *model;
  bool asked;
  guint64 again_at; /* loop time */
} want_t;

void
pu_want_free (gpointer want)
{
  want_t *w = want;

  g_free (w->model);
  g_free (w);
}

bool
pu_want_may (const pu_exchange_t *x)
{
  const pu_entry_t *en = x->en;

  return en->o.hooks.want != NULL && !x->q.plain && x->q.here
         && pu_document_find_model (en->document, x->q.model)
                != PU_HANDLE_NONE;
}

/* Those that wait for MODEL are offered to the router again.  */
static void
waiting_offer (pu_entry_t *en, const char *model)
{
  GArray *numbers = g_array_new (FALSE, FALSE, sizeof (guint64));

  for (GList *l = en->open.head; l != NULL; l = l->next)
    {
      const pu_exchange_t *x = l->data;

      if (x->wants && strcmp (x->q.model, model) == 0)
        g_array_append_val (numbers, x->number);
    }
  for (guint i = 0; i < numbers->len; i++)
    {
      pu_exchange_t *x = g_hash_table_lookup (
          en->numbers, &g_array_index (numbers, guint64, i));

      if (x == NULL || !x->wants)
        continue;
      x->wants = false;
      pu_exchange_offer (x);
    }
  g_array_free (numbers, TRUE);
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
  if (s != NULL && !s->down && !en->freed)
    {
      pu_server_extra (s, w->model, uv_now (en->o.loop) + EXTRA_MS);
      waiting_offer (en, w->model);
    }
  pu_entry_check (en);
}

static void
want_ask (want_t *w)
{
  pu_entry_t *en = w->en;

  w->asked = true;
  en->pending++;
  en->o.hooks.want (en->o.hooks.data, w->model, WANT_MS, on_placed, w);
}

void
pu_want_begin (pu_exchange_t *x)
{
  pu_entry_t *en = x->en;
  want_t *w = g_hash_table_lookup (en->wants, x->q.model);

  x->phase = PU_X_WAITING;
  x->wants = true;
  pu_trace_wants (x);
  if (w == NULL)
    {
      w = g_new0 (want_t, 1);
      w->en = en;
      w->model = g_strdup (x->q.model);
      g_hash_table_insert (en->wants, w->model, w);
    }
  if (!w->asked && uv_now (en->o.loop) >= w->again_at)
    want_ask (w);
}

void
pu_want_tick (pu_exchange_t *x, guint64 now)
{
  pu_entry_t *en = x->en;
  want_t *w = g_hash_table_lookup (en->wants, x->q.model);
  pu_router_model_t m = pu_router_find_model (en->router, x->q.model);

  if (m != PU_ROUTER_NONE && pu_router_ready_copies (en->router, m) > 0)
    {
      x->wants = false;
      pu_exchange_offer (x);
    }
  else if (w != NULL && !w->asked && now >= w->again_at)
    {
      want_ask (w);
    }
}
