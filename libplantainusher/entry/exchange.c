/* One request from its admission to its final response.  */

#include "entry/entry_private.h"

#include "entry/trace.h"

enum
{
  ATTEMPTS_MAX = 6,
  /* Of a request that any entry serves, and that its entry can't send to a
     backend server: several other entries may be cut off too.  */
  HAND_OVERS_MAX = 16,
  /* Time for a refusal to get back to the entry that sent a request to the
     owner of its backend server.  */
  RETURN_MS = 50,
  STATUS_NOT_FOUND = 404,
  STATUS_UNPROCESSABLE = 422,
};

/* --- tickets and the end of an exchange --- */

void
pu_exchange_free (pu_exchange_t *x)
{
  x->en->body_bytes -= x->body_counted;
  pu_request_clear (&x->q);
  pu_saved_failure_clear (x->en, &x->saved_failure);
  g_free (x->key);
  g_free (x->software);
  g_free (x->origin_found);
  g_free (x->only_server);
  g_free (x->failed_server);
  if (x->unreached_owners != NULL)
    g_ptr_array_free (x->unreached_owners, TRUE);
  g_ptr_array_free (x->avoid, TRUE);
  pu_delivered_clear (&x->delivered);
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

  pu_allowance_finish (x);
  pu_attempt_clear (x);
  ticket_cancel (x);
  if (x->claim != 0)
    g_hash_table_remove (en->claims, GUINT_TO_POINTER (x->claim));
  g_hash_table_remove (en->numbers, &x->number);
  g_queue_unlink (&en->open, &x->link);
  pu_exchange_free (x);
  pu_entry_check_stopped (en);
}

/* --- failing a request with an error response --- */

/* The outcome over all attempts of X, if the last attempt had the outcome
   O.  */
static pu_run_outcome_t
overall_outcome (const pu_exchange_t *x, pu_run_outcome_t o)
{
  if (x->delivered.tokens > 0 || x->events > 0)
    return PU_RUN_OUTCOME_RAN;
  if (o == PU_RUN_OUTCOME_NOT_RUN && x->may_have_run)
    return PU_RUN_OUTCOME_UNKNOWN;
  return o;
}

/* Ends a streamed response with an error event.  */
static void
error_event_send (pu_exchange_t *x, const pu_refusal_t *r, const char *message)
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
  pu_refusal_t final = *r;

  final.outcome = overall_outcome (x, r->outcome);
  if (final.outcome == PU_RUN_OUTCOME_NOT_RUN)
    pu_allowance_put_back_unused (x);
  if (pu_entry_fault_injected (x->en, PU_ENTRY_BREAK_REPORT_NOT_RUN))
    final.outcome = PU_RUN_OUTCOME_NOT_RUN;
  pu_trace_request_failed (x, &final, message);
  if (x->claim != 0)
    {
      pu_claim_finished (x,
                         final.outcome == PU_RUN_OUTCOME_NOT_RUN
                             ? PU_ONCE_OUTCOME_NOT_RUN
                             : PU_ONCE_OUTCOME_UNKNOWN,
                         NULL);
      return;
    }
  if (x->http != NULL && x->head_sent
      && pu_entry_uses_builtin_frontend (x->en))
    {
      error_event_send (x, &final, message);
    }
  else if (x->http != NULL && x->head_sent)
    {
      pu_http_respond_abort (x->http);
    }
  else if (x->http != NULL && x->saved_failure.status != 0
           && final.outcome != PU_RUN_OUTCOME_NOT_RUN)
    {
      pu_deliver_saved_failure (x);
    }
  else if (x->http != NULL && x->relayed)
    {
      pu_respond_error (x->http, x->q.id, &final, message);
    }
  else if (x->http != NULL)
    {
      x->en->front.refuse (x->en->front.data, x->http, x->q.id, &final,
                           message);
    }
  x->http = NULL;
  pu_exchange_finish (x);
}

