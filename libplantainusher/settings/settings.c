#include "settings/settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "settings/checks.h"
#include "settings/schema.h"

#define PORT_MAX 65535

/* Fields that can be reloaded at run time; all others need a restart.
   pu_settings_keep_restart_fields must take the same fields from the new
   settings.  */
static const char *const reloadable_paths[] = {
  "/limits/max_header_bytes",
  "/limits/max_body_bytes",
  "/limits/max_announcement_bytes",
  "/limits/max_connections",
  "/limits/max_open_streams",
  "/limits/max_claims",
  "/limits/drain_s",
  "/keys/operators",
  "/keys/backends",
  "/log_level",
  "/seeds",
  "/join",
};

/* Copies the host part of ADDRESS, which ends at COLON, to HOST without
   brackets and sets FAMILY: a bracketed host is IPv6.  */
static bool
parse_host (const char *address, const char *colon, char *host, int *family)
{
  size_t n = (size_t)(colon - address);

  *family = AF_INET;
  if (n >= 2 && address[0] == '[' && address[n - 1] == ']')
    {
      *family = AF_INET6;
      address++;
      n -= 2;
    }
  if (n == 0 || n >= PU_SETTINGS_HOST_MAX)
    return false;
  memcpy (host, address, n);
  host[n] = '\0';
  return true;
}

bool
pu_settings_split_address (const char *address, char *host, guint16 *port)
{
  const char *colon = strrchr (address, ':');
  struct in6_addr number;
  guint64 value;
  int family;

  if (colon == NULL || !parse_host (address, colon, host, &family))
    return false;
  if (inet_pton (family, host, &number) != 1)
    return false;
  if (!g_ascii_string_to_unsigned (colon + 1, 10, 1, PORT_MAX, &value, NULL))
    return false;
  *port = (guint16)value;
  return true;
}

static bool
has_role (const pu_settings_t *s, const char *role)
{
  for (guint i = 0; i < s->roles.n; i++)
    {
      if (strcmp (s->roles.items[i], role) == 0)
        return true;
    }
  return false;
}

pu_settings_t *
pu_settings_parse (const char *text, size_t len, pu_findings_t *f)
{
  size_t before = pu_findings_count (f);
  json_t *value = pu_json_load_settings (text, len, PU_SETTINGS_TEXT_MAX, f);
  pu_settings_t *s;

  if (value == NULL)
    return NULL;
  s = g_new0 (pu_settings_t, 1);
  s->arena = pu_json_arena_new ();
  if (pu_json_read (value, &pu_settings_schema, s, s->arena, f))
    {
      s->entry = has_role (s, "entry");
      s->control = has_role (s, "control");
      pu_settings_check (s, f);
    }
  json_decref (value);
  if (pu_findings_count (f) == before)
    return s;
  pu_settings_free (s);
  return NULL;
}

/* Reads the file at PATH up to one byte past PU_SETTINGS_TEXT_MAX, so that the
   parser rejects a file that is too long.  */
static char *
read_file (const char *path, size_t *len, pu_findings_t *f)
{
  FILE *file = fopen (path, "re");
  char *text;
  bool good;

  if (file == NULL)
    {
      pu_findings_add (f, "", "cannot open %s: %s", path, g_strerror (errno));
      return NULL;
    }
  text = g_malloc (PU_SETTINGS_TEXT_MAX + 1);
  *len = fread (text, 1, PU_SETTINGS_TEXT_MAX + 1, file);
  good = ferror (file) == 0;
  fclose (file);
  if (good)
    return text;
  pu_findings_add (f, "", "cannot read %s", path);
  g_free (text);
  return NULL;
}

pu_settings_t *
pu_settings_load (const char *path, pu_findings_t *f)
{
  size_t len = 0;
  char *text = read_file (path, &len, f);
  pu_settings_t *s;

  if (text == NULL)
    return NULL;
  s = pu_settings_parse (text, len, f);
  g_free (text);
  return s;
}

void
pu_settings_free (pu_settings_t *s)
{
  if (s == NULL)
    return;
  pu_json_arena_free (s->arena);
  g_free (s);
}

