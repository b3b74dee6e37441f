#include "placement/orders.h"

#define MS_PER_S 1000.0
#define DEFAULT_LEASE_MS 3000
#define DEFAULT_SEND_MS 5000
#define DEFAULT_TRANSIT_MS 5000
#define DEFAULT_REPORT_MS 5000
#define DEFAULT_RETRY_MS 1000
#define DEFAULT_LOAD_TIMEOUT_MS 180000
#define DEFAULT_UNLOAD_TIMEOUT_MS 120000
#define DEFAULT_QUEUE_TIMEOUT_MS 30000
#define DEFAULT_BACKOFF_MS 5000
#define DEFAULT_BACKOFF_MAX_MS 300000
#define DEFAULT_MAX_ORDERS_PER_ENGINE 2
#define DEFAULT_LOADS_PER_S 2.0
#define DEFAULT_MAX_STORE_LOADS 3
#define RELEASE_RETRY_MS 1000
#define BACKOFF_DOUBLINGS 8
/* Number of retry intervals (retry_ms), counted from the proposal of an order,
   for which later orders to the same token-checking engine wait for the
   acknowledgement of that order.  */
#define ACK_WAIT_RETRIES 2

typedef struct
{
  guint failures;
  guint64 until;
} backoff_t;

/* A backend server's state by its last report.  */
typedef struct
{
  guint64 incarnation;
  guint64 token;
  bool fenced;
  bool down;
} server_t;

struct pu_orders
{
  pu_orders_options_t o;
  GPtrArray *orders;    /* of pu_orders_order_t, oldest first */
  GHashTable *backoffs; /* backend and copy -> backoff_t */
  GHashTable *servers;  /* backend -> server_t */
  guint32 last_id;
  guint64 inherited_until; /* when the orders of the previous leader expire,
                              ms */
  double load_credit;      /* token bucket filled at loads_per_s; proposing a
                              load takes 1 */
  guint64 load_credit_at;  /* when load_credit was last refilled, ms */
};

void
pu_orders_options_init (pu_orders_options_t *o)
{
  o->lease_ms = DEFAULT_LEASE_MS;
  o->send_ms = DEFAULT_SEND_MS;
  o->transit_ms = DEFAULT_TRANSIT_MS;
  o->report_ms = DEFAULT_REPORT_MS;
  o->retry_ms = DEFAULT_RETRY_MS;
  o->load_timeout_ms = DEFAULT_LOAD_TIMEOUT_MS;
  o->unload_timeout_ms = DEFAULT_UNLOAD_TIMEOUT_MS;
  o->queue_timeout_ms = DEFAULT_QUEUE_TIMEOUT_MS;
  o->backoff_ms = DEFAULT_BACKOFF_MS;
  o->backoff_max_ms = DEFAULT_BACKOFF_MAX_MS;
  o->max_orders_per_engine = DEFAULT_MAX_ORDERS_PER_ENGINE;
  o->loads_per_s = DEFAULT_LOADS_PER_S;
  o->max_store_loads = DEFAULT_MAX_STORE_LOADS;
  o->test_breaks = PU_ORDERS_BREAK_NONE;
}

guint64
pu_orders_life_ms (const pu_orders_options_t *o)
{
  return o->send_ms + o->transit_ms + o->report_ms;
}

static void
order_free (gpointer data)
{
  pu_orders_order_t *r = data;

  g_free ((char *)r->spec.reason);
  g_free (r);
}

static bool
break_enabled (const pu_orders_t *o, pu_orders_break_t b)
{
  return (o->o.test_breaks & b) != 0;
}

pu_orders_t *
pu_orders_new (const pu_orders_options_t *options, guint64 now)
{
  pu_orders_t *o = g_new0 (pu_orders_t, 1);

  o->o = *options;
  o->orders = g_ptr_array_new_with_free_func (order_free);
  o->backoffs
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  o->servers = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  o->inherited_until = now;
  if (!break_enabled (o, PU_ORDERS_BREAK_NO_TAKEOVER_WAIT))
    o->inherited_until += options->lease_ms + pu_orders_life_ms (options);
  o->load_credit = 1;
  o->load_credit_at = now;
  return o;
}

