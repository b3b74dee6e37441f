#include "entry/entry_private.h"

#include <string.h>

#include "state/codec.h"
#include "state/software.h"

#define VALUE_MAX 1048576 /* maximum of counts and of sizes in MB */
#define HASHES_MAX 65536  /* maximum of block hashes per list */
#define HASH_HEX_DIGITS 16

static const char *const known_members[]
    = { "name", "incarnation",  "kind",      "service",   "address", "region",
        "zone", "accelerators", "memory_mb", "fenced",    "leaving", "token",
        "seq",  "copies",       "load",      "kv_events", "software" };

static const char *const phase_names[] = {
  [PU_COPY_LOADING] = "loading",
  [PU_COPY_READY] = "ready",
  [PU_COPY_DRAINING] = "draining",
  [PU_COPY_UNLOADING] = "unloading",
};

/* --- reading one member; if it is absent, *VALUE is unchanged --- */

static void
add_finding (pu_findings_t *f, const char *path, const char *name,
             const char *message)
{
  char *member_path = g_strdup_printf ("%s/%s", path, name);

  pu_findings_add (f, member_path, "%s", message);
  g_free (member_path);
}

static void
read_number (const json_t *o, const char *path, const char *name, guint64 max,
             guint64 *value, pu_findings_t *f)
{
  const json_t *v = json_object_get (o, name);

  if (v == NULL)
    return;
  if (!json_is_integer (v) || json_integer_value (v) < 0
      || (guint64)json_integer_value (v) > max)
    {
      add_finding (f, path, name, "is not an integer in the allowed range.");
    }
  else
    {
      *value = (guint64)json_integer_value (v);
    }
}

static void
read_uint (const json_t *o, const char *path, const char *name, guint *value,
           pu_findings_t *f)
{
  guint64 n = *value;

  read_number (o, path, name, VALUE_MAX, &n, f);
  *value = (guint)n;
}

static void
read_bool (const json_t *o, const char *name, bool_t *value, pu_findings_t *f)
{
  const json_t *v = json_object_get (o, name);

  if (v == NULL)
    return;
  if (!json_is_boolean (v))
    {
      add_finding (f, "", name, "is not a boolean.");
    }
  else
    {
      *value = json_is_true (v);
    }
}

static void
read_name (const json_t *o, const char *path, const char *name, bool empty,
           char **value, pu_findings_t *f)
{
  const json_t *v = json_object_get (o, name);
  const char *s = json_string_value (v);

  if (v == NULL)
    return;
  if (s == NULL || strlen (s) > PU_NAME_MAX || (*s == 0 && !empty)
      || strlen (s) != json_string_length (v))
    {
      add_finding (f, path, name, "is not a valid name.");
      return;
    }
  /* Allocated by strdup, because the XDR functions release strings with
     free.  */
  free (*value);
  *value = strdup (s);
}

/* --- reading the record of the backend server --- */

static void
read_kind (const json_t *o, pu_backend_record *b, pu_findings_t *f)
{
  const json_t *v = json_object_get (o, "kind");
  const char *s = json_string_value (v);

  if (v == NULL)
    return;
  if (g_strcmp0 (s, "engine") == 0)
    {
      b->kind = PU_BACKEND_ENGINE;
    }
  else if (g_strcmp0 (s, "plain") == 0)
    {
      b->kind = PU_BACKEND_PLAIN;
    }
  else
    {
      add_finding (f, "", "kind", "is not \"engine\" or \"plain\".");
    }
}

static void
read_address (const json_t *o, pu_backend_record *b, pu_findings_t *f)
{
  struct sockaddr_storage addr;

  read_name (o, "", "address", false, &b->address, f);
  if (json_object_get (o, "address") != NULL
      && !pu_http_address_parse (b->address, &addr, NULL))
    add_finding (f, "", "address", "is not IP:port.");
}

static void
read_phase (const json_t *o, const char *path, pu_copy_record *c,
            pu_findings_t *f)
{
  const char *s = json_string_value (json_object_get (o, "phase"));

  for (guint i = 0; i < G_N_ELEMENTS (phase_names); i++)
    {
      if (g_strcmp0 (s, phase_names[i]) != 0)
        continue;
      c->phase = (pu_copy_phase)i;
      return;
    }
  add_finding (f, path, "phase", "is not a copy phase.");
}

