#ifndef PU_BASE_FINDINGS_H
#define PU_BASE_FINDINGS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * findings - what a check found, each with its place, reported together.
 *
 * A check never stops at the first fault: it adds a finding for each and the
 * caller looks at the count in the end.
 */

typedef struct
{
  char *path;    /* JSON pointer (RFC 6901) to the value; "" is the whole */
  int line;      /* 1-based line of a syntax error; 0 when not known */
  int column;    /* 1-based column; 0 when not known */
  char *message; /* one short sentence */
  char *name;    /* of the kind of a warning; NULL: it has none */
} pu_finding_t;

typedef struct pu_findings pu_findings_t;

/* pu_findings_new - an empty list.  Free it with pu_findings_free.  */
pu_findings_t *pu_findings_new (void);
void pu_findings_free (pu_findings_t *f);

/* pu_findings_add - adds a finding at PATH with a printf-style message.  */
void pu_findings_add (pu_findings_t *f, const char *path, const char *format,
                      ...) G_GNUC_PRINTF (3, 4);

/* pu_findings_add_at - the same for a syntax error at LINE and COLUMN.  */
void pu_findings_add_at (pu_findings_t *f, int line, int column,
                         const char *format, ...) G_GNUC_PRINTF (4, 5);

/* pu_findings_add_named - as pu_findings_add, for a warning of the kind
   NAME.  */
void pu_findings_add_named (pu_findings_t *f, const char *name,
                            const char *path, const char *format, ...)
    G_GNUC_PRINTF (4, 5);

/* pu_findings_set_place - sets the line and column of the finding at I.  */
void pu_findings_set_place (pu_findings_t *f, size_t i, int line, int column);

size_t pu_findings_count (const pu_findings_t *f);
const pu_finding_t *pu_findings_get (const pu_findings_t *f, size_t i);

/* pu_findings_to_json - a new array of {"path","line","column","message",
   "name"}; line and column are left out when 0, the name when NULL.  The
   caller owns it.  */
json_t *pu_findings_to_json (const pu_findings_t *f);

G_END_DECLS

#endif