const char *
pu_settings_peer_listen_address (const pu_settings_t *s)
{
  return *s->listen.peers != '\0' ? s->listen.peers : s->addresses.peers;
}

bool
pu_settings_on_platform (const pu_settings_t *s)
{
  return *s->platform.ready != '\0';
}

char **
pu_settings_seeds (const pu_settings_t *s)
{
  const char *port = strrchr (s->addresses.peers, ':');
  char **list = g_new0 (char *, s->seeds.n + 1);

  for (guint i = 0; i < s->seeds.n; i++)
    {
      const char *seed = s->seeds.items[i];
      const char *colon = strrchr (seed, ':');

      list[i] = g_strdup_printf ("%.*s%s", (int)(colon - seed), seed, port);
    }
  return list;
}

/* Returns the length in bytes of the host part of ADDRESS.  */
static gsize
host_length (const char *address)
{
  const char *colon = strrchr (address, ':');

  return colon != NULL ? (gsize)(colon - address) : strlen (address);
}

/* Returns whether the seed at INDEX is this instance.  Only the hosts are
   compared: a seed's port belongs to another listener of the instance.  */
static bool
is_own_seed (const pu_settings_t *s, guint index)
{
  const char *seed = s->seeds.items[index];
  gsize len = host_length (seed);

  return len == host_length (s->addresses.peers)
         && strncmp (seed, s->addresses.peers, len) == 0;
}

bool
pu_settings_is_initial_voter (const pu_settings_t *s)
{
  if (!s->found || !s->control)
    return false;
  for (guint i = 0; i < s->seeds.n; i++)
    {
      if (is_own_seed (s, i))
        return true;
    }
  return false;
}

json_t *
pu_settings_to_json (const pu_settings_t *s)
{
  return pu_json_write (&pu_settings_schema, s, true);
}

static bool
is_reloadable (const char *path)
{
  for (size_t i = 0; i < G_N_ELEMENTS (reloadable_paths); i++)
    {
      size_t n = strlen (reloadable_paths[i]);

      if (strncmp (path, reloadable_paths[i], n) == 0
          && (path[n] == '\0' || path[n] == '/'))
        return true;
    }
  return false;
}

char **
pu_settings_restart_diff (const pu_settings_t *older,
                          const pu_settings_t *newer)
{
  json_t *a = pu_json_write (&pu_settings_schema, older, false);
  json_t *b = pu_json_write (&pu_settings_schema, newer, false);
  json_t *diff = pu_json_diff (a, b);
  GPtrArray *paths = g_ptr_array_new ();

  for (size_t i = 0; i < json_array_size (diff); i++)
    {
      json_t *path = json_object_get (json_array_get (diff, i), "path");
      const char *s = json_string_value (path);

      if (!is_reloadable (s)
          && !g_ptr_array_find_with_equal_func (paths, s, g_str_equal, NULL))
        g_ptr_array_add (paths, g_strdup (s));
    }
  g_ptr_array_add (paths, NULL);
  json_decref (diff);
  json_decref (b);
  json_decref (a);
  return (char **)g_ptr_array_free (paths, FALSE);
}

static void
take_reloadable_limits (pu_settings_limits_t *to,
                        const pu_settings_limits_t *from)
{
  to->max_header_bytes = from->max_header_bytes;
  to->max_body_bytes = from->max_body_bytes;
  to->max_announcement_bytes = from->max_announcement_bytes;
  to->max_connections = from->max_connections;
  to->max_open_streams = from->max_open_streams;
  to->max_claims = from->max_claims;
  to->drain_s = from->drain_s;
}

void
pu_settings_keep_restart_fields (pu_settings_t *newer,
                                 const pu_settings_t *older)
{
  pu_settings_t merged = *older;

  take_reloadable_limits (&merged.limits, &newer->limits);
  merged.keys.operators = newer->keys.operators;
  merged.keys.backends = newer->keys.backends;
  merged.log_level = newer->log_level;
  merged.join = newer->join;
  merged.seeds = newer->seeds;
  merged.arena = newer->arena;
  *newer = merged;
}
