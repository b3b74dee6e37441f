#include "rpc/client.h"

#include <string.h>

#include "base/breaks.h"
#include "base/log.h"
#include "rpc/dial.h"

#define PART "rpc"

/* Below this the handshake's own xids lie.  */
#define XID_FIRST 16

/* A timer that fires so late says that the loop was blocked: what has arrived
   meanwhile is read before anyone is taken for silent.  */
#define LATE_MS 10

typedef struct
{
  guint32 xid;
  guint64 due;          /* loop time, ms */
  bool sent;            /* on the present connection */
  bool late;            /* its deadline passed while the loop was blocked */
  pu_error_kind_t kind; /* not PU_OK: ends with it when due */
  GByteArray *record;   /* until it is sent */
  pu_rpc_answer_t *fn;
  void *data;
} pending_t;

struct pu_rpc_client
{
  pu_rpc_client_options_t options;
  char *address;
  char *key;
  struct sockaddr_storage to;
  struct sockaddr_storage from;
  pu_rpc_counters_t counters;
  GRand *rand;
  pu_rpc_link_t *link;  /* NULL while there is no connection */
  pu_rpc_dial_t *dial;  /* the connection being made */
  pu_rpc_dial_t *probe; /* the second opinion on LINK */
  uv_timer_t *deadline;
  uv_timer_t *pulse;
  uv_timer_t *backoff;
  GHashTable *calls; /* xid -> pending_t */
  GTree *by_due;     /* pending_t by due and xid */
  GQueue *waiting;   /* xids not sent yet, in order */
  guint32 next_xid;
  guint backoff_ms;
  guint64 link_at;  /* loop time when the last connection began */
  guint64 ping_at;  /* loop time of the open ping; 0: none */
  guint64 doubt_at; /* loop time when the probe began */
  guint busy;       /* call-backs under way */
  bool dead;        /* freed during one */
};

static void client_dial (pu_rpc_client_t *c);

static gint
pending_compare (gconstpointer a, gconstpointer b, gpointer data)
{
  const pending_t *x = a;
  const pending_t *y = b;

  (void)data;
  if (x->due != y->due)
    return x->due < y->due ? -1 : 1;
  return x->xid == y->xid ? 0 : x->xid < y->xid ? -1 : 1;
}

static void
pending_free (gpointer p)
{
  pending_t *call = p;

  if (call->record != NULL)
    g_byte_array_unref (call->record);
  g_free (call);
}

static guint64
client_now (const pu_rpc_client_t *c)
{
  return uv_now (c->options.loop);
}

static void
client_release (pu_rpc_client_t *c)
{
  g_hash_table_unref (c->calls);
  g_tree_unref (c->by_due);
  g_queue_free (c->waiting);
  g_rand_free (c->rand);
  g_free (c->address);
  g_free (c->key);
  g_free (c);
}

static void
client_enter (pu_rpc_client_t *c)
{
  c->busy++;
}

/* client_leave - false: the client was freed meanwhile.  */
static bool
client_leave (pu_rpc_client_t *c)
{
  c->busy--;
  if (!c->dead)
    return true;
  if (c->busy == 0)
    client_release (c);
  return false;
}

static void
client_tell (pu_rpc_client_t *c, bool up)
{
  if (c->options.on_state != NULL)
    c->options.on_state (c->options.data, up);
}

static void on_deadline (uv_timer_t *t);

static void
deadline_arm (pu_rpc_client_t *c)
{
  GTreeNode *first = g_tree_node_first (c->by_due);
  const pending_t *call;
  guint64 now = client_now (c);

  if (first == NULL)
    {
      uv_timer_stop (c->deadline);
      return;
    }
  call = g_tree_node_key (first);
  uv_timer_start (c->deadline, on_deadline,
                  call->due > now ? call->due - now : 1, 0);
}

/* call_take - removes CALL from the tables; the caller frees it.  */
static void
call_take (pu_rpc_client_t *c, pending_t *call)
{
  g_tree_remove (c->by_due, call);
  g_hash_table_steal (c->calls, GUINT_TO_POINTER (call->xid));
}

/* call_end - answers CALL.  To be called between enter and leave.  */
static void
call_end (pu_rpc_client_t *c, pending_t *call, const guint8 *body, size_t n,
          const pu_error_t *e)
{
  call_take (c, call);
  call->fn (call->data, body, n, e);
  pending_free (call);
}

