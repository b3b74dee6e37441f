/* Which software version began a stream that a caller resumes, possibly at
   another entry than the one that it came through before.

   The entry that forwards the first event records the version.  If a service
   has backend servers of several versions, it also tells a few other entries,
   chosen by the id of the request, so that any entry can ask them; the
   recording entry may have stopped by then.  Where the daemon names the
   voters, one of those entries is a voter, which keeps the origin on its disk.
 */

#include "entry/entry_private.h"

#include <string.h>
#include <xxhash.h>

#include "base/counters.h"
#include "base/log.h"

enum
{
  ORIGINS_MAX = 65536,
  /* How long a stream can be resumed at most, and how long a version counts
     that no backend server has any more.  */
  LIFE_MAX_MS = PU_ORIGIN_LIFE_MAX_MS,
  /* Entries that keep origins.  All of them would mean a connection between
     any two entries.  */
  KEEPERS_MAX = 32,
  TOLD = 2,  /* keepers that are told of one origin */
  ASKED = 3, /* keepers that are asked: the set may have changed by one */
  /* Where voters keep origins, so many keepers and as many voters are asked,
     each of which may have changed by one.  */
  ASKED_BESIDE_VOTERS = 3,
  VOTERS_ASKED = 2,
  /* Time after the start of an entry in which keepers that do not answer are
     asked again: they may be starting, too.  Later they are taken for dead, so
     that a stream of an unknown beginning is refused at once.  */
  RESTART_MS = 10000,
  ANSWER_TIMEOUT_MS = 400,
  /* As long as there is an answer without the keepers.  */
  ANSWER_TIMEOUT_SHORT_MS = 100,
  CONTACT_TIMEOUT_MS = 1500,
  FLUSH_MS = 20,
};

/* The key of the directory for the set of keepers.  */
#define KEEPERS_KEY "origins"

static guint64
loop_now (const pu_entry_t *en)
{
  return uv_now (en->o.loop);
}

static void
count (const pu_entry_t *en, const char *name, guint n)
{
  pu_counters_t *c = en->o.counters;

  if (c != NULL)
    pu_counters_add (c, pu_counters_get (c, name), n);
}

/* --- keepers of an origin --- */

static guint64
keeper_weight (const pu_directory_entry_t *e, guint64 key)
{
  return XXH3_64bits_withSeed (e->name, strlen (e->name), key);
}

static bool
is_zone_taken (const GArray *taken, const char *zone)
{
  for (guint i = 0; i < taken->len; i++)
    {
      if (strcmp (g_array_index (taken, pu_directory_entry_t, i).zone, zone)
          == 0)
        return true;
    }
  return false;
}

/* Returns the index in KEEPERS of the heaviest one for KEY, of a zone that
   TAKEN lacks if there is one.  */
static guint
heaviest_keeper (const GArray *keepers, const GArray *taken, guint64 key)
{
  guint best = 0;
  bool best_zone_is_new = false;
  guint64 best_weight = 0;

  for (guint i = 0; i < keepers->len; i++)
    {
      const pu_directory_entry_t *e
          = &g_array_index (keepers, pu_directory_entry_t, i);
      bool zone_is_new = !is_zone_taken (taken, e->zone);
      guint64 weight = keeper_weight (e, key);

      if (i > 0
          && (zone_is_new < best_zone_is_new
              || (zone_is_new == best_zone_is_new && weight <= best_weight)))
        continue;
      best = i;
      best_zone_is_new = zone_is_new;
      best_weight = weight;
    }
  return best;
}

/* Returns the first N keepers of KEY, of pu_directory_entry_t.  Each zone
   appears once before any does twice, so that the loss of a zone loses no
   origin.  */
