#include "control/control_private.h"

#include <string.h>

#include "base/log.h"

/* Interval of the log line on queries, and the time spent on them in it from
   which it is written.  */
#define QUERIES_LOG_INTERVAL_MS 1000
#define QUERIES_LOGGED_MIN_NS ((guint64)50 * 1000 * 1000)

static void
query_fail (pu_control_t *c, pu_rpc_call_t *call, pu_error_kind_t kind,
            const char *message)
{
  pu_query_reply r = { .kind = kind, .message = (char *)message, .json = "" };

  (void)c;
  pu_control_reply_xdr (call, (xdrproc_t)xdr_pu_query_reply, &r);
}

/* query_answer - answers CALL with RESULT, whose reference is taken.  */
static void
query_answer (pu_rpc_call_t *call, json_t *result)
{
  char *text = json_dumps (result, JSON_COMPACT);
  pu_query_reply r = { .message = "", .json = text };

  pu_control_reply_xdr (call, (xdrproc_t)xdr_pu_query_reply, &r);
  free (text);
  json_decref (result);
}

static json_t *
voters_json (const pu_control_t *c)
{
  const pu_log_config *config = pu_group_config (c->group);
  json_t *names = json_array ();

  for (u_int i = 0; i < config->members.members_len; i++)
    {
      const pu_log_member *m = &config->members.members_val[i];

      if (pu_log_role_is_voting (m->role))
        json_array_append_new (names, json_string (m->peer.name));
    }
  return json_pack ("{s:o}", "voters", names);
}

static bool
change_voters (pu_control_t *c, const pu_query *q, pu_error_t *e)
{
  if (strcmp (q->action, "add") == 0)
    return pu_group_voters_add (c->group, q->name, e);
  if (strcmp (q->action, "remove") == 0)
    return pu_group_voters_remove (c->group, q->name, e);
  if (strcmp (q->action, "replace") == 0)
    return pu_group_voters_replace (c->group, q->name, q->other, e);
  return pu_error_set (e, PU_ERROR_INVALID, "No such action: %s.", q->action);
}

struct pu_control_copy_request
{
  pu_control_t *control;
  pu_rpc_call_t *call;
};

void
pu_control_copy_request_answer (pu_control_copy_request_t *request,
                                json_t *place)
{
  if (place != NULL)
    {
      query_answer (request->call, place);
    }
  else
    {
      query_fail (request->control, request->call, PU_ERROR_NOT_FOUND,
                  "No copy is expected to be ready soon.");
    }
  g_free (request);
}

static void
begin_copy_request (pu_control_t *c, pu_rpc_call_t *call, const pu_query *q)
{
  pu_control_copy_request_t *request = g_new0 (pu_control_copy_request_t, 1);

  request->control = c;
  request->call = call;
  if (c->copy_request != NULL)
    {
      c->copy_request (c->copy_request_data, q->name, request);
    }
  else
    {
      pu_control_copy_request_answer (request, NULL);
    }
}

static bool
read_incarnation (const pu_query *q, uint64_t *incarnation)
{
  return g_ascii_string_to_unsigned (q->action, 10, 0, G_MAXUINT64,
                                     incarnation, NULL);
}

static void
grant_answer (pu_control_t *c, pu_rpc_call_t *call, const pu_query *q)
{
  pu_grant_request_t request = { .server = q->name };
  pu_grant_t grant;

  if (!read_incarnation (q, &request.incarnation)
      || !pu_grant_terms_read (&request, q->other))
    {
      query_fail (c, call, PU_ERROR_INVALID,
                  "The grant request can't be read.");
      return;
    }
  grant = pu_grants_take (c->grants, &request, pu_control_now (c));
  query_answer (call, json_pack ("{s:i, s:i, s:b}", "granted",
                                 (int)grant.granted, "next_ms",
                                 (int)grant.next_ms, "ended", grant.ended));
}

static void
note_refusal (pu_control_t *c, pu_rpc_call_t *call, const pu_query *q)
{
  uint64_t incarnation;

  if (!read_incarnation (q, &incarnation))
    {
      query_fail (c, call, PU_ERROR_INVALID, "The incarnation can't be read.");
      return;
    }
  if (c->refusal != NULL)
    c->refusal (c->refusal_data, q->name, incarnation, q->other);
  query_answer (call, json_object ());
}

static void
execute_query (pu_control_t *c, pu_rpc_call_t *call, const pu_query *q)
{
  pu_error_t e;

  switch (q->kind)
    {
    case PU_QUERY_STATUS:
      query_answer (call, pu_control_status (c));
      return;
    case PU_QUERY_HISTORY:
      query_answer (call, c->options.history != NULL
                              ? c->options.history (c->state)
                              : json_array ());
      return;
    case PU_QUERY_VOTERS:
      if (change_voters (c, q, &e))
        {
          query_answer (call, voters_json (c));
        }
      else
        {
          query_fail (c, call, e.kind, e.message);
        }
      return;
    case PU_QUERY_WANT:
      begin_copy_request (c, call, q);
      return;
    case PU_QUERY_GRANT:
      grant_answer (c, call, q);
      return;
    case PU_QUERY_REFUSAL:
      note_refusal (c, call, q);
      return;
    }
  pu_rpc_call_garbage (call);
}

void
pu_control_on_query (void *data, pu_rpc_call_t *call, const guint8 *body,
                     size_t n)
{
  pu_control_t *c = data;
  bool known = pu_control_leader_address (c)[0] != '\0';
  pu_query q;

  if (!pu_codec_decode ((xdrproc_t)xdr_pu_query, &q, sizeof q, body, n, NULL))
    {
      pu_rpc_call_garbage (call);
      return;
    }
  /* The leader's history contains everything that was acknowledged.  When no
     leader is known, a voter answers from its own state.  */
  if (pu_group_is_leader (c->group) || (q.kind == PU_QUERY_HISTORY && !known))
    {
      guint64 started_ns = uv_hrtime ();

      c->queries[q.kind]++;
      execute_query (c, call, &q);
      c->queries_ns += uv_hrtime () - started_ns;
    }
  else if (known && !q.forwarded)
    {
      q.forwarded = TRUE;
      pu_control_forward (c, call, PU_CONTROL_QUERY, (xdrproc_t)xdr_pu_query,
                          &q, q.timeout_ms, query_fail);
    }
  else
    {
      query_fail (c, call, PU_ERROR_UNAVAILABLE, "No leader is known.");
    }
  xdr_free ((xdrproc_t)xdr_pu_query, &q);
}

void
pu_control_queries_tick (pu_control_t *c, uint64_t now)
{
  if (now - c->queries_logged < QUERIES_LOG_INTERVAL_MS)
    return;
  if (c->queries_ns >= QUERIES_LOGGED_MIN_NS)
    {
      pu_log_event (
          PU_CONTROL_PART, "Answered many queries.",
          PU_LOG_NUMBER ("status", c->queries[PU_QUERY_STATUS]),
          PU_LOG_NUMBER ("copies", c->queries[PU_QUERY_WANT]),
          PU_LOG_NUMBER ("grants", c->queries[PU_QUERY_GRANT]),
          PU_LOG_NUMBER ("refusals", c->queries[PU_QUERY_REFUSAL]),
          PU_LOG_NUMBER ("spent_ms",
                         c->queries_ns / G_GUINT64_CONSTANT (1000000)),
          PU_LOG_NUMBER ("in_ms", now - c->queries_logged));
    }
  memset (c->queries, 0, sizeof c->queries);
  c->queries_ns = 0;
  c->queries_logged = now;
}