static int
refusal_status (pu_router_reason_t reason)
{
  switch (reason)
    {
    case PU_ROUTER_REASON_SERVICE:
    case PU_ROUTER_REASON_MODEL:
      return STATUS_NOT_FOUND;
    case PU_ROUTER_REASON_QUEUE_FULL:
      return 429;
    case PU_ROUTER_REASON_REPEAT:
      return 502;
    default:
      return 503;
    }
}

static const char *
refusal_message (pu_router_reason_t reason)
{
  switch (reason)
    {
    case PU_ROUTER_REASON_NONE:
    case PU_ROUTER_REASON_SERVICE:
      return "The service is not declared.";
    case PU_ROUTER_REASON_MODEL:
      return "The model is not declared.";
    case PU_ROUTER_REASON_COPY:
      return "No backend server is ready to run this request.";
    case PU_ROUTER_REASON_QUEUE_FULL:
      return "The queue is full.";
    case PU_ROUTER_REASON_DEADLINE:
      return "The request can't be answered before its deadline.";
    case PU_ROUTER_REASON_BUDGET:
      return "The request failed, and the retry budget is spent.";
    case PU_ROUTER_REASON_ATTEMPTS:
      return "The request failed on every backend server that was tried.";
    case PU_ROUTER_REASON_REPEAT:
      return "The backend server was lost; the request may have run.";
    }
  return "";
}

void
pu_exchange_fail_refused (pu_exchange_t *x, const pu_router_decision_t *d)
{
  pu_refusal_t r
      = { refusal_status (d->reason), pu_router_reason_name (d->reason),
          PU_RUN_OUTCOME_NOT_RUN, d->retry_after_ms };

  if (r.status == STATUS_NOT_FOUND)
    r = *pu_entry_undeclared (x->en, &r);
  if (d->ran == PU_ROUTER_UNKNOWN)
    {
      r.outcome = PU_RUN_OUTCOME_UNKNOWN;
    }
  else if (d->ran == PU_ROUTER_RAN)
    {
      r.outcome = PU_RUN_OUTCOME_RAN;
    }
  r.retry_after_ms = MAX (r.retry_after_ms, x->owner_retry_ms);
  if (r.retry_after_ms == 0 && (r.status == 429 || r.status == 503))
    r.retry_after_ms = PU_BUSY_RETRY_AFTER_MS;
  /* The router has already removed the ticket of a refused request.  */
  ticket_set (x, 0);
  pu_exchange_fail (x, &r, refusal_message (d->reason));
}

static bool
has_convicted_part (const pu_exchange_t *x)
{
  return pu_part_verdict (x, NULL) == PU_PARTS_CONVICTED;
}

static void
fail_convicted (pu_exchange_t *x)
{
  static const pu_refusal_t convicted
      = { STATUS_UNPROCESSABLE, "convicted", PU_RUN_OUTCOME_NOT_RUN, 0 };
  const char *message
      = "This request has crashed backend servers. An operator "
        "can lift the conviction.";

  if (has_convicted_part (x))
    {
      message = "A part of this request's prompt has crashed backend servers.";
      pu_trace_convicted_part (x);
    }
  else
    {
      pu_trace_convicted (x);
    }
  pu_exchange_fail (x, &convicted, message);
}

