#include "entry/entry_private.h"

#include <string.h>
#include <xxhash.h>

#include "base/breaks.h"

/* Context of the proposal of a claim or of its outcome to the replicated log.
   A claim reserves an Idempotency-Key for one at-most-once request.  */
typedef struct
{
  pu_entry_t *en;
  pu_once_handle_t handle;
  guint64 attempt;
} proposal_t;

static guint64
loop_now (const pu_entry_t *en)
{
  return uv_now (en->o.loop);
}

static guint64
wall_now (void)
{
  return (guint64)(g_get_real_time () / G_TIME_SPAN_MILLISECOND);
}

static guint64
call_fingerprint (const pu_exchange_t *x)
{
  gsize len = 0;
  const void *body = g_bytes_get_data (x->q.body, &len);
  guint64 hash = XXH64 (x->q.method, strlen (x->q.method), 0);

  hash = XXH64 (x->q.target, strlen (x->q.target), hash);
  return XXH64 (len > 0 ? body : "", len, hash);
}

static void
begin_reject (pu_exchange_t *x, pu_once_begin_result_t why)
{
  static const pu_refusal_t too_old
      = { 410, "key_too_old", PU_RUN_OUTCOME_NOT_RUN, 0 };
  static const pu_refusal_t bad_key
      = { 400, "invalid_request", PU_RUN_OUTCOME_NOT_RUN, 0 };
  static const pu_refusal_t key_reused
      = { 422, "key_reused", PU_RUN_OUTCOME_NOT_RUN, 0 };
  static const pu_refusal_t overloaded
      = { 503, "overloaded", PU_RUN_OUTCOME_NOT_RUN, 1000 };

  switch (why)
    {
    case PU_ONCE_BEGIN_ACCEPTED:
      break;
    case PU_ONCE_BEGIN_KEY_EXPIRED:
      pu_exchange_fail (x, &too_old, "The Idempotency-Key is too old.");
      break;
    case PU_ONCE_BEGIN_INVALID_KEY:
      pu_exchange_fail (x, &bad_key,
                        "The Idempotency-Key is empty or too long.");
      break;
    case PU_ONCE_BEGIN_KEY_REUSED:
      pu_exchange_fail (x, &key_reused,
                        "The Idempotency-Key was used for another request.");
      break;
    case PU_ONCE_BEGIN_OVERLOADED:
      pu_exchange_fail (
          x, &overloaded,
          "Too many at-most-once calls are in progress at this entry.");
      break;
    }
}

void
pu_claim_begin (pu_exchange_t *x)
{
  pu_entry_t *en = x->en;
  pu_once_begin_result_t begun;

  x->phase = PU_EXCHANGE_CLAIMING;
  begun = pu_once_begin (en->once, x->number, x->q.service, x->key,
                         call_fingerprint (x), pu_once_key_time_ms (x->key),
                         wall_now (), x->window_ms, loop_now (en));
  if (begun != PU_ONCE_BEGIN_ACCEPTED)
    {
      begin_reject (x, begun);
    }
  else
    {
      pu_claim_run_actions (en);
    }
}

/* --- results of proposals --- */

static proposal_t *
proposal_new (pu_entry_t *en, const pu_once_action_t *a)
{
  proposal_t *proposal = g_new0 (proposal_t, 1);

  proposal->en = en;
  proposal->handle = a->handle;
  proposal->attempt = a->attempt;
  en->pending++;
  return proposal;
}

static pu_entry_t *
proposal_end (proposal_t *proposal)
{
  pu_entry_t *en = proposal->en;

  en->pending--;
  g_free (proposal);
  return en;
}

static bool
is_own_claim (const proposal_t *proposal, const pu_claim_record *c)
{
  const pu_entry_t *en = proposal->en;

  return c->attempt == proposal->attempt && strcmp (c->owner, en->name) == 0
         && c->owner_incarnation == en->o.hooks.incarnation (en->o.hooks.data);
}

static pu_once_claim_result_t
seen_claim_result (const proposal_t *proposal, const pu_claim_record *c)
{
  if (c == NULL)
    return PU_ONCE_CLAIM_REFUSED;
  if (is_own_claim (proposal, c))
    return PU_ONCE_CLAIM_ALREADY_CLOSED;
  return c->phase == PU_CLAIM_RAN ? PU_ONCE_CLAIM_COMPLETED
                                  : PU_ONCE_CLAIM_OWNER_LOST;
}