void
pu_orders_free (pu_orders_t *o)
{
  if (o == NULL)
    return;
  g_ptr_array_unref (o->orders);
  g_hash_table_unref (o->backoffs);
  g_hash_table_unref (o->servers);
  g_free (o);
}

void
pu_orders_set_store_limits (pu_orders_t *o, double loads_per_s,
                            guint max_store_loads)
{
  o->o.loads_per_s = loads_per_s;
  o->o.max_store_loads = max_store_loads;
}

static guint64
backoff_key (guint32 backend, guint32 copy)
{
  return (guint64)backend << 32 | copy;
}

guint
pu_orders_failures (const pu_orders_t *o, guint32 backend, guint32 copy,
                    guint64 *until)
{
  guint64 key = backoff_key (backend, copy);
  const backoff_t *b = g_hash_table_lookup (o->backoffs, &key);

  if (until != NULL)
    *until = b != NULL ? b->until : 0;
  return b != NULL ? b->failures : 0;
}

static void
back_off (pu_orders_t *o, const pu_orders_spec_t *w, guint64 now)
{
  guint64 key = backoff_key (w->backend, w->copy);
  backoff_t *b = g_hash_table_lookup (o->backoffs, &key);
  guint64 wait;

  if (b == NULL)
    {
      b = g_new0 (backoff_t, 1);
      g_hash_table_insert (o->backoffs, g_memdup2 (&key, sizeof key), b);
    }
  wait = o->o.backoff_ms << MIN (b->failures, BACKOFF_DOUBLINGS);
  b->failures++;
  b->until = now + MIN (wait, o->o.backoff_max_ms);
}

static pu_orders_order_t *
order_at (const pu_orders_t *o, guint i)
{
  return g_ptr_array_index (o->orders, i);
}

static pu_orders_order_t *
find_token (const pu_orders_t *o, guint64 token)
{
  for (guint i = 0; i < o->orders->len; i++)
    {
      if (order_at (o, i)->token == token)
        return order_at (o, i);
    }
  return NULL;
}

static pu_orders_order_t *
find_id (const pu_orders_t *o, guint32 id)
{
  for (guint i = 0; i < o->orders->len; i++)
    {
      if (order_at (o, i)->id == id)
        return order_at (o, i);
    }
  return NULL;
}

static void
set_state (pu_orders_order_t *r, pu_orders_state_t state, guint64 now)
{
  r->state = state;
  r->state_since = now;
  r->acknowledged = r->acknowledged || state == PU_ORDERS_ACKED;
}

/* Whether the order R has been proposed and is neither done nor failed.  */
static bool
in_flight (const pu_orders_order_t *r)
{
  return r->state >= PU_ORDERS_PROPOSED && r->state <= PU_ORDERS_ACKED;
}

static pu_orders_order_t *
add_order (pu_orders_t *o, const pu_orders_spec_t *w, guint64 now)
{
  pu_orders_order_t *r = g_new0 (pu_orders_order_t, 1);

  r->id = ++o->last_id;
  r->spec = *w;
  r->spec.reason = g_strdup (w->reason != NULL ? w->reason : "");
  r->state_since = now;
  g_ptr_array_add (o->orders, r);
  return r;
}

void
pu_orders_adopt (pu_orders_t *o, const pu_ledger_order_t *open, bool fenced,
                 guint64 now)
{
  pu_orders_spec_t w = { 0 };
  pu_orders_order_t *r;

  if (find_token (o, open->token) != NULL)
    return;
  w.kind = open->kind;
  w.backend = open->backend;
  w.incarnation = open->incarnation;
  w.fenced = fenced;
  w.copy = open->copy;
  w.memory_mb = open->memory_mb;
  w.reason = "adopted from the previous leader";
  r = add_order (o, &w, now);
  r->token = open->token;
  r->state = PU_ORDERS_SENT;
  r->inherited = true;
  r->ever_sent = true;
  r->send_deadline = 0;
  r->expires_at = o->inherited_until;
}