/* Tells the entry that relayed X to turn to another one.  */
static void
fail_cut_off (pu_exchange_t *x)
{
  static const pu_refusal_t cut_off
      = { 503, PU_REFUSAL_CUT_OFF, PU_RUN_OUTCOME_NOT_RUN,
          PU_BUSY_RETRY_AFTER_MS };

  pu_exchange_fail (x, &cut_off,
                    "This entry reaches no backend server for this request.");
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

/* --- routing to another entry or to the router --- */

static bool
next_hop (pu_exchange_t *x, const char *key, guint size, guint hops_max,
          pu_directory_entry_t *to)
{
  return pu_directory_next_hop (
      x->en->directory, key, size, x->hops < hops_max ? 0 : 1,
      (const char *const *)x->avoid->pdata, x->avoid->len, to);
}

/* Finds the entry that runs the suspects of the model of X, requests that may
   have crashed a backend server.  All suspects of a model are run by one
   entry, chosen by a hash of the model.  Returns false if X is to be run by
   this entry.  */
static bool
suspect_next_hop (pu_exchange_t *x, pu_directory_entry_t *to)
{
  char *key = g_strconcat ("suspects/", x->q.model, NULL);
  bool relay = next_hop (x, key, 1, PU_RELAY_HOPS_MAX, to);

  g_free (key);
  return relay;
}

static bool
is_suspect (const pu_exchange_t *x)
{
  return x->q.crash_tracked
         && pu_suspects_is_suspect (x->en->suspects, x->q.fingerprint,
                                    uv_now (x->en->o.loop));
}

bool
pu_exchange_has_strikes (const pu_exchange_t *x)
{
  if (!x->q.crash_tracked)
    return false;
  return pu_suspects_strikes (x->en->suspects, x->q.fingerprint,
                              uv_now (x->en->o.loop))
             > 0
         || pu_part_verdict (x, NULL) != PU_PARTS_UNKNOWN;
}

/* Whether X may run, by the crashes attributed to its fingerprint and to the
   parts of its prompt.  X must wait while the log has not decided on a strike
   against it.  */
static pu_suspects_verdict_t
crash_verdict (const pu_exchange_t *x)
{
  if (!x->q.crash_tracked)
    return PU_SUSPECTS_RUN;
  if (has_convicted_part (x))
    return PU_SUSPECTS_REFUSE;
  if (pu_strike_pending (x->en, x->q.fingerprint))
    return PU_SUSPECTS_WAIT;
  return pu_suspects_check (x->en->suspects, x->q.fingerprint,
                            uv_now (x->en->o.loop));
}

void
pu_exchange_route (pu_exchange_t *x)
{
  pu_suspects_verdict_t verdict = crash_verdict (x);
  pu_directory_entry_t to;
  bool relay;

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
  if (pu_entry_refuses_relayed (x))
    {
      fail_cut_off (x);
      return;
    }
  if (pu_origin_waits (x))
    return;
  if (pu_entry_hand_over (x))
    return;
  /* A request that may run only once is not relayed: each further hop is
     another place where its outcome can be lost.  */
  if (x->once || !x->q.repeatable || x->q.any_entry)
    {
      relay = false;
    }
  else if (is_suspect (x))
    {
      relay = suspect_next_hop (x, &to);
    }
  else
    {
      relay = next_hop (x, x->q.service,
                        pu_service_entry_count (x->en, x->q.service), 1, &to);
    }
  if (verdict == PU_SUSPECTS_WAIT
      && (!relay || pu_strike_pending (x->en, x->q.fingerprint)))
    {
      x->phase = PU_EXCHANGE_WAITING;
    }
  else if (relay && pu_attempt_relay (x, &to))
    {
      return;
    }
  else
    {
      x->attempts_spent = x->q.any_entry ? x->server_attempts : x->attempts;
      pu_exchange_offer (x);
    }
}

/* Returns how many attempts X has left at backend servers; 0: no limit of its
   own.  */
static guint
attempts_left (const pu_exchange_t *x)
{
  guint max = x->q.attempts_max;

  return max == 0 ? 0 : max - MIN (x->attempts_spent, max - 1);
}

static guint64
affinity_of (const pu_request_t *q)
{
  if (q->plain)
    return 0;
  return q->affinity_key != 0 ? q->affinity_key : q->fingerprint;
}

/* Refuses X if its only server wants no requests now: the entry that sent X
   here may have other copies.  */
static bool
refuse_backing_off (pu_exchange_t *x)
{
  const pu_server_t *s
      = x->only_server != NULL ? pu_server_find (x->en, x->only_server) : NULL;
  guint64 now = uv_now (x->en->o.loop);
  pu_refusal_t r = { 503, PU_REFUSAL_BACK_OFF, PU_RUN_OUTCOME_NOT_RUN, 0 };

  if (s == NULL || s->back_off_until <= now)
    return false;
  r.retry_after_ms = (guint)MIN (s->back_off_until - now, G_MAXUINT);
  pu_exchange_fail (x, &r, "The backend server wants no requests now.");
  return true;
}

/* Returns until when X may wait here.  If it can't start before, the entry
   that sent it must hear so before its own deadline, or has to say that the
   request may have run.  */
static guint64
wait_deadline (const pu_exchange_t *x)
{
  guint64 now = uv_now (x->en->o.loop);
  guint64 left = x->q.deadline > now ? x->q.deadline - now : 0;

  if (x->only_server == NULL)
    return x->q.deadline;
  return x->q.deadline - MIN (RETURN_MS, left / 4);
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
    .deadline = wait_deadline (x),
    .prompt_tokens = x->q.prompt_tokens,
    .max_tokens = x->q.max_tokens,
    .prefix = x->q.prefix,
    .prefix_tokens = x->q.has_prefix_tokens ? x->q.prefix_tokens : NULL,
    .n_prefix = x->q.n_prefix,
    .attempts_max = attempts_left (x),
    .fingerprint = affinity_of (&x->q),
    .shared_tokens = x->q.shared_tokens,
    .repeatable
    = x->q.repeatable
      || pu_entry_fault_injected (x->en, PU_ENTRY_BREAK_RETRY_NON_REPEATABLE),
    .software = x->software,
    .backend_name = x->only_server,
    .age_ms = x->relay_age_ms,
    .tried_backend = x->failed_server,
  };
  pu_router_decision_t d;

  g_free (plain);
  if (refuse_backing_off (x))
    return;
  if (x->only_server == NULL)
    pu_demand_report (x);
  pu_router_offer (router, &q, uv_now (x->en->o.loop), &d);
  pu_exchange_apply_decision (x, &d);
}

