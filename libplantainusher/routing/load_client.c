#include "routing/load_client.h"

#include <string.h>

/* Silence after which a statement is whole: the hub may have forgotten the
   entry, and would have to ask for it.  */
#define WHOLE_AFTER_MS (PU_LOAD_HUB_ENTRY_MS * 8 / 10)
/* Longest time between two statements that a hub may ask for; at a longer one
   it would forget the entry.  */
#define NEXT_MAX_MS (PU_LOAD_HUB_ENTRY_MS - 100)

struct pu_load_client
{
  pu_load_client_options_t o;
  GPtrArray *voters; /* addresses */
  guint at;          /* in `voters`: the hub */
  guint64 moved_at;  /* when `at` left the first one */
  guint failures;    /* in a row */
  guint absent;      /* of these, voters without the procedure */
  char *asked;       /* address of the voter of the last statement, or NULL */
  char *hub;         /* address of the voter that replied last, or NULL */
  guint64 replied_at;
  bool idle; /* has no requests, and the hub knows that */
  bool outstanding;
  bool whole; /* the next statement is whole */
  guint64 next_at;
  guint64 seq;
  guint64 sent_at;
  guint64 accepted_at; /* time when the last accepted statement was sent */
  guint64 accepted_seq;
  pu_load_since_t since;
  GHashTable *accepted; /* &id -> pu_load_use_t that the hub has */
  GHashTable *stated;   /* the same, when the outstanding one is accepted */
  GHashTable *samples;  /* &id -> pu_load_use_t with samples not accepted */
  GArray *uses;         /* of the last statement */
  bool sent_whole;
  GHashTable *totals; /* &id -> pu_load_total_t */
};