bool
pu_orders_may_load (const pu_orders_t *o, guint32 backend, bool fenced,
                    guint64 now)
{
  if (fenced || now >= o->inherited_until)
    return true;
  for (guint i = 0; i < o->orders->len; i++)
    {
      const pu_orders_order_t *r = order_at (o, i);

      if (r->inherited && r->spec.backend == backend)
        return false;
    }
  return true;
}

bool
pu_orders_loads_suspended (const pu_orders_t *o, guint64 now)
{
  if (now >= o->inherited_until)
    return false;
  for (guint i = 0; i < o->orders->len; i++)
    {
      const pu_orders_order_t *r = order_at (o, i);

      if (r->inherited && !r->spec.fenced)
        return true;
    }
  return false;
}

/* Whether the existing order R forbids a new order W.  On an engine that
   ignores tokens, a delivery of an earlier unload that arrives late could undo
   a later load.  */
static bool
conflicts (const pu_orders_order_t *r, const pu_orders_spec_t *w)
{
  if (r->spec.backend != w->backend || r->spec.copy != w->copy)
    return false;
  if (r->state <= PU_ORDERS_ACKED)
    return true;
  return !w->fenced && w->kind == PU_LEDGER_LOAD
         && r->spec.kind == PU_LEDGER_UNLOAD;
}

guint32
pu_orders_enqueue (pu_orders_t *o, const pu_orders_spec_t *w, guint64 now)
{
  guint64 until;

  if (w->kind == PU_LEDGER_LOAD
      && !pu_orders_may_load (o, w->backend, w->fenced, now))
    return 0;
  pu_orders_failures (o, w->backend, w->copy, &until);
  if (now < until)
    return 0;
  for (guint i = 0; i < o->orders->len; i++)
    {
      if (conflicts (order_at (o, i), w))
        return 0;
    }
  return add_order (o, w, now)->id;
}

void
pu_orders_handle_reserved (pu_orders_t *o, guint32 id, bool accepted,
                           guint64 token, guint64 now)
{
  pu_orders_order_t *r = find_id (o, id);

  if (r == NULL || r->state != PU_ORDERS_PROPOSED)
    return;
  if (!accepted)
    {
      back_off (o, &r->spec, now);
      g_ptr_array_remove (o->orders, r);
      return;
    }
  r->token = token;
  set_state (r, PU_ORDERS_RESERVED, now);
}

void
pu_orders_handle_unsent (pu_orders_t *o, guint64 token, guint64 now)
{
  pu_orders_order_t *r = find_token (o, token);

  if (r == NULL || r->state != PU_ORDERS_SENT || r->inherited)
    return;
  r->tries--;
  if (r->tries > 0)
    return;
  r->ever_sent = false;
  set_state (r, PU_ORDERS_RESERVED, now);
}

static void
fail_order (pu_orders_t *o, pu_orders_order_t *r, guint64 now)
{
  set_state (r, PU_ORDERS_FAILED, now);
  back_off (o, &r->spec, now);
}

void
pu_orders_handle_answer (pu_orders_t *o, guint64 token, pu_orders_answer_t a,
                         guint64 now)
{
  pu_orders_order_t *r = find_token (o, token);

  if (r == NULL)
    return;
  r->answer_lost = r->answer_lost || a == PU_ORDERS_LOST;
  if (a == PU_ORDERS_LOST || r->state != PU_ORDERS_SENT)
    return;
  if (a == PU_ORDERS_ACCEPTED)
    {
      set_state (r, PU_ORDERS_ACKED, now);
    }
  else
    {
      fail_order (o, r, now);
    }
}

