#include "settings/checks.h"

#include <string.h>

/* Requires that the timing field LARGER be at least FACTOR times the field
   SMALLER.  */
typedef struct
{
  const char *larger;
  size_t larger_offset;
  const char *smaller;
  size_t smaller_offset;
  guint32 factor;
  const char *why; /* consequence of a violation, for the finding */
} time_rule_t;

#define TIME_RULE(larger, factor, smaller, why)                               \
  {                                                                           \
#larger, offsetof(pu_settings_timing_t, larger), #smaller,                \
        offsetof(pu_settings_timing_t, smaller), factor, why                  \
  }

static const time_rule_t time_rules[] = {
  TIME_RULE (election_ms, 4, heartbeat_ms,
             "two lost heartbeats would cost the leader its lease"),
  TIME_RULE (replace_after_ms, 4, election_ms,
             "a change of the leader could get a live voter replaced"),
  TIME_RULE (session_ms, 2, poll_wait_ms,
             "one lost poll would end the session"),
  TIME_RULE (order_life_ms, 4, backend_lease_ms,
             "a silent backend server could be taken to have reported"),
};

static guint32
time_ms (const pu_settings_timing_t *t, size_t offset)
{
  return *(const guint32 *)((const char *)t + offset);
}

static void
check_time_ratios (const pu_settings_timing_t *t, pu_findings_t *f)
{
  for (size_t i = 0; i < G_N_ELEMENTS (time_rules); i++)
    {
      const time_rule_t *r = &time_rules[i];
      guint32 larger = time_ms (t, r->larger_offset);
      guint32 smaller = time_ms (t, r->smaller_offset);
      char *path;

      if (larger / r->factor >= smaller)
        continue;
      path = g_strconcat ("/timing/", r->larger, NULL);
      pu_findings_add (f, path,
                       "is %u; it must be at least %u times %s (%u), else %s",
                       larger, r->factor, r->smaller, smaller, r->why);
      g_free (path);
    }
}

/* The entry that receives a backend server's report passes it on with its next
   poll of a voter, and that voter with its next message to the leader.  The
   lease must outlast both delays and the loss of one report.  */
static void
check_backend_lease (const pu_settings_timing_t *t, pu_findings_t *f)
{
  guint64 least
      = 2 * (guint64)t->report_interval_ms + t->poll_wait_ms + t->sessions_ms;

  if (t->backend_lease_ms >= least)
    return;
  pu_findings_add (f, "/timing/backend_lease_ms",
                   "is %u; it must be at least %" G_GUINT64_FORMAT
                   ": 2 times report_interval_ms (%u), poll_wait_ms (%u) and "
                   "%u ms between voters, else a live backend server is "
                   "considered down",
                   t->backend_lease_ms, least, t->report_interval_ms,
                   t->poll_wait_ms, t->sessions_ms);
}

/* Least interval of the exchange of loads, where it is not off: the hub would
   spend most of its time on small messages.  */
#define LOAD_EXCHANGE_MIN_MS 20

static void
check_load_exchange (const char *path, guint32 ms, pu_findings_t *f)
{
  if (ms == 0 || ms >= LOAD_EXCHANGE_MIN_MS)
    return;
  pu_findings_add (f, path, "is %u; it must be 0 or at least %d ms", ms,
                   LOAD_EXCHANGE_MIN_MS);
}

/* Records VALUE under the path that FORMAT gives; adds a finding when SEEN
   already has VALUE.  The finding names the paths and omits the value, which
   may be a secret key.  */
static void G_GNUC_PRINTF (4, 5)
    check_unique (GHashTable *seen, const char *value, pu_findings_t *f,
                  const char *format, ...)
{
  const char *first = g_hash_table_lookup (seen, value);
  va_list ap;
  char *path;

  if (*value == '\0')
    return;
  va_start (ap, format);
  path = g_strdup_vprintf (format, ap);
  va_end (ap);
  if (first != NULL)
    {
      pu_findings_add (f, path, "is the same as %s", first);
      g_free (path);
      return;
    }
  g_hash_table_insert (seen, (gpointer)value, path);
}

static GHashTable *
seen_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
}

static void
check_addresses (const pu_settings_t *s, pu_findings_t *f)
{
  GHashTable *seen = seen_new ();
  const pu_settings_addresses_t *a = &s->addresses;

  check_unique (seen, a->callers, f, "/addresses/callers");
  check_unique (seen, a->operators, f, "/addresses/operators");
  check_unique (seen, a->peers, f, "/addresses/peers");
  check_unique (seen, a->metrics, f, "/addresses/metrics");
  check_unique (seen, s->listen.peers, f, "/listen/peers");
  g_hash_table_destroy (seen);
  if (s->entry && *a->callers == '\0')
    pu_findings_add (f, "/addresses/callers", "is required for role entry");
  if (!s->entry && *a->callers != '\0')
    pu_findings_add (f, "/addresses/callers", "is for role entry only");
}

