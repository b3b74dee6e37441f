/* Teams of a document: lookup of a team by its keys, priorities and costs of
   requests.  */

#include "document/internal.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <string.h>

enum
{
  KEY_BYTES_MAX = 256,
  PRIORITIES = 10,
  /* Row of the ranks for teams without a priority, which leave that of the
     route.  */
  PAIRS = PRIORITIES * PRIORITIES,
};

typedef struct
{
  guint8 bytes[SHA256_DIGEST_LENGTH];
} digest_t;

const char *
pu_document_check_key (const char *s)
{
  size_t n = strlen (s);

  if (n == 0 || n > KEY_BYTES_MAX)
    return "is not a key of 1 to 256 bytes";
  for (; *s != '\0'; s++)
    {
      if (!g_ascii_isgraph (*s))
        return "has a byte that is not visible ASCII";
    }
  return NULL;
}

/* Keys are looked up by their digest: what a caller sends decides neither the
   place in the table nor how long a comparison takes.  */
static digest_t
key_digest (const char *key, size_t len)
{
  digest_t d;

  SHA256 ((const unsigned char *)key, len, d.bytes);
  return d;
}

static guint
digest_hash (gconstpointer key)
{
  guint hash;

  memcpy (&hash, ((const digest_t *)key)->bytes, sizeof hash);
  return hash;
}

static gboolean
digest_equal (gconstpointer a, gconstpointer b)
{
  return CRYPTO_memcmp (a, b, sizeof (digest_t)) == 0;
}

static void
key_add (pu_document_t *d, const char *key, pu_team_handle_t h)
{
  digest_t digest = key_digest (key, strlen (key));

  if (g_hash_table_contains (d->key_digests, &digest))
    return;
  g_hash_table_insert (d->key_digests, g_memdup2 (&digest, sizeof digest),
                       GUINT_TO_POINTER (h + 1));
}

/* --- priorities --- */

/* The priorities that occur in a document.  */
typedef struct
{
  bool of_teams[PRIORITIES];
  bool of_routes[PRIORITIES];
  bool of_public[PRIORITIES]; /* of public routes, which need no team */
  bool without;               /* a team has none */
} priorities_t;

static void
priorities_mark (const pu_document_t *d, priorities_t *p)
{
  const pu_route_t *routes = d->routes.items;

  for (guint t = 0; t < d->teams.n; t++)
    {
      guint32 own = pu_document_team (d, t)->priority;

      p->without |= own >= PRIORITIES;
      if (own < PRIORITIES)
        p->of_teams[own] = true;
    }
  for (guint r = 0; r < d->routes.n; r++)
    {
      guint32 own = MIN (routes[r].priority, PRIORITIES - 1);

      p->of_routes[own] = true;
      p->of_public[own] |= routes[r].public_access;
    }
}

/* Whether requests of a team with the priority TEAM come on routes with the
   priority ROUTE.  Those of no team, on public routes, count as those of a
   team without a priority.  */
static bool
pair_occurs (const priorities_t *p, guint team, guint route)
{
  if (p->of_routes[route] && p->of_teams[team])
    return true;
  return team == route
         && (p->of_public[route] || (p->of_routes[route] && p->without));
}

/* Marks which pairs of a team's and a route's priority occur in D.  */
static void
pairs_mark (const pu_document_t *d, bool *occurs)
{
  priorities_t p = { .without = false };

  priorities_mark (d, &p);
  for (guint i = 0; i < PAIRS; i++)
    occurs[i] = pair_occurs (&p, i / PRIORITIES, i % PRIORITIES);
}

static bool
has_priorities (const pu_document_t *d)
{
  for (guint t = 0; t < d->teams.n; t++)
    {
      if (pu_document_team (d, t)->priority != PU_TEAM_PRIORITY_NONE)
        return true;
    }
  return false;
}

/* Ranks the pairs that occur from 9 downwards, the highest team priority
   first; more than ten pairs share the ten ranks evenly.  Another pair, of a
   relayed request whose team D does not declare, has the rank of the next
   higher one.  */