static const pu_ledger_copy_t *
find_reported_copy (const pu_ledger_report_t *r, guint32 copy)
{
  for (guint i = 0; i < r->n_held; i++)
    {
      if (r->held[i].copy == copy)
        return &r->held[i];
    }
  return NULL;
}

/* Advances the state of the order R by a report of the engine process that R
   is for.  */
static void
apply_report (pu_orders_t *o, pu_orders_order_t *r,
              const pu_ledger_report_t *report, guint64 now)
{
  const pu_ledger_copy_t *h = find_reported_copy (report, r->spec.copy);
  guint64 key = backoff_key (r->spec.backend, r->spec.copy);
  bool load = r->spec.kind == PU_LEDGER_LOAD;
  bool done = load ? h != NULL && h->phase == PU_LEDGER_READY : h == NULL;

  if (r->state != PU_ORDERS_SENT && r->state != PU_ORDERS_ACKED)
    return;
  if (done)
    {
      set_state (r, PU_ORDERS_DONE, now);
      g_hash_table_remove (o->backoffs, &key);
      return;
    }
  if (load && h != NULL && r->state == PU_ORDERS_SENT)
    set_state (r, PU_ORDERS_ACKED, now);
}

static server_t *
find_server (const pu_orders_t *o, guint32 backend)
{
  return g_hash_table_lookup (o->servers, GUINT_TO_POINTER (backend));
}

static server_t *
ensure_server (pu_orders_t *o, guint32 backend)
{
  server_t *v = find_server (o, backend);

  if (v != NULL)
    return v;
  v = g_new0 (server_t, 1);
  g_hash_table_insert (o->servers, GUINT_TO_POINTER (backend), v);
  return v;
}

/* Fails the order R, whose engine process is gone or unreachable, so that R is
   not sent any more.  A proposed order is left as it is until the result of
   its reservation is known.  */
static void
stop_sending (pu_orders_order_t *r, guint64 now)
{
  if (r->state <= PU_ORDERS_ACKED && r->state != PU_ORDERS_PROPOSED)
    set_state (r, PU_ORDERS_FAILED, now);
}

void
pu_orders_handle_report (pu_orders_t *o, const pu_ledger_report_t *report,
                         guint64 now)
{
  server_t *v = ensure_server (o, report->backend);

  v->incarnation = report->incarnation;
  v->token = report->token;
  v->fenced = report->fenced;
  v->down = false;
  for (guint i = 0; i < o->orders->len; i++)
    {
      pu_orders_order_t *r = order_at (o, i);
      const pu_ledger_copy_t *h;

      if (r->spec.backend != report->backend)
        continue;
      h = find_reported_copy (report, r->spec.copy);
      r->copy_reported = h != NULL;
      r->copy_loading = h != NULL && h->phase == PU_LEDGER_LOADING;
      if (r->spec.incarnation != report->incarnation)
        {
          stop_sending (r, now);
        }
      else
        {
          apply_report (o, r, report, now);
        }
    }
}

void
pu_orders_backend_down (pu_orders_t *o, guint32 backend, guint64 now)
{
  ensure_server (o, backend)->down = true;
  for (guint i = 0; i < o->orders->len; i++)
    {
      pu_orders_order_t *r = order_at (o, i);

      if (r->spec.backend == backend)
        stop_sending (r, now);
    }
}

void
pu_orders_handle_closed (pu_orders_t *o, guint64 token)
{
  pu_orders_order_t *r = find_token (o, token);

  if (r == NULL)
    return;
  /* An acknowledged order may still be executing on the engine, so it stays in
     the list until its result is known.  */
  if (r->state == PU_ORDERS_ACKED)
    {
      r->next_release_at = G_MAXUINT64;
      return;
    }
  g_ptr_array_remove (o->orders, r);
}

void
pu_orders_cancel (pu_orders_t *o, guint32 id, guint64 now)
{
  pu_orders_order_t *r = find_id (o, id);

  if (r == NULL || r->state > PU_ORDERS_ACKED)
    return;
  set_state (r, PU_ORDERS_FAILED, now);
  if (!r->ever_sent)
    r->expires_at = now;
}

