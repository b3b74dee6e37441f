#ifndef PU_DOCUMENT_WARNINGS_H
#define PU_DOCUMENT_WARNINGS_H

#include "document/document.h"

G_BEGIN_DECLS

/*
 * warnings - what is doubtful in a document that a submit accepts: items that
 * can never match, and limits that contradict each other.
 *
 * Each warning has a name, by which operators silence it; docs/DOCUMENT.md
 * lists them.  What is not known of the running system gives no warning.
 *
 * Pure: no I/O, no clock.  A document of 4,200 routes is checked within a
 * second of processor time.
 */

/* A backend server that is announced.  */
typedef struct
{
  const char *service;  /* "": an engine for any model service */
  guint32 accelerators; /* 0: a plain server */
  guint32 memory_mb;    /* of each accelerator */
} pu_known_server_t;

/* The largest request of a team lately.  */
typedef struct
{
  const char *team;
  guint64 tokens; /* that it stated */
} pu_known_request_t;

/* What is known besides the document.  */
typedef struct
{
  size_t text_len;                    /* bytes as submitted; 0: not known */
  const pu_known_server_t *servers;   /* all that are announced */
  size_t n_servers;                   /* 0: not known */
  const pu_known_request_t *requests; /* at most one of each team */
  size_t n_requests;
} pu_warning_options_t;

/* pu_document_warn - adds the warnings of D to F, each by its name and JSON
   pointer: a bounded number of each name, and how many more there are.  */
void pu_document_warn (const pu_document_t *d, const pu_warning_options_t *o,
                       pu_findings_t *f);

/* pu_document_check_text - reads LEN bytes of TEXT as pu_document_parse does,
   so that ERRORS has what a submit would refuse, and adds the warnings of O to
   WARNINGS; all have line and column.  Returns a document with one reference,
   or NULL when there is an error; then there are no warnings.  */
pu_document_t *pu_document_check_text (const char *text, size_t len,
                                       const pu_warning_options_t *o,
                                       pu_findings_t *errors,
                                       pu_findings_t *warnings);

/* pu_document_warning_names - the names of all warnings, ended by NULL.  */
const char *const *pu_document_warning_names (void);

G_END_DECLS

#endif