static GArray *
keepers_of (const pu_entry_t *en, guint64 key, guint n)
{
  GArray *left = g_array_new (FALSE, FALSE, sizeof (pu_directory_entry_t));
  GArray *taken = g_array_new (FALSE, FALSE, sizeof (pu_directory_entry_t));

  pu_directory_entries (en->directory, KEEPERS_KEY, KEEPERS_MAX, NULL, NULL,
                        left);
  while (taken->len < n && left->len > 0)
    {
      guint i = heaviest_keeper (left, taken, key);
      pu_directory_entry_t e = g_array_index (left, pu_directory_entry_t, i);

      g_array_append_val (taken, e);
      g_array_remove_index (left, i);
    }
  g_array_free (left, TRUE);
  return taken;
}

/* Returns the peer address of the keeper E, or NULL if it is this entry or not
   a member any more.  */
static const char *
peer_address (const pu_entry_t *en, const pu_directory_entry_t *e)
{
  const pu_state_t *view = en->o.hooks.view (en->o.hooks.data);
  const pu_member_record *m = pu_state_member (view, e->name);

  return m != NULL && strcmp (e->name, en->name) != 0 ? m->peer_address : NULL;
}

/* --- voters that keep origins --- */

static guint64
voter_weight (const char *address, guint64 key)
{
  return XXH3_64bits_withSeed (address, strlen (address), key);
}

/* Returns the N voters that this entry knows, which the daemon names only if
   one keeper of an origin has to be a voter.  */
static const char *const *
known_voters (const pu_entry_t *en, guint *n)
{
  *n = 0;
  return en->o.hooks.voters != NULL ? en->o.hooks.voters (en->o.hooks.data, n)
                                    : NULL;
}

typedef struct
{
  const char *const *voters;
  guint n;
  guint64 key;
  const pu_member_record *best;
  guint64 weight; /* of BEST */
} voter_args_t;

static void
voter_choose (const pu_member_record *m, void *data)
{
  voter_args_t *x = data;
  guint64 weight = voter_weight (m->peer_address, x->key);

  if (*m->caller_address == '\0' || m->leaving
      || (x->best != NULL && weight <= x->weight))
    return;
  for (guint i = 0; i < x->n; i++)
    {
      if (strcmp (x->voters[i], m->peer_address) == 0)
        {
          x->best = m;
          x->weight = weight;
          return;
        }
    }
}

/* Returns the voter that keeps KEY, an entry that is up, or NULL.  */
static const pu_member_record *
voter_of (const pu_entry_t *en, guint64 key)
{
  voter_args_t x = { .key = key };

  x.voters = known_voters (en, &x.n);
  if (x.n > 0)
    {
      pu_state_each_member (en->o.hooks.view (en->o.hooks.data), voter_choose,
                            &x);
    }
  return x.best;
}

static gint
compare_weight (gconstpointer a, gconstpointer b, gpointer data)
{
  const guint64 *key = data;
  guint64 x = voter_weight (*(const char *const *)a, *key);
  guint64 y = voter_weight (*(const char *const *)b, *key);

  return x == y ? 0 : x > y ? -1 : 1;
}

/* Appends to ADDRESSES those of the voters that may keep KEY, whether they are
   up or not: a voter that starts again may not be in the view yet.  Returns
   false if no voter is known yet.  */
static bool
voters_append (const pu_entry_t *en, guint64 key, GPtrArray *addresses)
{
  guint n;
  const char *const *voters = known_voters (en, &n);
  GPtrArray *ranked = g_ptr_array_new ();

  for (guint i = 0; i < n; i++)
    g_ptr_array_add (ranked, (gpointer)voters[i]);
  g_ptr_array_sort_with_data (ranked, compare_weight, &key);
  for (guint i = 0; i < MIN (n, VOTERS_ASKED); i++)
    {
      if (!g_ptr_array_find_with_equal_func (addresses, ranked->pdata[i],
                                             g_str_equal, NULL))
        g_ptr_array_add (addresses, ranked->pdata[i]);
    }
  g_ptr_array_free (ranked, TRUE);
  return n > 0;
}

/* --- recording --- */

