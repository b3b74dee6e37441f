/* The commands about the document: check, submit, show, diff, plan,
   history.  */

#include "command.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "document/changes.h"
#include "document/warnings.h"
#include "print.h"

#define BASE_SUFFIX ".base"

/* The most names told to who gave one that is not known.  */
#define NEAR_MAX ((size_t)3)

/* The document's file: --document FILE, or the one argument.  Reports and
   returns NULL when there is none or more than one.  */
static const char *
document_file (const pu_cli_options_t *o)
{
  guint n = g_strv_length (o->args);

  if (o->document != NULL && n == 0)
    return o->document;
  if (o->document == NULL && n == 1)
    return o->args[0];
  pu_cli_fail (o, PU_CLI_USAGE, "One document is needed: --document FILE.");
  return NULL;
}

/* --- check --- */

/* Reports a name of --silence that no warning has.  */
static int
check_silence (const pu_cli_options_t *o)
{
  const char *const *known = pu_document_warning_names ();
  char **names = g_strsplit (o->silence != NULL ? o->silence : "", ",", -1);
  int code = PU_CLI_OK;

  for (guint i = 0; names[i] != NULL && code == PU_CLI_OK; i++)
    {
      char *near;

      if (g_strv_contains (known, names[i]))
        continue;
      near = pu_json_nearest (names[i], known, g_strv_length ((char **)known),
                              NEAR_MAX);
      code = pu_cli_fail (o, PU_CLI_USAGE,
                          "--silence: no warning has the name \"%s\"%s%s.",
                          names[i], *near != '\0' ? "; near it: " : "", near);
      g_free (near);
    }
  g_strfreev (names);
  return code;
}

/* Removes the warnings that --silence names from BODY.  */
static void
silence (const pu_cli_options_t *o, json_t *body)
{
  json_t *warnings = json_object_get (body, "warnings");
  char **names = g_strsplit (o->silence != NULL ? o->silence : "", ",", -1);

  for (size_t i = json_array_size (warnings); i-- > 0;)
    {
      const char *name = json_string_value (
          json_object_get (json_array_get (warnings, i), "name"));

      if (name != NULL && g_strv_contains ((const char *const *)names, name))
        json_array_remove (warnings, i);
    }
  g_strfreev (names);
}

/* --against is checked here, also where the environment names a server.  */
static bool
is_here (const pu_cli_options_t *o)
{
  char **servers = pu_cli_servers (o);
  bool here = o->against != NULL || servers[0] == NULL;

  g_strfreev (servers);
  return here;
}

static void
append_differs (const pu_cli_options_t *o, GString *out, const json_t *body)
{
  const json_t *differs = json_object_get (body, "differs");
  json_int_t version
      = json_integer_value (json_object_get (body, "base_version"));
  char *base;

  if (differs == NULL)
    {
      /* A daemon that is not ready, or of a release without differences.  */
      if (!is_here (o)
          && json_array_size (json_object_get (body, "findings")) == 0)
        g_string_append (out, "The daemon gave no differences.\n");
      return;
    }
  base = o->against != NULL
             ? g_strdup (o->against)
             : g_strdup_printf ("version %" JSON_INTEGER_FORMAT, version);
  g_string_append_printf (out,
                          json_array_size (differs) > 0
                              ? "Differences from %s:\n"
                              : "No difference from %s.\n",
                          base);
  pu_cli_print_differs (out, differs);
  g_free (base);
}

/* Prints the findings, warnings and differences of BODY.  */
static int
print_check (const pu_cli_options_t *o, const char *file, json_t *body)
{
  const json_t *findings = json_object_get (body, "findings");
  const json_t *warnings = json_object_get (body, "warnings");
  size_t n = json_array_size (findings);
  bool good;
  GString *out;

  silence (o, body);
  good = n == 0 && !(o->strict && json_array_size (warnings) > 0);
  if (o->json)
    {
      pu_cli_print_json (body);
      return good ? PU_CLI_OK : PU_CLI_INVALID;
    }
  out = g_string_new ("");
  pu_cli_print_findings (out, file, findings);
  if (json_array_size (warnings) > 0)
    g_string_append (out, "Warnings:\n");
  pu_cli_print_findings (out, file, warnings);
  append_differs (o, out, body);
  if (n == 0)
    g_string_append_printf (out, "%s: The document is valid.\n", file);
  pu_cli_print (out);
  return good ? PU_CLI_OK : PU_CLI_INVALID;
}

/* Reads the document of --against; reports and returns NULL when it can't be
   read or has errors.  */
