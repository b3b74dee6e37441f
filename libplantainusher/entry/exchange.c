#include "entry/entry_private.h"

#include "entry/trace.h"

enum
{
  ATTEMPTS_MAX = 6,
  STATUS_CONVICTED = 422,
};

/* --- life --- */

void
pu_exchange_free (pu_exchange_t *x)
{
  pu_request_clear (&x->q);
  pu_kept_clear (&x->kept);
  g_free (x->key);
  g_ptr_array_free (x->avoid, TRUE);
  pu_delivered_clear (&x->sent);
  g_free (x);
}

static void
ticket_set (pu_exchange_t *x, pu_ticket_t ticket)
{
  GHashTable *tickets = x->en->tickets;

  if (x->ticket != 0 && x->ticket != ticket)
    g_hash_table_remove (tickets, &x->ticket);
  x->ticket = ticket;
  if (ticket != 0)
    g_hash_table_insert (tickets, &x->ticket, x);
}

static void
ticket_cancel (pu_exchange_t *x)
{
  pu_ticket_t ticket = x->ticket;

  ticket_set (x, 0);
  if (ticket == 0)
    return;
  pu_router_cancel (x->en->router, ticket, uv_now (x->en->o.loop));
  pu_entry_schedule_router (x->en);
}

void
pu_exchange_finish (pu_exchange_t *x)
{
  pu_entry_t *en = x->en;

  pu_attempt_clear (x);
  ticket_cancel (x);
  if (x->claim != 0)
    g_hash_table_remove (en->claims, GUINT_TO_POINTER (x->claim));
  g_hash_table_remove (en->numbers, &x->number);
  g_queue_unlink (&en->open, &x->link);
  pu_exchange_free (x);
  pu_entry_check_stopped (en);
}

/* --- failures --- */

/* What the caller is told must hold over all attempts.  */
static pu_run_outcome_t
outcome_over_all (const pu_exchange_t *x, pu_run_outcome_t o)
{
  if (x->sent.tokens > 0 || x->events > 0)
    return PU_RUN_OUTCOME_RAN;
  if (o == PU_RUN_OUTCOME_NOT_RUN && x->may_have_run)
    return PU_RUN_OUTCOME_UNKNOWN;
  return o;
}

static void
failure_stream (pu_exchange_t *x, const pu_refusal_t *r, const char *message)
{
  char *text = pu_error_json_text (r, message);
  char *event = g_strdup_printf ("event: error\ndata: %s\n\n", text);

  pu_http_respond_write (x->http, event, strlen (event));
  pu_http_respond_abort (x->http);
  g_free (event);
  g_free (text);
}

void
pu_exchange_fail (pu_exchange_t *x, const pu_refusal_t *r, const char *message)
{
  pu_refusal_t told = *r;

  told.outcome = outcome_over_all (x, r->outcome);
  if (pu_entry_fault_injected (x->en, PU_ENTRY_BREAK_REPORT_NOT_RUN))
    told.outcome = PU_RUN_OUTCOME_NOT_RUN;
  pu_trace_failed (x, &told, message);
  if (x->claim != 0)
    {
      pu_claim_finished (x,
                         told.outcome == PU_RUN_OUTCOME_NOT_RUN
                             ? PU_ONCE_NOT_RUN
                             : PU_ONCE_UNKNOWN,
                         NULL);
      return;
    }
  if (x->http != NULL && x->head_sent
      && pu_entry_uses_builtin_frontend (x->en))
    {
      failure_stream (x, &told, message);
    }
  else if (x->http != NULL && x->head_sent)
    {
      pu_http_respond_abort (x->http);
    }
  else if (x->http != NULL && x->kept.status != 0
           && told.outcome != PU_RUN_OUTCOME_NOT_RUN)
    {
      pu_deliver_saved_failure (x);
    }
  else if (x->http != NULL)
    {
      x->en->front.refuse (x->en->front.data, x->http, x->q.id, &told,
                           message);
    }
  x->http = NULL;
  pu_exchange_finish (x);
}

