#include "placement/orders.h"

#define MS_PER_S 1000.0
#define DEFAULT_LEASE_MS 3000
#define DEFAULT_SEND_MS 5000
#define DEFAULT_TRANSIT_MS 5000
#define DEFAULT_REPORT_MS 5000
#define DEFAULT_RETRY_MS 1000
#define DEFAULT_LOAD_MS 180000
#define DEFAULT_UNLOAD_MS 120000
#define DEFAULT_QUEUE_MS 30000
#define DEFAULT_BACKOFF_MS 5000
#define DEFAULT_BACKOFF_MAX_MS 300000
#define DEFAULT_PER_ENGINE 2
#define DEFAULT_LOADS_PER_S 2.0
#define DEFAULT_LOADS_AT_ONCE 3
#define RELEASE_RETRY_MS 1000
#define BACKOFF_DOUBLINGS 8
/* Retries after which an order to a fenced engine holds back no others.  */
#define HOLD_RETRIES 2

typedef struct
{
  guint failures;
  guint64 until;
} backoff_t;

/* What the last report said of a backend server.  */
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
  guint64 quiet_until; /* the leader before may still be heard of */
  double loads;        /* the store lets begin now */
  guint64 loads_at;    /* when that was counted */
};

void
pu_orders_options_init (pu_orders_options_t *o)
{
  o->lease_ms = DEFAULT_LEASE_MS;
  o->send_ms = DEFAULT_SEND_MS;
  o->transit_ms = DEFAULT_TRANSIT_MS;
  o->report_ms = DEFAULT_REPORT_MS;
  o->retry_ms = DEFAULT_RETRY_MS;
  o->load_ms = DEFAULT_LOAD_MS;
  o->unload_ms = DEFAULT_UNLOAD_MS;
  o->queue_ms = DEFAULT_QUEUE_MS;
  o->backoff_ms = DEFAULT_BACKOFF_MS;
  o->backoff_max_ms = DEFAULT_BACKOFF_MAX_MS;
  o->max_orders_per_engine = DEFAULT_PER_ENGINE;
  o->loads_per_s = DEFAULT_LOADS_PER_S;
  o->max_store_loads = DEFAULT_LOADS_AT_ONCE;
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
broken (const pu_orders_t *o, pu_orders_break_t b)
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
  o->quiet_until = now;
  if (!broken (o, PU_ORDERS_BREAK_NO_WAIT))
    o->quiet_until += options->lease_ms + pu_orders_life_ms (options);
  o->loads = 1;
  o->loads_at = now;
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
  r->changed = now;
}

/* Whether something may still come of the order by itself.  */
static bool
under_way (const pu_orders_order_t *r)
{
  return r->state >= PU_ORDERS_PROPOSED && r->state <= PU_ORDERS_ACKED;
}

static pu_orders_order_t *
add (pu_orders_t *o, const pu_orders_spec_t *w, guint64 now)
{
  pu_orders_order_t *r = g_new0 (pu_orders_order_t, 1);

  r->id = ++o->last_id;
  r->spec = *w;
  r->spec.reason = g_strdup (w->reason != NULL ? w->reason : "");
  r->changed = now;
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
  w.reason = "taken over";
  r = add (o, &w, now);
  r->token = open->token;
  r->state = PU_ORDERS_SENT;
  r->inherited = true;
  r->ever_sent = true;
  r->send_deadline = 0;
  r->life_until = o->quiet_until;
}

bool
pu_orders_may_load (const pu_orders_t *o, guint32 backend, bool fenced,
                    guint64 now)
{
  if (fenced || now >= o->quiet_until)
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
  if (now >= o->quiet_until)
    return false;
  for (guint i = 0; i < o->orders->len; i++)
    {
      const pu_orders_order_t *r = order_at (o, i);

      if (r->inherited && !r->spec.fenced)
        return true;
    }
  return false;
}

/* Whether an order that is open already stands against W.  A late unload of
   an engine that ignores tokens could undo a load.  */
static bool
stands_against (const pu_orders_order_t *r, const pu_orders_spec_t *w)
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
      if (stands_against (order_at (o, i), w))
        return 0;
    }
  return add (o, w, now)->id;
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

static void
fail (pu_orders_t *o, pu_orders_order_t *r, guint64 now)
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
  r->lost = r->lost || a == PU_ORDERS_LOST;
  if (a == PU_ORDERS_LOST || r->state != PU_ORDERS_SENT)
    return;
  if (a == PU_ORDERS_ACCEPTED)
    {
      set_state (r, PU_ORDERS_ACKED, now);
    }
  else
    {
      fail (o, r, now);
    }
}

static const pu_ledger_copy_t *
find_held (const pu_ledger_report_t *r, guint32 copy)
{
  for (guint i = 0; i < r->n_held; i++)
    {
      if (r->held[i].copy == copy)
        return &r->held[i];
    }
  return NULL;
}

