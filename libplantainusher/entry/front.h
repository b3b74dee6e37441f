#ifndef PU_ENTRY_FRONT_H
#define PU_ENTRY_FRONT_H

#include "document/document.h"
#include "entry/request.h"
#include "http/response.h"
#include "http/server.h"

G_BEGIN_DECLS

/*
 * front - the protocol of callers and backend servers, as far as the request
 * core has to know it.
 *
 * The entry has a front of its own (own_front.c: the completions interface).
 * Another one is given in pu_entry_options_t; then all requests at the
 * callers' address are read by it.  A front translates and decides nothing.
 */

/* Which outcome a refusal or failure tells.  */
typedef enum
{
  PU_RUN_OUTCOME_NOT_RUN,
  PU_RUN_OUTCOME_RAN,
  PU_RUN_OUTCOME_UNKNOWN
} pu_run_outcome_t;

typedef struct
{
  int status;
  const char *type; /* a word for programs */
  pu_run_outcome_t outcome;
  guint retry_after_ms; /* 0: no header */
} pu_refusal_t;

/* What a backend server is to be told with one attempt.  */
typedef struct
{
  const pu_request_t *request;
  const char *server; /* name of the backend server that is meant */
  guint64 left_ms;    /* until the deadline */
  guint64 after;      /* number of the last event that the caller has */
} pu_attempt_params_t;

/* The head of a message in the making.  */
typedef struct
{
  GArray *headers;  /* of pu_http_header_t */
  GPtrArray *owned; /* strings that live as long as the head */
} pu_header_list_t;

void pu_header_list_init (pu_header_list_t *h);
void pu_header_list_clear (pu_header_list_t *h);

/* pu_header_list_add - NAME and VALUE are not copied.  */
void pu_header_list_add (pu_header_list_t *h, const char *name,
                         const char *value);
void pu_header_list_add_number (pu_header_list_t *h, const char *name,
                                guint64 value);

/* What the head of a backend server's answer says.  */
typedef struct
{
  bool foreign;   /* it answers another request */
  bool not_run;   /* it says that this request did not run */
  bool absent;    /* not run, for want of the model or adapter */
  bool elsewhere; /* not run: another process has the address now */
  bool stream;    /* its body is a stream of events */
  bool failed;    /* it ran the request and failed */
} pu_response_class_t;

typedef struct
{
  /* Reads HTTP into Q, which is empty; false: HTTP is answered.  */
  bool (*read) (void *data, const pu_document_t *d, pu_http_request_t *http,
                pu_request_t *q);
  /* The id that HTTP brings, or NULL.  */
  const char *(*id) (void *data, pu_http_request_t *http);
  /* Answers HTTP, of the request ID (may be NULL), with a refusal.  */
  void (*refuse) (void *data, pu_http_request_t *http, const char *id,
                  const pu_refusal_t *r, const char *message);
  /* Adds what an attempt's head says beside the headers that are passed on. */
  void (*head) (void *data, const pu_attempt_params_t *f, pu_header_list_t *h);
  /* Reads the head R of an answer to Q by the backend server SERVER.  */
  void (*answer) (void *data, const pu_request_t *q, const char *server,
                  const pu_http_response_t *r, pu_response_class_t *a);
  void *data;
} pu_frontend_t;

G_END_DECLS

#endif
