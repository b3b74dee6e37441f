/* Sends one attempt of a request to a backend server or another entry.  */

#include "entry/entry_private.h"
#include "entry/team.h"
#include "entry/trace.h"

#include <string.h>

/* Idle connections that are kept to another entry: hundreds of entries may
   relay requests to one.  */
#define IDLE_TO_ENTRY_MAX 4

/* Timeout for the response head, as a multiple of the predicted time to the
   first token.  */
#define HEAD_TIMEOUT_FACTOR 4

static guint64
now_of (const pu_exchange_t *x)
{
  return uv_now (x->en->o.loop);
}

static void
head_fill (const pu_exchange_t *x, const pu_server_t *s, pu_header_list_t *h)
{
  const pu_frontend_t *front = &x->en->front;
  guint64 now = now_of (x);
  pu_attempt_params_t params
      = { .request = &x->q,
          .server = s != NULL ? s->name : "",
          .left_ms = x->q.deadline > now ? x->q.deadline - now : 1,
          .rank = pu_exchange_rank (x, now),
          .last_event = x->last_event };

  pu_header_list_init (h);
  for (guint i = 0; i + 1 < x->q.headers->len; i += 2)
    {
      pu_header_list_add (h, g_ptr_array_index (x->q.headers, i),
                          g_ptr_array_index (x->q.headers, i + 1));
    }
  if (pu_entry_uses_builtin_frontend (x->en))
    {
      pu_builtin_request_headers (x, h);
    }
  else
    {
      front->head (front->data, &params, h);
    }
}

static guint64
time_left_ms (const pu_exchange_t *x)
{
  guint64 now = now_of (x);

  return x->q.deadline > now ? x->q.deadline - now : 1;
}

/* Returns how long the response may pause.  Requests of a frontend given in
   the options have callers that leave when a pause is too long for them, so
   that only the deadline ends such a request.  */
static guint
progress_timeout_ms (const pu_exchange_t *x)
{
  guint64 limit = x->en->o.stream_progress_timeout_ms;

  return (guint)(x->q.any_entry ? MAX (limit, time_left_ms (x)) : limit);
}

static guint
first_byte_timeout_ms (const pu_exchange_t *x)
{
  guint64 left = time_left_ms (x);
  guint64 limit = MAX (x->en->o.stream_progress_timeout_ms,
                       (guint64)x->predicted_ms * HEAD_TIMEOUT_FACTOR);

  /* Where the request can't be retried, a timeout before the deadline gains
     nothing.  */
  if (!x->q.repeatable || x->q.plain || x->q.any_entry)
    limit = left;
  return (guint)MIN (limit, left);
}

static bool
call_start (pu_exchange_t *x, const char *address, const char *target,
            const pu_header_list_t *h)
{
  bool has_body = g_bytes_get_size (x->q.body) > 0;
  bool to_entry = x->at.entry != NULL || x->at.owner != NULL;
  GBytes *body = x->delivered.tokens > 0 ? pu_exchange_resume_body (x)
                                         : g_bytes_ref (x->q.body);
  pu_http_call_options_t o
      = { .address = address,
          .method = x->q.method,
          .target = target,
          .headers = (const pu_http_header_t *)(void *)h->headers->data,
          .header_count = h->headers->len,
          .body = has_body ? body : NULL,
          .has_body = strcmp (x->q.method, "POST") == 0,
          /* If a reused connection turns out to have been closed while idle,
             the request needs a retry.  A request that may run only once gets
             no retry, so it is sent on a new connection.  Requests with
             `any_entry` set, which a frontend given in the options reads,
             may use any connection.  */
          .fresh = !x->q.repeatable && (!x->q.any_entry || to_entry),
          .idle_max = to_entry ? IDLE_TO_ENTRY_MAX : 0,
          .first_byte_timeout_ms = first_byte_timeout_ms (x),
          .progress_timeout_ms = progress_timeout_ms (x),
          .events = pu_attempt_events,
          .data = x };

  x->at.call = pu_http_client_start (x->en->client, &o, NULL);
  g_bytes_unref (body);
  if (x->at.call == NULL)
    return false;
  x->at.sent_at = now_of (x);
  x->phase = PU_EXCHANGE_RUNNING;
  x->attempts++;
  return true;
}