static void
call_fail (pu_rpc_client_t *c, pending_t *call, pu_error_kind_t kind)
{
  pu_error_t e;

  pu_error_set (&e, kind,
                kind == PU_ERROR_TIMEOUT
                    ? "No answer from %s; the outcome is not known."
                : kind == PU_ERROR_DENIED ? "%s denied the peer key."
                : kind == PU_ERROR_TOO_LARGE
                    ? "The call to %s is over the size limit."
                    : "%s cannot be reached; the call was not run.",
                c->address);
  call_end (c, call, NULL, 0, &e);
}

/* call_due_at - moves the deadline of CALL.  */
static void
call_due_at (pu_rpc_client_t *c, pending_t *call, guint64 due)
{
  g_tree_remove (c->by_due, call);
  call->due = due;
  g_tree_insert (c->by_due, call, call);
}

/* call_extend - gives CALL one more turn of the loop, once, when its deadline
   passed while the loop was blocked.  */
static bool
call_extend (pu_rpc_client_t *c, pending_t *call)
{
  guint64 now = client_now (c);

  if (call->late || call->kind != PU_OK || now - call->due < LATE_MS)
    return false;
  call->late = true;
  call_due_at (c, call, now + 1);
  return true;
}

/* on_deadline - ends the calls that are due.  Those made meanwhile wait for
   the next turn of the loop.  */
static void
on_deadline (uv_timer_t *t)
{
  pu_rpc_client_t *c = t->data;
  guint32 limit = c->next_xid;
  GTreeNode *first;

  client_enter (c);
  while (!c->dead && (first = g_tree_node_first (c->by_due)) != NULL)
    {
      pending_t *call = g_tree_node_key (first);
      pu_error_kind_t kind = call->kind;

      if (call->due > client_now (c) || call->xid >= limit)
        break;
      if (call_extend (c, call))
        continue;
      if (kind == PU_OK)
        kind = call->sent ? PU_ERROR_TIMEOUT : PU_ERROR_UNAVAILABLE;
      call_fail (c, call, kind);
    }
  if (client_leave (c))
    deadline_arm (c);
}

/* calls_fail - ends the calls of XIDS, which it frees: those that were sent as
   unknown, the others with UNSENT.  To be called between enter and leave.  */
static void
calls_fail (pu_rpc_client_t *c, GList *xids, pu_error_kind_t unsent)
{
  for (GList *i = xids; i != NULL && !c->dead; i = i->next)
    {
      pending_t *call = g_hash_table_lookup (c->calls, i->data);

      if (call != NULL && call->kind == PU_OK)
        call_fail (c, call, call->sent ? PU_ERROR_TIMEOUT : unsent);
    }
  g_list_free (xids);
}

static void
on_backoff (uv_timer_t *t)
{
  client_dial (t->data);
}

static void
backoff_start (pu_rpc_client_t *c)
{
  guint wait = (guint)g_rand_int_range (c->rand, (gint)(c->backoff_ms / 2),
                                        (gint)c->backoff_ms + 1);

  c->backoff_ms = MIN (c->backoff_ms * 2, c->options.backoff_max_ms);
  uv_timer_start (c->backoff, on_backoff, wait, 0);
}

static void
link_drop (pu_rpc_client_t *c)
{
  if (c->link != NULL)
    pu_rpc_link_close (c->link);
  c->link = NULL;
  c->ping_at = 0;
}

/* client_down - the peer cannot be reached: nothing waits for it.  */
static void
client_down (pu_rpc_client_t *c, pu_error_kind_t unsent)
{
  bool was_up = c->link != NULL;

  link_drop (c);
  backoff_start (c);
  g_queue_clear (c->waiting);
  client_enter (c);
  calls_fail (c, g_hash_table_get_keys (c->calls), unsent);
  if (was_up && !c->dead)
    client_tell (c, false);
  client_leave (c);
}

static bool
call_send (pu_rpc_client_t *c, pending_t *call)
{
  GByteArray *record = call->record;

  call->record = NULL;
  call->sent = pu_rpc_link_send (c->link, record);
  return call->sent;
}

static void
call_expire_now (pu_rpc_client_t *c, pending_t *call, pu_error_kind_t kind)
{
  call->kind = kind;
  call_due_at (c, call, client_now (c));
}

