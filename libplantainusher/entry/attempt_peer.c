/* What another entry answers to an attempt: one to which the request was
   relayed, or the owner of a brittle backend server.  */

#include "entry/entry_private.h"

#include <string.h>

enum
{
  RETRY_AFTER_MAX_S = 3600,
  STATUS_NOT_FOUND = 404,
  STATUS_REQUEST_TIMEOUT = 408,
  STATUS_MISDIRECTED = 421,
  STATUS_UNPROCESSABLE = 422,
  STATUS_TOO_MANY = 429,
  STATUS_UNAVAILABLE = 503,
};

bool
pu_status_means_not_run (int status)
{
  return status == STATUS_REQUEST_TIMEOUT || status == STATUS_MISDIRECTED
         || status == STATUS_TOO_MANY || status == STATUS_UNAVAILABLE;
}

bool
pu_owner_has_refused (const pu_attempt_t *at)
{
  return at->owner != NULL && !at->by_server
         && (at->outcome != NULL || pu_status_means_not_run (at->status)
             || at->status == STATUS_NOT_FOUND);
}

void
pu_peer_refusal_forward (pu_exchange_t *x)
{
  const pu_attempt_t *at = &x->at;
  json_t *root
      = json_loadb ((const char *)at->body->data, at->body->len, 0, NULL);
  const char *type = "refused";
  const char *message = "Another entry refused the request.";
  pu_refusal_t r = { .status = at->status, .outcome = PU_RUN_OUTCOME_UNKNOWN };

  json_unpack (root, "{s:{s:s, s:s}}", "error", "type", &type, "message",
               &message);
  r.type = type;
  if (at->retry_after != NULL && pu_entry_uses_builtin_frontend (x->en))
    {
      guint64 seconds = g_ascii_strtoull (at->retry_after, NULL, 10);

      r.retry_after_ms = (guint)MIN (seconds, RETRY_AFTER_MAX_S) * 1000;
    }
  else if (at->retry_after != NULL)
    {
      guint64 ms = g_ascii_strtoull (at->retry_after, NULL, 10);

      r.retry_after_ms = (guint)MIN (ms, (guint64)RETRY_AFTER_MAX_S * 1000);
    }
  if (g_strcmp0 (at->outcome, pu_run_outcome_name (PU_RUN_OUTCOME_NOT_RUN))
          == 0
      && !pu_entry_uses_builtin_frontend (x->en))
    r.outcome = PU_RUN_OUTCOME_NOT_RUN;
  pu_exchange_fail (x, &r, message);
  json_decref (root);
}

/* Whether the refusal of the other entry has the type WANTED.  */
static bool
refusal_has_type (const pu_exchange_t *x, const char *wanted)
{
  const pu_attempt_t *at = &x->at;
  json_t *root
      = json_loadb ((const char *)at->body->data, at->body->len, 0, NULL);
  const char *type = "";
  bool same;

  json_unpack (root, "{s:{s:s}}", "error", "type", &type);
  same = strcmp (type, wanted) == 0;
  json_decref (root);
  return same;
}

/* Returns the time to come back that the refusal of another entry names, in
   milliseconds, 0 for none.  */
static guint
refusal_retry_ms (const pu_exchange_t *x)
{
  guint64 ms = x->at.retry_after != NULL
                   ? g_ascii_strtoull (x->at.retry_after, NULL, 10)
                   : 0;

  return (guint)MIN (ms, (guint64)RETRY_AFTER_MAX_S * 1000);
}

/* Notes when the backend server of X may have room by its owner, which knows
   what all entries ask of it.  */
static void
owner_retry_note (pu_exchange_t *x)
{
  guint ms = refusal_retry_ms (x);

  if (ms > 0 && (x->owner_retry_ms == 0 || ms < x->owner_retry_ms))
    x->owner_retry_ms = ms;
}

/* Leaves the backend server of X alone for as long as the entry that owns it
   says in its refusal.  */
static void
owner_back_off (const pu_exchange_t *x)
{
  guint ms = refusal_retry_ms (x);

  if (x->at.incarnation == x->at.server->incarnation)
    pu_server_back_off (x->at.server, uv_now (x->en->o.loop) + MAX (ms, 1));
}

/* Handles the refusal of an owner that has not sent X to the backend server:
   no attempt was made at it.  */
static void
owner_unsent (pu_exchange_t *x, pu_router_failure_t failure)
{
  owner_retry_note (x);
  x->server_attempts--;
  pu_exchange_retry (x, failure);
}

/* Whether the owner refused X after attempts at the backend server.  */
static bool
has_owner_attempted (const pu_exchange_t *x)
{
  return refusal_has_type (x,
                           pu_router_reason_name (PU_ROUTER_REASON_ATTEMPTS))
         || refusal_has_type (x,
                              pu_router_reason_name (PU_ROUTER_REASON_BUDGET));
}

void
pu_owner_refusal_handle (pu_exchange_t *x)
{
  const pu_attempt_t *at = &x->at;

  if (at->outcome == NULL)
    {
      pu_exchange_leave_owner (x);
    }
  else if (refusal_has_type (x, PU_REFUSAL_CUT_OFF))
    {
      pu_entry_reach_note_peer (x->en, at->owner);
      pu_exchange_leave_owner (x);
    }
  else if (at->status == STATUS_UNPROCESSABLE)
    {
      pu_peer_refusal_forward (x);
    }
  else if (refusal_has_type (x, PU_REFUSAL_BACK_OFF))
    {
      owner_back_off (x);
      owner_unsent (x, PU_ROUTER_FAIL_UNSENT);
    }
  else if (strcmp (at->outcome, pu_run_outcome_name (PU_RUN_OUTCOME_NOT_RUN))
           != 0)
    {
      pu_attempt_break (x, PU_ROUTER_FAIL_RELAY);
    }
  else if (has_owner_attempted (x))
    {
      owner_retry_note (x);
      pu_exchange_retry (x, PU_ROUTER_FAIL_NOT_RUN);
    }
  else
    {
      owner_unsent (x, PU_ROUTER_FAIL_DECLINED);
    }
}

void
pu_peer_response_complete (pu_exchange_t *x)
{
  pu_attempt_t *at = &x->at;
  bool refused = at->outcome != NULL;

  if (at->answer.foreign || (x->head_sent && !at->streaming && !refused))
    {
      pu_attempt_break (x, PU_ROUTER_FAIL_TRUNCATED);
    }
  else if (refused && refusal_has_type (x, PU_REFUSAL_CUT_OFF))
    {
      pu_entry_reach_note_peer (x->en, at->entry);
      pu_exchange_retry (x, PU_ROUTER_FAIL_NOT_RUN);
    }
  else if (refused)
    {
      pu_peer_refusal_forward (x);
    }
  else if (pu_status_means_not_run (at->status))
    {
      /* It refused before it knew of the relay, as while it stops.  */
      pu_exchange_retry (x, PU_ROUTER_FAIL_NOT_RUN);
    }
  else
    {
      pu_attempt_finish (x);
    }
}