static GHashTable *
table_new (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

pu_load_client_t *
pu_load_client_new (const pu_load_client_options_t *o)
{
  pu_load_client_t *c = g_new0 (pu_load_client_t, 1);

  c->o = *o;
  c->voters = g_ptr_array_new_with_free_func (g_free);
  c->idle = true;
  c->whole = true;
  c->accepted = table_new ();
  c->stated = table_new ();
  c->samples = table_new ();
  c->totals = table_new ();
  c->uses = g_array_new (FALSE, FALSE, sizeof (pu_load_use_t));
  return c;
}

void
pu_load_client_free (pu_load_client_t *c)
{
  if (c == NULL)
    return;
  g_ptr_array_unref (c->voters);
  g_hash_table_destroy (c->accepted);
  g_hash_table_destroy (c->stated);
  g_hash_table_destroy (c->samples);
  g_hash_table_destroy (c->totals);
  g_array_unref (c->uses);
  g_free (c->asked);
  g_free (c->hub);
  g_free (c);
}

/* --- voters --- */

static bool
has_voters (const pu_load_client_t *c, const char *const *voters, guint n)
{
  if (c->voters->len != n)
    return false;
  for (guint i = 0; i < n; i++)
    {
      if (strcmp (c->voters->pdata[i], voters[i]) != 0)
        return false;
    }
  return true;
}

void
pu_load_client_set_voters (pu_load_client_t *c, const char *const *voters,
                           guint n, guint64 now)
{
  if (has_voters (c, voters, n))
    return;
  g_ptr_array_set_size (c->voters, 0);
  for (guint i = 0; i < n; i++)
    g_ptr_array_add (c->voters, g_strdup (voters[i]));
  c->at = 0;
  c->failures = 0;
  c->absent = 0;
  c->whole = true;
  c->next_at = MIN (c->next_at, now);
}

void
pu_load_client_wake (pu_load_client_t *c, guint64 now)
{
  if (!c->idle)
    return;
  c->idle = false;
  c->next_at = MAX (c->next_at, now);
}

guint64
pu_load_client_next_at (const pu_load_client_t *c)
{
  return c->idle || c->outstanding || c->voters->len == 0 ? G_MAXUINT64
                                                          : c->next_at;
}

/* --- statements --- */

static pu_load_use_t *
use_get_or_add (GHashTable *table, guint64 id)
{
  pu_load_use_t *u = g_hash_table_lookup (table, &id);

  if (u != NULL)
    return u;
  u = g_new0 (pu_load_use_t, 1);
  u->id = id;
  g_hash_table_insert (table, &u->id, u);
  return u;
}

static void
samples_keep (pu_load_client_t *c, const pu_load_use_t *u)
{
  pu_load_use_t *kept;

  if (u->ratio_count == 0)
    return;
  kept = use_get_or_add (c->samples, u->id);
  /* More than the hub weighs are not needed.  */
  if (kept->ratio_count >= PU_LOAD_HUB_SAMPLES)
    {
      kept->ratio_count = 0;
      kept->ratio_sum = 0;
    }
  kept->ratio_count += u->ratio_count;
  kept->ratio_sum += u->ratio_sum;
}

/* Sets `stated` to the requests in USES.  */
static void
stated_set (pu_load_client_t *c, const pu_load_use_t *uses, guint n)
{
  g_hash_table_remove_all (c->stated);
  for (guint i = 0; i < n; i++)
    {
      const pu_load_use_t *u = &uses[i];
      pu_load_use_t *s;

      samples_keep (c, u);
      if (u->running == 0 && u->prefilling == 0 && u->streams == 0
          && u->prefill_tokens == 0)
        continue;
      /* A server that was removed and came back may be there twice.  */
      s = use_get_or_add (c->stated, u->id);
      s->running += u->running;
      s->prefilling += u->prefilling;
      s->streams += u->streams;
      s->prefill_tokens += u->prefill_tokens;
    }
}

static void
use_append (pu_load_client_t *c, const pu_load_use_t *u)
{
  const pu_load_use_t *kept = g_hash_table_lookup (c->samples, &u->id);
  pu_load_use_t one = *u;

  if (kept != NULL)
    {
      one.ratio_sum = kept->ratio_sum;
      one.ratio_count = kept->ratio_count;
    }
  if (c->uses->len < PU_LOAD_HUB_ENGINES_MAX)
    g_array_append_val (c->uses, one);
}

static bool
is_known (const pu_load_client_t *c, const pu_load_use_t *u)
{
  const pu_load_use_t *had = g_hash_table_lookup (c->accepted, &u->id);

  return !c->sent_whole && had != NULL && memcmp (had, u, sizeof *u) == 0
         && !g_hash_table_contains (c->samples, &u->id);
}

/* Sets `uses` to the engines that the hub has not, or has otherwise.  */
static void
uses_set (pu_load_client_t *c)
{
  GHashTableIter it;
  gpointer value;

  g_array_set_size (c->uses, 0);
  g_hash_table_iter_init (&it, c->stated);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      if (!is_known (c, value))
        use_append (c, value);
    }
  g_hash_table_iter_init (&it, c->accepted);
  while (!c->sent_whole && g_hash_table_iter_next (&it, NULL, &value))
    {
      pu_load_use_t gone = { .id = ((const pu_load_use_t *)value)->id };

      if (!g_hash_table_contains (c->stated, &gone.id))
        use_append (c, &gone);
    }
  g_hash_table_iter_init (&it, c->samples);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const pu_load_use_t *u = value;

      if (!g_hash_table_contains (c->stated, &u->id)
          && (c->sent_whole || !g_hash_table_contains (c->accepted, &u->id)))
        use_append (c, u);
    }
}

const char *
pu_load_client_begin (pu_load_client_t *c, const pu_load_use_t *uses, guint n,
                      bool busy, guint64 now, pu_load_statement_t *s,
                      pu_load_since_t *since)
{
  if (now < pu_load_client_next_at (c))
    return NULL;
  stated_set (c, uses, n);
  if (!busy && g_hash_table_size (c->stated) == 0
      && g_hash_table_size (c->accepted) == 0
      && g_hash_table_size (c->samples) == 0)
    {
      c->idle = true;
      return NULL;
    }
  if (c->at != 0 && now - c->moved_at >= PU_LOAD_CLIENT_HOME_MS)
    {
      c->at = 0;
      c->whole = true;
    }
  c->sent_whole = c->whole || now - c->accepted_at >= WHOLE_AFTER_MS;
  uses_set (c);
  c->outstanding = true;
  c->sent_at = now;
  *s = (pu_load_statement_t){
    .incarnation = c->o.incarnation,
    .seq = ++c->seq,
    .base = c->sent_whole ? 0 : c->accepted_seq,
    .uses = (const pu_load_use_t *)(void *)c->uses->data,
    .n = c->uses->len,
  };
  *since = c->since;
  if (g_strcmp0 (c->asked, c->voters->pdata[c->at]) != 0)
    {
      g_free (c->asked);
      c->asked = g_strdup (c->voters->pdata[c->at]);
    }
  return c->asked;
}

