#include "command.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "print.h"

#define KEY_VARIABLE "PLANTAINUSHER_KEY"
#define SERVER_VARIABLE "PLANTAINUSHER_SERVER"

int
pu_cli_exit_of_status (int status)
{
  switch (status)
    {
    case 200:
      return PU_CLI_OK;
    case 400:
    case 413:
      return PU_CLI_INVALID;
    case 401:
    case 403:
      return PU_CLI_DENIED;
    case 404:
      return PU_CLI_NOT_FOUND;
    case 409:
      return PU_CLI_CONFLICT;
    case 503:
      return PU_CLI_UNAVAILABLE;
    case 504:
      return PU_CLI_UNKNOWN;
    default:
      return PU_CLI_FAILED;
    }
}

static const char *
name_of_exit (int code)
{
  static const char *const names[] = {
    [PU_CLI_OK] = "ok",
    [PU_CLI_INVALID] = "invalid",
    [PU_CLI_USAGE] = "usage",
    [PU_CLI_UNREACHABLE] = "unreachable",
    [PU_CLI_DENIED] = "denied",
    [PU_CLI_CONFLICT] = "conflict",
    [PU_CLI_NOT_FOUND] = "not-found",
    [PU_CLI_UNAVAILABLE] = "unavailable",
    [PU_CLI_UNKNOWN] = "timeout",
    [PU_CLI_FAILED] = "failed",
  };

  return names[code];
}

int
pu_cli_fail (const pu_cli_options_t *o, int code, const char *format, ...)
{
  char *message;
  va_list ap;

  va_start (ap, format);
  message = g_strdup_vprintf (format, ap);
  va_end (ap);
  if (o->json)
    {
      json_t *j = json_pack ("{s:s, s:s}", "error", name_of_exit (code),
                             "message", message);

      pu_cli_print_json (j);
      json_decref (j);
    }
  else
    fprintf (stderr, "plantainusher: %s\n", message);
  g_free (message);
  return code;
}

char *
pu_cli_read_key (const pu_cli_options_t *o, pu_error_t *e)
{
  const char *variable = g_getenv (KEY_VARIABLE);
  GError *error = NULL;
  char *text;

  if (o->key_file == NULL)
    {
      if (variable != NULL && *variable != '\0')
        return g_strdup (variable);
      pu_error_set (e, PU_ERROR_INVALID,
                    "An operator's key is needed: --key-file FILE or "
                    "the environment's " KEY_VARIABLE ".");
      return NULL;
    }
  if (!g_file_get_contents (o->key_file, &text, NULL, &error))
    {
      pu_error_set (e, PU_ERROR_INVALID, "%s.", error->message);
      g_error_free (error);
      return NULL;
    }
  text[strcspn (text, "\r\n")] = '\0';
  g_strstrip (text);
  if (*text != '\0')
    return text;
  pu_error_set (e, PU_ERROR_INVALID, "%s has no key in its first line.",
                o->key_file);
  g_free (text);
  return NULL;
}

char **
pu_cli_servers (const pu_cli_options_t *o)
{
  const char *variable = g_getenv (SERVER_VARIABLE);

  if (o->servers[0] != NULL || variable == NULL || *variable == '\0')
    return g_strdupv (o->servers);
  return g_strsplit (variable, ",", -1);
}

static char *
read_standard_input (size_t *len)
{
  GString *all = g_string_new ("");
  char part[4096];
  size_t n;

  while ((n = fread (part, 1, sizeof part, stdin)) > 0)
    g_string_append_len (all, part, (gssize)n);
  *len = all->len;
  return g_string_free (all, FALSE);
}

char *
pu_cli_read_file (const pu_cli_options_t *o, const char *file, size_t *len)
{
  GError *error = NULL;
  char *text;

  if (strcmp (file, "-") == 0)
    return read_standard_input (len);
  if (g_file_get_contents (file, &text, len, &error))
    return text;
  pu_cli_fail (o, PU_CLI_FAILED, "%s.", error->message);
  g_error_free (error);
  return NULL;
}