static int
refused_status (pu_router_reason_t reason)
{
  switch (reason)
    {
    case PU_ROUTER_REASON_SERVICE:
    case PU_ROUTER_REASON_MODEL:
      return 404;
    case PU_ROUTER_REASON_QUEUE_FULL:
      return 429;
    case PU_ROUTER_REASON_REPEAT:
      return 502;
    default:
      return 503;
    }
}

static const char *
refused_message (pu_router_reason_t reason)
{
  switch (reason)
    {
    case PU_ROUTER_REASON_NONE:
    case PU_ROUTER_REASON_SERVICE:
      return "The service is not declared.";
    case PU_ROUTER_REASON_MODEL:
      return "The model is not declared.";
    case PU_ROUTER_REASON_COPY:
      return "No backend server is ready for it now.";
    case PU_ROUTER_REASON_QUEUE_FULL:
      return "The queue is full.";
    case PU_ROUTER_REASON_DEADLINE:
      return "It can't be answered in time.";
    case PU_ROUTER_REASON_BUDGET:
      return "It failed, and too many requests are being tried again.";
    case PU_ROUTER_REASON_ATTEMPTS:
      return "It failed on every backend server that was tried.";
    case PU_ROUTER_REASON_REPEAT:
      return "The backend server was lost; it may have run.";
    }
  return "";
}

void
pu_exchange_fail_refused (pu_exchange_t *x, const pu_router_decision_t *d)
{
  pu_refusal_t r
      = { refused_status (d->reason), pu_router_reason_name (d->reason),
          PU_RUN_OUTCOME_NOT_RUN, d->retry_after_ms };

  if (d->ran == PU_ROUTER_UNKNOWN)
    {
      r.outcome = PU_RUN_OUTCOME_UNKNOWN;
    }
  else if (d->ran == PU_ROUTER_RAN)
    {
      r.outcome = PU_RUN_OUTCOME_RAN;
    }
  if (r.retry_after_ms == 0 && (r.status == 429 || r.status == 503))
    r.retry_after_ms = PU_BUSY_RETRY_AFTER_MS;
  /* The router forgets a ticket that it refuses.  */
  ticket_set (x, 0);
  pu_exchange_fail (x, &r, refused_message (d->reason));
}

static void
fail_convicted (pu_exchange_t *x)
{
  static const pu_refusal_t convicted
      = { STATUS_CONVICTED, "convicted", PU_RUN_OUTCOME_NOT_RUN, 0 };

  pu_exchange_fail (x, &convicted,
                    "This request has crashed backend servers. An operator "
                    "can lift the conviction.");
}

static void
fail_deadline (pu_exchange_t *x)
{
  static const pu_refusal_t late
      = { 504, "deadline", PU_RUN_OUTCOME_NOT_RUN, 0 };

  if (x->phase == PU_EXCHANGE_RUNNING || x->phase == PU_EXCHANGE_PROBING)
    x->may_have_run = true;
  pu_exchange_fail (x, &late, "The request was not answered in time.");
}

/* --- where it goes --- */

static bool
next_hop (pu_exchange_t *x, const char *key, guint size, guint hops_max,
          pu_directory_entry_t *to)
{
  return pu_directory_next_hop (
      x->en->directory, key, size, x->hops < hops_max ? 0 : 1,
      (const char *const *)x->avoid->pdata, x->avoid->len, to);
}

/* A suspect runs at one entry alone, which its model hashes to.  */
static bool
suspect_hop (pu_exchange_t *x, pu_directory_entry_t *to)
{
  char *key = g_strconcat ("suspects/", x->q.model, NULL);
  bool away = next_hop (x, key, 1, PU_RELAY_HOPS_MAX, to);

  g_free (key);
  return away;
}

/* Whether X is watched for crashing what runs it.  */
static bool
is_watched (const pu_exchange_t *x)
{
  return !x->q.plain && !x->q.here;
}

static bool
is_suspect (const pu_exchange_t *x)
{
  return is_watched (x)
         && pu_suspects_is_suspect (x->en->suspects, x->q.fingerprint,
                                    uv_now (x->en->o.loop));
}

