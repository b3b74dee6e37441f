#ifndef PU_OPERATOR_OPERATOR_H
#define PU_OPERATOR_OPERATOR_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "base/error.h"
#include "document/document.h"
#include "state/state.h"

G_BEGIN_DECLS

/*
 * operator - the operators' HTTP paths and the console.
 *
 * The paths are listed in docs/ARCHITECTURE.md.  This slice checks keys and
 * bodies, reads the state by `view` and reaches the rest of the daemon by
 * hooks.  It knows requests and responses only as the plain structs below;
 * operator/mount.h binds it to the HTTP server.
 *
 * One loop, one thread: hooks may answer at once or later on the same loop.
 */

typedef struct pu_operator pu_operator_t;

/* pu_operator_reply_fn - the answer to a proposed command.  R is NULL when E
   says why there is none: PU_ERROR_UNAVAILABLE (nothing was proposed) or
   PU_ERROR_TIMEOUT (it may or may not have been accepted).  The callee keeps
   neither.  */
typedef void pu_operator_reply_fn (const pu_reply *r, const pu_error_t *e,
                                   void *data);

/* pu_operator_json_fn - a JSON answer, whose reference passes to the callee,
   or NULL with E.  */
typedef void pu_operator_json_fn (json_t *result, const pu_error_t *e,
                                  void *data);

typedef enum
{
  PU_OPERATOR_VOTERS_ADD,
  PU_OPERATOR_VOTERS_REMOVE,
  PU_OPERATOR_VOTERS_REPLACE
} pu_operator_voters_action_t;

/*
 * What the daemon gives.  Every DONE is called exactly once, with DONE_DATA,
 * at once or later; also when the daemon stops.  A hook that is NULL answers
 * "unavailable" to its path (503), where nothing else is said.
 */
typedef struct
{
  /* The newest state that this process has; never NULL, empty before
     ready.  */
  const pu_state_t *(*view) (void *data);

  /* Whether the view may be shown.  Until then each path that needs it
     answers "unavailable" (503).  NULL: always.  */
  bool (*ready) (void *data);

  /* Proposes C to the log and answers within TIMEOUT_MS.  C is the caller's
     and is gone when the hook returns.  */
  void (*propose) (const pu_command *c, guint32 timeout_ms,
                   pu_operator_reply_fn *done, void *done_data, void *data);

  /* Adds to STATUS, whose reference it takes, what the view does not know:
     "instance", "leader", "quorum", "voters" [{"name","address","role",
     "position"}] and "position" of the objects in "members".  NULL: adds
     nothing.  */
  void (*status) (json_t *status, pu_operator_json_fn *done, void *done_data,
                  void *data);

  /* The history, asked of a voter where the view has none (entries get no
     history).  The answer is what pu_operator_history_json makes there.
     NULL: the history of the view.  */
  void (*history) (pu_operator_json_fn *done, void *done_data, void *data);

  /* The whole state of the process, a new reference.  */
  json_t *(*dump) (void *data);

  /* Changes the set of voters; WITH is "" but for a replacement.  The answer
     is {"voters":[NAME...]}.  */
  void (*voters) (pu_operator_voters_action_t action, const char *name,
                  const char *with, pu_operator_json_fn *done, void *done_data,
                  void *data);

  /* The moves that D would cause: {"moves":[{"kind","model","version",
     "backend","memory_mb","reason"}]}.  D lives for the call only.  */
  void (*plan) (const pu_document_t *d, pu_operator_json_fn *done,
                void *done_data, void *data);

  /* Calls FN for each team whose requests are known here: its name, which is
     gone on return, and the most tokens that a request of it has stated in
     the last ten minutes.  NULL: none is known.  */
  void (*request_sizes) (void (*fn) (void *fn_data, const char *team,
                                     guint64 tokens),
                         void *fn_data, void *data);

  /* Sets the level of the process's log; false for an unknown word.  */
  bool (*set_log_level) (const char *level, void *data);

  /* Appends the counters in the common text format.  */
  void (*metrics) (GString *out, void *data);

  void *data;
} pu_operator_hooks_t;

/* An operator's key and the name of who holds it.  */
typedef struct
{
  const char *name;
  const char *key;
} pu_operator_key_t;

typedef struct
{
  const pu_operator_key_t *keys; /* copied */
  size_t n_keys;
  guint32 propose_timeout_ms; /* how long a command may take */
  uv_loop_t *loop;            /* whose thread pool reads documents from
                                 PU_DOCUMENT_LONG_BYTES on for check and status; NULL:
                                 they are read at once */
  pu_operator_hooks_t hooks;
} pu_operator_options_t;

/* pu_operator_options_init - no keys, no hooks, ten seconds.  */
void pu_operator_options_init (pu_operator_options_t *o);

/* pu_operator_new - the operators' paths over the hooks of O.  Without keys
   every path that needs one is refused.  Free with pu_operator_free.  */
pu_operator_t *pu_operator_new (const pu_operator_options_t *o);

/* pu_operator_free - frees OP.  A request still waiting for a hook is
   answered when that hook calls its DONE, which needs OP no more.  */
void pu_operator_free (pu_operator_t *op);

/* pu_operator_set_keys - replaces all keys, when settings are read again.  */
void pu_operator_set_keys (pu_operator_t *op, const pu_operator_key_t *keys,
                           size_t n_keys);

/* Largest request body, in bytes: a document as an escaped JSON string.  */
#define PU_OPERATOR_BODY_MAX (2 * PU_DOCUMENT_TEXT_MAX + 4096)

typedef struct
{
  const char *method;
  const char *path;          /* without the query */
  const char *query;         /* after the `?`; "" for none */
  const char *authorization; /* the header's value, or NULL */
  const char *body;
  size_t body_len;
} pu_operator_request_t;

typedef struct
{
  const char *name;
  const char *value;
} pu_operator_header_t;

#define PU_OPERATOR_HEADERS_MAX 6

typedef struct
{
  int status;
  const char *content_type;
  pu_operator_header_t headers[PU_OPERATOR_HEADERS_MAX]; /* besides the type */
  size_t n_headers;
  const char *body;
  size_t body_len;
} pu_operator_response_t;

/* pu_operator_respond_fn - takes a response, which is gone on return.  */
typedef void pu_operator_respond_fn (const pu_operator_response_t *r,
                                     void *data);

/* pu_operator_handle - serves one request.  RESPOND is called exactly once,
   before the return or later; R is not kept.  */
void pu_operator_handle (pu_operator_t *op, const pu_operator_request_t *r,
                         pu_operator_respond_fn *respond, void *data);

/* pu_operator_history_json - a new array, newest first, of {"version",
   "change_id","author","time"}.  */
json_t *pu_operator_history_json (const pu_state_t *s);

/* pu_operator_serves - whether PATH is one of this slice's: /operator/...,
   /console... or /metrics.  */
bool pu_operator_serves (const char *path);

G_END_DECLS

#endif
