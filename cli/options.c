#include "options.h"

#include <popt.h>
#include <stdlib.h>
#include <string.h>

#define SECONDS_MAX 3600.0

typedef enum
{
  FLAG_HELP = 1,
  FLAG_SETTINGS,
  FLAG_SERVER,
  FLAG_KEY_FILE,
  FLAG_TIMEOUT,
  FLAG_JSON,
  FLAG_DOCUMENT,
  FLAG_BASE_VERSION,
  FLAG_LATEST,
  FLAG_CHANGE_ID,
  FLAG_AUTHOR,
  FLAG_OUTPUT,
  FLAG_INSTANCE,
  FLAG_BACKEND,
  FLAG_AGAINST,
  FLAG_SILENCE,
  FLAG_STRICT
} flag_t;

typedef struct
{
  guint set; /* pu_cli_flags_t; 0: every command */
  flag_t flag;
  const char *name;
  char letter;
  const char *value; /* what its argument is; NULL for none */
  const char *text;
} flag_row_t;

static const flag_row_t rows[] = {
  { PU_CLI_SETTINGS, FLAG_SETTINGS, "settings", 0, "FILE",
    "the daemon's settings" },
  { PU_CLI_SERVER, FLAG_SERVER, "server", 's', "IP:PORT",
    "operators' address of a daemon; may be given again, the next is tried "
    "when one is unreachable" },
  { PU_CLI_SERVER, FLAG_KEY_FILE, "key-file", 'k', "FILE",
    "file whose first line is the operator's key" },
  { PU_CLI_SERVER, FLAG_TIMEOUT, "timeout", 't', "SECONDS",
    "give up after this time (default 15)" },
  { PU_CLI_JSON, FLAG_JSON, "json", 0, NULL, "print JSON" },
  { PU_CLI_DOCUMENT, FLAG_DOCUMENT, "document", 'd', "FILE",
    "the document; - for standard input" },
  { PU_CLI_SUBMIT, FLAG_BASE_VERSION, "base-version", 0, "N",
    "the version that the change starts from; 0 for the first document" },
  { PU_CLI_SUBMIT, FLAG_LATEST, "latest", 0, NULL,
    "start from whatever version is in force" },
  { PU_CLI_SUBMIT, FLAG_CHANGE_ID, "change-id", 0, "ID",
    "the change's name; the same again resends a change" },
  { PU_CLI_SUBMIT, FLAG_AUTHOR, "author", 0, "NAME",
    "who makes the change (default: the name of the key)" },
  { PU_CLI_OUTPUT, FLAG_OUTPUT, "output", 'o', "FILE",
    "write the document to FILE and its version to FILE.base" },
  { PU_CLI_DRAIN, FLAG_INSTANCE, "instance", 0, "NAME",
    "drain the daemon of this instance" },
  { PU_CLI_DRAIN, FLAG_BACKEND, "backend", 0, "NAME",
    "drain this backend server" },
  { PU_CLI_CHECK, FLAG_AGAINST, "against", 0, "FILE",
    "show what the document changes in this one" },
  { PU_CLI_CHECK, FLAG_SERVER, "daemon", 0, "IP:PORT",
    "as --server: check there, and show what changes in the version in "
    "force" },
  { PU_CLI_CHECK, FLAG_SILENCE, "silence", 0, "NAME,...",
    "do not report the warnings of these names" },
  { PU_CLI_CHECK, FLAG_STRICT, "strict", 0, NULL,
    "exit with 1 when there are warnings" },
  { 0, FLAG_HELP, "help", 'h', NULL, "show this help" },
};

static void
take (char **to, char **value)
{
  g_free (*to);
  *to = g_strdup (*value);
}

static void
add_server (pu_cli_options_t *o, const char *server)
{
  guint n = g_strv_length (o->servers);

  o->servers = g_renew (char *, o->servers, n + 2);
  o->servers[n] = g_strdup (server);
  o->servers[n + 1] = NULL;
}

static bool
take_timeout (pu_cli_options_t *o, const char *value, pu_error_t *e)
{
  char *end;
  double seconds = g_ascii_strtod (value, &end);

  if (end == value || *end != '\0' || !(seconds > 0) || seconds > SECONDS_MAX)
    {
      return pu_error_set (e, PU_ERROR_INVALID,
                           "--timeout takes seconds above 0 and up to %.0f, "
                           "not \"%s\".",
                           SECONDS_MAX, value);
    }
  o->timeout_ms = MAX ((guint32)(seconds * 1000), 1);
  return true;
}

static bool
take_version (pu_cli_options_t *o, const char *value, pu_error_t *e)
{
  guint64 n;

  if (!g_ascii_string_to_unsigned (value, 10, 0, G_MAXINT64, &n, NULL))
    {
      return pu_error_set (e, PU_ERROR_INVALID,
                           "--base-version takes a version, not \"%s\".",
                           value);
    }
  o->base_version = (gint64)n;
  return true;
}

