/* Requests for a model without a ready copy wait while the leader is asked to
   have it loaded.  */

#include "entry/entry_private.h"
#include "entry/trace.h"

#include <string.h>

enum
{
  LOAD_REQUEST_TIMEOUT_MS = 900, /* timeout; then a new request is sent */
  LOAD_REQUEST_BACKOFF_MS = 100, /* from a reply to the next request, at least;
                                    doubled for each reply that is an error */
  LOAD_REQUEST_BACKOFF_MAX_MS = 5000,
  BACKOFF_DOUBLINGS_MAX = 4,
  BACKOFF_JITTER_PCT = 25,
  /* How long a copy that the leader named counts as ready without a report.
     Within this time its backend server reports it.  */
  UNREPORTED_COPY_MS = 4000,
  READY_ESTIMATE_TTL_MS = 1000, /* lifetime of a ready_at estimate after the
                                   next request is due */
  /* A waiting request is refused with a Retry-After this long before its
     caller disconnects: a first event would hardly reach the caller in the
     remaining time.  */
  CALLER_LEAVE_MARGIN_MS = 100,
  /* Callers honour a Retry-After of up to the time left until their deadline
     divided by this number, as the users' protocol specifies.  */
  RETRY_AFTER_DIVISOR = 3,
  DEFAULT_RETRY_AFTER_MS = 1000, /* Retry-After without an estimate */
  STATUS_UNAVAILABLE = 503,
};

/* A model that the leader is asked to load.  */
typedef struct
{
  pu_entry_t *en;
  char *model;
  bool in_flight;   /* a load request was sent to the leader and has no
                       reply yet */
  guint failures;   /* replies in a row that were errors */
  guint64 retry_at; /* loop time of the next load request */
  guint64 ready_at; /* estimated loop time before which no copy is ready */
  guint64 estimate_until; /* loop time until which ready_at is valid; 0: it is
                             not known */
} model_wait_t;

void
pu_model_wait_free (gpointer wait)
{
  model_wait_t *w = wait;

  g_free (w->model);
  g_free (w);
}

bool
pu_model_wait_allowed (const pu_exchange_t *x)
{
  const pu_entry_t *en = x->en;

  return en->o.hooks.request_model_load != NULL && !x->q.plain
         && x->q.any_entry
         && pu_document_find_model (en->document, x->q.model)
                != PU_HANDLE_NONE;
}

/* When the caller of X disconnects if it has received nothing.  */
static guint64
caller_leaves_at (const pu_exchange_t *x)
{
  return x->q.disconnect_at != 0 ? x->q.disconnect_at : x->q.deadline;
}

/* Whether the caller of X is served no worse by retrying later than by waiting
   at this entry.  False without a current estimate that no copy will be ready
   before the caller disconnects.  With such an estimate, a retry is no worse
   if no copy will be ready before the deadline, or if the caller, retrying
   after a third of the time it has left, would return no sooner than it would
   disconnect.  */
static bool
is_retry_no_worse (const pu_exchange_t *x, const model_wait_t *w, guint64 now)
{
  guint64 left = x->q.deadline - MIN (x->q.deadline, now);
  guint64 returns_at = now + left / RETRY_AFTER_DIVISOR;

  if (now >= w->estimate_until || w->ready_at <= caller_leaves_at (x))
    return false;
  return w->ready_at > x->q.deadline || returns_at >= caller_leaves_at (x);
}

/* Refuses X with a Retry-After of the estimated time until a copy is
   ready.  */
static void
wait_refuse (pu_exchange_t *x, const model_wait_t *w, guint64 now)
{
  const pu_refusal_t r = { STATUS_UNAVAILABLE, "copy", PU_RUN_OUTCOME_NOT_RUN,
                           w->ready_at > now ? (guint)(w->ready_at - now)
                                             : DEFAULT_RETRY_AFTER_MS };

  x->waits_for_model = false;
  pu_exchange_fail (x, &r,
                    "The model is not loaded on any backend server yet.");
}

typedef void waiting_fn (pu_exchange_t *x, const model_wait_t *w, guint64 now);

/* Calls FN for each exchange that waits for the model of W.  FN may end
   exchanges.  */
static void
waiting_exchanges_each (const model_wait_t *w, waiting_fn *fn)
{
  pu_entry_t *en = w->en;
  GArray *numbers = g_array_new (FALSE, FALSE, sizeof (guint64));

  for (GList *l = en->open.head; l != NULL; l = l->next)
    {
      const pu_exchange_t *x = l->data;

      if (x->waits_for_model && strcmp (x->q.model, w->model) == 0)
        g_array_append_val (numbers, x->number);
    }
  for (guint i = 0; i < numbers->len; i++)
    {
      pu_exchange_t *x = g_hash_table_lookup (
          en->numbers, &g_array_index (numbers, guint64, i));

      if (x != NULL && x->waits_for_model)
        fn (x, w, uv_now (en->o.loop));
    }
  g_array_free (numbers, TRUE);
}

/* Ends the wait of X by offering it to the router again.  */
static void
wait_end (pu_exchange_t *x, const model_wait_t *w, guint64 now)
{
  (void)w;
  (void)now;
  x->waits_for_model = false;
  pu_exchange_offer (x);
}