static void
outgoing_free (gpointer list)
{
  GArray *origins = list;

  for (guint i = 0; i < origins->len; i++)
    g_free (g_array_index (origins, pu_entry_origin_t, i).software);
  g_array_free (origins, TRUE);
}

void
pu_entry_origins_init (pu_entry_t *en)
{
  en->origins = pu_origins_new (ORIGINS_MAX);
  en->kept_origins = pu_origins_new (ORIGINS_MAX);
  en->origins_since = loop_now (en);
  en->versions = pu_versions_new (LIFE_MAX_MS);
  en->outgoing_origins
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, outgoing_free);
}

void
pu_entry_origins_clear (pu_entry_t *en)
{
  pu_origins_free (en->origins);
  pu_origins_free (en->kept_origins);
  pu_versions_free (en->versions);
  g_hash_table_destroy (en->outgoing_origins);
}

static void
on_flush (uv_timer_t *t)
{
  pu_entry_t *en = t->data;
  GHashTableIter it;
  gpointer address;
  gpointer list;

  g_hash_table_iter_init (&it, en->outgoing_origins);
  while (g_hash_table_iter_next (&it, &address, &list))
    {
      const GArray *origins = list;

      count (en, "origins_told_total", origins->len);
      en->o.hooks.tell_origins (
          en->o.hooks.data, address,
          (const pu_entry_origin_t *)(void *)origins->data, origins->len);
    }
  g_hash_table_remove_all (en->outgoing_origins);
}

static void
outgoing_add (pu_entry_t *en, const char *address, guint64 key,
              const char *software, guint life_ms)
{
  pu_entry_origin_t one = { key, g_strdup (software), life_ms };
  GArray *list = g_hash_table_lookup (en->outgoing_origins, address);

  if (list == NULL)
    {
      list = g_array_new (FALSE, FALSE, sizeof one);
      g_hash_table_insert (en->outgoing_origins, g_strdup (address), list);
    }
  g_array_append_val (list, one);
  if (!uv_is_active ((uv_handle_t *)&en->origins_timer))
    uv_timer_start (&en->origins_timer, on_flush, FLUSH_MS, 0);
}

static guint
life_ms (const pu_exchange_t *x)
{
  guint64 now = loop_now (x->en);
  guint64 until = MAX (x->q.resumable_until, x->q.deadline);

  return (guint)MIN (until > now ? until - now : 0, LIFE_MAX_MS);
}

/* Removes from KEEPERS all but the one that keeps an origin beside VOTER: the
   first in another zone, or else the first other one.  */
static void
second_keeper (GArray *keepers, const pu_member_record *voter)
{
  pu_directory_entry_t second = { 0 };

  for (guint i = 0; i < keepers->len; i++)
    {
      const pu_directory_entry_t *e
          = &g_array_index (keepers, pu_directory_entry_t, i);

      if (strcmp (e->name, voter->name) == 0)
        continue;
      if (second.name == NULL)
        second = *e;
      if (strcmp (e->zone, voter->zone) == 0)
        continue;
      second = *e;
      break;
    }
  g_array_set_size (keepers, 0);
  if (second.name != NULL)
    g_array_append_val (keepers, second);
}

static void
voter_tell (const pu_exchange_t *x, guint64 key, const pu_member_record *voter)
{
  pu_entry_t *en = x->en;
  const pu_entry_origin_t one = { key, x->software, life_ms (x) };

  if (strcmp (voter->name, en->name) != 0)
    {
      outgoing_add (en, voter->peer_address, key, one.software, one.life_ms);
    }
  else if (en->o.hooks.keep_origins != NULL)
    {
      en->o.hooks.keep_origins (en->o.hooks.data, &one, 1);
    }
}