static pu_document_t *
read_against (const pu_cli_options_t *o, int *code)
{
  size_t len;
  char *text = pu_cli_read_file (o, o->against, &len);
  pu_findings_t *f;
  pu_document_t *d;

  *code = PU_CLI_FAILED;
  if (text == NULL)
    return NULL;
  f = pu_findings_new ();
  d = pu_document_parse (text, len, f);
  if (d == NULL)
    {
      *code
          = pu_cli_fail (o, PU_CLI_INVALID,
                         "%s has errors itself: check it first.", o->against);
    }
  pu_findings_free (f);
  g_free (text);
  return d;
}

/* Adds to BODY what D changes in the document of --against.  */
static int
add_changes (const pu_cli_options_t *o, const pu_document_t *d, json_t *body)
{
  const pu_change_options_t co = { .n_uses = 0 };
  pu_document_t *older;
  int code;

  if (o->against == NULL || d == NULL)
    return PU_CLI_OK;
  older = read_against (o, &code);
  if (older == NULL)
    return code;
  json_object_set_new (body, "differs", pu_document_changes (older, d, &co));
  pu_document_unref (older);
  return PU_CLI_OK;
}

static int
check_here (const pu_cli_options_t *o, const char *file, const char *text,
            size_t len)
{
  const pu_warning_options_t wo = { .text_len = len };
  pu_findings_t *errors = pu_findings_new ();
  pu_findings_t *warnings = pu_findings_new ();
  pu_document_t *d = pu_document_check_text (text, len, &wo, errors, warnings);
  json_t *body
      = json_pack ("{s:o, s:o}", "findings", pu_findings_to_json (errors),
                   "warnings", pu_findings_to_json (warnings));
  int code = add_changes (o, d, body);

  if (code == PU_CLI_OK)
    code = print_check (o, file, body);
  json_decref (body);
  pu_document_unref (d);
  pu_findings_free (errors);
  pu_findings_free (warnings);
  return code;
}

static int
check_there (const pu_cli_options_t *o, const char *file, const char *text,
             size_t len)
{
  pu_operator_call_t q
      = { "POST", "/operator/check?differs=1", text, len, true };
  pu_operator_answer_t a;
  int code = pu_cli_call_quiet (o, &q, &a);

  if (json_object_get (a.body, "findings") != NULL)
    {
      code = print_check (o, file, a.body);
    }
  else if (a.status != 0)
    {
      code = pu_cli_report_answer (o, &a);
    }
  pu_operator_answer_clear (&a);
  return code;
}

int
pu_cli_check (const pu_cli_options_t *o)
{
  const char *file = document_file (o);
  char *text;
  size_t len;
  int code;

  if (file == NULL)
    return PU_CLI_USAGE;
  if (o->against != NULL && o->servers[0] != NULL)
    {
      return pu_cli_fail (o, PU_CLI_USAGE,
                          "Give one of --against and --daemon.");
    }
  code = check_silence (o);
  if (code != PU_CLI_OK)
    return code;
  text = pu_cli_read_file (o, file, &len);
  if (text == NULL)
    return PU_CLI_FAILED;
  if (is_here (o))
    {
      code = check_here (o, file, text, len);
    }
  else
    {
      code = check_there (o, file, text, len);
    }
  g_free (text);
  return code;
}

/* --- the version that a file starts from --- */

/* Reads what `show --output FILE` wrote beside FILE.  */
static gint64
read_base (const char *file)
{
  char *name = g_strconcat (file, BASE_SUFFIX, NULL);
  gint64 version = PU_CLI_NO_VERSION;
  guint64 n;
  char *text;

  if (g_file_get_contents (name, &text, NULL, NULL))
    {
      g_strstrip (text);
      if (g_ascii_string_to_unsigned (text, 10, 0, G_MAXINT64, &n, NULL))
        version = (gint64)n;
      g_free (text);
    }
  g_free (name);
  return version;
}

static bool
write_base (const char *file, json_int_t version, GError **error)
{
  char *name = g_strconcat (file, BASE_SUFFIX, NULL);
  char *text = g_strdup_printf ("%" JSON_INTEGER_FORMAT "\n", version);
  bool good = g_file_set_contents (name, text, -1, error);

  g_free (text);
  g_free (name);
  return good;
}

static int
latest_version (const pu_cli_options_t *o, gint64 *version)
{
  pu_operator_call_t q = { "GET", "/operator/document", NULL, 0, true };
  pu_operator_answer_t a;
  int code = pu_cli_call_quiet (o, &q, &a);

  if (code == PU_CLI_OK)
    {
      *version = json_integer_value (json_object_get (a.body, "version"));
    }
  else if (a.status == 404)
    {
      *version = 0;
      code = PU_CLI_OK;
    }
  else if (a.status != 0)
    code = pu_cli_report_answer (o, &a);
  pu_operator_answer_clear (&a);
  return code;
}