static void
wait_refuse_if_useless (pu_exchange_t *x, const model_wait_t *w, guint64 now)
{
  if (is_retry_no_worse (x, w, now))
    wait_refuse (x, w, now);
}

static void
ready_estimate_set (model_wait_t *w, const json_t *due)
{
  guint64 now = uv_now (w->en->o.loop);

  w->estimate_until
      = json_is_integer (due) ? w->retry_at + READY_ESTIMATE_TTL_MS : 0;
  w->ready_at = now + (guint64)MAX (0, json_integer_value (due));
}

/* Returns the pause until the next load request: what the leader asks for, or
   a growing one after errors; with jitter, so that the daemons do not ask all
   at once.  */
static guint
backoff_ms (const model_wait_t *w, json_t *reply)
{
  json_int_t told
      = json_integer_value (json_object_get (reply, "ask_again_ms"));
  guint own = (guint)LOAD_REQUEST_BACKOFF_MS
              << MIN (w->failures, BACKOFF_DOUBLINGS_MAX);
  guint ms = (guint)CLAMP (told, (json_int_t)own, LOAD_REQUEST_BACKOFF_MAX_MS);
  guint jitter = ms * BACKOFF_JITTER_PCT / 100;

  return ms - jitter
         + (guint)g_rand_int_range (w->en->random, 0, (gint)(2 * jitter) + 1);
}

static void
on_load_reply (void *data, json_t *reply, const pu_error_t *e)
{
  model_wait_t *w = data;
  pu_entry_t *en = w->en;
  const char *name = json_string_value (json_object_get (reply, "backend"));
  pu_server_t *s = name != NULL ? pu_server_find (en, name) : NULL;

  en->pending--;
  w->in_flight = false;
  /* PU_ERROR_NOT_FOUND is the leader's answer that it expects no copy.  */
  w->failures
      = reply != NULL || e->kind == PU_ERROR_NOT_FOUND ? 0 : w->failures + 1;
  w->retry_at = uv_now (en->o.loop) + backoff_ms (w, reply);
  ready_estimate_set (w, json_object_get (reply, "due_ms"));
  if (s != NULL && !s->down && !en->freed)
    {
      pu_server_mark_present (s, w->model,
                              uv_now (en->o.loop) + UNREPORTED_COPY_MS);
      waiting_exchanges_each (w, wait_end);
    }
  else if (!en->freed)
    {
      waiting_exchanges_each (w, wait_refuse_if_useless);
    }
  pu_entry_check_stopped (en);
}

static void
load_request_send (model_wait_t *w)
{
  pu_entry_t *en = w->en;

  w->in_flight = true;
  en->pending++;
  en->o.hooks.request_model_load (en->o.hooks.data, w->model,
                                  LOAD_REQUEST_TIMEOUT_MS, on_load_reply, w);
}

static model_wait_t *
model_wait_get (pu_entry_t *en, const char *model)
{
  model_wait_t *w = g_hash_table_lookup (en->model_waits, model);

  if (w != NULL)
    return w;
  w = g_new0 (model_wait_t, 1);
  w->en = en;
  w->model = g_strdup (model);
  g_hash_table_insert (en->model_waits, w->model, w);
  return w;
}

/* A GHRFunc: whether the document of the entry DATA does not declare MODEL and
   no load request of WAIT is in flight.  */
static gboolean
is_stale (gpointer model, gpointer wait, gpointer data)
{
  const pu_entry_t *en = data;

  return !((const model_wait_t *)wait)->in_flight
         && pu_document_find_model (en->document, model) == PU_HANDLE_NONE;
}

void
pu_model_waits_remove_stale (pu_entry_t *en)
{
  g_hash_table_foreach_remove (en->model_waits, is_stale, en);
}

void
pu_model_wait_begin (pu_exchange_t *x)
{
  pu_entry_t *en = x->en;
  guint64 now = uv_now (en->o.loop);
  model_wait_t *w = model_wait_get (en, x->q.model);

  if (is_retry_no_worse (x, w, now))
    {
      wait_refuse (x, w, now);
      return;
    }
  x->phase = PU_EXCHANGE_WAITING;
  x->waits_for_model = true;
  pu_trace_model_wait (x);
  if (!w->in_flight && now >= w->retry_at)
    load_request_send (w);
}

void
pu_model_wait_tick (pu_exchange_t *x, guint64 now)
{
  pu_entry_t *en = x->en;
  model_wait_t *w = model_wait_get (en, x->q.model);
  pu_router_model_t m = pu_router_find_model (en->router, x->q.model);

  if (m != PU_ROUTER_NONE && pu_router_ready_copies (en->router, m) > 0)
    {
      wait_end (x, w, now);
    }
  else if (now + CALLER_LEAVE_MARGIN_MS >= caller_leaves_at (x)
           || is_retry_no_worse (x, w, now))
    {
      wait_refuse (x, w, now);
    }
  else if (!w->in_flight && now >= w->retry_at)
    {
      load_request_send (w);
    }
}
