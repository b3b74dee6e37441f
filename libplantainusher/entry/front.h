#ifndef PU_ENTRY_FRONT_H
#define PU_ENTRY_FRONT_H

#include "document/document.h"
#include "entry/request.h"
#include "http/response.h"
#include "http/server.h"

G_BEGIN_DECLS

/*
 * front - the frontend: the adapter between the protocol of callers and
 * backend servers and the request core.
 *
 * The entry has a built-in frontend (builtin_frontend.c: the completions
 * interface).  If the member `front` of pu_entry_options_t gives another
 * frontend, that frontend reads all requests at the callers' address.  A
 * frontend only translates between protocols.  The request core (request.h)
 * decides whether and where a request runs.
 */

/* The outcome that an error response states: whether the request ran.  */
typedef enum
{
  PU_RUN_OUTCOME_NOT_RUN,
  PU_RUN_OUTCOME_RAN,
  PU_RUN_OUTCOME_UNKNOWN
} pu_run_outcome_t;

typedef struct
{
  int status;
  const char *type; /* machine-readable error type */
  pu_run_outcome_t outcome;
  guint retry_after_ms; /* in ms; 0: no Retry-After */
} pu_refusal_t;

/* The parameters of one attempt, from which a frontend makes the headers of
   the request to the backend server.  */
typedef struct
{
  const pu_request_t *request;
  const char *server; /* name of the backend server that the attempt is for;
                         "": another entry */
  guint64 left_ms;    /* time until the deadline */
  guint rank;         /* 0..9, 0 is served first by the backend server */
  guint64 last_event; /* number of the last event that the caller received */
} pu_attempt_params_t;

/* A list of headers under construction.  */
typedef struct
{
  GArray *headers;  /* of pu_http_header_t */
  GPtrArray *owned; /* strings that are freed with the list */
} pu_header_list_t;

void pu_header_list_init (pu_header_list_t *h);
void pu_header_list_clear (pu_header_list_t *h);

/* pu_header_list_add - appends a header.  NAME and VALUE are not copied and
   must outlive H.  */
void pu_header_list_add (pu_header_list_t *h, const char *name,
                         const char *value);
void pu_header_list_add_number (pu_header_list_t *h, const char *name,
                                guint64 value);

/* The classification of the response head of a backend server.  */
typedef struct
{
  bool foreign;  /* the response is to another request */
  bool not_run;  /* the request did not run */
  bool absent;   /* not run: the server lacks the model or adapter */
  bool replaced; /* not run: another process has the address now */
  bool stream;   /* the body is a stream of events */
  bool failed;   /* the server failed to serve the request, which may have
                    run unless not_run is set */
  bool leaving;  /* the server says that it is about to stop */
  guint retry_after_ms; /* with a refusal: the server wants no request of this
                           entry for so long; 0: not stated */
  double limit_per_s;   /* requests per second that the server takes from all
                           entries together; 0: not limited */
  double rejections_per_s; /* requests per second, of all entries together,
                              that the server can reject without falling over;
                              0: any number */
} pu_response_class_t;

/* How to refuse what a document does not declare: a newer document may declare
   it, so that both are a 503 where the document may be out of date.  */
typedef struct
{
  const pu_refusal_t *not_found; /* a route, service or model */
  const pu_refusal_t *denied;    /* a key */
} pu_undeclared_t;

typedef struct
{
  /* Reads HTTP into Q, which is empty but for the time of arrival and, in a
     relay, the team.  Returns false after it responded to HTTP with an
     error.  */
  bool (*read) (void *data, const pu_document_t *d,
                const pu_undeclared_t *undeclared, pu_http_request_t *http,
                pu_request_t *q);
  /* Returns the request id that HTTP states, or NULL if it states none.  */
  const char *(*id) (void *data, pu_http_request_t *http);
  /* Responds to HTTP with the error R and the text MESSAGE.  ID is the request
     id and may be NULL.  */
  void (*refuse) (void *data, pu_http_request_t *http, const char *id,
                  const pu_refusal_t *r, const char *message);
  /* Adds the headers of the attempt F to H, which has the headers forwarded
     from the caller.  */
  void (*head) (void *data, const pu_attempt_params_t *f, pu_header_list_t *h);
  /* Classifies in A the response head R, with which the backend server SERVER
     responded to Q; SERVER is "" if another entry forwarded it.  */
  void (*answer) (void *data, const pu_request_t *q, const char *server,
                  const pu_http_response_t *r, pu_response_class_t *a);
  void *data;
} pu_frontend_t;

G_END_DECLS

#endif