static void
origin_tell (const pu_exchange_t *x)
{
  pu_entry_t *en = x->en;
  guint64 key = pu_origin_key (x->q.id);
  const pu_member_record *voter;
  GArray *keepers;

  if (en->o.hooks.tell_origins == NULL)
    return;
  voter = voter_of (en, key);
  keepers = keepers_of (en, key, voter != NULL ? ASKED : TOLD);
  if (voter != NULL)
    {
      voter_tell (x, key, voter);
      second_keeper (keepers, voter);
    }
  for (guint i = 0; i < keepers->len; i++)
    {
      const char *address = peer_address (
          en, &g_array_index (keepers, pu_directory_entry_t, i));

      if (address != NULL)
        outgoing_add (en, address, key, x->software, life_ms (x));
    }
  g_array_free (keepers, TRUE);
}

/* Whether callers may resume the stream of X with a request of their own.  */
static bool
is_resumable_by_caller (const pu_exchange_t *x)
{
  return x->q.stream && x->q.resumable
         && !pu_entry_uses_builtin_frontend (x->en);
}

void
pu_origin_note_begin (pu_exchange_t *x)
{
  pu_entry_t *en = x->en;
  guint64 now = loop_now (en);

  /* The entry to which X was relayed has recorded it.  */
  if (!is_resumable_by_caller (x) || x->at.server == NULL
      || *x->software == '\0')
    return;
  x->began_here = true;
  pu_origins_add (en->origins, pu_origin_key (x->q.id), x->software,
                  now + life_ms (x), now);
  if (pu_versions_only (en->versions, x->q.service, now) == NULL)
    origin_tell (x);
}

/* Tells of the streams of SERVICE in progress, which nobody was told of while
   the service had one version.  */
static void
open_streams_tell (const pu_entry_t *en, const char *service)
{
  for (const GList *l = en->open.head; l != NULL; l = l->next)
    {
      const pu_exchange_t *x = l->data;

      if (x->began_here && strcmp (x->q.service, service) == 0)
        origin_tell (x);
    }
}

void
pu_entry_receive_origins (pu_entry_t *en, const pu_entry_origin_t *list,
                          guint n)
{
  guint64 now = loop_now (en);

  for (guint i = 0; i < n; i++)
    {
      pu_origins_add (en->origins, list[i].key, list[i].software,
                      now + MIN (list[i].life_ms, LIFE_MAX_MS), now);
    }
  if (en->o.hooks.keep_origins != NULL)
    en->o.hooks.keep_origins (en->o.hooks.data, list, n);
}

void
pu_entry_load_origin (pu_entry_t *en, const pu_entry_origin_t *kept)
{
  guint64 now = loop_now (en);

  pu_origins_add (en->kept_origins, kept->key, kept->software,
                  now + MIN (kept->life_ms, LIFE_MAX_MS), now);
}

const char *
pu_entry_find_origin (const pu_entry_t *en, guint64 key)
{
  const char *known = pu_origins_find (en->origins, key, loop_now (en));
  const char *kept = pu_origins_find (en->kept_origins, key, loop_now (en));

  if (known == NULL || kept == NULL)
    return known != NULL ? known : kept;
  return strcmp (known, kept) == 0 ? known : "";
}

/* --- versions of a service --- */

static void
counted_remove (pu_server_t *s)
{
  if (s->counted_service == NULL)
    return;
  pu_versions_remove (s->en->versions, s->counted_service, s->counted_software,
                      loop_now (s->en));
  g_clear_pointer (&s->counted_service, g_free);
  g_clear_pointer (&s->counted_software, g_free);
}

void
pu_server_count_version (pu_server_t *s, const char *service, bool serves)
{
  pu_entry_t *en = s->en;
  bool had_one;

  if (serves && s->counted_service != NULL
      && strcmp (s->counted_service, service) == 0
      && strcmp (s->counted_software, s->software) == 0)
    return;
  counted_remove (s);
  if (!serves)
    return;
  had_one = pu_versions_only (en->versions, service, loop_now (en)) != NULL;
  pu_versions_add (en->versions, service, s->software);
  s->counted_service = g_strdup (service);
  s->counted_software = g_strdup (s->software);
  if (had_one
      && pu_versions_only (en->versions, service, loop_now (en)) == NULL)
    open_streams_tell (en, service);
}