/* Records in the suspects table that X runs at S.  */
static void
suspects_note_start (pu_exchange_t *x, pu_server_t *s)
{
  pu_suspects_t *suspects = x->en->suspects;

  if (!x->q.crash_tracked)
    return;
  if (pu_suspects_is_suspect (suspects, x->q.fingerprint, now_of (x)))
    {
      x->at.as_suspect = true;
      pu_server_count_suspect (x->en, s, true);
    }
  pu_suspects_started (suspects, x->number, x->q.fingerprint, s->number,
                       s->incarnation, now_of (x));
  x->at.suspect_tracked = true;
  pu_part_sent (x);
}

/* Adds the headers that mark a relay, after which X may still be sent to
   ATTEMPTS backend servers (0: no limit is stated).  */
static void
relay_headers_add (const pu_exchange_t *x, guint attempts, pu_header_list_t *h)
{
  char *team = pu_team_relay_value (&x->q);

  pu_header_list_add (h, "X-Relay-Hop", x->hops == 0 ? "1" : "2");
  pu_header_list_add (h, "X-Relay-Key", x->en->peer_key);
  if (attempts > 0)
    pu_header_list_add_number (h, "X-Relay-Attempts", attempts);
  if (team != NULL)
    {
      g_ptr_array_add (h->owned, team);
      pu_header_list_add (h, PU_TEAM_RELAY_HEADER, team);
    }
  if (x->software != NULL)
    {
      char *value = pu_software_encode (x->software);

      g_ptr_array_add (h->owned, value);
      pu_header_list_add (h, PU_SOFTWARE_RELAY_HEADER, value);
    }
}

/* Sends X to S, which is or may be brittle, by way of its owner TO.  */
static bool
start_at_owner (pu_exchange_t *x, const pu_server_t *s,
                const pu_directory_entry_t *to)
{
  char *bound = g_strdup_printf ("%.3f", s->stated_per_s);
  pu_header_list_t h;
  bool good;

  head_fill (x, NULL, &h);
  relay_headers_add (x, 1, &h);
  pu_header_list_add (&h, PU_SERVER_RELAY_HEADER, s->name);
  pu_header_list_add (&h, "X-Relay-Rejections", bound);
  pu_header_list_add_number (&h, "X-Relay-Age",
                             now_of (x) - MIN (now_of (x), x->q.arrived));
  x->at.owner = g_strdup (to->name);
  good = call_start (x, to->address, x->q.target, &h);
  pu_header_list_clear (&h);
  g_free (bound);
  return good;
}

static bool
start_at_server (pu_exchange_t *x, const pu_server_t *s)
{
  pu_header_list_t h;
  bool good;

  head_fill (x, s, &h);
  good = call_start (x, s->address, x->q.target, &h);
  pu_header_list_clear (&h);
  return good;
}

bool
pu_attempt_start (pu_exchange_t *x, pu_server_t *s)
{
  pu_directory_entry_t to;

  x->at.server = s;
  x->at.incarnation = s->incarnation;
  if (pu_brittle_find_way (x, s, &to) == PU_BRITTLE_BY_OWNER)
    {
      if (!start_at_owner (x, s, &to))
        return false;
      pu_trace_relayed (x, to.name);
    }
  else
    {
      if (!start_at_server (x, s))
        return false;
      pu_server_brittle_sent (x);
      suspects_note_start (x, s);
    }
  pu_brittle_note_asked (x);
  x->server_attempts++;
  pu_trace_sent (x, s);
  pu_router_sent (x->en->router, x->ticket, now_of (x));
  return true;
}

bool
pu_attempt_relay (pu_exchange_t *x, const pu_directory_entry_t *to)
{
  bool builtin = pu_entry_uses_builtin_frontend (x->en);
  char *target
      = x->q.plain && builtin
            ? g_strconcat ("/services/", x->q.service, x->q.target, NULL)
            : g_strdup (x->q.target);
  guint attempts = x->q.attempts_max > 0 && !builtin
                       ? x->q.attempts_max - x->server_attempts
                       : 0;
  pu_header_list_t h;
  bool good;

  head_fill (x, NULL, &h);
  relay_headers_add (x, attempts, &h);
  if (!x->q.plain && builtin)
    pu_header_list_add (&h, "X-Service", x->q.service);
  x->at.entry = g_strdup (to->name);
  pu_trace_relayed (x, to->name);
  good = call_start (x, to->address, target, &h);
  pu_header_list_clear (&h);
  g_free (target);
  if (!good)
    pu_attempt_clear (x);
  return good;
}