static void
read_copy (const json_t *o, size_t i, pu_copy_record *c, pu_findings_t *f)
{
  char path[32];

  g_snprintf (path, sizeof path, "/copies/%zu", i);
  c->model = strdup ("");
  c->model_version = strdup ("");
  read_name (o, path, "model", false, &c->model, f);
  read_name (o, path, "version", true, &c->model_version, f);
  read_uint (o, path, "memory_mb", &c->memory_mb, f);
  read_phase (o, path, c, f);
  if (*c->model == 0)
    add_finding (f, path, "model", "is missing.");
}

static void
copies_clear (pu_backend_record *b)
{
  for (guint i = 0; i < b->copies.copies_len; i++)
    {
      free (b->copies.copies_val[i].model);
      free (b->copies.copies_val[i].model_version);
    }
  free (b->copies.copies_val);
  b->copies.copies_val = NULL;
  b->copies.copies_len = 0;
}

static void
read_copies (const json_t *o, pu_backend_record *b, pu_findings_t *f)
{
  const json_t *list = json_object_get (o, "copies");
  size_t n = json_array_size (list);
  char *software;

  if (list == NULL)
    return;
  if (!json_is_array (list) || n > PU_LIST_MAX)
    {
      add_finding (f, "", "copies",
                   "is not an array or has too many entries.");
      return;
    }
  software = g_strdup (pu_backend_software (b));
  copies_clear (b);
  if (n > 0)
    {
      b->copies.copies_val = calloc (n, sizeof *b->copies.copies_val);
      b->copies.copies_len = (u_int)n;
    }
  for (size_t i = 0; i < n; i++)
    read_copy (json_array_get (list, i), i, &b->copies.copies_val[i], f);
  pu_backend_set_software (b, software);
  g_free (software);
}

static void
read_software (const json_t *o, pu_backend_record *b, pu_findings_t *f)
{
  char *software = NULL;

  read_name (o, "", "software", false, &software, f);
  if (software != NULL)
    pu_backend_set_software (b, software);
  free (software);
}

static pu_backend_record *
record_new (void)
{
  pu_backend_record empty
      = { .name = "", .service = "", .address = "", .region = "", .zone = "" };

  return pu_codec_clone ((xdrproc_t)xdr_pu_backend_record, &empty,
                         sizeof empty);
}

static void
read_record (const json_t *o, pu_backend_record *b, pu_findings_t *f)
{
  guint64 token = b->token;
  guint64 incarnation = b->incarnation;

  read_name (o, "", "name", false, &b->name, f);
  read_number (o, "", "incarnation", G_MAXINT64, &incarnation, f);
  read_kind (o, b, f);
  read_name (o, "", "service", true, &b->service, f);
  read_address (o, b, f);
  read_name (o, "", "region", true, &b->region, f);
  read_name (o, "", "zone", true, &b->zone, f);
  read_uint (o, "", "accelerators", &b->accelerators, f);
  read_uint (o, "", "memory_mb", &b->memory_mb, f);
  read_bool (o, "fenced", &b->fenced, f);
  read_bool (o, "leaving", &b->leaving, f);
  read_number (o, "", "token", G_MAXINT64, &token, f);
  read_copies (o, b, f);
  read_software (o, b, f);
  b->token = token;
  b->incarnation = incarnation;
  b->down = FALSE;
}

/* Checks that the required fields of B are set, either by this report or by an
   earlier one.  */
static void
check_record (const pu_backend_record *b, pu_findings_t *f)
{
  if (*b->address == 0)
    add_finding (f, "", "address", "is missing.");
  if (b->kind == PU_BACKEND_PLAIN && *b->service == 0)
    add_finding (f, "", "service", "is missing for a plain service.");
  if (b->kind == PU_BACKEND_ENGINE
      && (b->accelerators == 0 || b->memory_mb == 0))
    {
      add_finding (f, "", "accelerators",
                   "and memory_mb must be greater than 0 for an engine.");
    }
}

/* --- reading the load and the KV cache events --- */

