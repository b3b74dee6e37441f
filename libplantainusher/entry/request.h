#ifndef PU_ENTRY_REQUEST_H
#define PU_ENTRY_REQUEST_H

#include <glib.h>
#include <stdbool.h>

#include "routing/router.h"

G_BEGIN_DECLS

/*
 * request - what a caller asks, as a front has read it.
 *
 * The request core works on this alone: how it came in, and how a backend
 * server is told of it, is the front's matter (front.h).
 */

/* How an answer is passed on.  */
typedef enum
{
  PU_RESPONSE_TOKENS,  /* a completion: a stream of events that hold tokens as
                        JSON, or a whole answer */
  PU_RESPONSE_EVENTS,  /* a stream of numbered events whose content is the
                        caller's matter, or a whole answer */
  PU_RESPONSE_BUFFERED /* gathered, then passed on as it is */
} pu_answer_kind_t;

typedef struct
{
  char *id;
  char *method;
  char *target;  /* path and query at the backend server */
  char *service; /* whose backend servers run it */
  char *route;   /* whose limits, targets and retries count for it: a row of
                    the router's services */
  char *model;   /* "" for a plain service */
  GPtrArray *headers; /* names and values to pass on, in turn */
  GBytes *body;
  pu_answer_kind_t answer;
  bool plain;         /* to a plain service */
  bool stream;        /* the caller wants a stream */
  bool repeatable;    /* may run more than once */
  bool resumable;     /* a cut stream may go on at another backend server */
  bool here;          /* any entry serves it: it is never relayed */
  guint priority;     /* 0..9, 9 first */
  guint attempts_max; /* backend servers that it may be sent to; 0: as the
                         router has it */
  guint64 arrived;    /* loop time, ms */
  guint64 deadline;   /* loop time, ms: an answer after it is of no use */
  guint64 leaves;     /* loop time, ms: the caller goes then if it has had no
                         first event; 0: at the deadline */
  guint target_ms;    /* to the first event or the whole answer; 0: none */
  guint gap_ms;       /* longest pause between events on target; 0: none */
  guint prompt_tokens;
  guint max_tokens;
  guint64 prefix[PU_ROUTER_PREFIX_MAX];      /* chained hashes of the prompt */
  guint prefix_tokens[PU_ROUTER_PREFIX_MAX]; /* of the prompt up to the end of
                                                each; unset where all blocks
                                                are of one size */
  guint n_prefix;
  bool has_prefix_tokens; /* prefix_tokens is set */
  guint64 fingerprint;    /* of what makes two requests the same */
  guint shared_tokens;    /* that the prompts of one affinity begin with */
  guint64 affinity_key;   /* of what it shares with others: such requests go to
                         the same copy where it is as good as any; 0: the
                         fingerprint */
  guint64 after; /* number of the last event that the caller has had */
} pu_request_t;

/* pu_request_add_header - one header more to pass on.  */
void pu_request_add_header (pu_request_t *q, const char *name,
                            const char *value);

/* pu_request_init, pu_request_clear - an empty request, and its end.  */
void pu_request_init (pu_request_t *q);
void pu_request_clear (pu_request_t *q);

G_END_DECLS

#endif