static pu_once_claim_result_t
claim_result (const proposal_t *proposal, const pu_reply *r,
              const pu_error_t *e)
{
  if (r == NULL)
    {
      return e->kind == PU_ERROR_TIMEOUT ? PU_ONCE_CLAIM_TIMED_OUT
                                         : PU_ONCE_CLAIM_REFUSED;
    }
  if (pu_break_active (PU_BREAK_CLAIM_AGAIN))
    return PU_ONCE_CLAIM_GRANTED;
  switch (r->outcome)
    {
    case PU_OUTCOME_DONE:
      return PU_ONCE_CLAIM_GRANTED;
    case PU_OUTCOME_SEEN:
      return seen_claim_result (proposal, r->claim);
    case PU_OUTCOME_CONFLICT:
      return PU_ONCE_CLAIM_KEY_REUSED;
    case PU_OUTCOME_BUSY:
      return PU_ONCE_CLAIM_IN_PROGRESS;
    case PU_OUTCOME_REFUSED:
      return PU_ONCE_CLAIM_REFUSED;
    }
  return PU_ONCE_CLAIM_REFUSED;
}

static void
on_claimed (void *data, const pu_reply *r, const pu_error_t *e)
{
  proposal_t *proposal = data;
  pu_entry_t *en = proposal->en;
  pu_once_claim_result_t claimed = claim_result (proposal, r, e);
  pu_once_result_t result = { .content_type = "" };

  if (claimed == PU_ONCE_CLAIM_COMPLETED)
    {
      result = (pu_once_result_t){ r->claim->status, r->claim->content_type,
                                   r->claim->result.result_val,
                                   r->claim->result.result_len };
    }
  pu_once_claimed (
      en->once, proposal->handle, claimed, r != NULL ? r->position : 0,
      claimed == PU_ONCE_CLAIM_COMPLETED ? &result : NULL, loop_now (en));
  proposal_end (proposal);
  pu_claim_run_actions (en);
  pu_entry_check_stopped (en);
}

static void
on_recorded (void *data, const pu_reply *r, const pu_error_t *e)
{
  proposal_t *proposal = data;
  pu_entry_t *en = proposal->en;

  (void)e;
  /* Any reply completes the recording of the outcome: if the log refused the
     proposal or has seen it before, a retry would get the same reply.  */
  pu_once_recorded (en->once, proposal->handle, r != NULL, loop_now (en));
  proposal_end (proposal);
  pu_claim_run_actions (en);
  pu_entry_check_stopped (en);
}

/* --- actions requested by the at-most-once logic (en->once) --- */

static void
claim_propose (pu_entry_t *en, const pu_once_action_t *a)
{
  pu_command c = { .type = PU_COMMAND_CLAIM };
  pu_claim_request *claim = &c.pu_command_u.claim;

  claim->service = (char *)a->service;
  claim->key = (char *)a->key;
  claim->fingerprint = a->fingerprint;
  claim->owner = en->name;
  claim->owner_incarnation = en->o.hooks.incarnation (en->o.hooks.data);
  claim->attempt = a->attempt;
  claim->wall = wall_now ();
  claim->window_ms = a->window_ms;
  en->o.hooks.propose (en->o.hooks.data, &c, en->o.log_proposal_timeout_ms,
                       on_claimed, proposal_new (en, a));
}

static pu_claim_phase
claim_phase (pu_once_outcome_t outcome)
{
  switch (outcome)
    {
    case PU_ONCE_OUTCOME_RAN:
      return PU_CLAIM_RAN;
    case PU_ONCE_OUTCOME_NOT_RUN:
      return PU_CLAIM_NOT_RUN;
    case PU_ONCE_OUTCOME_UNKNOWN:
      return PU_CLAIM_UNKNOWN;
    }
  return PU_CLAIM_UNKNOWN;
}

static void
record_propose (pu_entry_t *en, const pu_once_action_t *a)
{
  pu_command c = { .type = PU_COMMAND_CLAIM_DONE };
  pu_claim_done *done = &c.pu_command_u.claim_done;

  done->service = (char *)a->service;
  done->key = (char *)a->key;
  done->position = a->position;
  done->phase = claim_phase (a->outcome);
  done->content_type = "";
  if (a->outcome == PU_ONCE_OUTCOME_RAN)
    {
      done->status = a->result.status;
      done->content_type = (char *)a->result.content_type;
      done->result.result_val = (char *)a->result.body;
      done->result.result_len = (u_int)a->result.len;
    }
  en->o.hooks.propose (en->o.hooks.data, &c, en->o.log_proposal_timeout_ms,
                       on_recorded, proposal_new (en, a));
}

/* Returns one of the exchanges that wait for the Idempotency-Key of A, or
   NULL.  The request of that exchange is sent, and all exchanges that wait for
   the key get its result.  */
static pu_exchange_t *
claimant_find (const pu_entry_t *en, const pu_once_action_t *a)
{
  for (GList *l = en->open.head; l != NULL; l = l->next)
    {
      pu_exchange_t *x = l->data;

      if (x->once && x->phase == PU_EXCHANGE_CLAIMING && x->claim == 0
          && strcmp (x->key, a->key) == 0
          && strcmp (x->q.service, a->service) == 0)
        return x;
    }
  return NULL;
}

