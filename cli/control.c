/* The commands about the running system: status, dump, drain, voters,
   convictions, log-level, console.  */

#include "command.h"

#include <stdio.h>
#include <string.h>

#include "print.h"

typedef struct
{
  const char *title;
  const char *key;
  const pu_cli_column_t *columns;
  size_t n;
} section_t;

static const pu_cli_column_t member_columns[] = {
  { "INSTANCE", "name" },
  { "REGION", "region" },
  { "ZONE", "zone" },
  { "POSITION", "position" },
  { "CALLERS", "caller_address" },
  { "OPERATORS", "operator_address" },
  { "LEAVING", "leaving" },
};

static const pu_cli_column_t voter_columns[] = {
  { "VOTER", "name" },
  { "ADDRESS", "address" },
  { "ROLE", "role" },
  { "POSITION", "position" },
};

static const pu_cli_column_t backend_columns[] = {
  { "BACKEND", "name" },
  { "KIND", "kind" },
  { "ZONE", "zone" },
  { "ADDRESS", "address" },
  { "ACCELERATORS", "accelerators" },
  { "MB", "memory_mb" },
  { "COMMITTED", "committed_mb" },
  { "COPIES", "copy_count" },
  { "LEAVING", "leaving" },
  { "DOWN", "down" },
};

static const pu_cli_column_t model_columns[] = {
  { "MODEL", "name" },     { "KIND", "kind" },   { "VERSION", "version" },
  { "MIN", "min_copies" }, { "READY", "ready" }, { "LOADING", "loading" },
  { "GOING", "going" },
};

static const pu_cli_column_t service_columns[] = {
  { "SERVICE", "name" },
  { "KIND", "kind" },
  { "IMPORTANCE", "importance" },
  { "MODELS", "models" },
};

static const pu_cli_column_t team_columns[] = {
  { "TEAM", "name" },           { "UNIT", "unit" },
  { "RATE/S", "rate_per_s" },   { "GRANTED/S", "granted_per_s" },
  { "LEVEL", "level" },         { "ALONE", "absent_entries" },
  { "HERE/S", "units_per_s" },  { "REFUSED %", "refused_pct" },
  { "HELD BACK", "held_back" },
};

static const section_t sections[] = {
  { "Instances", "members", member_columns, G_N_ELEMENTS (member_columns) },
  { "Voters", "voters", voter_columns, G_N_ELEMENTS (voter_columns) },
  { "Backend servers", "backends", backend_columns,
    G_N_ELEMENTS (backend_columns) },
  { "Models", "models", model_columns, G_N_ELEMENTS (model_columns) },
  { "Services", "services", service_columns, G_N_ELEMENTS (service_columns) },
  { "Teams: granted by the leader; used and refused at this instance", "teams",
    team_columns, G_N_ELEMENTS (team_columns) },
};

/* A table has no room for the copies: their number stands for them.  */
static void
count_copies (const json_t *backends)
{
  size_t at;
  json_t *b;

  json_array_foreach (backends, at, b)
  {
    size_t n = json_array_size (json_object_get (b, "copies"));

    json_object_set_new (b, "copy_count", json_integer ((json_int_t)n));
  }
}

static const char *
string_of (const json_t *o, const char *key)
{
  const char *text = json_string_value (json_object_get (o, key));

  return text != NULL && *text != '\0' ? text : "-";
}

static const char *
quorum_of (const json_t *status)
{
  const json_t *quorum = json_object_get (status, "quorum");

  if (!json_is_boolean (quorum))
    return "not known";
  return json_is_true (quorum) ? "yes" : "no";
}

/* The first line; without a state, version and position would tell of one.  */
static void
print_instance (GString *out, const json_t *status)
{
  g_string_append_printf (out,
                          "Instance %s: ", string_of (status, "instance"));
  if (json_is_false (json_object_get (status, "ready")))
    {
      g_string_append (out, "no state yet, it waits for a voter");
    }
  else
    {
      g_string_append_printf (
          out,
          "document version %" JSON_INTEGER_FORMAT
          ", position %" JSON_INTEGER_FORMAT,
          json_integer_value (json_object_get (status, "version")),
          json_integer_value (json_object_get (status, "position")));
    }
  g_string_append_printf (out, ", leader %s, quorum %s.\n",
                          string_of (status, "leader"), quorum_of (status));
}

/* Says what the instance knows by the exchange of loads, if it takes part.  */
static void
print_load_exchange (GString *out, const json_t *status)
{
  const json_t *x = json_object_get (status, "load_exchange");
  const json_t *age = json_object_get (x, "age_ms");

  if (x == NULL)
    return;
  g_string_append_printf (
      out, "Exchange of loads: hub %s, %" JSON_INTEGER_FORMAT " engines, ",
      string_of (x, "hub"),
      json_integer_value (json_object_get (x, "engines")));
  if (age == NULL)
    {
      g_string_append (out, "no reply yet.\n");
      return;
    }
  g_string_append_printf (out, "last reply %" JSON_INTEGER_FORMAT " ms ago.\n",
                          json_integer_value (age));
}

static void
print_status (const json_t *status)
{
  GString *out = g_string_new ("");

  print_instance (out, status);
  print_load_exchange (out, status);
  count_copies (json_object_get (status, "backends"));
  for (size_t i = 0; i < G_N_ELEMENTS (sections); i++)
    {
      const json_t *list = json_object_get (status, sections[i].key);

      if (json_array_size (list) == 0)
        continue;
      g_string_append_printf (out, "\n%s\n", sections[i].title);
      pu_cli_print_table (out, list, sections[i].columns, sections[i].n);
    }
  pu_cli_print_placement (out, json_object_get (status, "placement"));
  pu_cli_print (out);
}