static int
find_base (const pu_cli_options_t *o, const char *file, gint64 *version)
{
  *version = o->base_version;
  if (o->latest && o->base_version != PU_CLI_NO_VERSION)
    {
      return pu_cli_fail (o, PU_CLI_USAGE,
                          "Give one of --base-version and --latest.");
    }
  if (o->latest)
    return latest_version (o, version);
  if (*version == PU_CLI_NO_VERSION)
    *version = read_base (file);
  if (*version != PU_CLI_NO_VERSION)
    return PU_CLI_OK;
  return pu_cli_fail (
      o, PU_CLI_USAGE,
      "It is not known which version %s starts from: fetch it by `show "
      "--output %s`, or give --base-version N or --latest.",
      file, file);
}

/* --- submit --- */

static int
report_accepted (const pu_cli_options_t *o, const char *file,
                 const pu_operator_answer_t *a)
{
  json_int_t version
      = json_integer_value (json_object_get (a->body, "version"));
  json_int_t position
      = json_integer_value (json_object_get (a->body, "position"));
  bool seen = json_is_true (json_object_get (a->body, "seen"));
  const json_t *warnings = json_object_get (a->body, "warnings");

  if (read_base (file) != PU_CLI_NO_VERSION)
    write_base (file, version, NULL);
  if (o->json)
    {
      pu_cli_print_json (a->body);
      return PU_CLI_OK;
    }
  printf ("Accepted%s as version %" JSON_INTEGER_FORMAT
          " at position %" JSON_INTEGER_FORMAT ".\n",
          seen ? " before" : "", version, position);
  if (json_array_size (warnings) > 0)
    {
      GString *out = g_string_new ("Warnings:\n");

      pu_cli_print_findings (out, file, warnings);
      pu_cli_print (out);
    }
  return PU_CLI_OK;
}

/* What to do next, on standard error.  */
static void
advise (const pu_cli_options_t *o, int code, const char *change_id,
        gint64 base)
{
  if (o->json)
    return;
  if (code == PU_CLI_UNKNOWN)
    {
      fprintf (stderr,
               "Send it again by the same command with --change-id %s "
               "--base-version %" G_GINT64_FORMAT
               ": it is accepted once at most.\n",
               change_id, base);
    }
  else if (code == PU_CLI_CONFLICT)
    {
      fprintf (stderr,
               "This change starts from version %" G_GINT64_FORMAT
               ".  Fetch the one in force by `show --output`, make the change "
               "in it and submit that.\n",
               base);
    }
}

static int
submit_text (const pu_cli_options_t *o, const char *file, const char *text,
             size_t len, gint64 base)
{
  char *change_id = o->change_id != NULL ? g_strdup (o->change_id)
                                         : g_uuid_string_random ();
  json_t *document = json_stringn (text, len);
  pu_operator_answer_t a = { 0 };
  json_t *body;
  int code;

  if (document == NULL)
    {
      g_free (change_id);
      return pu_cli_fail (o, PU_CLI_INVALID, "%s is not UTF-8 text.", file);
    }
  if (!o->json)
    fprintf (stderr, "Change id: %s\n", change_id);
  body = json_pack ("{s:I, s:s, s:o}", "base_version", (json_int_t)base,
                    "change_id", change_id, "document", document);
  if (o->author != NULL)
    json_object_set_new (body, "author", json_string (o->author));
  code = pu_cli_post (o, "/operator/submit", body, true, &a);
  if (code == PU_CLI_OK)
    {
      code = report_accepted (o, file, &a);
    }
  else
    {
      advise (o, code, change_id, base);
    }
  pu_operator_answer_clear (&a);
  g_free (change_id);
  return code;
}

int
pu_cli_submit (const pu_cli_options_t *o)
{
  const char *file = document_file (o);
  gint64 base;
  char *text;
  size_t len;
  int code;

  if (file == NULL)
    return PU_CLI_USAGE;
  text = pu_cli_read_file (o, file, &len);
  if (text == NULL)
    return PU_CLI_FAILED;
  code = find_base (o, file, &base);
  if (code == PU_CLI_OK)
    code = submit_text (o, file, text, len, base);
  g_free (text);
  return code;
}

/* --- show, diff, plan, history --- */

/* The document of an answer in its canonical text; freed by free ().  */
static char *
document_text (const pu_operator_answer_t *a)
{
  char *text = json_dumps (json_object_get (a->body, "document"),
                           JSON_INDENT (2) | JSON_SORT_KEYS);

  return text != NULL ? text : strdup ("");
}

