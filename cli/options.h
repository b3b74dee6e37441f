#ifndef PU_CLI_OPTIONS_H
#define PU_CLI_OPTIONS_H

#include <glib.h>
#include <stdbool.h>

#include "base/error.h"

G_BEGIN_DECLS

/*
 * options - what the command line says, read by popt.
 *
 * Which flags a command takes is written in its row of the table of commands;
 * another flag is refused with the nearest known one's help.
 */

/* Sets of flags.  */
typedef enum
{
  PU_CLI_SETTINGS = 1 << 0, /* --settings */
  PU_CLI_SERVER = 1 << 1,   /* --server, --key-file, --timeout */
  PU_CLI_JSON = 1 << 2,     /* --json */
  PU_CLI_DOCUMENT = 1 << 3, /* --document */
  PU_CLI_SUBMIT = 1 << 4,   /* --base-version, --latest, --change-id,
                               --author */
  PU_CLI_OUTPUT = 1 << 5,   /* --output */
  PU_CLI_DRAIN = 1 << 6,    /* --instance, --backend */
  PU_CLI_CHECK = 1 << 7,    /* --against, --daemon, --silence, --strict */
} pu_cli_flags_t;

/* The base version when none is given.  */
#define PU_CLI_NO_VERSION (-1)

typedef struct
{
  char *settings;
  char **servers; /* ended by NULL */
  char *key_file;
  bool json;
  guint32 timeout_ms; /* 0: the default */
  char *document;
  gint64 base_version; /* or PU_CLI_NO_VERSION */
  bool latest;
  char *change_id;
  char *author;
  char *output;
  char *instance;
  char *backend;
  char *against;
  char *silence; /* names of warnings, parted by commas */
  bool strict;
  bool help;   /* --help was given; nothing else counts */
  char **args; /* what is no flag, ended by NULL */
} pu_cli_options_t;

/* pu_cli_options_parse - reads ARGV, whose first word is the command's name,
   for a command with the sets FLAGS.  False and E (PU_ERROR_INVALID) for an
   unknown flag or a bad value.  O is to be cleared in either case.  */
bool pu_cli_options_parse (pu_cli_options_t *o, int argc, const char **argv,
                           guint flags, pu_error_t *e);
void pu_cli_options_clear (pu_cli_options_t *o);

/* pu_cli_options_help - the flags of the sets FLAGS, a line each.  The caller
   frees it.  */
char *pu_cli_options_help (guint flags);

G_END_DECLS

#endif
