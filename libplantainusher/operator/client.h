#ifndef PU_OPERATOR_CLIENT_H
#define PU_OPERATOR_CLIENT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#include "base/error.h"

G_BEGIN_DECLS

/*
 * client - calls the operators' paths of a daemon and waits for the answer.
 *
 * For the command line only: each call runs a loop of its own and blocks.
 * Several servers are tried in turn, from the one that answered last.
 */

typedef struct pu_operator_client pu_operator_client_t;

typedef struct
{
  const char *const *servers; /* IP:port, ended by NULL; copied */
  const char *key;            /* the operator's key */
  guint32 timeout_ms;         /* for a call in all; 0: 15000 */
} pu_operator_client_options_t;

/* pu_operator_client_new - NULL and E (PU_ERROR_INVALID) when an address can't
   be read or none is given.  "localhost" stands for 127.0.0.1.  */
pu_operator_client_t *
pu_operator_client_new (const pu_operator_client_options_t *o, pu_error_t *e);
void pu_operator_client_free (pu_operator_client_t *c);

typedef struct
{
  const char *method;
  const char *target; /* path and query */
  const char *body;   /* NULL for none */
  size_t body_len;
  /* The call may be made twice: it is sent again after an unknown outcome,
     and a 503 is asked of the next server.  */
  bool repeatable;
} pu_operator_call_t;

typedef struct
{
  int status;         /* of HTTP */
  json_t *body;       /* NULL when the answer is no JSON */
  char *text;         /* the answer's bytes, ended by NUL */
  const char *server; /* which answered; the client's */
} pu_operator_answer_t;

/* pu_operator_client_call - makes Q and fills A, which the caller clears with
   pu_operator_answer_clear.  False and E:
   PU_ERROR_IO       no server could be reached; nothing was done
   PU_ERROR_TIMEOUT  sent, but no answer came; the outcome is not known
   PU_ERROR_CORRUPT  the answer is not HTTP, or too large  */
bool pu_operator_client_call (pu_operator_client_t *c,
                              const pu_operator_call_t *q,
                              pu_operator_answer_t *a, pu_error_t *e);
void pu_operator_answer_clear (pu_operator_answer_t *a);

G_END_DECLS

#endif