void
pu_server_uncount_version (pu_server_t *s)
{
  counted_remove (s);
}

typedef struct
{
  pu_entry_t *en;
  guint64 position;
} served_args_t;

static void
served_count (const pu_served_row_t *row, void *data)
{
  served_args_t *x = data;
  pu_entry_t *en = x->en;
  guint64 now = loop_now (en);
  bool had_one;

  if (row->position <= en->served_position)
    return;
  x->position = MAX (x->position, row->position);
  had_one = pu_versions_only (en->versions, row->service, now) != NULL;
  pu_versions_add (en->versions, row->service, row->version);
  pu_versions_remove (en->versions, row->service, row->version, now);
  if (had_one && pu_versions_only (en->versions, row->service, now) == NULL)
    open_streams_tell (en, row->service);
}

void
pu_entry_sync_served (pu_entry_t *en, const pu_state_t *view)
{
  served_args_t x = { en, en->served_position };

  pu_state_each_served (view, served_count, &x);
  en->served_position = x.position;
}

/* --- resuming --- */

/* Whether X resumes a stream whose software version is not known yet.  */
static bool
is_to_be_found (const pu_exchange_t *x)
{
  return x->software == NULL && x->q.stream
         && !pu_entry_uses_builtin_frontend (x->en)
         && (x->last_event > 0 || x->q.resumes != NULL);
}

static void
origin_log (const pu_exchange_t *x, const char *from)
{
  char *name = g_strdup_printf ("streams_resumed_total{origin=\"%s\"}", from);

  count (x->en, name, 1);
  g_free (name);
  pu_log_event (
      PU_ENTRY_LOG_SLICE, "Resumes a stream.",
      PU_LOG_TEXT ("request", x->q.id), PU_LOG_TEXT ("resumes", x->q.resumes),
      PU_LOG_TEXT ("software", x->software), PU_LOG_TEXT ("known_from", from),
      PU_LOG_NUMBER ("last_event", x->last_event));
}

static void
origin_set (pu_exchange_t *x, const char *software, const char *from)
{
  x->software = g_strdup (software);
  x->origin_wait_until = 0;
  origin_log (x, from);
}

/* Refuses X because nobody knows what began its stream, for the reason WHY in
   the log.  */
static void
fail_unknown (pu_exchange_t *x, const char *why)
{
  static const pu_refusal_t unknown
      = { 503, "origin", PU_RUN_OUTCOME_NOT_RUN, PU_BUSY_RETRY_AFTER_MS };
  char *versions
      = pu_versions_describe (x->en->versions, x->q.service, loop_now (x->en));

  pu_log_event (PU_ENTRY_LOG_SLICE, "Refuses to resume a stream.",
                PU_LOG_TEXT ("request", x->q.id),
                PU_LOG_TEXT ("resumes", x->q.resumes),
                PU_LOG_TEXT ("why", why), PU_LOG_TEXT ("versions", versions));
  g_free (versions);
  pu_exchange_fail (x, &unknown,
                    "It is not known which software version began the "
                    "stream.");
}

/* Returns what began the stream KEY if this entry was told of it, as
   pu_entry_find_origin, or NULL if it has at most a record from before its
   start.  */
static const char *
own_record (const pu_entry_t *en, guint64 key)
{
  return pu_origins_find (en->origins, key, loop_now (en)) != NULL
             ? pu_entry_find_origin (en, key)
             : NULL;
}

/* Takes SOFTWARE for what began the stream of X, as far as it was answered:
   two answers that differ make it unknown.  */
static void
found_merge (pu_exchange_t *x, const char *software)
{
  if (x->origin_found == NULL)
    {
      x->origin_found = g_strdup (software);
    }
  else if (strcmp (x->origin_found, software) != 0)
    {
      *x->origin_found = '\0';
    }
}

