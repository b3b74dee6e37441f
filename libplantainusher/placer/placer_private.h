#ifndef PU_PLACER_PRIVATE_H
#define PU_PLACER_PRIVATE_H

#include "placer/follow.h"
#include "placer/placer.h"
#include "placer/send.h"

G_BEGIN_DECLS

/* What the files of this slice share.  Private to it.  */

#define PU_PLACER_PART "placer"

/* A RESERVE whose answer is to come.  */
typedef struct
{
  pu_placer_t *placer;
  guint64 lead; /* of the placer, when it was proposed */
  guint32 id;
  guint32 backend;
  guint32 copy;
} pu_placer_reserve_t;

typedef struct
{
  pu_counter_t plans;
  pu_counter_t reserves;
  pu_counter_t refused;
  pu_counter_t sends;
  pu_counter_t lost;
  pu_counter_t releases;
  pu_counter_t failures;
} pu_placer_counters_t;

struct pu_placer
{
  pu_placer_options_t o;
  pu_follow_t *follow; /* while it leads; else NULL */
  pu_sends_t *sends;
  GHashTable *awaited; /* set of pu_placer_reserve_t of this lead */
  GArray *actions;     /* scratch, of pu_orders_action_t */
  guint64 lead;        /* counts the take-overs */
  guint64 next_plan;
  pu_placer_counters_t c;
};

/* pu_placer_status_of - pu_placer_status of F, which is NULL on a voter that
   does not lead.  */
json_t *pu_placer_status_of (const pu_follow_t *f, guint64 now);

/* pu_placer_reason - the part of TEXT, a move as the planner explains it, that
   says why.  */
const char *pu_placer_reason (const char *text);

G_END_DECLS

#endif