static void
add_action (GArray *actions, pu_orders_action_kind_t kind,
            const pu_orders_order_t *r)
{
  pu_orders_action_t a;

  a.kind = kind;
  a.order = *r;
  g_array_append_val (actions, a);
}

static guint
count_in_flight (const pu_orders_t *o, guint32 backend)
{
  guint n = 0;

  for (guint i = 0; i < o->orders->len; i++)
    {
      const pu_orders_order_t *r = order_at (o, i);

      n += r->spec.backend == backend && in_flight (r);
    }
  return n;
}

static guint
count_loads_in_flight (const pu_orders_t *o)
{
  guint n = 0;

  for (guint i = 0; i < o->orders->len; i++)
    {
      const pu_orders_order_t *r = order_at (o, i);

      n += r->spec.kind == PU_LEDGER_LOAD && in_flight (r);
    }
  return n;
}

/* Refills the token bucket for the weights store's limit on loads per second.
   The bucket holds at most the loads of one second, but at least one load.  */
static void
refill_load_credit (pu_orders_t *o, guint64 now)
{
  double ms = now - o->load_credit_at;

  o->load_credit = MIN (MAX (1.0, o->o.loads_per_s),
                        o->load_credit + ms / MS_PER_S * o->o.loads_per_s);
  o->load_credit_at = now;
}

static bool
store_allows_load (pu_orders_t *o)
{
  return o->load_credit >= 1.0
         && count_loads_in_flight (o) < o->o.max_store_loads;
}

static void
propose_order (pu_orders_t *o, pu_orders_order_t *r, guint64 now,
               GArray *actions)
{
  bool load = r->spec.kind == PU_LEDGER_LOAD;

  if (count_in_flight (o, r->spec.backend) >= o->o.max_orders_per_engine)
    return;
  if (load && !store_allows_load (o))
    return;
  o->load_credit -= load;
  r->proposed_at = now;
  r->send_deadline = now + o->o.send_ms;
  r->expires_at = now + pu_orders_life_ms (&o->o);
  set_state (r, PU_ORDERS_PROPOSED, now);
  add_action (actions, PU_ORDERS_ACTION_RESERVE, r);
  if (break_enabled (o, PU_ORDERS_BREAK_SEND_UNRESERVED))
    add_action (actions, PU_ORDERS_ACTION_SEND, r);
}

/* Whether R must wait for the acknowledgement of an order with an earlier
   token to the same token-checking engine.  */
static bool
must_wait_for_ack (const pu_orders_t *o, const pu_orders_order_t *r,
                   guint64 now)
{
  for (guint i = 0; r->spec.fenced && i < o->orders->len; i++)
    {
      const pu_orders_order_t *q = order_at (o, i);
      bool waits = q->state == PU_ORDERS_RESERVED
                   || (q->state == PU_ORDERS_SENT && !q->inherited);

      if (q->spec.backend != r->spec.backend || q->token >= r->token)
        continue;
      if (waits && now < q->proposed_at + ACK_WAIT_RETRIES * o->o.retry_ms)
        return true;
    }
  return false;
}

static void
send_order (pu_orders_t *o, pu_orders_order_t *r, guint64 now, GArray *actions)
{
  if (r->inherited || now >= r->send_deadline)
    return;
  if (r->ever_sent && now < r->last_sent_at + o->o.retry_ms)
    return;
  if (!r->ever_sent && must_wait_for_ack (o, r, now))
    return;
  r->ever_sent = true;
  r->last_sent_at = now;
  r->tries++;
  if (r->state == PU_ORDERS_RESERVED)
    set_state (r, PU_ORDERS_SENT, now);
  add_action (actions, PU_ORDERS_ACTION_SEND, r);
}