/* Returns the peer addresses of those that may know KEY but for this entry, in
   a new array that does not own them.  If voters keep origins, *COMPLETE says
   whether they are known.  */
static GPtrArray *
addresses_to_ask (const pu_entry_t *en, guint64 key, bool *complete)
{
  bool has_voters = en->o.hooks.voters != NULL;
  GPtrArray *addresses = g_ptr_array_new ();
  const pu_state_t *view = en->o.hooks.view (en->o.hooks.data);
  const pu_member_record *self = pu_state_member (view, en->name);
  GArray *keepers
      = keepers_of (en, key, has_voters ? ASKED_BESIDE_VOTERS : ASKED);
  guint own = 0;

  for (guint i = 0; i < keepers->len; i++)
    {
      const char *address = peer_address (
          en, &g_array_index (keepers, pu_directory_entry_t, i));

      if (address != NULL)
        g_ptr_array_add (addresses, (gpointer)address);
    }
  g_array_free (keepers, TRUE);
  *complete = !has_voters || voters_append (en, key, addresses);
  if (self != NULL
      && g_ptr_array_find_with_equal_func (addresses, self->peer_address,
                                           g_str_equal, &own))
    g_ptr_array_remove_index (addresses, own);
  return addresses;
}

/* Asks the keepers of the origin of X, whose answers count for TIMEOUT_MS: one
   that came later would be counted as an answer to the next question.  Returns
   false if there are none.  */
static bool
origin_ask (pu_exchange_t *x, guint timeout_ms)
{
  pu_entry_t *en = x->en;
  const char *kept;
  bool complete;
  guint64 key;
  GPtrArray *addresses;

  if (x->q.resumes == NULL || en->o.hooks.ask_origin == NULL
      || x->origin_asked)
    return false;
  x->origin_asked = true;
  key = pu_origin_key (x->q.resumes);
  addresses = addresses_to_ask (en, key, &complete);
  /* A voter that is not known yet has not answered.  */
  x->origin_answers_due = addresses->len + !complete;
  for (guint i = 0; i < addresses->len; i++)
    {
      en->o.hooks.ask_origin (en->o.hooks.data, addresses->pdata[i], key,
                              timeout_ms);
    }
  g_ptr_array_free (addresses, TRUE);
  kept = pu_origins_find (en->kept_origins, key, loop_now (en));
  if (kept != NULL)
    found_merge (x, kept);
  if (x->origin_ask_until == 0)
    x->origin_ask_until = loop_now (en) + CONTACT_TIMEOUT_MS;
  return x->origin_answers_due > 0;
}

static bool
has_contact (const pu_exchange_t *x)
{
  const pu_entry_hooks_t *h = &x->en->o.hooks;

  return h->leader_reachable (h->data)
         && (h->caught_up == NULL || h->caught_up (h->data));
}

/* Makes X, whose service has had one version as far as this entry knows, wait
   until the view has what the voters have: another version may serve, or have
   served, that only they know of.
   After a restart of all instances that takes about a second.  Returns false
   if X has waited before.  */
static bool
contact_wait (pu_exchange_t *x)
{
  if (x->contact_wait_until != 0)
    return false;
  x->contact_wait_until = loop_now (x->en) + CONTACT_TIMEOUT_MS;
  x->phase = PU_EXCHANGE_WAITING;
  return true;
}

