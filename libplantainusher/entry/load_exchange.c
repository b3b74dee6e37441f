/* The exchange of loads with all other entries, by way of a voter: what this
   entry has at the engines, and what the others have there
   (routing/load_client.h).  */

#include "entry/entry_private.h"

#include "base/log.h"
#include "routing/load_client.h"

enum
{
  /* When a reply is late, this time is left to read it: after a stall of this
     process the timer is due before the reply is read.  */
  DOUBT_MS = 1,
  HUB_LOG_INTERVAL_MS = 10000,
  THOUSAND = 1000,
};

struct pu_load_exchange
{
  pu_load_client_t *client;
  GArray *uses;          /* of pu_router_use_t */
  GArray *statement;     /* of pu_load_use_t */
  char *logged_hub;      /* that the last log line names, or NULL */
  guint64 hub_logged_at; /* loop time */
  guint64 asked;         /* number of the last statement */
  bool waits;            /* for the reply to it */
  bool doubted;          /* which is late */
  guint64 sent_at;       /* loop time of it */
  pu_counter_t statements;
  pu_counter_t lost;
  pu_counter_t bytes;
};

/* A statement that was sent.  */
typedef struct
{
  pu_entry_t *en;
  guint64 number;
} ask_t;

static void
count (const pu_entry_t *en, pu_counter_t counter, gint64 n)
{
  if (en->o.counters != NULL)
    pu_counters_add (en->o.counters, counter, n);
}

/* --- replies --- */

/* Gives the router what the others have at each engine: nothing, where the
   hub has not named it.  */
static void
others_apply (pu_entry_t *en, guint life_ms, guint64 now)
{
  const pu_load_client_t *c = en->load_exchange->client;
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, en->load_ids);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const pu_server_t *s = value;
      const pu_load_total_t *t;
      pu_router_others_t others = { .life_ms = life_ms };

      if (s->plain || s->handle == PU_ROUTER_NONE)
        continue;
      t = pu_load_client_total (c, s->load_id);
      if (t != NULL)
        {
          others.running = t->running;
          others.prefilling = t->prefilling;
          others.streams = t->streams;
          others.prefill_tokens = t->prefill_tokens;
          others.slowness = (double)t->slowness / THOUSAND;
        }
      pu_router_set_others (en->router, s->handle, &others, now);
    }
  pu_entry_schedule_router (en);
}

static void
log_hub (pu_entry_t *en, guint64 now)
{
  pu_load_exchange_t *x = en->load_exchange;
  pu_load_client_state_t s;

  pu_load_client_state (x->client, now, &s);
  if (g_strcmp0 (x->logged_hub, s.hub) == 0
      || (x->logged_hub != NULL
          && now - x->hub_logged_at < HUB_LOG_INTERVAL_MS))
    return;
  g_free (x->logged_hub);
  x->logged_hub = g_strdup (s.hub);
  x->hub_logged_at = now;
  pu_log_note (PU_ENTRY_LOG_SLICE, "The hub of the exchange of loads is %s.",
               s.hub);
}

static void
reply_lost (pu_entry_t *en, bool absent)
{
  pu_load_exchange_t *x = en->load_exchange;

  x->waits = false;
  count (en, x->lost, 1);
  pu_load_client_failed (x->client, absent, uv_now (en->o.loop));
}

static void
reply_take (pu_entry_t *en, const pu_load_reply_t *r)
{
  pu_load_exchange_t *x = en->load_exchange;
  guint64 now = uv_now (en->o.loop);
  guint life_ms = pu_load_client_reply (x->client, r, now);

  x->waits = false;
  if (life_ms > 0)
    others_apply (en, life_ms, now);
  log_hub (en, now);
}

