#ifndef PU_PLACER_WIRE_H
#define PU_PLACER_WIRE_H

#include "base/findings.h"
#include "http/response.h"
#include "placement/dispatcher.h"

G_BEGIN_DECLS

/*
 * wire - how orders and reports of engines that count their orders look on
 * the wire.  It translates and decides nothing.
 */

/* An order as it is sent.  */
typedef struct
{
  pu_dispatcher_op_t op;
  const char *model;  /* the document's name of a model or adapter */
  const char *engine; /* name of the backend server that is meant */
  const char *holder; /* who gives it */
  guint64 fence;      /* rises with each leader */
  guint64 expected;   /* orders that the engine has accepted before */
} pu_wire_order_t;

/* A report as it is read.  */
typedef struct
{
  guint64 incarnation; /* whose it is; 0: not told */
  guint64 accepted;    /* orders */
  bool busy;
  guint running; /* requests */
  guint waiting;
  guint64 kv_used; /* tokens that can't yield */
  guint64 kv_total;
  GPtrArray *held;      /* names of models and adapters, owned; here and
                           below */
  GPtrArray *coming;    /* adapters on their way */
  GPtrArray *in_memory; /* models whose weights are in the host's memory */
  GPtrArray *on_disk;   /* or on its disk */
} pu_wire_report_t;

typedef struct
{
  const char *order_target;
  const char *report_target;
  /* The header that names the engine that is meant.  */
  const char *engine_header;
  /* The body of an order: a new string.  */
  char *(*order_body) (const pu_wire_order_t *o);
  /* What STATUS answers to an order.  */
  pu_dispatcher_answer_t (*order_answer) (int status);
  /* Reads a report into R, whose lists are there and empty.  False with
     findings.  */
  bool (*report_read) (const char *text, gsize len, pu_wire_report_t *r,
                       pu_findings_t *f);
} pu_order_protocol_t;

G_END_DECLS

#endif