static bool
checks_tokens (const pu_orders_t *o, const pu_orders_order_t *r)
{
  const server_t *v = find_server (o, r->spec.backend);

  return v != NULL ? v->fenced : r->spec.fenced;
}

/* Whether the engine that R is for checks tokens and has reported a later
   token than that of R.  */
static bool
fenced_off (const pu_orders_t *o, const pu_orders_order_t *r)
{
  const server_t *v = find_server (o, r->spec.backend);

  return v != NULL && v->fenced && !v->down && r->token != 0
         && r->token < v->token;
}

/* Whether R is an acknowledged load whose copy is absent, although the engine
   has reported the token of R or a later one, or has had report_ms to report
   the copy.  */
static bool
acked_but_absent (const pu_orders_t *o, const pu_orders_order_t *r,
                  guint64 now)
{
  const server_t *v = find_server (o, r->spec.backend);

  if (r->spec.kind != PU_LEDGER_LOAD || r->state != PU_ORDERS_ACKED
      || r->copy_reported)
    return false;
  if (v == NULL || v->down || v->incarnation != r->spec.incarnation)
    return false;
  return v->token >= r->token || now >= r->state_since + o->o.report_ms;
}

/* Whether the order R has failed for one of these reasons: it was not
   acknowledged within its lifetime, or within report_ms when it is inherited
   and its engine checks tokens; it was acknowledged but not completed within
   load_timeout_ms or unload_timeout_ms; it is an acknowledged load whose copy
   is absent; or the engine has reported a later token and not the copy of
   R.  */
static bool
has_failed (const pu_orders_t *o, const pu_orders_order_t *r, guint64 now)
{
  guint64 limit = r->spec.kind == PU_LEDGER_LOAD ? o->o.load_timeout_ms
                                                 : o->o.unload_timeout_ms;

  if (in_flight (r) && fenced_off (o, r) && !r->copy_reported)
    return true;
  if (acked_but_absent (o, r, now))
    return true;
  switch (r->state)
    {
    case PU_ORDERS_RESERVED:
    case PU_ORDERS_SENT:
      /* The effect of an inherited order shows in a report within report_ms.
         If none has shown by then, the order fails, so that it can be fenced
         off.  */
      if (r->inherited && checks_tokens (o, r))
        return now >= r->state_since + o->o.report_ms;
      return now >= r->expires_at;
    case PU_ORDERS_ACKED:
      return now >= r->state_since + limit;
    default:
      return false;
    }
}

/* Whether the order R has not been sent and can no longer be.  */
static bool
is_unsendable (const pu_orders_order_t *r, guint64 now)
{
  return r->state == PU_ORDERS_RESERVED && !r->ever_sent
         && now >= r->send_deadline;
}

/* Fails the order R, which was never sent.  It has no effect on its engine, so
   it expires now, and its copy may be ordered again without a back-off.  */
static void
fail_unsent_order (pu_orders_order_t *r, guint64 now, GArray *actions)
{
  set_state (r, PU_ORDERS_FAILED, now);
  r->expires_at = now;
  add_action (actions, PU_ORDERS_ACTION_UNSENT, r);
}

static void
advance_order (pu_orders_t *o, pu_orders_order_t *r, guint64 now,
               GArray *actions)
{
  if (is_unsendable (r, now))
    {
      fail_unsent_order (r, now, actions);
      return;
    }
  if (has_failed (o, r, now))
    {
      fail_order (o, r, now);
      add_action (actions, PU_ORDERS_ACTION_FAIL, r);
      return;
    }
  if (r->state == PU_ORDERS_QUEUED)
    {
      propose_order (o, r, now, actions);
    }
  else if (r->state == PU_ORDERS_RESERVED || r->state == PU_ORDERS_SENT)
    {
      send_order (o, r, now, actions);
    }
}

/* Whether the ledger accepts a RELEASE of R after the lifetime of R has
   ended.  */