static void
on_reply (void *data, const pu_load_reply_t *r, gsize bytes,
          const pu_error_t *e)
{
  ask_t *ask = data;
  pu_entry_t *en = ask->en;
  pu_load_exchange_t *x = en->load_exchange;

  en->pending--;
  if (!en->freed)
    {
      count (en, x->bytes, (gint64)bytes);
      if (!x->waits || ask->number != x->asked)
        {
          pu_log_debug (PU_ENTRY_LOG_SLICE, "A reply came too late.");
        }
      else if (r != NULL)
        {
          reply_take (en, r);
        }
      else
        {
          pu_log_debug (PU_ENTRY_LOG_SLICE,
                        "A statement of load has no reply: %s", e->message);
          reply_lost (en, e->kind == PU_ERROR_NOT_FOUND);
        }
      pu_load_exchange_schedule (en);
    }
  g_free (ask);
  pu_entry_check_stopped (en);
}

/* --- statements --- */

static guint32
bounded (guint64 n)
{
  return (guint32)MIN (n, G_MAXUINT32);
}

/* Sets `statement` to what this entry has at the engines.  */
static void
uses_read (pu_entry_t *en)
{
  pu_load_exchange_t *x = en->load_exchange;

  g_array_set_size (x->uses, 0);
  g_array_set_size (x->statement, 0);
  pu_router_take_uses (en->router, true, x->uses);
  for (guint i = 0; i < x->uses->len; i++)
    {
      const pu_router_use_t *u = &g_array_index (x->uses, pu_router_use_t, i);
      pu_load_use_t one = {
        .id = pu_entry_load_id (
            pu_router_backend_name (en->router, u->backend),
            pu_router_backend_incarnation (en->router, u->backend)),
        .running = u->running,
        .prefilling = u->prefilling,
        .streams = u->streams,
        .prefill_tokens = bounded (u->prefill_tokens),
        .ratio_count = u->ratio_count,
      };

      if (u->ratio_count > 0)
        {
          one.ratio_sum = (guint32)CLAMP (
              u->ratio_sum * THOUSAND + 0.5,
              (double)u->ratio_count * PU_LOAD_HUB_RATIO_MIN,
              (double)u->ratio_count * PU_LOAD_HUB_RATIO_MAX);
        }
      g_array_append_val (x->statement, one);
    }
}

static void
statement_send (pu_entry_t *en, guint64 now)
{
  pu_load_exchange_t *x = en->load_exchange;
  pu_load_statement_t s;
  pu_load_since_t since;
  const char *voter;
  ask_t *ask;

  uses_read (en);
  voter = pu_load_client_begin (
      x->client, (const pu_load_use_t *)(void *)x->statement->data,
      x->statement->len, g_hash_table_size (en->tickets) > 0, now, &s, &since);
  if (voter == NULL)
    return;
  x->waits = true;
  x->doubted = false;
  x->sent_at = now;
  ask = g_new0 (ask_t, 1);
  ask->en = en;
  ask->number = ++x->asked;
  count (en, x->statements, 1);
  en->pending++;
  en->o.hooks.exchange_loads (en->o.hooks.data, voter, &s, &since,
                              PU_LOAD_CLIENT_LIFE_MS, on_reply, ask);
}

static void
on_due (uv_timer_t *t)
{
  pu_entry_t *en = t->data;
  pu_load_exchange_t *x = en->load_exchange;
  guint64 now = uv_now (en->o.loop);

  if (x->waits && now - x->sent_at >= PU_LOAD_CLIENT_TIMEOUT_MS)
    {
      if (x->doubted)
        reply_lost (en, false);
      x->doubted = true;
    }
  if (now >= pu_load_client_next_at (x->client))
    statement_send (en, now);
  pu_load_exchange_schedule (en);
}

/* Returns when on_due has something to do.  */
static guint64
next_at (const pu_load_exchange_t *x, guint64 now)
{
  if (!x->waits)
    return pu_load_client_next_at (x->client);
  return x->doubted ? now + DOUBT_MS : x->sent_at + PU_LOAD_CLIENT_TIMEOUT_MS;
}

void
pu_load_exchange_schedule (pu_entry_t *en)
{
  guint64 now = uv_now (en->o.loop);
  guint64 at;

  if (en->freed || en->load_exchange == NULL)
    return;
  at = next_at (en->load_exchange, now);
  if (at == G_MAXUINT64)
    {
      uv_timer_stop (&en->load_exchange_timer);
      return;
    }
  uv_timer_start (&en->load_exchange_timer, on_due, at > now ? at - now : 0,
                  0);
}

