#ifndef PU_ENTRY_REQUEST_H
#define PU_ENTRY_REQUEST_H

#include <glib.h>
#include <stdbool.h>

#include "routing/router.h"

G_BEGIN_DECLS

/* The most parts of a prompt to which crashes are attributed.  */
#define PU_REQUEST_PARTS_MAX 32

/*
 * request - a caller's request as read by a frontend.
 *
 * The request core, which admits, routes and retries requests, uses only the
 * fields of pu_request_t.  Only the frontend (front.h) knows the protocol in
 * which the request arrived and the protocol of the backend servers.
 *
 * A "plain service" is a service whose backend servers serve no models.
 */

/* How a response is forwarded.  */
typedef enum
{
  PU_RESPONSE_TOKENS,  /* a completion: a stream of events with tokens in JSON,
                          or a buffered response */
  PU_RESPONSE_EVENTS,  /* a stream of numbered events with opaque content, or a
                        buffered response */
  PU_RESPONSE_BUFFERED /* buffered, then forwarded unchanged */
} pu_response_kind_t;

typedef struct
{
  char *id;
  char *method;
  char *target;       /* path and query at the backend server */
  char *service;      /* its backend servers run the request */
  char *route;        /* name of the router's service whose limits, targets and
                         retries apply; NULL: `service` */
  char *model;        /* "" for a plain service */
  GPtrArray *headers; /* alternating names and values to forward */
  GBytes *body;
  pu_response_kind_t answer;
  bool plain;            /* for a plain service */
  bool stream;           /* the caller wants a stream */
  bool repeatable;       /* may run more than once */
  bool resumable;        /* a broken stream may be resumed at another backend
                            server */
  bool any_entry;        /* any entry serves it: it is relayed only by one that
                            reaches no backend server */
  bool crash_tracked;    /* crashes of backend servers are attributed to it;
                            needs a fingerprint */
  char *team;            /* whose key the caller sent, as the document names
                            it; NULL: none */
  bool team_checked;     /* the key was looked for, by this entry or by one
                            that relayed the request */
  guint64 team_cost;     /* units of the allowance of `team`; 0: nothing is to
                            be taken */
  guint64 team_tokens;   /* that the request states; 0: none, or its team's
                            allowance is not charged */
  bool team_charged;     /* they were taken from the allowance, or nothing is
                            to be taken: on a public route, or as the entry
                            that relayed the request has done it */
  guint priority;        /* 0 to 9; 9 is served first */
  bool cost_of_delay;    /* its rank at engines tells how urgent it is */
  guint attempts_max;    /* how many backend servers it may be sent to; 0: the
                            router's default */
  guint64 arrived;       /* loop time, ms */
  guint64 deadline;      /* loop time, ms: a later response is useless */
  guint64 disconnect_at; /* loop time, ms, when the caller disconnects if it
                      has not received a first event; 0: at the deadline */
  guint target_ms; /* target for the time to the first event or to a buffered
                      response; 0: none */
  guint gap_ms;    /* target for the longest gap between events; 0: none */
  guint prompt_tokens;
  guint max_tokens;
  guint64 prefix[PU_ROUTER_PREFIX_MAX]; /* chained hashes of the blocks of the
                                           prompt */
  guint prefix_tokens[PU_ROUTER_PREFIX_MAX]; /* tokens of the prompt up to
                                                the end of each block; not set
                                                if all blocks have one size */
  guint n_prefix;
  bool has_prefix_tokens;              /* prefix_tokens is set */
  guint64 parts[PU_REQUEST_PARTS_MAX]; /* hashes of the parts of the prompt
                                          that other requests may share, see
                                          pu_parts_hash */
  guint n_parts;
  guint64 fingerprint;  /* equal for identical requests */
  guint shared_tokens;  /* length of the prompt prefix that requests with the
                           same affinity share */
  guint64 affinity_key; /* hash of the shared prefix: requests with the same
                           value go to the same copy unless another is
                           better; 0: the fingerprint is used */
  guint64 last_event;   /* number of the last event that the caller received */
  guint64 resumable_until; /* loop time, ms, until which its caller may resume
                              its stream with another request; 0: until its
                              deadline */
  char *resumes; /* id of the caller's request that brought the first event
                    of the stream which this one resumes; NULL: none */
} pu_request_t;

/* pu_request_add_header - adds a header to forward.  Copies NAME and
   VALUE.  */
void pu_request_add_header (pu_request_t *q, const char *name,
                            const char *value);

/* pu_header_is_of_relay - whether NAME begins with X-Relay-: such headers pass
   between entries only, and are not forwarded to backend servers.  */
bool pu_header_is_of_relay (const char *name);

/* pu_request_init - makes Q an empty request; pu_request_clear frees what Q
   owns.  */
void pu_request_init (pu_request_t *q);
void pu_request_clear (pu_request_t *q);

G_END_DECLS

#endif