static bool
may_release (const pu_orders_t *o, const pu_orders_order_t *r)
{
  if (r->spec.kind == PU_LEDGER_UNLOAD)
    return !r->ever_sent || !checks_tokens (o, r) || !r->copy_reported;
  return !r->copy_loading && (!checks_tokens (o, r) || fenced_off (o, r));
}

/* Whether a deliberate fault of the tests (pu_orders_break_t) releases R
   before the end of its lifetime.  */
static bool
break_releases (const pu_orders_t *o, const pu_orders_order_t *r, guint64 now)
{
  if (r->state != PU_ORDERS_SENT || r->inherited)
    return false;
  if (break_enabled (o, PU_ORDERS_BREAK_RELEASE_ON_TIMEOUT))
    return now >= r->proposed_at + o->o.retry_ms;
  return r->answer_lost
         && break_enabled (o, PU_ORDERS_BREAK_RELEASE_ON_LOST_ANSWER);
}

static void
release_order (pu_orders_t *o, pu_orders_order_t *r, guint64 now,
               GArray *actions)
{
  bool over = now >= r->expires_at && may_release (o, r);

  if (r->token == 0 || r->next_release_at > now)
    return;
  if (!over && !break_releases (o, r, now))
    return;
  r->next_release_at = now + RELEASE_RETRY_MS;
  add_action (actions, PU_ORDERS_ACTION_RELEASE, r);
}

/* Requests another order, with a later token, when a delayed or duplicate
   delivery of R could still take effect: a load whose copy is absent keeps its
   memory reserved, and a failed unload could still remove the copy, which is
   present.  */
static void
fence_order (pu_orders_t *o, const pu_orders_order_t *r, GArray *actions)
{
  const server_t *v = find_server (o, r->spec.backend);
  bool load = r->spec.kind == PU_LEDGER_LOAD;
  bool over
      = r->state == PU_ORDERS_FAILED || (r->state == PU_ORDERS_DONE && load);

  if (!over || r->token == 0 || r->copy_reported == load || fenced_off (o, r))
    return;
  if (v == NULL || v->down || !v->fenced)
    return;
  if (r->next_release_at != G_MAXUINT64
      && count_in_flight (o, r->spec.backend) == 0)
    add_action (actions, PU_ORDERS_ACTION_FENCE, r);
}

static bool
is_removable (const pu_orders_t *o, const pu_orders_order_t *r, guint64 now)
{
  bool over = r->state >= PU_ORDERS_DONE;

  if (r->state == PU_ORDERS_QUEUED)
    return now >= r->state_since + o->o.queue_timeout_ms;
  return over && (r->token == 0 || r->next_release_at == G_MAXUINT64);
}

void
pu_orders_step (pu_orders_t *o, guint64 now, GArray *actions)
{
  refill_load_credit (o, now);
  for (guint i = 0; i < o->orders->len; i++)
    advance_order (o, order_at (o, i), now, actions);
  for (guint i = 0; i < o->orders->len; i++)
    {
      release_order (o, order_at (o, i), now, actions);
      fence_order (o, order_at (o, i), actions);
    }
  for (guint i = o->orders->len; i-- > 0;)
    {
      if (is_removable (o, order_at (o, i), now))
        g_ptr_array_remove_index (o->orders, i);
    }
}

guint
pu_orders_count (const pu_orders_t *o)
{
  return o->orders->len;
}

const pu_orders_order_t *
pu_orders_get (const pu_orders_t *o, guint i)
{
  return order_at (o, i);
}

const char *
pu_orders_state_name (pu_orders_state_t state)
{
  switch (state)
    {
    case PU_ORDERS_QUEUED:
      return "queued";
    case PU_ORDERS_PROPOSED:
      return "proposed";
    case PU_ORDERS_RESERVED:
      return "reserved";
    case PU_ORDERS_SENT:
      return "sent";
    case PU_ORDERS_ACKED:
      return "acknowledged";
    case PU_ORDERS_DONE:
      return "done";
    case PU_ORDERS_FAILED:
      return "failed";
    }
  return "?";
}
