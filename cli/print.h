#ifndef PU_CLI_PRINT_H
#define PU_CLI_PRINT_H

#include <glib.h>
#include <jansson.h>

G_BEGIN_DECLS

/*
 * print - what people read: tables, findings, differences.
 *
 * Values that come from a daemon are printed with control characters
 * replaced, so that they can't drive a terminal.
 */

typedef struct
{
  const char *title;
  const char *key; /* of the objects in the list */
} pu_cli_column_t;

/* pu_cli_print_table - appends LIST, an array of objects, as a table with the
   N columns C.  An empty list gives its head alone.  */
void pu_cli_print_table (GString *out, const json_t *list,
                         const pu_cli_column_t *c, size_t n);

/* pu_cli_print_findings - a line for each finding of LIST, after FILE and
   before its name in brackets.  */
void pu_cli_print_findings (GString *out, const char *file,
                            const json_t *list);

/* pu_cli_print_differs - a line for each difference of LIST, and one for its
   effect.  */
void pu_cli_print_differs (GString *out, const json_t *list);

/* pu_cli_print_placement - the leader's word on placement, as in the status:
   a line of sums, the models without a ready copy, the orders under way and
   the loads that fail.  Nothing when PLACEMENT is NULL or says nothing, as
   where it has not begun.  */
void pu_cli_print_placement (GString *out, const json_t *placement);

/* pu_cli_print_json - J, indented.  */
void pu_cli_print_json (const json_t *j);

/* pu_cli_print - writes OUT to standard output and frees it.  */
void pu_cli_print (GString *out);

G_END_DECLS

#endif