int
pu_cli_status (const pu_cli_options_t *o)
{
  pu_operator_answer_t a;
  int code = pu_cli_get (o, "/operator/status", &a);

  if (code == PU_CLI_OK && o->json)
    {
      pu_cli_print_json (a.body);
    }
  else if (code == PU_CLI_OK)
    {
      print_status (a.body);
    }
  pu_operator_answer_clear (&a);
  return code;
}

int
pu_cli_dump (const pu_cli_options_t *o)
{
  pu_operator_answer_t a;
  int code = pu_cli_get (o, "/operator/dump", &a);

  if (code == PU_CLI_OK)
    pu_cli_print_json (a.body);
  pu_operator_answer_clear (&a);
  return code;
}

/* Posts BODY and prints the answer, or TEXT for people.  */
static int
act (const pu_cli_options_t *o, const char *target, json_t *body,
     bool repeatable, const char *text)
{
  pu_operator_answer_t a;
  int code = pu_cli_post (o, target, body, repeatable, &a);

  if (code == PU_CLI_OK && o->json)
    {
      pu_cli_print_json (a.body);
    }
  else if (code == PU_CLI_OK)
    {
      puts (text);
    }
  pu_operator_answer_clear (&a);
  return code;
}

int
pu_cli_drain (const pu_cli_options_t *o)
{
  bool instance = o->instance != NULL;
  const char *name = instance ? o->instance : o->backend;
  char *text;
  int code;

  if (name == NULL || (o->instance != NULL && o->backend != NULL))
    {
      return pu_cli_fail (
          o, PU_CLI_USAGE,
          "Give one of --instance NAME and --backend NAME to drain.");
    }
  text = g_strdup_printf ("%s gets no new work from now on.", name);
  code = act (o, "/operator/drain",
              json_pack ("{s:s}", instance ? "instance" : "backend", name),
              true, text);
  g_free (text);
  return code;
}

/* The number of names after the action, or 0 for an unknown action.  */
static guint
names_of_action (const char *action)
{
  if (strcmp (action, "add") == 0 || strcmp (action, "remove") == 0)
    return 1;
  return strcmp (action, "replace") == 0 ? 2 : 0;
}

int
pu_cli_voters (const pu_cli_options_t *o)
{
  guint n = g_strv_length (o->args);
  guint names = n > 0 ? names_of_action (o->args[0]) : 0;
  json_t *body;

  if (names == 0 || n != names + 1)
    {
      return pu_cli_fail (o, PU_CLI_USAGE,
                          "Say voters add NAME, voters remove NAME, or voters "
                          "replace NAME WITH.");
    }
  body = json_pack ("{s:s, s:s}", "action", o->args[0], "name", o->args[1]);
  if (names == 2)
    json_object_set_new (body, "with", json_string (o->args[2]));
  return act (o, "/operator/voters", body, false, "The voters are changed.");
}

static int
list_convictions (const pu_cli_options_t *o)
{
  static const pu_cli_column_t columns[] = {
    { "FINGERPRINT", "fingerprint" },
    { "MODEL", "model" },
    { "STRIKES", "strikes" },
    { "TIME", "time" },
  };
  pu_operator_answer_t a;
  int code = pu_cli_get (o, "/operator/convictions", &a);

  if (code == PU_CLI_OK && o->json)
    {
      pu_cli_print_json (a.body);
    }
  else if (code == PU_CLI_OK)
    {
      GString *out = g_string_new ("");

      pu_cli_print_table (out, json_object_get (a.body, "convictions"),
                          columns, G_N_ELEMENTS (columns));
      pu_cli_print (out);
    }
  pu_operator_answer_clear (&a);
  return code;
}

int
pu_cli_convictions (const pu_cli_options_t *o)
{
  guint n = g_strv_length (o->args);

  if (n == 0)
    return list_convictions (o);
  if (n == 2 && strcmp (o->args[0], "lift") == 0)
    {
      return act (o, "/operator/convictions/lift",
                  json_pack ("{s:s}", "fingerprint", o->args[1]), true,
                  "The conviction is lifted.");
    }
  return pu_cli_fail (o, PU_CLI_USAGE,
                      "Say convictions, or convictions lift FINGERPRINT.");
}

int
pu_cli_log_level (const pu_cli_options_t *o)
{
  if (g_strv_length (o->args) != 1)
    {
      return pu_cli_fail (o, PU_CLI_USAGE,
                          "Say log-level debug, info, note or warn.");
    }
  return act (o, "/operator/log-level",
              json_pack ("{s:s}", "level", o->args[0]), true,
              "The level is set.");
}

int
pu_cli_console (const pu_cli_options_t *o)
{
  char **servers = pu_cli_servers (o);
  char *address;

  if (servers[0] == NULL)
    {
      g_strfreev (servers);
      return pu_cli_fail (o, PU_CLI_USAGE,
                          "A server is needed: --server IP:PORT.");
    }
  address = g_strdup_printf ("http://%s/console", servers[0]);
  if (o->json)
    {
      json_t *j = json_pack ("{s:s}", "console", address);

      pu_cli_print_json (j);
      json_decref (j);
    }
  else
    puts (address);
  g_free (address);
  g_strfreev (servers);
  return PU_CLI_OK;
}