static void
waiting_send (pu_rpc_client_t *c)
{
  while (!g_queue_is_empty (c->waiting))
    {
      gpointer xid = g_queue_pop_head (c->waiting);
      pending_t *call = g_hash_table_lookup (c->calls, xid);

      if (call != NULL && !call_send (c, call))
        call_expire_now (c, call, PU_ERROR_UNAVAILABLE);
    }
  deadline_arm (c);
}

static bool
on_message (void *data, const pu_rpc_message_t *m)
{
  pu_rpc_client_t *c = data;
  pending_t *call;
  pu_error_t e = { .kind = m->kind };

  if (!m->reply)
    return false;
  call = g_hash_table_lookup (c->calls, GUINT_TO_POINTER (m->xid));
  if (call == NULL || !call->sent)
    return true;
  if (m->kind != PU_OK)
    {
      pu_error_set (&e, m->kind, "%s refused the call: %s.", c->address,
                    pu_error_kind_name (m->kind));
    }
  client_enter (c);
  call_end (c, call, m->body, m->body_size, &e);
  if (client_leave (c))
    deadline_arm (c);
  return true;
}

/* client_redial - after a connection that had worked: at once, unless it was
   short.  */
static void
client_redial (pu_rpc_client_t *c)
{
  if (client_now (c) - c->link_at < c->options.backoff_max_ms)
    {
      backoff_start (c);
    }
  else
    {
      client_dial (c);
    }
}

static void
on_closed (void *data, const pu_error_t *e)
{
  pu_rpc_client_t *c = data;
  GList *xids = g_hash_table_get_keys (c->calls);

  pu_log_debug (PART, "The connection to %s closed: %s", c->address,
                e->message);
  c->link = NULL;
  c->ping_at = 0;
  pu_rpc_dial_free (c->probe);
  c->probe = NULL;
  client_redial (c);
  client_enter (c);
  calls_fail (c, xids, PU_ERROR_UNAVAILABLE);
  if (!c->dead)
    client_tell (c, false);
  client_leave (c);
}

/* link_adopt - LINK becomes the connection.  */
static void
link_adopt (pu_rpc_client_t *c, pu_rpc_link_t *link)
{
  pu_rpc_link_events_t events
      = { .on_message = on_message, .on_closed = on_closed, .data = c };

  c->link = link;
  c->link_at = client_now (c);
  c->ping_at = 0;
  c->backoff_ms = c->options.backoff_min_ms;
  pu_rpc_link_set_events (link, &events);
  waiting_send (c);
}

static void
on_dialled (void *data, pu_rpc_dial_t *d, pu_rpc_link_t *link,
            const pu_error_t *e)
{
  pu_rpc_client_t *c = data;

  (void)d;
  c->dial = NULL;
  if (link != NULL)
    {
      link_adopt (c, link);
      client_enter (c);
      client_tell (c, true);
      client_leave (c);
      return;
    }
  pu_log_debug (PART, "No connection to %s: %s", c->address, e->message);
  client_down (c, e->kind == PU_ERROR_DENIED ? PU_ERROR_DENIED
                                             : PU_ERROR_UNAVAILABLE);
}

/* link_replace - the old connection is silent and the new one works.  Calls
   not known to have arrived end as unknown.  */
static void
link_replace (pu_rpc_client_t *c, pu_rpc_link_t *link)
{
  GList *xids = g_hash_table_get_keys (c->calls);

  pu_log_note (PART, "Replaced a silent connection to %s.", c->address);
  pu_rpc_counters_add (&c->counters, c->counters.abandoned, 1);
  pu_rpc_link_close (c->link);
  client_enter (c);
  link_adopt (c, link);
  calls_fail (c, xids, PU_ERROR_UNAVAILABLE);
  client_leave (c);
}

static void
on_probed (void *data, pu_rpc_dial_t *d, pu_rpc_link_t *link,
           const pu_error_t *e)
{
  pu_rpc_client_t *c = data;
  bool silent = pu_rpc_link_last_in (c->link) < c->doubt_at;

  (void)d;
  c->probe = NULL;
  if (!silent)
    {
      if (link != NULL)
        pu_rpc_link_close (link);
      return;
    }
  if (link == NULL)
    {
      pu_log_note (PART, "%s is silent: %s", c->address, e->message);
      client_down (c, PU_ERROR_UNAVAILABLE);
      return;
    }
  link_replace (c, link);
}