static void
claim_dispatch (pu_entry_t *en, const pu_once_action_t *a)
{
  pu_exchange_t *x = claimant_find (en, a);

  /* All callers that wait for the key disconnected before the request was
     sent.  */
  if (x == NULL)
    {
      pu_once_finished (en->once, a->handle, PU_ONCE_OUTCOME_NOT_RUN, NULL,
                        loop_now (en));
      return;
    }
  x->claim = a->handle;
  g_hash_table_insert (en->claims, GUINT_TO_POINTER (x->claim), x);
  pu_exchange_route (x);
}

static void
result_send (pu_exchange_t *x, const pu_once_result_t *result)
{
  pu_http_header_t headers[] = { { "x-request-id", x->q.id },
                                 { "x-outcome", "ran" },
                                 { "content-type", result->content_type } };
  gsize n = G_N_ELEMENTS (headers);

  if (result->content_type == NULL || *result->content_type == 0)
    n--;
  pu_http_respond (x->http, (int)result->status, headers, n, result->body,
                   result->len);
}

static void
answer_send (pu_exchange_t *x, const pu_once_action_t *a)
{
  static const pu_refusal_t running
      = { 409, "running", PU_RUN_OUTCOME_UNKNOWN, 1000 };
  static const pu_refusal_t key_reused
      = { 422, "key_reused", PU_RUN_OUTCOME_NOT_RUN, 0 };
  static const pu_refusal_t unknown
      = { 502, "unknown", PU_RUN_OUTCOME_UNKNOWN, 0 };
  static const pu_refusal_t not_run
      = { 503, "not_run", PU_RUN_OUTCOME_NOT_RUN, 1000 };

  switch (a->answer)
    {
    case PU_ONCE_ANSWER_RESULT:
      result_send (x, &a->result);
      break;
    case PU_ONCE_ANSWER_RUNNING:
      pu_respond_error (x->http, x->q.id, &running,
                        "A request with this Idempotency-Key is running.");
      break;
    case PU_ONCE_ANSWER_CONFLICT:
      pu_respond_error (x->http, x->q.id, &key_reused,
                        "The Idempotency-Key was used for another request.");
      break;
    case PU_ONCE_ANSWER_UNKNOWN:
      pu_respond_error (x->http, x->q.id, &unknown,
                        "The request may have run; it will not be run again.");
      break;
    case PU_ONCE_ANSWER_NOT_RUN:
      pu_respond_error (
          x->http, x->q.id, &not_run,
          "The request did not run; retry it with the same Idempotency-Key.");
      break;
    }
}

static void
caller_answer (pu_entry_t *en, const pu_once_action_t *a)
{
  pu_exchange_t *x = g_hash_table_lookup (en->numbers, &a->caller);

  if (x == NULL)
    return;
  if (x->http != NULL)
    answer_send (x, a);
  x->http = NULL;
  /* If X is the exchange whose request was sent, the request continues without
     a caller, so that its outcome can be recorded.  */
  if (x->claim == 0)
    pu_exchange_finish (x);
}

void
pu_claim_run_actions (pu_entry_t *en)
{
  pu_once_action_t a;

  if (en->claim_actions_running)
    return;
  en->claim_actions_running = true;
  while (pu_once_next (en->once, &a))
    {
      switch (a.type)
        {
        case PU_ONCE_ACTION_CLAIM:
          claim_propose (en, &a);
          if (pu_break_active (PU_BREAK_CLAIM_EARLY))
            {
              pu_once_claimed (en->once, a.handle, PU_ONCE_CLAIM_GRANTED, 0,
                               NULL, loop_now (en));
            }
          break;
        case PU_ONCE_ACTION_DISPATCH:
          claim_dispatch (en, &a);
          break;
        case PU_ONCE_ACTION_RECORD:
          record_propose (en, &a);
          break;
        case PU_ONCE_ACTION_ANSWER:
          caller_answer (en, &a);
          break;
        }
    }
  en->claim_actions_running = false;
}

void
pu_claim_finished (pu_exchange_t *x, pu_once_outcome_t outcome,
                   const pu_once_result_t *result)
{
  pu_entry_t *en = x->en;
  pu_once_handle_t handle = x->claim;

  g_hash_table_remove (en->claims, GUINT_TO_POINTER (handle));
  x->claim = 0;
  pu_once_finished (en->once, handle, outcome, result, loop_now (en));
  x->phase = PU_EXCHANGE_CLAIMING;
  if (x->http == NULL)
    pu_exchange_finish (x);
  pu_claim_run_actions (en);
}