/* Whether X must not be sent to the backend server numbered SERVER, because a
   request with the same fingerprint runs on another backend server and has not
   been answered yet.  */
static bool
must_avoid (const pu_exchange_t *x, guint server)
{
  return x->q.crash_tracked
         && pu_suspects_must_avoid (x->en->suspects, x->q.fingerprint, server,
                                    x->duplicate_wait_since,
                                    uv_now (x->en->o.loop));
}

/* As must_avoid, for the backend server S that the router chose.  If it
   returns true, it has recorded in X since when X waits and that X must avoid
   S.  */
static bool
defer_from (pu_exchange_t *x, const pu_server_t *s)
{
  if (!must_avoid (x, s->number))
    return false;
  if (x->duplicate_wait_since == 0)
    x->duplicate_wait_since = uv_now (x->en->o.loop);
  x->duplicate_wait_server_number = s->number;
  return true;
}

/* Checks whether X is convicted or must wait, and whether S already runs a
   suspect, and whether S has a limit that X must wait for, before X is sent to
   S.  On false X was refused and freed, or waits without a ticket.  */
static bool
dispatch_permit (pu_exchange_t *x, pu_server_t *s)
{
  pu_suspects_verdict_t verdict = crash_verdict (x);
  pu_directory_entry_t owner;
  pu_brittle_way_t way = pu_brittle_find_way (x, s, &owner);

  if (verdict == PU_SUSPECTS_REFUSE)
    {
      ticket_cancel (x);
      fail_convicted (x);
      return false;
    }
  if (way == PU_BRITTLE_NO_WAY)
    {
      pu_server_back_off (s, uv_now (x->en->o.loop) + PU_NO_OWNER_BACK_OFF_MS);
      pu_exchange_retry (x, PU_ROUTER_FAIL_UNSENT);
      return false;
    }
  if (verdict != PU_SUSPECTS_WAIT
      && (!is_suspect (x) || s->running_suspects == 0) && !defer_from (x, s)
      && !pu_brittle_awaits_first_answer (x)
      && (way == PU_BRITTLE_BY_OWNER || pu_server_limit_permits (x, s)))
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
  if (s != NULL && !dispatch_permit (x, s))
    return;
  if (s == NULL || !pu_attempt_start (x, s))
    pu_exchange_retry (x, PU_ROUTER_FAIL_CONNECT);
}