/* Whether there are enough entries for an exchange.  With few, each sees a
   large part of the requests of an engine itself.  */
static bool
has_entries (pu_entry_t *en)
{
  return en->o.load_exchange_entries == 0
         || pu_load_forward_entries (en)->len + 1
                >= en->o.load_exchange_entries;
}

/* Without a voter to ask, nothing is exchanged.  */
static void
voters_sync (pu_entry_t *en, guint64 now)
{
  guint n = 0;
  const char *const *voters = en->o.hooks.load_voters (en->o.hooks.data, &n);

  if (!has_entries (en))
    n = 0;
  pu_load_client_set_voters (en->load_exchange->client, voters, n, now);
}

void
pu_load_exchange_wake (pu_entry_t *en)
{
  guint64 now = uv_now (en->o.loop);

  if (en->load_exchange == NULL
      || uv_is_active ((uv_handle_t *)&en->load_exchange_timer))
    return;
  voters_sync (en, now);
  pu_load_client_wake (en->load_exchange->client, now);
  pu_load_exchange_schedule (en);
}

void
pu_load_exchange_tick (pu_entry_t *en, guint64 now)
{
  if (en->load_exchange == NULL)
    return;
  voters_sync (en, now);
  if (!uv_is_active ((uv_handle_t *)&en->load_exchange_timer))
    pu_load_exchange_schedule (en);
}

/* --- construction --- */

void
pu_load_exchange_init (pu_entry_t *en)
{
  const pu_load_client_options_t o
      = { .interval_ms = en->o.load_exchange_ms,
          .incarnation = (guint64)g_get_real_time () };
  pu_load_exchange_t *x;

  if (en->o.load_exchange_ms == 0 || en->o.hooks.exchange_loads == NULL
      || en->o.hooks.load_voters == NULL)
    return;
  x = g_new0 (pu_load_exchange_t, 1);
  x->client = pu_load_client_new (&o);
  x->uses = g_array_new (FALSE, FALSE, sizeof (pu_router_use_t));
  x->statement = g_array_new (FALSE, FALSE, sizeof (pu_load_use_t));
  if (en->o.counters != NULL)
    {
      x->statements
          = pu_counters_get (en->o.counters, "load_exchange_statements_total");
      x->lost = pu_counters_get (en->o.counters, "load_exchange_lost_total");
      x->bytes = pu_counters_get (en->o.counters, "load_exchange_bytes_total");
    }
  en->load_exchange = x;
}

void
pu_load_exchange_clear (pu_entry_t *en)
{
  pu_load_exchange_t *x = en->load_exchange;

  if (x == NULL)
    return;
  pu_load_client_free (x->client);
  g_array_unref (x->uses);
  g_array_unref (x->statement);
  g_free (x->logged_hub);
  g_free (x);
}

/* --- what operators see --- */

void
pu_load_exchange_dump (const pu_entry_t *en, json_t *dump)
{
  guint64 now = uv_now (en->o.loop);
  json_t *out;
  GHashTableIter it;
  gpointer value;

  if (en->load_exchange == NULL)
    return;
  out = json_array ();
  g_hash_table_iter_init (&it, en->load_ids);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const pu_server_t *s = value;
      pu_router_others_t others;

      if (s->plain || s->handle == PU_ROUTER_NONE
          || !pu_router_get_others (en->router, s->handle, now, &others))
        continue;
      json_array_append_new (
          out,
          json_pack ("{s:s, s:I, s:I, s:I, s:I, s:f, s:I}", "backend", s->name,
                     "running", (json_int_t)others.running, "prefilling",
                     (json_int_t)others.prefilling, "streams",
                     (json_int_t)others.streams, "prefill_tokens",
                     (json_int_t)others.prefill_tokens, "slowness",
                     others.slowness, "valid_ms", (json_int_t)others.life_ms));
    }
  json_object_set_new (dump, "other_entries", out);
}

bool
pu_entry_load_exchange (const pu_entry_t *en, pu_load_client_state_t *s)
{
  if (en->load_exchange == NULL)
    return false;
  pu_load_client_state (en->load_exchange->client, uv_now (en->o.loop), s);
  return true;
}