static pu_suspects_verdict_t
judge (const pu_exchange_t *x)
{
  if (!is_watched (x))
    return PU_SUSPECTS_RUN;
  if (pu_strike_pending (x->en, x->q.fingerprint))
    return PU_SUSPECTS_WAIT;
  return pu_suspects_check (x->en->suspects, x->q.fingerprint,
                            uv_now (x->en->o.loop));
}

void
pu_exchange_route (pu_exchange_t *x)
{
  pu_suspects_verdict_t verdict = judge (x);
  pu_directory_entry_t to;
  bool away;

  if (verdict == PU_SUSPECTS_REFUSE)
    {
      fail_convicted (x);
      return;
    }
  if (uv_now (x->en->o.loop) >= x->q.deadline)
    {
      fail_deadline (x);
      return;
    }
  /* What may run once only is not relayed: a hop more is one more place
     where its outcome can be lost.  */
  if (x->once || !x->q.repeatable || x->q.here)
    {
      away = false;
    }
  else if (is_suspect (x))
    {
      away = suspect_hop (x, &to);
    }
  else
    {
      away = next_hop (x, x->q.service,
                       pu_service_entry_count (x->en, x->q.service), 1, &to);
    }
  if (verdict == PU_SUSPECTS_WAIT
      && (!away || pu_strike_pending (x->en, x->q.fingerprint)))
    {
      x->phase = PU_EXCHANGE_WAITING;
    }
  else if (away && pu_attempt_relay (x, &to))
    {
      return;
    }
  else
    {
      pu_exchange_offer (x);
    }
}

static guint64
affinity_of (const pu_request_t *q)
{
  if (q->plain)
    return 0;
  return q->affinity_key != 0 ? q->affinity_key : q->fingerprint;
}

void
pu_exchange_offer (pu_exchange_t *x)
{
  pu_router_t *router = x->en->router;
  char *plain = g_strconcat ("service:", x->q.service, NULL);
  pu_router_request_t q = {
    .service = pu_router_find_service (
        router, x->q.route != NULL ? x->q.route : x->q.service),
    .model = pu_router_find_model (router, x->q.plain ? plain : x->q.model),
    .priority = x->q.priority,
    .deadline = x->q.deadline,
    .prompt_tokens = x->q.prompt_tokens,
    .max_tokens = x->q.max_tokens,
    .prefix = x->q.prefix,
    .prefix_tokens = x->q.has_prefix_tokens ? x->q.prefix_tokens : NULL,
    .n_prefix = x->q.n_prefix,
    .attempts_max = x->q.attempts_max,
    .fingerprint = affinity_of (&x->q),
    .shared_tokens = x->q.shared_tokens,
    .repeatable
    = x->q.repeatable
      || pu_entry_fault_injected (x->en, PU_ENTRY_BREAK_RETRY_NON_REPEATABLE),
  };
  pu_router_decision_t d;

  g_free (plain);
  pu_demand_report (x);
  pu_router_offer (router, &q, uv_now (x->en->o.loop), &d);
  pu_exchange_apply_decision (x, &d);
}

/* Whether X has to stay away from the backend server of that number because
   its like runs elsewhere without an answer.  */
static bool
stays_away (const pu_exchange_t *x, guint server)
{
  return is_watched (x)
         && pu_suspects_must_avoid (x->en->suspects, x->q.fingerprint, server,
                                    x->duplicate_wait_since,
                                    uv_now (x->en->o.loop));
}

/* The same for S, which the router chose; from now on X waits.  */
static bool
hold_back (pu_exchange_t *x, const pu_server_t *s)
{
  if (!stays_away (x, s->number))
    return false;
  if (x->duplicate_wait_since == 0)
    x->duplicate_wait_since = uv_now (x->en->o.loop);
  x->duplicate_wait_server = s->number;
  return true;
}

/* Whether X may be sent to S now, by what is held against either.  */
static bool
may_send (pu_exchange_t *x, const pu_server_t *s)
{
  pu_suspects_verdict_t verdict = judge (x);

  if (verdict == PU_SUSPECTS_REFUSE)
    {
      ticket_cancel (x);
      fail_convicted (x);
      return false;
    }
  if (verdict != PU_SUSPECTS_WAIT && (!is_suspect (x) || s->suspects == 0)
      && !hold_back (x, s))
    return true;
  ticket_cancel (x);
  x->phase = PU_EXCHANGE_WAITING;
  return false;
}