/* Makes the client from flags and environment, or reports and returns NULL. */
static pu_operator_client_t *
make_client (const pu_cli_options_t *o, char **servers)
{
  pu_operator_client_options_t co = { 0 };
  pu_operator_client_t *c = NULL;
  pu_error_t e = { 0 };
  char *key;

  if (servers[0] == NULL)
    {
      pu_cli_fail (o, PU_CLI_USAGE,
                   "A server is needed: --server IP:PORT or the "
                   "environment's " SERVER_VARIABLE ".");
      return NULL;
    }
  key = pu_cli_read_key (o, &e);
  if (key != NULL)
    {
      co.servers = (const char *const *)servers;
      co.key = key;
      co.timeout_ms = o->timeout_ms;
      c = pu_operator_client_new (&co, &e);
    }
  if (c == NULL)
    pu_cli_fail (o, PU_CLI_USAGE, "%s", e.message);
  g_free (key);
  return c;
}

static int
report_error (const pu_cli_options_t *o, const pu_error_t *e, char **servers)
{
  char *all = g_strjoinv (", ", servers);
  int code;

  if (e->kind == PU_ERROR_IO)
    {
      code = pu_cli_fail (o, PU_CLI_UNREACHABLE, "%s: %s Nothing was done.",
                          all, e->message);
    }
  else
    {
      code = pu_cli_fail (
          o, e->kind == PU_ERROR_TIMEOUT ? PU_CLI_UNKNOWN : PU_CLI_FAILED,
          "%s: %s", all, e->message);
    }
  g_free (all);
  return code;
}

int
pu_cli_call_quiet (const pu_cli_options_t *o, const pu_operator_call_t *q,
                   pu_operator_answer_t *a)
{
  char **servers = pu_cli_servers (o);
  pu_operator_client_t *c = make_client (o, servers);
  pu_error_t e = { 0 };
  int code = PU_CLI_USAGE;

  memset (a, 0, sizeof *a);
  if (c != NULL && pu_operator_client_call (c, q, a, &e))
    {
      code = pu_cli_exit_of_status (a->status);
    }
  else if (c != NULL)
    {
      code = report_error (o, &e, servers);
    }
  a->server = NULL;
  pu_operator_client_free (c);
  g_strfreev (servers);
  return code;
}

static void
print_details (const pu_operator_answer_t *a)
{
  const json_t *findings = json_object_get (a->body, "findings");
  const json_t *differs = json_object_get (a->body, "differs");
  GString *out = g_string_new ("");

  pu_cli_print_findings (out, "document", findings);
  if (differs != NULL && json_array_size (differs) > 0)
    g_string_append (out, "What yours would change in the one in force:\n");
  pu_cli_print_differs (out, differs);
  fputs (out->str, stderr);
  g_string_free (out, TRUE);
}

int
pu_cli_report_answer (const pu_cli_options_t *o, const pu_operator_answer_t *a)
{
  const char *message
      = json_string_value (json_object_get (a->body, "message"));
  int code = pu_cli_exit_of_status (a->status);

  if (o->json && a->body != NULL)
    {
      pu_cli_print_json (a->body);
    }
  else if (message != NULL)
    {
      pu_cli_fail (o, code, "%s", message);
      print_details (a);
    }
  else
    {
      pu_cli_fail (o, code, "The server answered %d without a reason.",
                   a->status);
    }
  return code;
}

int
pu_cli_call (const pu_cli_options_t *o, const pu_operator_call_t *q,
             pu_operator_answer_t *a)
{
  int code = pu_cli_call_quiet (o, q, a);

  if (a->status != 0 && a->status != 200)
    return pu_cli_report_answer (o, a);
  if (a->status == 200 && a->body == NULL)
    return pu_cli_fail (o, PU_CLI_FAILED, "The answer is no JSON.");
  return code;
}

int
pu_cli_get (const pu_cli_options_t *o, const char *target,
            pu_operator_answer_t *a)
{
  pu_operator_call_t q = { "GET", target, NULL, 0, true };

  return pu_cli_call (o, &q, a);
}

int
pu_cli_post (const pu_cli_options_t *o, const char *target, json_t *body,
             bool repeatable, pu_operator_answer_t *a)
{
  pu_operator_call_t q = { "POST", target, NULL, 0, repeatable };
  char *text;
  int code;

  memset (a, 0, sizeof *a);
  if (body == NULL)
    return pu_cli_fail (o, PU_CLI_USAGE, "An argument is not UTF-8 text.");
  text = json_dumps (body, JSON_COMPACT);
  q.body = text;
  q.body_len = strlen (text);
  code = pu_cli_call (o, &q, a);
  json_decref (body);
  free (text);
  return code;
}