static pu_rpc_dial_t *
dial_start (pu_rpc_client_t *c,
            void (*on_done) (void *data, pu_rpc_dial_t *d, pu_rpc_link_t *link,
                             const pu_error_t *e))
{
  pu_rpc_dial_options_t o = { .link = { .loop = c->options.loop,
                                        .counters = &c->counters,
                                        .max_record = c->options.max_record,
                                        .max_queue = c->options.max_queue },
                              .to = c->to,
                              .from = c->from,
                              .key = c->key,
                              .timeout_ms = c->options.connect_ms,
                              .on_done = on_done,
                              .data = c };

  return pu_rpc_dial_new (&o);
}

static void
client_dial (pu_rpc_client_t *c)
{
  if (c->link == NULL && c->dial == NULL)
    c->dial = dial_start (c, on_dialled);
}

static void
ping_send (pu_rpc_client_t *c)
{
  pu_rpc_message_t m = { .xid = XID_FIRST - 1,
                         .program = PU_RPC_PROGRAM_LINK,
                         .version = PU_RPC_LINK_VERSION,
                         .proc = PU_RPC_LINK_PING };

  c->ping_at = client_now (c);
  pu_rpc_link_send (c->link, pu_rpc_message_encode_call (&m));
}

/* on_pulse - looks whether the connection is quiet, and whether it is silent
   after a ping.  */
static void
on_pulse (uv_timer_t *t)
{
  pu_rpc_client_t *c = t->data;
  guint64 now = client_now (c);
  guint64 last;

  if (c->link == NULL || pu_break_active (PU_BREAK_PEER_SILENCE_IGNORED))
    return;
  last = pu_rpc_link_last_in (c->link);
  if (c->ping_at != 0 && last >= c->ping_at)
    c->ping_at = 0;
  if (c->ping_at == 0)
    {
      if (now - last >= c->options.ping_ms)
        ping_send (c);
      return;
    }
  if (c->probe == NULL && now - c->ping_at >= c->options.silent_ms)
    {
      c->doubt_at = now;
      c->probe = dial_start (c, on_probed);
    }
}

static guint
or_default (guint value, guint preset)
{
  return value != 0 ? value : preset;
}

static void
options_fill (pu_rpc_client_options_t *o)
{
  o->max_record = o->max_record != 0 ? o->max_record : PU_RPC_MAX_RECORD;
  o->max_queue = o->max_queue != 0 ? o->max_queue : PU_RPC_MAX_QUEUE;
  o->max_calls = or_default (o->max_calls, PU_RPC_MAX_CALLS);
  o->connect_ms = or_default (o->connect_ms, PU_RPC_CONNECT_MS);
  o->backoff_min_ms = or_default (o->backoff_min_ms, PU_RPC_BACKOFF_MIN_MS);
  o->backoff_max_ms = or_default (o->backoff_max_ms, PU_RPC_BACKOFF_MAX_MS);
  o->ping_ms = or_default (o->ping_ms, PU_RPC_PING_MS);
  o->silent_ms = or_default (o->silent_ms, PU_RPC_SILENT_MS);
}

pu_rpc_client_t *
pu_rpc_client_new (const pu_rpc_client_options_t *o, pu_error_t *e)
{
  struct sockaddr_storage to;
  struct sockaddr_storage from = { 0 };
  pu_rpc_client_t *c;
  guint pulse;

  if (o->key == NULL || o->key[0] == '\0')
    {
      pu_error_set (e, PU_ERROR_INVALID, "The peer key is empty.");
      return NULL;
    }
  if (!pu_rpc_address_parse (o->address, &to, e))
    return NULL;
  if (o->source != NULL && !pu_rpc_address_parse (o->source, &from, e))
    return NULL;
  c = g_new0 (pu_rpc_client_t, 1);
  c->options = *o;
  options_fill (&c->options);
  c->address = g_strdup (o->address);
  c->key = g_strdup (o->key);
  c->options.address = c->address;
  c->options.source = NULL;
  c->options.key = c->key;
  c->to = to;
  c->from = from;
  pu_rpc_counters_init (&c->counters, o->counters);
  c->rand = g_rand_new_with_seed (o->seed);
  c->calls = g_hash_table_new_full (NULL, NULL, NULL, pending_free);
  c->by_due = g_tree_new_full (pending_compare, NULL, NULL, NULL);
  c->waiting = g_queue_new ();
  c->next_xid = XID_FIRST;
  c->backoff_ms = c->options.backoff_min_ms;
  c->deadline = pu_rpc_timer_new (o->loop, c);
  c->backoff = pu_rpc_timer_new (o->loop, c);
  c->pulse = pu_rpc_timer_new (o->loop, c);
  pulse = MAX (MIN (c->options.ping_ms, c->options.silent_ms) / 4, 1);
  uv_timer_start (c->pulse, on_pulse, pulse, pulse);
  return c;
}

