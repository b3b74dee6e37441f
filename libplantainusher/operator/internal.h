#ifndef PU_OPERATOR_INTERNAL_H
#define PU_OPERATOR_INTERNAL_H

#include "operator/operator.h"

#include "base/findings.h"

/* What the files of this slice share; nothing here is for other slices.  */

#define PU_OPERATOR_DIGEST_LEN 32

typedef struct
{
  char *name;
  guint8 digest[PU_OPERATOR_DIGEST_LEN]; /* SHA-256 of the key */
} pu_operator_stored_key_t;

/* What status tells of a document, without what is known of its copies.  */
typedef struct
{
  guint64 version; /* of the document; 0: none is kept */
  guint64 wall;
  json_t *models; /* NULL: the document can't be read here */
  json_t *services;
} pu_operator_outline_t;

struct pu_operator
{
  guint refs;   /* the owner and each exchange that waits for a hook */
  bool closed;  /* the owner is gone: hooks may not be called */
  GArray *keys; /* of pu_operator_stored_key_t */
  guint32 propose_timeout_ms;
  uv_loop_t *loop; /* NULL: no thread pool */
  pu_operator_hooks_t hooks;
  bool checking;                 /* a long document is being checked */
  GQueue checks_waiting;         /* of check_t */
  pu_operator_outline_t outline; /* of the last document that was read */
  bool outlining;                /* a document is being read */
  GQueue outlines_waiting;       /* of pu_operator_exchange_t */
  guint outlines; /* documents read for status since the start */
};

/* One request until its response, which pu_operator_exchange_* sends and with
   which the exchange ends.  */
typedef struct
{
  pu_operator_t *op; /* a reference */
  pu_operator_respond_fn *respond;
  void *data;
  char *author;     /* the name of the key's holder; "" without a key */
  char *query;      /* of the request */
  const char *body; /* valid until the handler returns */
  size_t body_len;
  json_t *document; /* submitted, for the answer to a conflict */
  json_t *warnings; /* of the submitted document */
  json_t *answer;   /* prepared before a hook was asked */
} pu_operator_exchange_t;

typedef void pu_operator_exchange_handler_fn (pu_operator_exchange_t *x);

/* Responses.  Each ends the exchange.  */
void pu_operator_exchange_send (pu_operator_exchange_t *x, int status,
                                const char *content_type, const char *body,
                                size_t len);
/* Takes the reference of BODY.  */
void pu_operator_exchange_json (pu_operator_exchange_t *x, int status,
                                json_t *body);
void pu_operator_exchange_error (pu_operator_exchange_t *x,
                                 const pu_error_t *e);
void pu_operator_exchange_fail (pu_operator_exchange_t *x,
                                pu_error_kind_t kind, const char *format, ...)
    G_GNUC_PRINTF (3, 4);
/* 401 without a key, 403 with a wrong one.  */
void pu_operator_exchange_deny (pu_operator_exchange_t *x, int status,
                                const char *message);
/* 400 with every finding; frees F.  */
void pu_operator_exchange_findings (pu_operator_exchange_t *x,
                                    pu_findings_t *f);
/* The answer of a JSON hook, passed on; DATA is the exchange.  */
void pu_operator_exchange_done_json (json_t *result, const pu_error_t *e,
                                     void *data);

/* pu_operator_exchange_argument - a new copy of the query's argument NAME,
   decoded, or NULL.  */
char *pu_operator_exchange_argument (const pu_operator_exchange_t *x,
                                     const char *name);

/* pu_operator_exchange_object - the body as a JSON object, a new reference. On
   a fault it answers 400, so that X is gone, and returns NULL.  */
json_t *pu_operator_exchange_object (pu_operator_exchange_t *x);

/* pu_operator_exchange_is_small_enough - whether a text of LEN bytes is not
   over the limit of a document; else it answers, so that X is gone.  */
bool pu_operator_exchange_is_small_enough (pu_operator_exchange_t *x,
                                           size_t len);

/* pu_operator_exchange_view - the newest state.  */
const pu_state_t *pu_operator_exchange_view (const pu_operator_exchange_t *x);

/* pu_operator_is_ready - whether the newest state may be shown.  */
bool pu_operator_is_ready (const pu_operator_t *op);

/* pu_operator_unref - gives up an exchange's reference.  */
void pu_operator_unref (pu_operator_t *op);

/* Keys.  */
void pu_operator_keys_set (GArray *keys, const pu_operator_key_t *from,
                           size_t n);
/* pu_operator_keys_find - the holder's name for an Authorization header, or
   NULL.  Takes the same time whichever key matches, or none.  */
const char *pu_operator_keys_find (const GArray *keys,
                                   const char *authorization);

/* The most names told to who gave one that is not known.  */
#define PU_OPERATOR_NEAR_MAX ((size_t)3)

/* pu_operator_time - WALL (milliseconds since 1970) in UTC as
   2026-12-02T18:30:00.123Z.  The caller frees it.  */
char *pu_operator_time (guint64 wall);

/* pu_operator_document_json - the document in force as a new JSON object, or
   NULL before the first.  */
json_t *pu_operator_document_json (const pu_state_t *s);

/* pu_operator_document_version - the version in force; 0 before the first.  */
guint64 pu_operator_document_version (const pu_state_t *s);

/* pu_operator_outline_clear - frees what O holds.  */
void pu_operator_outline_clear (pu_operator_outline_t *o);

/* Handlers by path.  */
pu_operator_exchange_handler_fn pu_operator_get_document;
pu_operator_exchange_handler_fn pu_operator_get_history;
pu_operator_exchange_handler_fn pu_operator_get_status;
pu_operator_exchange_handler_fn pu_operator_get_dump;
pu_operator_exchange_handler_fn pu_operator_get_convictions;
pu_operator_exchange_handler_fn pu_operator_check;
pu_operator_exchange_handler_fn pu_operator_submit;
pu_operator_exchange_handler_fn pu_operator_diff;
pu_operator_exchange_handler_fn pu_operator_plan;
pu_operator_exchange_handler_fn pu_operator_drain;
pu_operator_exchange_handler_fn pu_operator_voters;
pu_operator_exchange_handler_fn pu_operator_log_level;
pu_operator_exchange_handler_fn pu_operator_lift;

/* Files of the console, in generated/console_data.c.  */
typedef struct
{
  const char *path;
  const char *content_type;
  const unsigned char *data;
  size_t len;
} pu_console_file_t;

extern const pu_console_file_t pu_console_files[];
extern const size_t pu_console_n_files;

#endif