static void
ranks_build (pu_document_t *d)
{
  bool occurs[PAIRS] = { false };
  guint n = 0;
  guint before = 0;
  guint rank = PRIORITIES - 1;

  if (!has_priorities (d))
    return;
  pairs_mark (d, occurs);
  for (guint i = 0; i < PAIRS; i++)
    n += occurs[i];
  d->ranks = g_new0 (guint8, PAIRS);
  for (guint i = PAIRS; i-- > 0;)
    {
      if (occurs[i])
        {
          rank = PRIORITIES - 1
                 - (n > PRIORITIES ? before * PRIORITIES / n : before);
          before++;
        }
      d->ranks[i] = (guint8)rank;
    }
}

guint
pu_document_request_priority (const pu_document_t *d, const pu_route_t *r,
                              pu_team_handle_t t)
{
  guint32 own = PU_TEAM_PRIORITY_NONE;

  if (d->ranks == NULL)
    return r->priority;
  if (t != PU_HANDLE_NONE)
    own = pu_document_team (d, t)->priority;
  if (own == PU_TEAM_PRIORITY_NONE)
    own = r->priority;
  return d->ranks[own * PRIORITIES + r->priority];
}

/* --- tables --- */

void
pu_teams_build (pu_document_t *d)
{
  const pu_team_t *teams = d->teams.items;

  d->team_names = g_hash_table_new (g_str_hash, g_str_equal);
  d->key_digests
      = g_hash_table_new_full (digest_hash, digest_equal, g_free, NULL);
  for (guint t = 0; t < d->teams.n; t++)
    {
      g_hash_table_insert (d->team_names, (gpointer)teams[t].name,
                           GUINT_TO_POINTER (t + 1));
      for (guint i = 0; i < teams[t].keys.n; i++)
        key_add (d, teams[t].keys.items[i], t);
    }
  ranks_build (d);
}

void
pu_teams_clear (pu_document_t *d)
{
  if (d->team_names != NULL)
    g_hash_table_destroy (d->team_names);
  if (d->key_digests != NULL)
    g_hash_table_destroy (d->key_digests);
  g_free (d->ranks);
}

void
pu_teams_check_keys (const pu_document_t *d, pu_key_repeated_fn *fn,
                     void *data)
{
  for (guint t = 0; t < d->teams.n; t++)
    {
      const pu_team_t *team = pu_document_team (d, t);

      for (guint i = 0; i < team->keys.n; i++)
        {
          const char *key = team->keys.items[i];
          pu_team_handle_t first = pu_document_find_key (d, key, strlen (key));

          /* The schema reports a key that is listed twice in one team.  */
          if (first != t)
            fn (data, team, i, pu_document_team (d, first));
        }
    }
}

/* --- lookup --- */

guint
pu_document_teams (const pu_document_t *d)
{
  return d->teams.n;
}

const pu_team_t *
pu_document_team (const pu_document_t *d, pu_team_handle_t h)
{
  g_assert (h < d->teams.n);
  return (const pu_team_t *)d->teams.items + h;
}

pu_team_handle_t
pu_document_find_team (const pu_document_t *d, const char *name)
{
  gpointer value = g_hash_table_lookup (d->team_names, name);

  return value == NULL ? PU_HANDLE_NONE : GPOINTER_TO_UINT (value) - 1;
}

pu_team_handle_t
pu_document_find_key (const pu_document_t *d, const char *key, size_t len)
{
  digest_t digest = key_digest (key, len);
  gpointer value = g_hash_table_lookup (d->key_digests, &digest);

  return value == NULL ? PU_HANDLE_NONE : GPOINTER_TO_UINT (value) - 1;
}

guint64
pu_team_cost (const pu_team_t *t, guint64 tokens)
{
  if (t->unit == PU_TEAM_REQUESTS)
    return 1;
  return MAX (tokens != 0 ? tokens : t->plain_tokens, 1);
}