void
pu_rpc_client_free (pu_rpc_client_t *c)
{
  if (c == NULL || c->dead)
    return;
  c->dead = true;
  link_drop (c);
  pu_rpc_dial_free (c->dial);
  pu_rpc_dial_free (c->probe);
  c->dial = NULL;
  c->probe = NULL;
  pu_rpc_timer_free (c->deadline);
  pu_rpc_timer_free (c->backoff);
  pu_rpc_timer_free (c->pulse);
  if (c->busy == 0)
    client_release (c);
}

void
pu_rpc_client_connect (pu_rpc_client_t *c)
{
  if (!uv_is_active ((uv_handle_t *)c->backoff))
    client_dial (c);
}

static guint32
xid_next (pu_rpc_client_t *c)
{
  if (c->next_xid < XID_FIRST)
    c->next_xid = XID_FIRST;
  return c->next_xid++;
}

static pu_error_kind_t
call_check (const pu_rpc_client_t *c, size_t n)
{
  if (n > c->options.max_record)
    return PU_ERROR_TOO_LARGE;
  if (g_hash_table_size (c->calls) > c->options.max_calls)
    return PU_ERROR_UNAVAILABLE;
  if (c->link == NULL && c->dial == NULL)
    return PU_ERROR_UNAVAILABLE;
  return PU_OK;
}

static GByteArray *
call_encode (guint32 xid, guint32 program, guint32 version, guint32 proc,
             const void *body, size_t n)
{
  pu_rpc_message_t m = { .xid = xid,
                         .program = program,
                         .version = version,
                         .proc = proc,
                         .body = body,
                         .body_size = n };

  return pu_rpc_message_encode_call (&m);
}

guint32
pu_rpc_client_call (pu_rpc_client_t *c, guint32 program, guint32 version,
                    guint32 proc, const void *body, size_t n, guint timeout_ms,
                    pu_rpc_answer_t *fn, void *data)
{
  pending_t *call = g_new0 (pending_t, 1);

  pu_rpc_client_connect (c);
  call->xid = xid_next (c);
  call->fn = fn;
  call->data = data;
  call->due = client_now (c) + timeout_ms;
  g_hash_table_insert (c->calls, GUINT_TO_POINTER (call->xid), call);
  g_tree_insert (c->by_due, call, call);
  call->kind = call_check (c, n);
  if (call->kind == PU_OK)
    {
      call->record = call_encode (call->xid, program, version, proc, body, n);
      if (c->link == NULL)
        {
          g_queue_push_tail (c->waiting, GUINT_TO_POINTER (call->xid));
        }
      else if (!call_send (c, call))
        {
          call->kind = PU_ERROR_UNAVAILABLE;
        }
    }
  if (call->kind != PU_OK)
    call_expire_now (c, call, call->kind);
  deadline_arm (c);
  return call->xid;
}

void
pu_rpc_client_cancel (pu_rpc_client_t *c, guint32 handle)
{
  pending_t *call = g_hash_table_lookup (c->calls, GUINT_TO_POINTER (handle));

  if (call == NULL)
    return;
  call_take (c, call);
  pending_free (call);
}

bool
pu_rpc_client_send (pu_rpc_client_t *c, guint32 program, guint32 version,
                    guint32 proc, const void *body, size_t n)
{
  pu_rpc_client_connect (c);
  if (c->link == NULL || n > c->options.max_record)
    return false;
  return pu_rpc_link_send (
      c->link, call_encode (xid_next (c), program, version, proc, body, n));
}

bool
pu_rpc_client_up (const pu_rpc_client_t *c)
{
  return c->link != NULL;
}

bool
pu_rpc_client_busy (const pu_rpc_client_t *c)
{
  return g_hash_table_size (c->calls) > 0;
}

const char *
pu_rpc_client_address (const pu_rpc_client_t *c)
{
  return c->address;
}
