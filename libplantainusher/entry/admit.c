/* Admission: whether a request is accepted, and the start of its exchange.  */

#include "entry/entry_private.h"
#include "entry/team.h"
#include "entry/trace.h"
#include "http/auth.h"

const pu_refusal_t pu_refusal_stopping
    = { 503, "stopping", PU_RUN_OUTCOME_NOT_RUN, PU_BUSY_RETRY_AFTER_MS };

/* The caller has disconnected.  A claimed at-most-once call that was
   dispatched continues, so that its outcome can be recorded in the log.  Any
   other request is cancelled.  */
static void
on_gone (void *data)
{
  pu_exchange_t *x = data;

  x->http = NULL;
  pu_trace_caller_gone (x);
  if (x->claim != 0)
    return;
  if (x->at.call == NULL && !x->may_have_run)
    pu_allowance_put_back_unused (x);
  if (x->once && x->phase == PU_EXCHANGE_CLAIMING)
    pu_once_remove_caller (x->en->once, x->number, uv_now (x->en->o.loop));
  pu_exchange_finish (x);
}

static void
on_drain (void *data)
{
  pu_exchange_t *x = data;

  if (x->at.call != NULL)
    pu_http_call_resume (x->at.call);
}

static pu_exchange_t *
exchange_new (pu_entry_t *en, pu_http_request_t *http)
{
  pu_exchange_t *x = g_new0 (pu_exchange_t, 1);

  x->en = en;
  x->http = http;
  x->link.data = x;
  x->allowance_link.data = x;
  x->number = ++en->last_number;
  pu_request_init (&x->q);
  x->avoid = g_ptr_array_new_with_free_func (g_free);
  pu_delivered_init (&x->delivered);
  return x;
}

void
pu_exchange_start (pu_exchange_t *x)
{
  if (x->once)
    {
      pu_claim_begin (x);
    }
  else
    {
      pu_exchange_route (x);
    }
}

static void
body_count (pu_exchange_t *x)
{
  gsize len = g_bytes_get_size (x->q.body);

  if (len <= PU_MEMORY_SMALL_REQUEST)
    return;
  x->body_counted = len;
  x->en->body_bytes += len;
}

static void
exchange_admit (pu_exchange_t *x)
{
  static const pu_http_request_events_t events = { on_gone, on_drain };
  pu_entry_t *en = x->en;

  body_count (x);
  pu_http_request_watch (x->http, &events, x);
  g_queue_push_tail_link (&en->open, &x->link);
  g_hash_table_insert (en->numbers, &x->number, x);
  pu_rates_add_request (en, x->q.service);
  if (x->q.team != NULL)
    {
      pu_request_sizes_add (en->request_sizes, x->q.team, x->q.team_tokens,
                            uv_now (en->o.loop));
    }
  if (pu_allowance_admits (x))
    pu_exchange_start (x);
}

/* Admits X if READ is true.  If READ is false, the caller was already sent an
   error, and X is freed.  */
static void
exchange_begin_or_free (pu_exchange_t *x, bool read)
{
  if (read)
    {
      exchange_admit (x);
    }
  else
    {
      pu_exchange_free (x);
    }
}

static void
reject (pu_entry_t *en, pu_http_request_t *http, const pu_refusal_t *r,
        const char *message)
{
  const char *id = en->front.id (en->front.data, http);

  pu_trace_rejected (en, id, r, message);
  en->front.refuse (en->front.data, http, id, r, message);
}

/* Whether the body of HTTP, if it is a large one, fits beside those of the
   requests in progress.  */
static bool
has_room_for_body (const pu_entry_t *en, const pu_http_request_t *http)
{
  gsize len = 0;

  pu_http_request_body (http, &len);
  return len <= PU_MEMORY_SMALL_REQUEST
         || en->body_bytes + len <= pu_memory_bodies_max (en->o.memory);
}

/* Returns whether HTTP is admitted.  If not, HTTP is refused.  */
static bool
check_admission (pu_entry_t *en, pu_http_request_t *http)
{
  static const pu_refusal_t memory
      = { 503, "memory", PU_RUN_OUTCOME_NOT_RUN, PU_BUSY_RETRY_AFTER_MS };
  static const pu_refusal_t full
      = { 503, "overloaded", PU_RUN_OUTCOME_NOT_RUN, PU_BUSY_RETRY_AFTER_MS };

  /* A request can still arrive on a keep-alive connection while the entry
     stops.  It is refused because it might not end before the graceful stop
     times out.  */
  if (en->stopping)
    {
      reject (en, http, &pu_refusal_stopping, "This entry is stopping.");
      return false;
    }
  if (pu_memory_budget_reached (en->o.memory, PU_MEMORY_REFUSE_REQUESTS)
      || !has_room_for_body (en, http))
    {
      reject (en, http, &memory, "This entry is short of memory.");
      return false;
    }
  if (en->open.length < en->o.requests_max)
    return true;
  reject (en, http, &full, "Too many requests are in progress on this entry.");
  return false;
}