/* Whether the model of X has no ready copy while this entry sends nothing to a
   backend server with a copy, because that server runs a suspect.  */
static bool
is_blocked_by_suspect (const pu_exchange_t *x)
{
  pu_router_t *router = x->en->router;
  char *model = x->q.plain ? g_strconcat ("service:", x->q.service, NULL)
                           : g_strdup (x->q.model);
  guint ready
      = pu_router_ready_copies (router, pu_router_find_model (router, model));

  g_free (model);
  return x->q.crash_tracked && ready == 0
         && pu_servers_copy_isolated (x->en, &x->q);
}

void
pu_exchange_apply_decision (pu_exchange_t *x, const pu_router_decision_t *d)
{
  pu_entry_schedule_router (x->en);
  switch (d->verdict)
    {
    case PU_ROUTER_DISPATCH:
      ticket_set (x, d->ticket);
      pu_load_exchange_wake (x->en);
      exchange_dispatch (x, d);
      break;
    case PU_ROUTER_QUEUED:
      ticket_set (x, d->ticket);
      x->phase = PU_EXCHANGE_QUEUED;
      pu_load_exchange_wake (x->en);
      pu_trace_queued (x);
      break;
    case PU_ROUTER_REFUSE:
      if (d->reason == PU_ROUTER_REASON_COPY && pu_model_wait_allowed (x)
          && !x->may_have_run && x->software == NULL && x->only_server == NULL)
        {
          ticket_set (x, 0);
          pu_model_wait_begin (x);
          break;
        }
      x->waits_for_suspect
          = d->reason == PU_ROUTER_REASON_COPY && is_blocked_by_suspect (x);
      if (!x->waits_for_suspect)
        {
          pu_exchange_fail_refused (x, d);
          break;
        }
      ticket_set (x, 0);
      x->phase = PU_EXCHANGE_WAITING;
      break;
    }
}

/* --- retries after a failed attempt --- */

static void
fail_exhausted (pu_exchange_t *x)
{
  static const pu_refusal_t exhausted
      = { 502, "attempts", PU_RUN_OUTCOME_NOT_RUN, PU_BUSY_RETRY_AFTER_MS };

  pu_exchange_fail (x, &exhausted, "All attempts at the request failed.");
}

/* Handles a relay of X to ENTRY that failed with FAILURE.  X avoids ENTRY from
   now on.  Takes ownership of ENTRY.  */
static void
relay_retry (pu_exchange_t *x, char *entry, pu_router_failure_t failure)
{
  guint max = x->q.any_entry ? HAND_OVERS_MAX : ATTEMPTS_MAX;
  /* It may have used all attempts that the route of X allows.  */
  bool exhausted = x->q.any_entry && x->q.attempts_max > 0
                   && pu_router_failure_may_have_run (failure);

  g_ptr_array_add (x->avoid, entry);
  if (exhausted || x->attempts >= max || (x->may_have_run && !x->q.repeatable))
    {
      fail_exhausted (x);
    }
  else
    {
      pu_exchange_route (x);
    }
}

/* Whether X is a suspect that must wait, be refused or go to another entry. */
static bool
needs_suspect_route (pu_exchange_t *x)
{
  pu_directory_entry_t to;

  if (!is_suspect (x))
    return false;
  if (crash_verdict (x) != PU_SUSPECTS_RUN_ISOLATED)
    return true;
  return !x->once && x->q.repeatable && !x->q.any_entry
         && suspect_next_hop (x, &to);
}