bool
pu_origin_waits (pu_exchange_t *x)
{
  const char *own;
  const char *only;
  guint timeout_ms;

  if (x->software != NULL && *x->software == '\0')
    {
      fail_unknown (x, "its server stated no version");
      return true;
    }
  if (!is_to_be_found (x))
    return false;
  own = x->q.resumes != NULL ? own_record (x->en, pu_origin_key (x->q.resumes))
                             : NULL;
  if (own != NULL && *own != '\0')
    {
      origin_set (x, own, "own record");
      return false;
    }
  only = pu_versions_only (x->en->versions, x->q.service, loop_now (x->en));
  timeout_ms = only != NULL ? ANSWER_TIMEOUT_SHORT_MS : ANSWER_TIMEOUT_MS;
  if (own == NULL && origin_ask (x, timeout_ms))
    {
      x->phase = PU_EXCHANGE_WAITING;
      x->origin_wait_until
          = loop_now (x->en)
            + (x->origin_found != NULL ? ANSWER_TIMEOUT_SHORT_MS : timeout_ms);
      return true;
    }
  if (own == NULL && x->origin_found != NULL)
    {
      own = x->origin_found;
      if (*own != '\0')
        {
          origin_set (x, own, "keepers");
          return false;
        }
    }
  if (own == NULL && only != NULL && has_contact (x))
    {
      origin_set (x, only, "only version");
      return false;
    }
  if (own == NULL && only != NULL && contact_wait (x))
    return true;
  fail_unknown (x, own != NULL    ? "its version is not known"
                   : only != NULL ? "no contact to the voters"
                                  : "not the only version of the service");
  return true;
}

/* Has the keepers of the origin of X, for whose answers the time is over,
   asked again if some of them may still be starting.  */
static void
ask_again_if_restarted (pu_exchange_t *x, guint64 now)
{
  const pu_entry_t *en = x->en;

  if (en->o.hooks.voters == NULL || x->origin_answers_due == 0
      || x->origin_found != NULL || now >= x->origin_ask_until
      || now >= en->origins_since + RESTART_MS)
    return;
  if (pu_versions_only (en->versions, x->q.service, now) != NULL
      && has_contact (x))
    return;
  x->origin_asked = false;
}

bool
pu_origin_tick (pu_exchange_t *x, guint64 now)
{
  if (x->software != NULL
      || (x->origin_wait_until == 0 && x->contact_wait_until == 0))
    return false;
  if (x->origin_wait_until != 0 && now < x->origin_wait_until)
    return true;
  if (x->origin_wait_until == 0 && now < x->contact_wait_until
      && !has_contact (x))
    return true;
  if (x->origin_wait_until != 0)
    ask_again_if_restarted (x, now);
  x->origin_wait_until = 0;
  pu_exchange_route (x);
  return true;
}

/* Handles the answer SOFTWARE, NULL if the keeper knows nothing, for X, which
   waits for it.  */
static void
answer_handle (pu_exchange_t *x, const char *software)
{
  x->origin_answers_due -= x->origin_answers_due > 0;
  if (software != NULL && x->en->o.hooks.voters != NULL)
    {
      guint64 until = loop_now (x->en) + ANSWER_TIMEOUT_SHORT_MS;

      /* A voter may have been down while its key was used again, which the
         other keepers know.  */
      found_merge (x, software);
      x->origin_wait_until = MIN (x->origin_wait_until, until);
      if (x->origin_answers_due > 0)
        return;
    }
  else if (software != NULL)
    {
      origin_set (x, software, "another entry");
    }
  else if (x->origin_answers_due > 0)
    {
      return;
    }
  x->origin_wait_until = 0;
  pu_exchange_route (x);
}

void
pu_entry_receive_origin (pu_entry_t *en, guint64 key, const char *software)
{
  GArray *numbers = g_array_new (FALSE, FALSE, sizeof (guint64));

  for (const GList *l = en->open.head; l != NULL; l = l->next)
    {
      const pu_exchange_t *x = l->data;

      if (x->origin_wait_until != 0 && pu_origin_key (x->q.resumes) == key)
        g_array_append_val (numbers, x->number);
    }
  for (guint i = 0; i < numbers->len; i++)
    {
      pu_exchange_t *x = g_hash_table_lookup (
          en->numbers, &g_array_index (numbers, guint64, i));

      if (x != NULL && x->origin_wait_until != 0)
        answer_handle (x, software);
    }
  g_array_free (numbers, TRUE);
}