/* --- replies --- */

static void
totals_update (pu_load_client_t *c, const pu_load_reply_t *r)
{
  if (r->all)
    g_hash_table_remove_all (c->totals);
  for (guint i = 0; i < r->totals->len; i++)
    {
      pu_load_total_t *t
          = g_memdup2 (&g_array_index (r->totals, pu_load_total_t, i),
                       sizeof (pu_load_total_t));

      g_hash_table_replace (c->totals, &t->id, t);
    }
  c->since.hub = r->hub;
  c->since.version = r->version;
  /* Engines that the hub has dropped since add up.  */
  if (g_hash_table_size (c->totals) > PU_LOAD_HUB_ENGINES_MAX)
    c->since.version = 0;
}

static void
statement_accepted (pu_load_client_t *c)
{
  GHashTable *before = c->accepted;

  c->accepted = c->stated;
  c->stated = before;
  c->accepted_at = c->sent_at;
  c->accepted_seq = c->seq;
  g_hash_table_remove_all (c->samples);
}

guint
pu_load_client_reply (pu_load_client_t *c, const pu_load_reply_t *r,
                      guint64 now)
{
  guint64 age = now - c->sent_at;
  guint next = CLAMP (r->next_ms, c->o.interval_ms,
                      MAX (c->o.interval_ms, NEXT_MAX_MS));

  if (!c->outstanding)
    return 0;
  if (!r->all && r->hub != c->since.hub)
    {
      pu_load_client_failed (c, false, now);
      return 0;
    }
  c->outstanding = false;
  c->failures = 0;
  c->absent = 0;
  c->replied_at = now;
  if (g_strcmp0 (c->hub, c->asked) != 0)
    {
      g_free (c->hub);
      c->hub = g_strdup (c->asked);
    }
  totals_update (c, r);
  if (!r->whole_wanted)
    statement_accepted (c);
  c->next_at
      = r->whole_wanted && !c->sent_whole ? now : MAX (now, c->sent_at + next);
  c->whole = r->whole_wanted;
  return age < PU_LOAD_CLIENT_LIFE_MS ? (guint)(PU_LOAD_CLIENT_LIFE_MS - age)
                                      : 0;
}

void
pu_load_client_failed (pu_load_client_t *c, bool absent, guint64 now)
{
  if (!c->outstanding)
    return;
  c->outstanding = false;
  c->whole = true;
  c->failures++;
  c->absent += absent ? 1 : 0;
  c->next_at = now;
  if (c->failures >= c->voters->len)
    {
      c->next_at = now
                   + (c->absent == c->failures ? PU_LOAD_CLIENT_ABSENT_PAUSE_MS
                                               : PU_LOAD_CLIENT_PAUSE_MS);
      c->failures = 0;
      c->absent = 0;
      c->at = 0;
      return;
    }
  if (c->at == 0)
    c->moved_at = now;
  c->at = (c->at + 1) % c->voters->len;
}

const pu_load_total_t *
pu_load_client_total (const pu_load_client_t *c, guint64 id)
{
  return g_hash_table_lookup (c->totals, &id);
}

void
pu_load_client_state (const pu_load_client_t *c, guint64 now,
                      pu_load_client_state_t *s)
{
  s->hub = c->hub != NULL ? c->hub : "";
  s->age_ms = c->hub != NULL ? now - c->replied_at : G_MAXUINT64;
  s->engines = g_hash_table_size (c->totals);
}