static void
exchange_dispatch (pu_exchange_t *x, const pu_router_decision_t *d)
{
  const char *name = pu_router_backend_name (x->en->router, d->backend);
  pu_server_t *s = pu_server_find (x->en, name);

  x->predicted_ms = d->predicted_ms;
  if (s != NULL && !may_send (x, s))
    return;
  if (s == NULL || !pu_attempt_start (x, s))
    pu_exchange_retry (x, PU_ROUTER_FAIL_CONNECT);
}

/* Whether X has no copy just because suspects run at all of them.  */
static bool
waits_for_copy (const pu_exchange_t *x)
{
  pu_router_t *router = x->en->router;

  return is_watched (x)
         && pu_router_ready_copies (router,
                                    pu_router_find_model (router, x->q.model))
                == 0
         && pu_servers_copy_isolated (x->en, x->q.model);
}

void
pu_exchange_apply_decision (pu_exchange_t *x, const pu_router_decision_t *d)
{
  pu_entry_schedule_router (x->en);
  switch (d->verdict)
    {
    case PU_ROUTER_DISPATCH:
      ticket_set (x, d->ticket);
      exchange_dispatch (x, d);
      break;
    case PU_ROUTER_QUEUED:
      ticket_set (x, d->ticket);
      x->phase = PU_EXCHANGE_QUEUED;
      pu_trace_queued (x);
      break;
    case PU_ROUTER_REFUSE:
      if (d->reason == PU_ROUTER_REASON_COPY && pu_model_wait_allowed (x)
          && !x->may_have_run)
        {
          ticket_set (x, 0);
          pu_model_wait_begin (x);
          break;
        }
      x->no_copy = d->reason == PU_ROUTER_REASON_COPY && waits_for_copy (x);
      if (!x->no_copy)
        {
          pu_exchange_fail_refused (x, d);
          break;
        }
      ticket_set (x, 0);
      x->phase = PU_EXCHANGE_WAITING;
      break;
    }
}

/* --- once more --- */

static void
fail_lost (pu_exchange_t *x)
{
  static const pu_refusal_t lost
      = { 502, "attempts", PU_RUN_OUTCOME_NOT_RUN, PU_BUSY_RETRY_AFTER_MS };

  pu_exchange_fail (x, &lost, "It failed wherever it was tried.");
}

/* The other entry did not answer.  */
static void
relay_again (pu_exchange_t *x, char *entry)
{
  g_ptr_array_add (x->avoid, entry);
  if (x->attempts >= ATTEMPTS_MAX || (x->may_have_run && !x->q.repeatable))
    {
      fail_lost (x);
    }
  else
    {
      pu_exchange_route (x);
    }
}

/* Whether X, a suspect, must wait, be refused, or go to another entry.  */
static bool
goes_apart (pu_exchange_t *x)
{
  pu_directory_entry_t to;

  if (!is_suspect (x))
    return false;
  if (judge (x) != PU_SUSPECTS_RUN_ISOLATED)
    return true;
  return !x->once && x->q.repeatable && !x->q.here && suspect_hop (x, &to);
}

/* Where X goes as a suspect now.  */
static void
route_apart (pu_exchange_t *x)
{
  if (x->attempts >= ATTEMPTS_MAX)
    {
      fail_lost (x);
    }
  else
    {
      pu_exchange_route (x);
    }
}

/* The attempt of X failed, and X may be repeated: it goes the suspects' way.
   What ran at a lost backend server would use up the budget that others need
   to leave it.  */
static void
leave_apart (pu_exchange_t *x, pu_router_failure_t failure)
{
  pu_ticket_t ticket = x->ticket;

  ticket_set (x, 0);
  pu_router_abandon (x->en->router, ticket, failure, uv_now (x->en->o.loop));
  pu_entry_schedule_router (x->en);
  route_apart (x);
}