/* Routes the suspect X, unless its attempts are used up.  */
static void
suspect_route (pu_exchange_t *x)
{
  guint max = x->q.attempts_max != 0 ? MIN (x->q.attempts_max, ATTEMPTS_MAX)
                                     : ATTEMPTS_MAX;

  if (x->attempts >= max)
    {
      fail_exhausted (x);
    }
  else
    {
      pu_exchange_route (x);
    }
}

/* Handles a failed attempt of X, a suspect that may be repeated, without the
   router's retry budget: the suspects of a lost backend server would use up
   the budget that other requests need to be retried on another backend
   server.  */
static void
suspect_retry (pu_exchange_t *x, pu_router_failure_t failure)
{
  pu_ticket_t ticket = x->ticket;

  ticket_set (x, 0);
  pu_router_abandon (x->en->router, ticket, failure, uv_now (x->en->o.loop));
  pu_entry_schedule_router (x->en);
  suspect_route (x);
}

/* Relays X, whose attempt got no connection, if this entry does not reach the
   backend servers.  */
static bool
hand_over (pu_exchange_t *x)
{
  pu_ticket_t ticket = x->ticket;

  if (!pu_entry_hand_over (x))
    return false;
  ticket_set (x, 0);
  pu_router_abandon (x->en->router, ticket, PU_ROUTER_FAIL_CONNECT,
                     uv_now (x->en->o.loop));
  pu_entry_schedule_router (x->en);
  return true;
}

/* Fails X, whose attempt ended with FAILURE, without a retry.  */
static void
repeat_refuse (pu_exchange_t *x, pu_router_failure_t failure)
{
  static const pu_refusal_t suspected
      = { 502, "suspected", PU_RUN_OUTCOME_UNKNOWN, 0 };
  pu_ticket_t ticket = x->ticket;

  ticket_set (x, 0);
  if (ticket != 0)
    {
      pu_router_abandon (x->en->router, ticket, failure,
                         uv_now (x->en->o.loop));
      pu_entry_schedule_router (x->en);
    }
  if (has_convicted_part (x))
    {
      fail_convicted (x);
      return;
    }
  pu_exchange_fail (x, &suspected,
                    "The backend server was lost, and others were lost under "
                    "this request or a part of its prompt.");
}

/* Whether X, whose attempt ended with FAILURE, must not be repeated, as it may
   crash the next backend server too.  A crash under a request that another
   entry has sent becomes known here only later.  */
static bool
must_not_repeat (const pu_exchange_t *x, pu_router_failure_t failure)
{
  if (failure == PU_ROUTER_FAIL_RELAY && pu_exchange_has_strikes (x))
    return true;
  return pu_part_forbids_repeat (x, failure);
}

void
pu_exchange_retry (pu_exchange_t *x, pu_router_failure_t failure)
{
  char *entry = g_strdup (x->at.entry);
  pu_router_decision_t d;

  if (pu_router_failure_may_have_run (failure))
    x->may_have_run = true;
  if (x->at.server != NULL && failure != PU_ROUTER_FAIL_NOT_RUN
      && failure != PU_ROUTER_FAIL_UNSENT
      && failure != PU_ROUTER_FAIL_DECLINED)
    {
      g_free (x->failed_server);
      x->failed_server = g_strdup (x->at.server->name);
    }
  pu_trace_attempt_failed (x, failure);
  pu_attempt_clear (x);
  if (must_not_repeat (x, failure))
    {
      g_free (entry);
      repeat_refuse (x, failure);
      return;
    }
  if (entry != NULL)
    {
      relay_retry (x, entry, failure);
      return;
    }
  if (uv_now (x->en->o.loop) >= x->q.deadline)
    {
      fail_deadline (x);
      return;
    }
  if (failure == PU_ROUTER_FAIL_CONNECT && hand_over (x))
    return;
  if (!x->once && x->q.repeatable && needs_suspect_route (x))
    {
      suspect_retry (x, failure);
      return;
    }
  pu_router_retry (x->en->router, x->ticket, failure, uv_now (x->en->o.loop),
                   &d);
  /* A request that has become a suspect is routed as a suspect.  A suspect
     that may run on this entry keeps its ticket, which records the copies that
     were tried.  */
  if (d.verdict != PU_ROUTER_REFUSE && needs_suspect_route (x))
    {
      ticket_set (x, d.ticket);
      ticket_cancel (x);
      suspect_route (x);
      return;
    }
  /* The router has tried every copy.  The request is offered once more,
     because an interrupted stream may be resumed on the same copy.  */
  if (d.verdict == PU_ROUTER_REFUSE && d.reason == PU_ROUTER_REASON_ATTEMPTS
      && x->q.repeatable && x->q.attempts_max == 0 && !x->offered_again
      && failure != PU_ROUTER_FAIL_NOT_RUN
      && failure != PU_ROUTER_FAIL_DECLINED)
    {
      x->offered_again = true;
      ticket_set (x, 0);
      pu_exchange_route (x);
      return;
    }
  pu_exchange_apply_decision (x, &d);
}