/* What a report of the same incarnation says of the order R.  */
static void
see (pu_orders_t *o, pu_orders_order_t *r, const pu_ledger_report_t *report,
     guint64 now)
{
  const pu_ledger_copy_t *h = find_held (report, r->spec.copy);
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
make_server (pu_orders_t *o, guint32 backend)
{
  server_t *v = find_server (o, backend);

  if (v != NULL)
    return v;
  v = g_new0 (server_t, 1);
  g_hash_table_insert (o->servers, GUINT_TO_POINTER (backend), v);
  return v;
}

/* Nothing more is sent of R: its process is gone, or out of reach.  */
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
  server_t *v = make_server (o, report->backend);

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
      h = find_held (report, r->spec.copy);
      r->held = h != NULL;
      r->loading = h != NULL && h->phase == PU_LEDGER_LOADING;
      if (r->spec.incarnation != report->incarnation)
        {
          stop_sending (r, now);
        }
      else
        {
          see (o, r, report, now);
        }
    }
}

void
pu_orders_down (pu_orders_t *o, guint32 backend, guint64 now)
{
  make_server (o, backend)->down = true;
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
  /* A load may go on when its order can no longer arrive: follow it.  */
  if (r->state == PU_ORDERS_ACKED)
    {
      r->release_at = G_MAXUINT64;
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
    r->life_until = now;
}

static void
act (GArray *actions, pu_orders_do_t what, const pu_orders_order_t *r)
{
  pu_orders_action_t a;

  a.what = what;
  a.order = *r;
  g_array_append_val (actions, a);
}

static guint
count_engine (const pu_orders_t *o, guint32 backend)
{
  guint n = 0;

  for (guint i = 0; i < o->orders->len; i++)
    {
      const pu_orders_order_t *r = order_at (o, i);

      n += r->spec.backend == backend && under_way (r);
    }
  return n;
}

static guint
count_loads (const pu_orders_t *o)
{
  guint n = 0;

  for (guint i = 0; i < o->orders->len; i++)
    {
      const pu_orders_order_t *r = order_at (o, i);

      n += r->spec.kind == PU_LEDGER_LOAD && under_way (r);
    }
  return n;
}

/* At most a second's loads are saved up.  */
static void
refill (pu_orders_t *o, guint64 now)
{
  double ms = now - o->loads_at;

  o->loads = MIN (MAX (1.0, o->o.loads_per_s),
                  o->loads + ms / MS_PER_S * o->o.loads_per_s);
  o->loads_at = now;
}

static bool
store_takes (pu_orders_t *o)
{
  return o->loads >= 1.0 && count_loads (o) < o->o.max_store_loads;
}

static void
propose (pu_orders_t *o, pu_orders_order_t *r, guint64 now, GArray *actions)
{
  bool load = r->spec.kind == PU_LEDGER_LOAD;

  if (count_engine (o, r->spec.backend) >= o->o.max_orders_per_engine)
    return;
  if (load && !store_takes (o))
    return;
  o->loads -= load;
  r->proposed = now;
  r->send_deadline = now + o->o.send_ms;
  r->life_until = now + pu_orders_life_ms (&o->o);
  set_state (r, PU_ORDERS_PROPOSED, now);
  act (actions, PU_ORDERS_ACTION_RESERVE, r);
  if (broken (o, PU_ORDERS_BREAK_UNLOGGED))
    act (actions, PU_ORDERS_ACTION_SEND, r);
}

/* Whether an order with an earlier token to the same fenced engine should be
   acknowledged first.  */
static bool
held_back (const pu_orders_t *o, const pu_orders_order_t *r, guint64 now)
{
  for (guint i = 0; r->spec.fenced && i < o->orders->len; i++)
    {
      const pu_orders_order_t *q = order_at (o, i);
      bool waits = q->state == PU_ORDERS_RESERVED
                   || (q->state == PU_ORDERS_SENT && !q->inherited);

      if (q->spec.backend != r->spec.backend || q->token >= r->token)
        continue;
      if (waits && now < q->proposed + HOLD_RETRIES * o->o.retry_ms)
        return true;
    }
  return false;
}

static void
send (pu_orders_t *o, pu_orders_order_t *r, guint64 now, GArray *actions)
{
  if (r->inherited || now >= r->send_deadline)
    return;
  if (r->ever_sent && now < r->last_send + o->o.retry_ms)
    return;
  if (!r->ever_sent && held_back (o, r, now))
    return;
  r->ever_sent = true;
  r->last_send = now;
  r->tries++;
  if (r->state == PU_ORDERS_RESERVED)
    set_state (r, PU_ORDERS_SENT, now);
  act (actions, PU_ORDERS_ACTION_SEND, r);
}

static bool
is_fenced (const pu_orders_t *o, const pu_orders_order_t *r)
{
  const server_t *v = find_server (o, r->spec.backend);

  return v != NULL ? v->fenced : r->spec.fenced;
}

/* Whether the engine has reported a later token.  */
static bool
fenced_off (const pu_orders_t *o, const pu_orders_order_t *r)
{
  const server_t *v = find_server (o, r->spec.backend);

  return v != NULL && v->fenced && !v->down && r->token != 0
         && r->token < v->token;
}

/* Whether a load was accepted and its copy is not there, though the engine has
   reported the order's token, or has had the time to report the copy.  */
static bool
came_to_nothing (const pu_orders_t *o, const pu_orders_order_t *r, guint64 now)
{
  const server_t *v = find_server (o, r->spec.backend);

  if (r->spec.kind != PU_LEDGER_LOAD || r->state != PU_ORDERS_ACKED || r->held)
    return false;
  if (v == NULL || v->down || v->incarnation != r->spec.incarnation)
    return false;
  return v->token >= r->token || now >= r->changed + o->o.report_ms;
}

/* Whether the order has had its time: no answer within its life, or accepted
   and not done.  */
static bool
too_late (const pu_orders_t *o, const pu_orders_order_t *r, guint64 now)
{
  guint64 limit
      = r->spec.kind == PU_LEDGER_LOAD ? o->o.load_ms : o->o.unload_ms;

  if (under_way (r) && fenced_off (o, r) && !r->held)
    return true;
  if (came_to_nothing (o, r, now))
    return true;
  switch (r->state)
    {
    case PU_ORDERS_RESERVED:
    case PU_ORDERS_SENT:
      /* One of the leader before shows soon, or may be fenced off.  */
      if (r->inherited && is_fenced (o, r))
        return now >= r->changed + o->o.report_ms;
      return now >= r->life_until;
    case PU_ORDERS_ACKED:
      return now >= r->changed + limit;
    default:
      return false;
    }
}

static void
advance (pu_orders_t *o, pu_orders_order_t *r, guint64 now, GArray *actions)
{
  if (too_late (o, r, now))
    {
      fail (o, r, now);
      act (actions, PU_ORDERS_ACTION_FAIL, r);
      return;
    }
  if (r->state == PU_ORDERS_QUEUED)
    {
      propose (o, r, now, actions);
    }
  else if (r->state == PU_ORDERS_RESERVED || r->state == PU_ORDERS_SENT)
    {
      send (o, r, now, actions);
    }
}

/* Whether the ledger takes a RELEASE of R when its life is over.  */
static bool
life_ends (const pu_orders_t *o, const pu_orders_order_t *r)
{
  if (r->spec.kind == PU_LEDGER_UNLOAD)
    return !r->ever_sent || !is_fenced (o, r) || !r->held;
  return !r->loading && (!is_fenced (o, r) || fenced_off (o, r));
}

/* The deliberate faults of the tests.  */
static bool
released_early (const pu_orders_t *o, const pu_orders_order_t *r, guint64 now)
{
  if (r->state != PU_ORDERS_SENT || r->inherited)
    return false;
  if (broken (o, PU_ORDERS_BREAK_RELEASE_ON_TIMEOUT))
    return now >= r->proposed + o->o.retry_ms;
  return r->lost && broken (o, PU_ORDERS_BREAK_LOST);
}

static void
release (pu_orders_t *o, pu_orders_order_t *r, guint64 now, GArray *actions)
{
  bool over = now >= r->life_until && life_ends (o, r);

  if (r->token == 0 || r->release_at > now)
    return;
  if (!over && !released_early (o, r, now))
    return;
  r->release_at = now + RELEASE_RETRY_MS;
  act (actions, PU_ORDERS_ACTION_RELEASE, r);
}

/* Asks for a later token where an order that may still arrive, if doubled,
   stands in the way: a load whose copy is not there by its memory, an unload
   that was given up by its copy.  */
static void
fence (pu_orders_t *o, const pu_orders_order_t *r, GArray *actions)
{
  const server_t *v = find_server (o, r->spec.backend);
  bool load = r->spec.kind == PU_LEDGER_LOAD;
  bool over
      = r->state == PU_ORDERS_FAILED || (r->state == PU_ORDERS_DONE && load);

  if (!over || r->token == 0 || r->held == load || fenced_off (o, r))
    return;
  if (v == NULL || v->down || !v->fenced)
    return;
  if (r->release_at != G_MAXUINT64 && count_engine (o, r->spec.backend) == 0)
    act (actions, PU_ORDERS_ACTION_FENCE, r);
}

static bool
forgotten (const pu_orders_t *o, const pu_orders_order_t *r, guint64 now)
{
  bool over = r->state >= PU_ORDERS_DONE;

  if (r->state == PU_ORDERS_QUEUED)
    return now >= r->changed + o->o.queue_ms;
  return over && (r->token == 0 || r->release_at == G_MAXUINT64);
}

void
pu_orders_step (pu_orders_t *o, guint64 now, GArray *actions)
{
  refill (o, now);
  for (guint i = 0; i < o->orders->len; i++)
    advance (o, order_at (o, i), now, actions);
  for (guint i = 0; i < o->orders->len; i++)
    {
      release (o, order_at (o, i), now, actions);
      fence (o, order_at (o, i), actions);
    }
  for (guint i = o->orders->len; i-- > 0;)
    {
      if (forgotten (o, order_at (o, i), now))
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
