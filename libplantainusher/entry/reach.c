/* Whether this entry reaches the backend servers (routing/reach.h), and the
   entry that serves a request in its place if it does not.  */

#include "entry/entry_private.h"

#include <string.h>

#include "base/log.h"

enum
{
  /* Connections that one request fails to get before it goes to another entry,
     whatever this entry knows of itself.  */
  UNCONNECTED_MAX = 2,
  /* Requests that wait for backend servers for so long, while no backend
     server sends anything, count as failed connections.  */
  SILENCE_MS = 1000,
  /* Entries of the zone that must be left for requests to stay in it.  */
  ZONE_PEERS_MIN = 2,
  /* How long an entry is left alone after it said that it reaches no backend
     server either.  */
  PEER_CUT_OFF_MS = 500,
};

/* Another entry, to which requests may go.  */
typedef struct
{
  char *name;
  char *address;
  bool same_zone;
} peer_t;

static guint64
loop_now (const pu_entry_t *en)
{
  return uv_now (en->o.loop);
}

void
pu_entry_peer_free (gpointer peer)
{
  peer_t *p = peer;

  g_free (p->name);
  g_free (p->address);
  g_free (p);
}

/* --- probes --- */

static void
state_log (pu_reach_state_t before, pu_reach_state_t now)
{
  if (before != now && now == PU_REACH_CUT_OFF)
    {
      pu_log_note (PU_ENTRY_LOG_SLICE,
                   "This instance reaches no backend server; its requests go "
                   "to other instances.");
    }
  else if (before == PU_REACH_CUT_OFF && now == PU_REACH_GOOD)
    {
      pu_log_note (PU_ENTRY_LOG_SLICE,
                   "This instance reaches the backend servers again.");
    }
}

static void
on_probe_end (void *data, pu_http_call_t *call, const pu_http_result_t *result)
{
  pu_entry_t *en = data;
  pu_reach_state_t before = en->reach.state;

  (void)call;
  en->pending--;
  pu_reach_probe_ended (&en->reach, result->kind == PU_HTTP_END_COMPLETE);
  state_log (before, en->reach.state);
  pu_entry_check_stopped (en);
}

/* Opens a connection to S and closes it again.  */
static bool
probe_start (pu_entry_t *en, const pu_server_t *s)
{
  pu_http_call_options_t o = { .address = s->address,
                               .method = "GET",
                               .target = "/",
                               .fresh = true,
                               .connect_only = true,
                               .events = { .on_end = on_probe_end },
                               .data = en };

  if (pu_http_client_start (en->client, &o, NULL) == NULL)
    return false;
  en->pending++;
  return true;
}

/* Returns the backend servers that are up, without BUT; those that are lost
   only with LOST.  */
static GPtrArray *
servers_up (const pu_entry_t *en, const pu_server_t *but, bool lost)
{
  GPtrArray *up = g_ptr_array_new ();
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, en->servers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const pu_server_t *s = value;

      if (!s->down && s != but && (lost || !pu_lost_contains (en->lost, s)))
        g_ptr_array_add (up, value);
    }
  return up;
}

/* Removes a random backend server from UP; NULL if there is none.  */
static const pu_server_t *
take_random (const pu_entry_t *en, GPtrArray *up)
{
  if (up->len == 0)
    return NULL;
  return g_ptr_array_remove_index_fast (
      up, (guint)g_rand_int_range (en->random, 0, (gint)up->len));
}

const pu_server_t *
pu_entry_reach_random_server (const pu_entry_t *en, const pu_server_t *but)
{
  GPtrArray *up = servers_up (en, but, false);
  const pu_server_t *found;

  if (up->len == 0)
    {
      g_ptr_array_free (up, TRUE);
      up = servers_up (en, but, true);
    }
  found = take_random (en, up);
  g_ptr_array_free (up, TRUE);
  return found;
}

/* Probes N backend servers, the same ones again if there are fewer.  In doubt
   those that are lost say nothing new.  */
static void
probes_start (pu_entry_t *en, guint n)
{
  bool lost = en->reach.state == PU_REACH_CUT_OFF;
  GPtrArray *up = servers_up (en, NULL, lost);

  for (guint i = 0; i < n; i++)
    {
      const pu_server_t *s = take_random (en, up);

      if (s == NULL)
        {
          g_ptr_array_free (up, TRUE);
          up = servers_up (en, NULL, lost);
          s = take_random (en, up);
        }
      if (s == NULL || !probe_start (en, s))
        pu_reach_probe_ended (&en->reach, false);
    }
  g_ptr_array_free (up, TRUE);
}

/* --- signs --- */

/* Counts requests that wait without a sign from any backend server as failed
   connections: connections that hang carry them nowhere.  */
static void
silence_check (pu_entry_t *en, guint64 now)
{
  if (now < en->heard_at + SILENCE_MS)
    return;
  for (GList *l = en->open.head; l != NULL; l = l->next)
    {
      const pu_exchange_t *x = l->data;

      if (x->phase == PU_EXCHANGE_RUNNING && x->at.server != NULL
          && x->at.owner == NULL && now >= x->at.sent_at + SILENCE_MS)
        pu_reach_failed (&en->reach, x->at.server->number, now);
    }
}