void
pu_exchange_retry (pu_exchange_t *x, pu_router_failure_t failure)
{
  char *entry = g_strdup (x->at.entry);
  pu_router_decision_t d;

  if (pu_router_failure_may_have_run (failure))
    x->may_have_run = true;
  pu_trace_broke (x, failure);
  pu_attempt_clear (x);
  if (entry != NULL)
    {
      relay_again (x, entry);
      return;
    }
  if (uv_now (x->en->o.loop) >= x->q.deadline)
    {
      fail_deadline (x);
      return;
    }
  if (!x->once && x->q.repeatable && goes_apart (x))
    {
      leave_apart (x, failure);
      return;
    }
  pu_router_retry (x->en->router, x->ticket, failure, uv_now (x->en->o.loop),
                   &d);
  /* One that became a suspect goes the suspects' way.  One that may run here
     keeps its ticket, which knows the copies that were tried.  */
  if (d.verdict != PU_ROUTER_REFUSE && goes_apart (x))
    {
      ticket_set (x, d.ticket);
      ticket_cancel (x);
      route_apart (x);
      return;
    }
  /* The same copies once more: one that was cut may go on.  */
  if (d.verdict == PU_ROUTER_REFUSE && d.reason == PU_ROUTER_REASON_ATTEMPTS
      && x->q.repeatable && x->q.attempts_max == 0 && !x->offered_again
      && failure != PU_ROUTER_FAIL_NOT_RUN)
    {
      x->offered_again = true;
      ticket_set (x, 0);
      pu_exchange_route (x);
      return;
    }
  pu_exchange_apply_decision (x, &d);
}

/* --- time --- */

/* Whether what X waited for is over.  */
static bool
may_go_on (const pu_exchange_t *x)
{
  if (judge (x) == PU_SUSPECTS_WAIT || (x->no_copy && waits_for_copy (x)))
    return false;
  return x->duplicate_wait_since == 0
         || !stays_away (x, x->duplicate_wait_server);
}

static void
exchange_tick (pu_exchange_t *x, guint64 now)
{
  if (x->phase == PU_EXCHANGE_CLAIMING)
    {
      if (now >= x->q.deadline
          && pu_once_give_up (x->en->once, x->number, now))
        pu_claim_run_actions (x->en);
      return;
    }
  if (now >= x->q.deadline && x->phase != PU_EXCHANGE_QUEUED)
    {
      fail_deadline (x);
    }
  else if (x->phase == PU_EXCHANGE_WAITING && x->wants)
    {
      pu_model_wait_tick (x, now);
    }
  else if (x->phase == PU_EXCHANGE_WAITING && may_go_on (x))
    {
      pu_exchange_route (x);
    }
}

/* The numbers of the open exchanges: handling one may end others.  */
static GArray *
open_numbers (const pu_entry_t *en)
{
  GArray *numbers = g_array_new (FALSE, FALSE, sizeof (guint64));

  for (GList *l = en->open.head; l != NULL; l = l->next)
    g_array_append_val (numbers, ((pu_exchange_t *)l->data)->number);
  return numbers;
}

void
pu_exchanges_tick (pu_entry_t *en, guint64 now)
{
  GArray *numbers = open_numbers (en);

  for (guint i = 0; i < numbers->len; i++)
    {
      pu_exchange_t *x = g_hash_table_lookup (
          en->numbers, &g_array_index (numbers, guint64, i));

      if (x != NULL)
        exchange_tick (x, now);
    }
  g_array_free (numbers, TRUE);
}

void
pu_exchanges_abort (pu_entry_t *en)
{
  GArray *numbers = open_numbers (en);

  for (guint i = 0; i < numbers->len; i++)
    {
      pu_exchange_t *x = g_hash_table_lookup (
          en->numbers, &g_array_index (numbers, guint64, i));

      if (x == NULL)
        continue;
      if (x->phase == PU_EXCHANGE_RUNNING || x->phase == PU_EXCHANGE_PROBING)
        x->may_have_run = true;
      pu_exchange_fail (x, &pu_refusal_stopping, "This entry is stopping.");
    }
  g_array_free (numbers, TRUE);
}
