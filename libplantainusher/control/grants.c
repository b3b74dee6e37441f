#include "control/grants.h"

#include <string.h>

#define LIMIT_MAX_PER_S 1e6

enum
{
  TERMS = 3,
  MS_PER_S = 1000,
  /* At most this part of a second's requests is granted at once.  */
  GRANT_DIVISOR = 10,
  /* An entry is told to come back within this time, or when the next grant is
     possible.  */
  TURN_MAX_MS = 1000,
  IDLE_MS = 60000,  /* a server that nobody asked about for this time is
                       forgotten */
  COUNT_MAX = 1024, /* of servers, above which idle ones are looked for */
};

/* A backend server that limits its rate, or has limited it.  */
typedef struct
{
  guint64 incarnation;
  double limit_per_s; /* 0: the limit has ended */
  guint64 stated_at;  /* when the server stated this */
  double next_at;     /* time of the next grant */
  double turn_at;     /* time when the next entry that asks has its turn */
  guint64 asked_at;
} server_t;

struct pu_grants
{
  GHashTable *servers; /* name -> server_t, owned */
};

pu_grants_t *
pu_grants_new (void)
{
  pu_grants_t *g = g_new0 (pu_grants_t, 1);

  g->servers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return g;
}

void
pu_grants_free (pu_grants_t *g)
{
  if (g == NULL)
    return;
  g_hash_table_destroy (g->servers);
  g_free (g);
}

char *
pu_grant_terms_write (const pu_grant_request_t *q)
{
  char limit[G_ASCII_DTOSTR_BUF_SIZE];

  g_ascii_formatd (limit, sizeof limit, "%.3f", q->limit_per_s);
  return g_strdup_printf ("%s %" G_GUINT64_FORMAT " %u", limit, q->age_ms,
                          q->wanted);
}

bool
pu_grant_terms_read (pu_grant_request_t *q, const char *text)
{
  char **parts = g_strsplit (text, " ", TERMS);
  guint64 wanted = 0;
  char *end = NULL;
  bool good = g_strv_length (parts) == TERMS
              && g_ascii_string_to_unsigned (parts[1], 10, 0, G_MAXUINT32,
                                             &q->age_ms, NULL)
              && g_ascii_string_to_unsigned (parts[2], 10, 0, G_MAXUINT32,
                                             &wanted, NULL);

  if (good)
    {
      q->limit_per_s = g_ascii_strtod (parts[0], &end);
      q->wanted = (guint)wanted;
      good = end != parts[0] && *end == '\0' && q->limit_per_s >= 0
             && q->limit_per_s <= LIMIT_MAX_PER_S;
    }
  g_strfreev (parts);
  return good;
}

guint
pu_grants_count (const pu_grants_t *g)
{
  return g_hash_table_size (g->servers);
}

static gboolean
is_idle (gpointer name, gpointer value, gpointer data)
{
  const server_t *s = value;
  const guint64 *now = data;

  (void)name;
  return *now - s->asked_at >= IDLE_MS;
}

static server_t *
server_get (pu_grants_t *g, const char *name, guint64 now)
{
  server_t *s = g_hash_table_lookup (g->servers, name);

  if (s != NULL)
    return s;
  if (pu_grants_count (g) >= COUNT_MAX)
    g_hash_table_foreach_remove (g->servers, is_idle, &now);
  s = g_new0 (server_t, 1);
  g_hash_table_insert (g->servers, g_strdup (name), s);
  return s;
}

/* Returns the time until the next entry that asked has its turn at S.  Turns
   are INTERVAL_MS apart: if all entries came back for the same grant, all but
   one of them would ask in vain.  */
static guint
next_turn_ms (server_t *s, double interval_ms, guint64 now)
{
  double latest = MAX (s->next_at, (double)now + TURN_MAX_MS);
  double at = MIN (MAX (s->turn_at, s->next_at), latest);

  s->turn_at = at + interval_ms;
  return at > (double)now ? (guint)(at - (double)now) + 1 : 0;
}

/* Takes over what Q reports of S, unless S is known to have stated something
   else since.  */
static void
limit_update (server_t *s, const pu_grant_request_t *q, guint64 now)
{
  guint64 stated_at = now - MIN (now, q->age_ms);

  if (q->incarnation == s->incarnation && stated_at < s->stated_at)
    return;
  if (q->incarnation > s->incarnation)
    s->next_at = s->turn_at = 0;
  s->incarnation = q->incarnation;
  s->limit_per_s = q->limit_per_s;
  s->stated_at = stated_at;
}

pu_grant_t
pu_grants_take (pu_grants_t *g, const pu_grant_request_t *q, guint64 now)
{
  server_t *s = server_get (g, q->server, now);
  pu_grant_t grant = { 0 };
  double interval_ms;

  s->asked_at = now;
  if (q->incarnation < s->incarnation)
    {
      grant.next_ms = MS_PER_S;
      return grant;
    }
  limit_update (s, q, now);
  if (s->limit_per_s <= 0)
    {
      grant.ended = true;
      return grant;
    }
  interval_ms = MS_PER_S / s->limit_per_s;
  if (q->wanted > 0 && s->next_at <= (double)now)
    {
      guint most = (guint)MAX (1, s->limit_per_s / GRANT_DIVISOR);

      grant.granted = MIN (q->wanted, most);
      s->next_at = MAX (s->next_at, (double)now - interval_ms)
                   + grant.granted * interval_ms;
    }
  grant.next_ms = next_turn_ms (s, interval_ms, now);
  return grant;
}
