#ifndef PU_PLACER_WIRE_H
#define PU_PLACER_WIRE_H

#include "base/findings.h"
#include "http/response.h"
#include "placement/dispatcher.h"

G_BEGIN_DECLS

/*
 * wire - interface to the HTTP encoding of orders and reports, for engines
 * that count the orders they accept.  An implementation only translates; it
 * makes no decisions.
 */

/* An order to be encoded.  */
typedef struct
{
  pu_dispatcher_op_t op;
  const char *model;  /* name of the model or adapter in the document */
  const char *engine; /* name of the backend server that the order is for */
  const char *holder; /* name of the instance that sends the order */
  guint64 fence;      /* fencing token: higher for each later leader */
  guint64 expected;   /* number of orders that the engine must have accepted
                         before this one */
} pu_wire_order_t;

/* A decoded report.  */
typedef struct
{
  guint64 incarnation; /* of the engine; 0: not given */
  guint64 accepted; /* number of orders that the engine has accepted so far */
  bool busy;
  guint running;     /* running requests */
  guint waiting;     /* waiting requests */
  guint64 kv_used;   /* tokens in the KV cache that cannot be evicted */
  guint64 kv_total;  /* tokens that fit in the KV cache */
  GPtrArray *held;   /* names of loaded models and adapters; this list and the
                        following ones own their strings */
  GPtrArray *coming; /* adapters that are being loaded */
  GPtrArray *in_memory; /* models with weights in host memory */
  GPtrArray *on_disk;   /* models with weights on the host disk */
  guint left_out; /* names that are too long for a record; they are in none of
                     the lists */
} pu_wire_report_t;

typedef struct
{
  const char *order_target;  /* path for orders */
  const char *report_target; /* path for reports */
  /* Name of the header that carries the name of the addressed engine.  */
  const char *engine_header;
  /* Returns the body of the order O as a new string.  */
  char *(*order_body) (const pu_wire_order_t *o);
  /* Maps the HTTP status of the response to an order.  */
  pu_dispatcher_answer_t (*order_answer) (int status);
  /* Parses a report into R, whose lists the caller has created empty.  Returns
     false and adds to F when the report is invalid.  */
  bool (*report_read) (const char *text, gsize len, pu_wire_report_t *r,
                       pu_findings_t *f);
} pu_order_protocol_t;

G_END_DECLS

#endif