static void
check_backend_keys (const pu_settings_t *s, GHashTable *seen, pu_findings_t *f)
{
  const pu_json_strings_t *keys = &s->keys.backends;

  for (guint i = 0; i < keys->n; i++)
    {
      size_t length = strlen (keys->items[i]);

      check_unique (seen, keys->items[i], f, "/keys/backends/%u", i);
      if (length < PU_SETTINGS_KEY_MIN)
        {
          char *path = g_strdup_printf ("/keys/backends/%u", i);

          pu_findings_add (f, path, "has %zu bytes; at least %d are needed",
                           length, PU_SETTINGS_KEY_MIN);
          g_free (path);
        }
    }
  if (s->entry && keys->n == 0 && !pu_settings_on_platform (s))
    pu_findings_add (f, "/keys/backends", "is required for role entry");
}

static void
check_keys (const pu_settings_t *s, pu_findings_t *f)
{
  const pu_settings_operator_t *operators = s->keys.operators.items;
  GHashTable *names = seen_new ();
  GHashTable *keys = seen_new ();

  for (guint i = 0; i < s->keys.operators.n; i++)
    {
      check_unique (names, operators[i].name, f, "/keys/operators/%u/name", i);
      check_unique (keys, operators[i].key, f, "/keys/operators/%u/key", i);
    }
  check_unique (keys, s->keys.peers, f, "/keys/peers");
  check_backend_keys (s, keys, f);
  g_hash_table_destroy (names);
  g_hash_table_destroy (keys);
}

static const pu_settings_voter_t *
find_own_voter (const pu_settings_t *s)
{
  const pu_settings_voter_t *voters = s->voters.items;

  for (guint i = 0; i < s->voters.n; i++)
    {
      if (strcmp (voters[i].name, s->name) == 0)
        return &voters[i];
    }
  return NULL;
}

static void
check_voters (const pu_settings_t *s, pu_findings_t *f)
{
  const pu_settings_voter_t *voters = s->voters.items;
  const pu_settings_voter_t *own = find_own_voter (s);
  GHashTable *names = seen_new ();
  GHashTable *addresses = seen_new ();

  for (guint i = 0; i < s->voters.n; i++)
    {
      check_unique (names, voters[i].name, f, "/voters/%u/name", i);
      check_unique (addresses, voters[i].peers, f, "/voters/%u/peers", i);
    }
  g_hash_table_destroy (names);
  g_hash_table_destroy (addresses);
  if (own != NULL && !s->control)
    {
      pu_findings_add (f, "/voters",
                       "names this instance, which has no role "
                       "control");
    }
  if (own != NULL && strcmp (own->peers, s->addresses.peers) != 0)
    {
      pu_findings_add (f, "/voters",
                       "has %s for this instance; /addresses/peers has %s",
                       own->peers, s->addresses.peers);
    }
}

static void
check_roles (const pu_settings_t *s, pu_findings_t *f)
{
  if (s->control && *s->data_folder == '\0')
    pu_findings_add (f, "/data_folder", "is required for role control");
  if (s->join.n > 0 || s->seeds.n > 0)
    return;
  if (!s->control)
    {
      pu_findings_add (f, "/join", "is required without role control");
    }
  else if (find_own_voter (s) == NULL)
    {
      pu_findings_add (
          f, "/join",
          "is required, since /voters does not name this instance");
    }
}

/* An instance of the platform needs the addresses ready, control and directory
   together, and the role entry, which has the callers' address.  */
static void
check_platform (const pu_settings_t *s, pu_findings_t *f)
{
  const pu_settings_platform_t *p = &s->platform;

  if (!pu_settings_on_platform (s))
    {
      if (*p->control != '\0' || *p->directory != '\0')
        pu_findings_add (f, "/platform/ready", "is required on the platform");
      return;
    }
  if (*p->control == '\0')
    pu_findings_add (f, "/platform/control", "is required on the platform");
  if (*p->directory == '\0')
    pu_findings_add (f, "/platform/directory", "is required on the platform");
  if (!s->entry)
    pu_findings_add (f, "/roles", "must name entry on the platform");
}

static void
check_founding (const pu_settings_t *s, pu_findings_t *f)
{
  if (s->found && s->seeds.n == 0)
    pu_findings_add (f, "/seeds", "is required where found is true");
  if (s->found && s->voters.n > 0)
    pu_findings_add (f, "/voters", "must be empty where found is true");
}

void
pu_settings_check (const pu_settings_t *s, pu_findings_t *f)
{
  check_roles (s, f);
  check_addresses (s, f);
  check_keys (s, f);
  check_voters (s, f);
  check_founding (s, f);
  check_platform (s, f);
  check_time_ratios (&s->timing, f);
  check_backend_lease (&s->timing, f);
  check_load_exchange ("/timing/load_exchange_ms", s->timing.load_exchange_ms,
                       f);
  check_load_exchange ("/platform/load_exchange_ms",
                       s->platform.load_exchange_ms, f);
}
