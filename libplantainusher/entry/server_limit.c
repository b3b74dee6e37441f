/* Backend servers that limit the requests per second which all entries
   together send them.  The leader grants the requests (control/grants.h).
   Between grants such a server backs off, so that its requests go to other
   copies, wait or are refused as with any back-off.  */

#include "entry/entry_private.h"

#include <string.h>

#include "base/log.h"

enum
{
  GRANT_TIMEOUT_MS = 500,
  /* How long a limited server backs off after a grant request without a
     reply, as when there is no leader.  */
  GRANT_RETRY_MS = 500,
  /* A grant is used up within this time, so that it does not add to later
     ones.  */
  GRANT_LIFE_MS = 1000,
};

typedef struct
{
  pu_entry_t *en;
  pu_server_t *server;
  guint64 incarnation;
  bool wanted; /* false: the call only reported the end of a limit */
} grant_call_t;

static guint
waiting_count (const pu_server_t *s)
{
  guint n = 0;

  for (const GList *l = s->en->open.head; l != NULL; l = l->next)
    n += ((const pu_exchange_t *)l->data)->grant_server == s->number;
  return n;
}

/* Routes the exchanges that wait for a grant of S again.  */
static void
waiting_route (const pu_server_t *s)
{
  pu_entry_t *en = s->en;
  GArray *numbers = g_array_new (FALSE, FALSE, sizeof (guint64));

  for (const GList *l = en->open.head; l != NULL; l = l->next)
    {
      const pu_exchange_t *x = l->data;

      if (x->grant_server == s->number)
        g_array_append_val (numbers, x->number);
    }
  for (guint i = 0; i < numbers->len; i++)
    {
      pu_exchange_t *x = g_hash_table_lookup (
          en->numbers, &g_array_index (numbers, guint64, i));

      if (x == NULL || x->grant_server != s->number)
        continue;
      x->grant_server = 0;
      pu_exchange_route (x);
    }
  g_array_free (numbers, TRUE);
}

static void
limit_set (pu_server_t *s, double per_s, guint64 at)
{
  s->limit_stated_at = at;
  if (s->limit_per_s == per_s)
    return;
  s->limit_per_s = per_s;
  if (per_s > 0)
    {
      pu_log_note (PU_ENTRY_LOG_SLICE,
                   "Backend server %s limits its requests to %.2f per second.",
                   s->name, per_s);
    }
  else
    {
      pu_log_note (PU_ENTRY_LOG_SLICE,
                   "Backend server %s no longer limits its requests.",
                   s->name);
    }
}

/* Applies the leader's REPLY to a grant request for S; NULL: there was
   none.  */
static void
reply_apply (pu_server_t *s, json_t *reply, guint64 now)
{
  json_int_t granted = 0;
  json_int_t next_ms = GRANT_RETRY_MS;
  int ended = 0;

  json_unpack (reply, "{s:I, s:I, s:b}", "granted", &granted, "next_ms",
               &next_ms, "ended", &ended);
  if (ended)
    {
      limit_set (s, 0, now);
      return;
    }
  s->grants = (guint)MAX (granted, 0);
  s->grants_until = now + GRANT_LIFE_MS;
  s->next_grant_at = now + (guint64)MAX (next_ms, 0);
  if (s->grants == 0)
    pu_server_back_off (s, s->next_grant_at);
}

static void
on_grant_reply (void *data, json_t *reply, const pu_error_t *e)
{
  grant_call_t *call = data;
  pu_entry_t *en = call->en;
  pu_server_t *s = call->server;
  bool current = call->wanted && call->incarnation == s->incarnation
                 && s->limit_per_s > 0;

  g_free (call);
  en->pending--;
  s->grant_requested = false;
  if (reply == NULL && current)
    {
      pu_log_debug (PU_ENTRY_LOG_SLICE,
                    "No request to backend server %s was granted: %s", s->name,
                    e != NULL ? e->message : "no reply.");
    }
  if (!en->freed)
    {
      if (current)
        reply_apply (s, reply, uv_now (en->o.loop));
      waiting_route (s);
    }
  pu_entry_check_stopped (en);
}

/* Asks the leader for WANTED requests to S.  If WANTED is 0, only reports what
   S states.  */
static void
grant_request (pu_server_t *s, guint wanted)
{
  pu_entry_t *en = s->en;
  grant_call_t *call = g_new0 (grant_call_t, 1);
  pu_grant_request_t q = { .server = s->name,
                           .incarnation = s->incarnation,
                           .limit_per_s = s->limit_per_s,
                           .age_ms = uv_now (en->o.loop) - s->limit_stated_at,
                           .wanted = wanted };

  call->en = en;
  call->server = s;
  call->incarnation = s->incarnation;
  call->wanted = wanted > 0;
  s->grant_requested = true;
  en->pending++;
  en->o.hooks.request_grant (en->o.hooks.data, &q, GRANT_TIMEOUT_MS,
                             on_grant_reply, call);
}

void
pu_server_limit_stated (pu_server_t *s, double per_s)
{
  bool ends = s->limit_per_s > 0 && per_s == 0;

  limit_set (s, per_s, uv_now (s->en->o.loop));
  if (ends && s->en->o.hooks.request_grant != NULL)
    grant_request (s, 0);
}

void
pu_server_limit_told (pu_server_t *s, double per_s, guint64 at)
{
  limit_set (s, per_s, at);
}

bool
pu_server_limit_permits (pu_exchange_t *x, pu_server_t *s)
{
  const pu_entry_t *en = s->en;

  if (s->limit_per_s == 0 || en->o.hooks.request_grant == NULL)
    return true;
  if (s->grants > 0 && uv_now (en->o.loop) < s->grants_until)
    {
      if (--s->grants == 0)
        pu_server_back_off (s, s->next_grant_at);
      return true;
    }
  x->grant_server = s->number;
  if (!s->grant_requested)
    grant_request (s, waiting_count (s));
  return false;
}