void
pu_exchange_begin_model (pu_entry_t *en, pu_http_request_t *http, bool chat)
{
  pu_exchange_t *x;

  if (!check_admission (en, http))
    return;
  x = exchange_new (en, http);
  exchange_begin_or_free (x, pu_exchange_parse_model (x, chat));
}

void
pu_exchange_begin_plain (pu_entry_t *en, pu_http_request_t *http)
{
  pu_exchange_t *x;

  if (!check_admission (en, http))
    return;
  x = exchange_new (en, http);
  exchange_begin_or_free (x, pu_exchange_parse_plain (x));
}

void
pu_exchange_begin_frontend (pu_entry_t *en, pu_http_request_t *http)
{
  if (en->document != NULL)
    {
      pu_exchange_begin_arrived (en, http, uv_now (en->o.loop));
    }
  else if (!pu_startup_hold (en, http))
    {
      pu_exchange_refuse_starting (en, http);
    }
}

void
pu_exchange_refuse_starting (pu_entry_t *en, pu_http_request_t *http)
{
  static const pu_refusal_t starting
      = { 503, "starting", PU_RUN_OUTCOME_NOT_RUN, PU_BUSY_RETRY_AFTER_MS };

  reject (en, http, &starting, "This entry has no document yet.");
}

/* Reads which brittle server X came here for, if it came by way of its
   owner.  */
static void
only_server_read (pu_exchange_t *x)
{
  const char *server = pu_http_request_header (x->http, "x-relay-server");
  const char *bound = pu_http_request_header (x->http, "x-relay-rejections");
  const char *age = pu_http_request_header (x->http, "x-relay-age");
  guint64 age_ms = 0;

  if (server == NULL || bound == NULL)
    return;
  if (age != NULL)
    g_ascii_string_to_unsigned (age, 10, 0, G_MAXUINT32, &age_ms, NULL);
  x->relay_age_ms = (guint)age_ms;
  x->only_server = g_strdup (server);
  x->only_server_bound = g_ascii_strtod (bound, NULL);
  pu_exchange_accept_as_owner (x);
}

/* Finds out whether X comes from another entry, and then reads its team, by
   which a frontend knows that the key was checked.  */
static void
relay_begin (pu_exchange_t *x)
{
  const char *key = pu_http_request_header (x->http, "x-relay-key");

  x->relayed = key != NULL && pu_http_key_equal (key, x->en->peer_key);
  if (x->relayed)
    pu_team_read_relay (&x->q, x->http);
}

/* Reads the other headers of a relay, if X is one.  They replace what the
   frontend has set.  */
static void
relay_read (pu_exchange_t *x)
{
  const char *left = pu_http_request_header (x->http, "x-relay-attempts");
  guint64 attempts;

  if (!x->relayed)
    return;
  x->hops = PU_RELAY_HOPS_MAX;
  x->software = pu_software_decode (
      pu_http_request_header (x->http, PU_SOFTWARE_RELAY_HEADER));
  if (left != NULL
      && g_ascii_string_to_unsigned (left, 10, 1, G_MAXUINT32, &attempts,
                                     NULL))
    x->q.attempts_max = (guint)attempts;
  only_server_read (x);
}

void
pu_exchange_begin_arrived (pu_entry_t *en, pu_http_request_t *http,
                           guint64 arrived)
{
  static const pu_refusal_t not_found
      = { 404, "not_found", PU_RUN_OUTCOME_NOT_RUN, 0 };
  pu_undeclared_t undeclared
      = { pu_entry_undeclared (en, &not_found),
          pu_entry_undeclared (en, &pu_refusal_denied) };
  pu_exchange_t *x;
  bool read;

  if (!check_admission (en, http))
    return;
  x = exchange_new (en, http);
  x->q.arrived = arrived;
  relay_begin (x);
  read = en->front.read (en->front.data, en->document, &undeclared, http,
                         &x->q);
  x->last_event = x->q.last_event;
  if (read)
    relay_read (x);
  exchange_begin_or_free (x, read);
}
