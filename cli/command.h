#ifndef PU_CLI_COMMAND_H
#define PU_CLI_COMMAND_H

#include <jansson.h>

#include "operator/client.h"
#include "options.h"

G_BEGIN_DECLS

/*
 * command - what the commands share: exit codes, the call of a daemon and the
 * report of what went wrong.
 */

/* Exit codes; plantainusher(1) lists them.  */
typedef enum
{
  PU_CLI_OK = 0,
  PU_CLI_INVALID = 1,     /* findings, or refused as invalid */
  PU_CLI_USAGE = 2,       /* the command line */
  PU_CLI_UNREACHABLE = 3, /* no server; nothing was done */
  PU_CLI_DENIED = 4,      /* a missing or wrong key */
  PU_CLI_CONFLICT = 5,    /* another change was first */
  PU_CLI_NOT_FOUND = 6,
  PU_CLI_UNAVAILABLE = 7, /* no quorum, or not on this daemon */
  PU_CLI_UNKNOWN = 8,     /* sent, but it is not known whether it was done */
  PU_CLI_FAILED = 9,      /* a file, or a fault of the daemon */
} pu_cli_exit_t;

typedef int pu_cli_handler_fn (const pu_cli_options_t *o);

typedef struct
{
  const char *name;
  pu_cli_handler_fn *handle;
  guint flags; /* pu_cli_flags_t */
  const char *arguments;
  const char *summary;
} pu_cli_command_t;

extern const pu_cli_command_t pu_cli_commands[];
extern const size_t pu_cli_n_commands;

/* pu_cli_find - the command NAME, or NULL.  */
const pu_cli_command_t *pu_cli_find (const char *name);

/* pu_cli_main - runs the command line ARGV; the exit code.  */
int pu_cli_main (int argc, const char **argv);

/* pu_cli_exit_of_status - the exit code for an HTTP status.  */
int pu_cli_exit_of_status (int status);

/* pu_cli_read_key - the operator's key, from the flag's file or the
   environment; NULL and E when there is none.  The caller frees it.  */
char *pu_cli_read_key (const pu_cli_options_t *o, pu_error_t *e);

/* pu_cli_servers - the servers given by flags, else by the environment, where
   commas part them.  The caller frees it by g_strfreev.  */
char **pu_cli_servers (const pu_cli_options_t *o);

/* pu_cli_read_file - the bytes of FILE; "-" is standard input.  Reports and
   returns NULL when it can't be read.  The caller frees it.  */
char *pu_cli_read_file (const pu_cli_options_t *o, const char *file,
                        size_t *len);

/* pu_cli_fail - reports a message on standard error, or as JSON, and returns
   CODE.  */
int pu_cli_fail (const pu_cli_options_t *o, int code, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

/* pu_cli_call - makes Q.  On an answer of 200 it returns PU_CLI_OK; else it
   reports what went wrong and returns the exit code.  A is to be cleared in
   either case.  */
int pu_cli_call (const pu_cli_options_t *o, const pu_operator_call_t *q,
                 pu_operator_answer_t *a);

/* pu_cli_call_quiet - the same, but leaves an answer that is not 200 to the
   caller: the code is returned and A is filled.  */
int pu_cli_call_quiet (const pu_cli_options_t *o, const pu_operator_call_t *q,
                       pu_operator_answer_t *a);

/* pu_cli_report_answer - reports an answer that is not 200.  */
int pu_cli_report_answer (const pu_cli_options_t *o,
                          const pu_operator_answer_t *a);

/* pu_cli_get - GET of TARGET by pu_cli_call.  */
int pu_cli_get (const pu_cli_options_t *o, const char *target,
                pu_operator_answer_t *a);

/* pu_cli_post - POST of BODY, whose reference it takes; NULL, from an argument
   that JSON can't say, is reported.  */
int pu_cli_post (const pu_cli_options_t *o, const char *target, json_t *body,
                 bool repeatable, pu_operator_answer_t *a);

pu_cli_handler_fn pu_cli_serve;
pu_cli_handler_fn pu_cli_check;
pu_cli_handler_fn pu_cli_submit;
pu_cli_handler_fn pu_cli_show;
pu_cli_handler_fn pu_cli_diff;
pu_cli_handler_fn pu_cli_plan;
pu_cli_handler_fn pu_cli_history;
pu_cli_handler_fn pu_cli_status;
pu_cli_handler_fn pu_cli_dump;
pu_cli_handler_fn pu_cli_drain;
pu_cli_handler_fn pu_cli_voters;
pu_cli_handler_fn pu_cli_convictions;
pu_cli_handler_fn pu_cli_log_level;
pu_cli_handler_fn pu_cli_console;

G_END_DECLS

#endif
