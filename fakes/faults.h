#ifndef FAKES_FAULTS_H
#define FAKES_FAULTS_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * faults - switches of a fake, set by POST /fake/fault.
 *
 * Body: {"kind":K,"count":times (absent: until cleared),"n":tokens,"ms":ms,
 * "text":T}; {"kind":"clear"} clears all.
 */

typedef enum
{
  FAKE_DROP_REPORTS,  /* a report is not sent */
  FAKE_LAG_REPORTS,   /* reports carry the load of `ms` ago */
  FAKE_KV_GAP,        /* a KV-cache event is lost */
  FAKE_SILENT,        /* nothing more on connections accepted so far */
  FAKE_TRUNCATE,      /* the connection is cut after `n` tokens */
  FAKE_FOREIGN,       /* another request's id and text */
  FAKE_DUPLICATE,     /* each token twice ("duplicate_tokens") */
  FAKE_REORDER,       /* each two tokens swapped ("reorder_tokens") */
  FAKE_REJECT,        /* 503, not run */
  FAKE_LOSE_ORDERS,   /* an order has no effect and no answer */
  FAKE_FORGET_ORDERS, /* an order has no effect but is answered 202 */
  FAKE_LATE_ORDERS,   /* an order takes effect `ms` later */
  FAKE_LOAD_FAIL,     /* a load ends with no copy */
  FAKE_CRASH_ON,      /* abort when a prompt with `text` starts to run */
  FAKE_SLOW,          /* `ms` more for each step or call */
  FAKE_DIE_BEFORE,    /* plain service: exit before a call runs */
  FAKE_DIE_AFTER,     /* plain service: exit after a call ran, no answer */
  FAKE_FAULTS
} fake_fault_kind_t;

typedef struct
{
  guint left; /* times; G_MAXUINT: until cleared */
  guint n;
  guint ms;
  char *text;
  guint64 connection; /* that the switch came on */
} fake_fault_t;

typedef struct
{
  fake_fault_t table[FAKE_FAULTS];
} fake_faults_t;

/* fake_faults_set - reads the body of a switch that came on the connection of
   number CONNECTION; false when it is no such.  */
bool fake_faults_set (fake_faults_t *f, const char *body, size_t len,
                      guint64 connection);

/* fake_faults_switch - sets KIND until cleared, from an option.  */
void fake_faults_switch (fake_faults_t *f, fake_fault_kind_t kind,
                         const char *text);

/* fake_faults_on - whether KIND is on; does not use it up.  */
const fake_fault_t *fake_faults_on (const fake_faults_t *f,
                                    fake_fault_kind_t kind);

/* fake_faults_take - the same, and uses up one time.  */
const fake_fault_t *fake_faults_take (fake_faults_t *f,
                                      fake_fault_kind_t kind);

void fake_faults_clear (fake_faults_t *f);

G_END_DECLS

#endif