void
pu_exchange_leave_owner (pu_exchange_t *x)
{
  if (x->unreached_owners == NULL)
    x->unreached_owners = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (x->unreached_owners, g_strdup (x->at.owner));
  pu_entry_reach_note_peer (x->en, x->at.owner);
  x->server_attempts--;
  pu_brittle_note_unasked (x);
  pu_trace_attempt_failed (x, PU_ROUTER_FAIL_UNSENT);
  pu_attempt_clear (x);
  ticket_cancel (x);
  pu_exchange_route (x);
}

/* --- checks at each tick, and abort --- */

/* Whether the reason for which X waits no longer holds.  */
static bool
wait_is_over (const pu_exchange_t *x)
{
  if (x->grant_server != 0 || crash_verdict (x) == PU_SUSPECTS_WAIT
      || (x->waits_for_suspect && is_blocked_by_suspect (x))
      || pu_brittle_awaits_first_answer (x))
    return false;
  return x->duplicate_wait_since == 0
         || !must_avoid (x, x->duplicate_wait_server_number);
}

/* Handles X, which is queued, if its backend servers are lost since.  */
static void
queued_tick (pu_exchange_t *x)
{
  pu_ticket_t ticket = x->ticket;

  if (!pu_entry_lost_all (x))
    return;
  if (pu_entry_refuses_relayed (x))
    {
      ticket_cancel (x);
      fail_cut_off (x);
    }
  else if (pu_entry_hand_over (x))
    {
      ticket_set (x, 0);
      pu_router_cancel (x->en->router, ticket, uv_now (x->en->o.loop));
      pu_entry_schedule_router (x->en);
    }
}

static void
exchange_tick (pu_exchange_t *x, guint64 now)
{
  if (x->phase == PU_EXCHANGE_CLAIMING)
    {
      if (now >= x->q.deadline
          && pu_once_remove_caller (x->en->once, x->number, now))
        pu_claim_run_actions (x->en);
      return;
    }
  if (now >= x->q.deadline && x->phase != PU_EXCHANGE_QUEUED)
    {
      fail_deadline (x);
    }
  else if (x->phase == PU_EXCHANGE_QUEUED)
    {
      queued_tick (x);
    }
  else if (x->waits_for_allowance
           || (x->phase == PU_EXCHANGE_WAITING && pu_origin_tick (x, now)))
    {
      return;
    }
  else if (x->phase == PU_EXCHANGE_WAITING && x->waits_for_model)
    {
      pu_model_wait_tick (x, now);
    }
  else if (x->phase == PU_EXCHANGE_WAITING && wait_is_over (x))
    {
      pu_exchange_route (x);
    }
}

/* Returns a copy of the numbers of the open exchanges, as handling one
   exchange may end others.  */
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