void
pu_entry_reach_tick (pu_entry_t *en, guint64 now)
{
  guint n;

  if (pu_entry_uses_builtin_frontend (en))
    return;
  silence_check (en, now);
  pu_entry_lost_tick (en, now);
  n = pu_reach_probes_due (&en->reach, now);
  if (n > 0)
    probes_start (en, n);
}

void
pu_entry_reach_note_end (pu_exchange_t *x, const pu_http_result_t *result)
{
  pu_entry_t *en = x->en;
  bool unconnected = result->kind == PU_HTTP_END_CONNECT_FAILED
                     || result->kind == PU_HTTP_END_CONNECT_TIMEOUT;

  if (x->at.server == NULL || x->at.owner != NULL)
    return;
  if (unconnected)
    {
      x->unconnected++;
      x->server_attempts--;
      pu_reach_failed (&en->reach, x->at.server->number, loop_now (en));
      pu_entry_reach_tick (en, loop_now (en));
    }
  else if (!result->reused)
    {
      pu_reach_connected (&en->reach);
      pu_server_set_reached (x->at.server);
    }
}

bool
pu_entry_reach_is_doubtful (const pu_entry_t *en)
{
  return en->reach.state != PU_REACH_GOOD;
}

/* --- other entries --- */

static void
peer_add (const pu_member_record *m, void *data)
{
  pu_entry_t *en = data;
  peer_t *p;

  if (*m->caller_address == '\0' || m->leaving
      || strcmp (m->name, en->name) == 0)
    return;
  p = g_new0 (peer_t, 1);
  p->name = g_strdup (m->name);
  p->address = g_strdup (m->caller_address);
  p->same_zone = strcmp (m->zone, en->zone) == 0;
  g_ptr_array_add (en->peers, p);
}

static void
peers_sync (pu_entry_t *en)
{
  const pu_state_t *view = en->o.hooks.view (en->o.hooks.data);
  guint64 version = pu_state_membership_version (view);

  if (en->peers_version == version)
    return;
  g_ptr_array_set_size (en->peers, 0);
  pu_state_each_member (view, peer_add, en);
  en->peers_version = version;
}

void
pu_entry_reach_note_peer (pu_entry_t *en, const char *name)
{
  guint64 *until = g_new (guint64, 1);

  *until = loop_now (en) + PEER_CUT_OFF_MS;
  g_hash_table_replace (en->cut_off_peers, g_strdup (name), until);
}

bool
pu_entry_peer_is_avoided (const pu_exchange_t *x, const char *name)
{
  const guint64 *until = g_hash_table_lookup (x->en->cut_off_peers, name);

  if (until != NULL && loop_now (x->en) < *until)
    return true;
  for (guint i = 0; i < x->avoid->len; i++)
    {
      if (strcmp (g_ptr_array_index (x->avoid, i), name) == 0)
        return true;
    }
  return false;
}

/* Collects the entries that X may go to.  */
static GPtrArray *
usable_peers (const pu_exchange_t *x, bool same_zone)
{
  GPtrArray *found = g_ptr_array_new ();

  for (guint i = 0; i < x->en->peers->len; i++)
    {
      peer_t *p = g_ptr_array_index (x->en->peers, i);

      if ((p->same_zone || !same_zone)
          && !pu_entry_peer_is_avoided (x, p->name))
        g_ptr_array_add (found, p);
    }
  return found;
}

/* Returns a random entry: in the zone of this one if enough are left there, so
   that the load of a cut off zone is spread over all others.  */
static const peer_t *
choose_peer (pu_exchange_t *x)
{
  GPtrArray *found;
  const peer_t *p = NULL;

  peers_sync (x->en);
  found = usable_peers (x, true);
  if (found->len < ZONE_PEERS_MIN)
    {
      g_ptr_array_free (found, TRUE);
      found = usable_peers (x, false);
    }
  if (found->len > 0)
    {
      p = g_ptr_array_index (
          found, g_rand_int_range (x->en->random, 0, (gint)found->len));
    }
  g_ptr_array_free (found, TRUE);
  return p;
}

/* Whether X may go to another entry at all.  */
static bool
may_hand_over (const pu_exchange_t *x)
{
  return x->q.any_entry && x->hops == 0 && !x->en->stopping
         && (x->q.attempts_max == 0 || x->server_attempts < x->q.attempts_max);
}

bool
pu_entry_hand_over (pu_exchange_t *x)
{
  pu_directory_entry_t to = { 0 };
  const peer_t *p;

  if (!may_hand_over (x)
      || (x->en->reach.state != PU_REACH_CUT_OFF && x->avoid->len == 0
          && x->unconnected < UNCONNECTED_MAX
          && !(x->unconnected > 0 && pu_entry_reach_is_doubtful (x->en))
          && !pu_entry_lost_all (x)))
    return false;
  p = choose_peer (x);
  if (p == NULL)
    return false;
  to.name = p->name;
  to.address = p->address;
  return pu_attempt_relay (x, &to);
}

bool
pu_entry_refuses_relayed (const pu_exchange_t *x)
{
  return x->relayed && x->q.any_entry
         && (x->en->reach.state == PU_REACH_CUT_OFF || pu_entry_lost_all (x));
}