static int
write_document (const pu_cli_options_t *o, const pu_operator_answer_t *a)
{
  json_int_t version
      = json_integer_value (json_object_get (a->body, "version"));
  char *text = document_text (a);
  char *line = g_strconcat (text, "\n", NULL);
  GError *error = NULL;
  int code = PU_CLI_OK;

  if (!g_file_set_contents (o->output, line, -1, &error)
      || !write_base (o->output, version, &error))
    {
      code = pu_cli_fail (o, PU_CLI_FAILED, "%s.", error->message);
      g_error_free (error);
    }
  else if (!o->json)
    {
      printf ("Wrote version %" JSON_INTEGER_FORMAT " to %s.\n", version,
              o->output);
    }
  g_free (line);
  free (text);
  return code;
}

static void
print_document (const pu_operator_answer_t *a)
{
  const json_t *b = a->body;
  char *text = document_text (a);

  /* The head goes to standard error, so that the output is the document.  */
  fprintf (stderr,
           "Version %" JSON_INTEGER_FORMAT " by %s at %s, change %s.\n",
           json_integer_value (json_object_get (b, "version")),
           json_string_value (json_object_get (b, "author")),
           json_string_value (json_object_get (b, "time")),
           json_string_value (json_object_get (b, "change_id")));
  puts (text);
  free (text);
}

int
pu_cli_show (const pu_cli_options_t *o)
{
  pu_operator_answer_t a;
  int code = pu_cli_get (o, "/operator/document", &a);

  if (code == PU_CLI_OK && o->output != NULL)
    code = write_document (o, &a);
  if (code == PU_CLI_OK && o->json)
    {
      pu_cli_print_json (a.body);
    }
  else if (code == PU_CLI_OK && o->output == NULL)
    {
      print_document (&a);
    }
  pu_operator_answer_clear (&a);
  return code;
}

/* Posts the document to TARGET.  */
static int
post_document (const pu_cli_options_t *o, const char *target,
               pu_operator_answer_t *a)
{
  const char *file = document_file (o);
  pu_operator_call_t q = { "POST", target, NULL, 0, true };
  char *text;
  int code;

  memset (a, 0, sizeof *a);
  if (file == NULL)
    return PU_CLI_USAGE;
  text = pu_cli_read_file (o, file, &q.body_len);
  if (text == NULL)
    return PU_CLI_FAILED;
  q.body = text;
  code = pu_cli_call (o, &q, a);
  g_free (text);
  return code;
}

int
pu_cli_diff (const pu_cli_options_t *o)
{
  pu_operator_answer_t a;
  int code = post_document (o, "/operator/diff", &a);
  const json_t *differs = json_object_get (a.body, "differs");

  if (code == PU_CLI_OK && o->json)
    {
      pu_cli_print_json (a.body);
    }
  else if (code == PU_CLI_OK)
    {
      GString *out = g_string_new ("");

      pu_cli_print_differs (out, differs);
      if (json_array_size (differs) == 0)
        {
          g_string_append_printf (
              out, "No difference from version %" JSON_INTEGER_FORMAT ".\n",
              json_integer_value (json_object_get (a.body, "base_version")));
        }
      pu_cli_print (out);
    }
  pu_operator_answer_clear (&a);
  return code;
}

int
pu_cli_plan (const pu_cli_options_t *o)
{
  static const pu_cli_column_t columns[] = {
    { "KIND", "kind" },       { "MODEL", "model" },  { "VERSION", "version" },
    { "BACKEND", "backend" }, { "MB", "memory_mb" }, { "REASON", "reason" },
  };
  pu_operator_answer_t a;
  int code = post_document (o, "/operator/plan", &a);

  if (code == PU_CLI_OK && o->json)
    {
      pu_cli_print_json (a.body);
    }
  else if (code == PU_CLI_OK)
    {
      GString *out = g_string_new ("");

      pu_cli_print_table (out, json_object_get (a.body, "moves"), columns,
                          G_N_ELEMENTS (columns));
      pu_cli_print (out);
    }
  pu_operator_answer_clear (&a);
  return code;
}

int
pu_cli_history (const pu_cli_options_t *o)
{
  static const pu_cli_column_t columns[] = {
    { "VERSION", "version" },
    { "TIME", "time" },
    { "AUTHOR", "author" },
    { "CHANGE", "change_id" },
  };
  pu_operator_answer_t a;
  int code = pu_cli_get (o, "/operator/history", &a);

  if (code == PU_CLI_OK && o->json)
    {
      pu_cli_print_json (a.body);
    }
  else if (code == PU_CLI_OK)
    {
      GString *out = g_string_new ("");

      pu_cli_print_table (out, a.body, columns, G_N_ELEMENTS (columns));
      pu_cli_print (out);
    }
  pu_operator_answer_clear (&a);
  return code;
}