static bool
take_flag (pu_cli_options_t *o, flag_t flag, char **value, pu_error_t *e)
{
  switch (flag)
    {
    case FLAG_HELP:
      o->help = true;
      return true;
    case FLAG_SETTINGS:
      take (&o->settings, value);
      return true;
    case FLAG_SERVER:
      add_server (o, *value);
      return true;
    case FLAG_KEY_FILE:
      take (&o->key_file, value);
      return true;
    case FLAG_TIMEOUT:
      return take_timeout (o, *value, e);
    case FLAG_JSON:
      o->json = true;
      return true;
    case FLAG_DOCUMENT:
      take (&o->document, value);
      return true;
    case FLAG_BASE_VERSION:
      return take_version (o, *value, e);
    case FLAG_LATEST:
      o->latest = true;
      return true;
    case FLAG_CHANGE_ID:
      take (&o->change_id, value);
      return true;
    case FLAG_AUTHOR:
      take (&o->author, value);
      return true;
    case FLAG_OUTPUT:
      take (&o->output, value);
      return true;
    case FLAG_INSTANCE:
      take (&o->instance, value);
      return true;
    case FLAG_BACKEND:
      take (&o->backend, value);
      return true;
    case FLAG_AGAINST:
      take (&o->against, value);
      return true;
    case FLAG_SILENCE:
      take (&o->silence, value);
      return true;
    case FLAG_STRICT:
      o->strict = true;
      return true;
    }
  return false;
}

static bool
is_in (const flag_row_t *row, guint flags)
{
  return row->set == 0 || (row->set & flags) != 0;
}

/* Fills TABLE, of one element more than rows, for popt.  */
static void
make_table (struct poptOption *table, guint flags)
{
  size_t n = 0;

  memset (table, 0, (G_N_ELEMENTS (rows) + 1) * sizeof *table);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      if (!is_in (&rows[i], flags))
        continue;
      table[n].longName = rows[i].name;
      table[n].shortName = rows[i].letter;
      table[n].argInfo
          = rows[i].value != NULL ? POPT_ARG_STRING : POPT_ARG_NONE;
      table[n].val = rows[i].flag;
      n++;
    }
}

static bool
read_flags (pu_cli_options_t *o, poptContext context, pu_error_t *e)
{
  int flag;

  while ((flag = poptGetNextOpt (context)) > 0)
    {
      char *value = poptGetOptArg (context);
      bool good = take_flag (o, (flag_t)flag, &value, e);

      free (value);
      if (!good)
        return false;
    }
  if (flag < -1)
    {
      return pu_error_set (e, PU_ERROR_INVALID, "%s: %s.",
                           poptBadOption (context, POPT_BADOPTION_NOALIAS),
                           poptStrerror (flag));
    }
  return true;
}

bool
pu_cli_options_parse (pu_cli_options_t *o, int argc, const char **argv,
                      guint flags, pu_error_t *e)
{
  struct poptOption table[G_N_ELEMENTS (rows) + 1];
  poptContext context;
  const char **rest;
  bool good;

  memset (o, 0, sizeof *o);
  o->base_version = PU_CLI_NO_VERSION;
  o->servers = g_new0 (char *, 1);
  make_table (table, flags);
  context = poptGetContext ("plantainusher", argc, argv, table, 0);
  good = read_flags (o, context, e);
  rest = poptGetArgs (context);
  o->args = rest != NULL ? g_strdupv ((char **)rest) : g_new0 (char *, 1);
  poptFreeContext (context);
  return good;
}

void
pu_cli_options_clear (pu_cli_options_t *o)
{
  g_free (o->settings);
  g_strfreev (o->servers);
  g_free (o->key_file);
  g_free (o->document);
  g_free (o->change_id);
  g_free (o->author);
  g_free (o->output);
  g_free (o->instance);
  g_free (o->backend);
  g_free (o->against);
  g_free (o->silence);
  g_strfreev (o->args);
  memset (o, 0, sizeof *o);
}

char *
pu_cli_options_help (guint flags)
{
  GString *out = g_string_new ("");

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const flag_row_t *row = &rows[i];
      char letter[8] = "    ";
      char *name;

      if (!is_in (row, flags))
        continue;
      if (row->letter != 0)
        g_snprintf (letter, sizeof letter, "-%c, ", row->letter);
      name = g_strconcat (row->name, row->value != NULL ? " " : "", row->value,
                          NULL);
      g_string_append_printf (out, "  %s--%-18s  %s\n", letter, name,
                              row->text);
      g_free (name);
    }
  return g_string_free (out, FALSE);
}