static void
read_load (const json_t *root, pu_announcement_t *a, pu_findings_t *f)
{
  const json_t *o = json_object_get (root, "load");
  const json_t *tokens = json_object_get (o, "tokens_per_s");

  if (o == NULL)
    return;
  if (!json_is_object (o))
    {
      add_finding (f, "", "load", "is not an object.");
      return;
    }
  a->has_load = true;
  read_uint (o, "/load", "running", &a->load.running, f);
  read_uint (o, "/load", "waiting", &a->load.waiting, f);
  read_uint (o, "/load", "kv_used_mb", &a->load.kv_used_mb, f);
  if (tokens != NULL
      && (!json_is_number (tokens) || json_number_value (tokens) < 0))
    {
      add_finding (f, "/load", "tokens_per_s",
                   "is not a non-negative number.");
    }
  else
    {
      a->load.tokens_per_s = json_number_value (tokens);
    }
}

static GArray *
read_hashes (const json_t *o, const char *name, pu_findings_t *f)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (guint64));
  const json_t *list = json_object_get (o, name);
  const json_t *one;
  size_t i;

  if (json_array_size (list) > HASHES_MAX)
    add_finding (f, "/kv_events", name, "has too many entries.");
  json_array_foreach (list, i, one)
  {
    const char *s = json_string_value (one);
    guint64 hash = 0;

    if (s == NULL || strlen (s) > HASH_HEX_DIGITS
        || !g_ascii_string_to_unsigned (s, 16, 0, G_MAXUINT64, &hash, NULL))
      {
        add_finding (f, "/kv_events", name,
                     "contains an entry that is not a block hash.");
        break;
      }
    g_array_append_val (found, hash);
  }
  return found;
}

static void
read_events (const json_t *root, pu_announcement_t *a, pu_findings_t *f)
{
  const json_t *o = json_object_get (root, "kv_events");

  if (o == NULL)
    return;
  a->has_events = true;
  read_number (o, "/kv_events", "first", G_MAXINT64, &a->events.first, f);
  read_number (o, "/kv_events", "last", G_MAXINT64, &a->events.last, f);
  a->added = read_hashes (o, "added", f);
  a->removed = read_hashes (o, "removed", f);
  a->events.added = (const guint64 *)(void *)a->added->data;
  a->events.n_added = a->added->len;
  a->events.removed = (const guint64 *)(void *)a->removed->data;
  a->events.n_removed = a->removed->len;
}

/* --- reading a complete report --- */

static bool
is_known_member (const char *name)
{
  for (gsize i = 0; i < G_N_ELEMENTS (known_members); i++)
    {
      if (strcmp (known_members[i], name) == 0)
        return true;
    }
  return false;
}

static void
check_members (const json_t *root, pu_findings_t *f)
{
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *)root, key, value)
  {
    if (!is_known_member (key))
      add_finding (f, "", key, "is not a known member.");
  }
}

bool
pu_announcement_read_sender (const json_t *root, const char **name,
                             guint64 *incarnation, pu_findings_t *f)
{
  const json_t *v = json_object_get (root, "name");

  *name = json_string_value (v);
  *incarnation = 0;
  if (*name == NULL || **name == 0 || strlen (*name) > PU_NAME_MAX)
    add_finding (f, "", "name", "is not a valid name.");
  read_number (root, "", "incarnation", G_MAXINT64, incarnation, f);
  if (*incarnation == 0)
    add_finding (f, "", "incarnation", "must be 1 or more.");
  return pu_findings_count (f) == 0;
}

bool
pu_announcement_read (pu_announcement_t *a, const json_t *root,
                      const pu_backend_record *base, pu_findings_t *f)
{
  memset (a, 0, sizeof *a);
  a->full = json_object_get (root, "address") != NULL;
  a->record = base != NULL ? pu_codec_clone ((xdrproc_t)xdr_pu_backend_record,
                                             base, sizeof *base)
                           : record_new ();
  check_members (root, f);
  read_number (root, "", "seq", G_MAXINT64, &a->seq, f);
  read_record (root, a->record, f);
  check_record (a->record, f);
  read_load (root, a, f);
  read_events (root, a, f);
  a->load.seq = a->seq;
  return pu_findings_count (f) == 0;
}

void
pu_announcement_clear (pu_announcement_t *a)
{
  if (a->record != NULL)
    pu_codec_free ((xdrproc_t)xdr_pu_backend_record, a->record);
  if (a->added != NULL)
    g_array_free (a->added, TRUE);
  if (a->removed != NULL)
    g_array_free (a->removed, TRUE);
  memset (a, 0, sizeof *a);
}
