/* The table of commands, and the command line as a whole.  */

#include "command.h"

#include <stdio.h>
#include <string.h>

#ifdef PU_WITH_DAEMON
#include "daemon/serve.h"
#endif

#define ASKS (PU_CLI_SERVER | PU_CLI_JSON)

const pu_cli_command_t pu_cli_commands[] = {
  { "serve", pu_cli_serve, PU_CLI_SETTINGS, "--settings FILE",
    "run the daemon" },
  { "check", pu_cli_check, ASKS | PU_CLI_DOCUMENT | PU_CLI_CHECK, "FILE",
    "check a document, here or by a daemon" },
  { "submit", pu_cli_submit, ASKS | PU_CLI_DOCUMENT | PU_CLI_SUBMIT, "FILE",
    "put a document in force" },
  { "show", pu_cli_show, ASKS | PU_CLI_OUTPUT, "",
    "show the document in force" },
  { "diff", pu_cli_diff, ASKS | PU_CLI_DOCUMENT, "FILE",
    "what a document would change" },
  { "plan", pu_cli_plan, ASKS | PU_CLI_DOCUMENT, "FILE",
    "the moves that a document would cause" },
  { "history", pu_cli_history, ASKS, "", "the accepted documents" },
  { "status", pu_cli_status, ASKS, "",
    "instances, voters, backend servers, models, services" },
  { "dump", pu_cli_dump, ASKS, "", "the whole state of one daemon, as JSON" },
  { "drain", pu_cli_drain, ASKS | PU_CLI_DRAIN,
    "--instance NAME | --backend NAME",
    "give an instance or a backend server no new work" },
  { "voters", pu_cli_voters, ASKS,
    "add NAME | remove NAME | replace NAME WITH", "change the voters" },
  { "convictions", pu_cli_convictions, ASKS, "[lift FINGERPRINT]",
    "requests refused because they crash backend servers" },
  { "log-level", pu_cli_log_level, ASKS, "debug|info|note|warn",
    "set the level of a daemon's log" },
  { "console", pu_cli_console, PU_CLI_SERVER | PU_CLI_JSON, "",
    "print the console's address" },
};

const size_t pu_cli_n_commands = G_N_ELEMENTS (pu_cli_commands);

const pu_cli_command_t *
pu_cli_find (const char *name)
{
  for (size_t i = 0; i < pu_cli_n_commands; i++)
    {
      if (strcmp (pu_cli_commands[i].name, name) == 0)
        return &pu_cli_commands[i];
    }
  return NULL;
}

int
pu_cli_serve (const pu_cli_options_t *o)
{
  if (o->settings == NULL || o->args[0] != NULL)
    return pu_cli_fail (o, PU_CLI_USAGE, "Say serve --settings FILE.");
#ifdef PU_WITH_DAEMON
  {
    pu_serve_options_t so = { .settings_path = o->settings };

    return pu_serve_main (&so);
  }
#else
  return pu_cli_fail (o, PU_CLI_FAILED, "This build has no daemon.");
#endif
}

static void
print_commands (FILE *out)
{
  fputs ("Usage: plantainusher COMMAND [FLAGS] [ARGUMENTS]\n\n", out);
  for (size_t i = 0; i < pu_cli_n_commands; i++)
    {
      fprintf (out, "  %-12s %s\n", pu_cli_commands[i].name,
               pu_cli_commands[i].summary);
    }
  fputs ("\nplantainusher COMMAND --help shows a command's flags; "
         "plantainusher --version the version.\n",
         out);
}

static void
print_command (const pu_cli_command_t *c)
{
  char *flags = pu_cli_options_help (c->flags);

  printf ("Usage: plantainusher %s [FLAGS]%s%s\n%c%s.\n\n%s", c->name,
          *c->arguments != '\0' ? " " : "", c->arguments,
          g_ascii_toupper (c->summary[0]), c->summary + 1, flags);
  g_free (flags);
}

static int
run (const pu_cli_command_t *c, int argc, const char **argv)
{
  pu_cli_options_t o;
  pu_error_t e = { 0 };
  int code;

  if (!pu_cli_options_parse (&o, argc, argv, c->flags, &e))
    {
      code = pu_cli_fail (&o, PU_CLI_USAGE, "%s See plantainusher %s --help.",
                          e.message, c->name);
    }
  else if (o.help)
    {
      print_command (c);
      code = PU_CLI_OK;
    }
  else
    code = c->handle (&o);
  pu_cli_options_clear (&o);
  return code;
}

int
pu_cli_main (int argc, const char **argv)
{
  const char *word = argc > 1 ? argv[1] : "";
  const pu_cli_command_t *c = pu_cli_find (word);

  if (c != NULL)
    return run (c, argc - 1, argv + 1);
  if (strcmp (word, "--version") == 0)
    {
      puts ("plantainusher " PU_VERSION);
      return PU_CLI_OK;
    }
  if (strcmp (word, "--help") == 0 || strcmp (word, "-h") == 0
      || strcmp (word, "help") == 0)
    {
      print_commands (stdout);
      return PU_CLI_OK;
    }
  if (*word != '\0')
    fprintf (stderr, "plantainusher: There is no command \"%s\".\n\n", word);
  print_commands (stderr);
  return PU_CLI_USAGE;
}
