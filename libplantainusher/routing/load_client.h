#ifndef PU_ROUTING_LOAD_CLIENT_H
#define PU_ROUTING_LOAD_CLIENT_H

#include "routing/load_hub.h"

G_BEGIN_DECLS

/*
 * load_client - the entry's side of the exchange of loads (load_hub.h): when
 * to send a statement to which voter, what it contains, and what the replies
 * have said.
 *
 * The first of the voters is the hub.  After a failed call or a lost reply the
 * next voter gets a whole statement at once, and after PU_LOAD_CLIENT_HOME_MS
 * the first one is tried again.  When all voters have failed in a row, there
 * is a pause.  At most one statement is outstanding.
 *
 * Pure: no I/O, no clock; `now` is monotonic milliseconds.
 */

/* A reply that takes longer counts as lost.  */
#define PU_LOAD_CLIENT_TIMEOUT_MS 150
/* The numbers of a reply are valid for this long after its statement.  */
#define PU_LOAD_CLIENT_LIFE_MS 400
#define PU_LOAD_CLIENT_HOME_MS 3000
/* Pause after all voters have failed; the longer one if all of them lack the
   procedure.  */
#define PU_LOAD_CLIENT_PAUSE_MS 500
#define PU_LOAD_CLIENT_ABSENT_PAUSE_MS 10000

typedef struct pu_load_client pu_load_client_t;

typedef struct
{
  guint interval_ms;   /* least time between two statements */
  guint64 incarnation; /* of this process */
} pu_load_client_options_t;

pu_load_client_t *pu_load_client_new (const pu_load_client_options_t *o);
void pu_load_client_free (pu_load_client_t *c);

/* pu_load_client_set_voters - the addresses of N voters in the order in which
   they are the hub.  */
void pu_load_client_set_voters (pu_load_client_t *c, const char *const *voters,
                                guint n, guint64 now);

/* pu_load_client_wake - the entry has a request.  */
void pu_load_client_wake (pu_load_client_t *c, guint64 now);

/* pu_load_client_next_at - when pu_load_client_begin is due; G_MAXUINT64: not
   before the next reply, failure, wake or change of the voters.  */
guint64 pu_load_client_next_at (const pu_load_client_t *c);

/* pu_load_client_begin - begins a statement about the N USES, all engines at
   which the entry has requests or of which it has new samples.  BUSY: the
   entry has requests, perhaps not at an engine yet.  Returns the address of
   the voter to send it to, and sets S and SINCE, which are valid until the
   next call; or NULL if none is due, or there is nothing to state.  Keeps the
   samples of USES until they are accepted.  */
const char *pu_load_client_begin (pu_load_client_t *c,
                                  const pu_load_use_t *uses, guint n,
                                  bool busy, guint64 now,
                                  pu_load_statement_t *s,
                                  pu_load_since_t *since);

/* pu_load_client_reply - the reply R to the outstanding statement.  Returns
   for how many ms from now on its numbers are valid; 0: not at all.  */
guint pu_load_client_reply (pu_load_client_t *c, const pu_load_reply_t *r,
                            guint64 now);

/* pu_load_client_failed - there is no reply to the outstanding statement.
   ABSENT: the voter does not know the procedure.  */
void pu_load_client_failed (pu_load_client_t *c, bool absent, guint64 now);

/* pu_load_client_total - returns what the last replies say of the engine ID,
   or NULL.  */
const pu_load_total_t *pu_load_client_total (const pu_load_client_t *c,
                                             guint64 id);

/* What operators see.  */
typedef struct
{
  const char *hub; /* address of the voter that replied last; "": none */
  guint64 age_ms;  /* of the last reply; G_MAXUINT64: there was none */
  guint engines;   /* of which the replies have said something */
} pu_load_client_state_t;

void pu_load_client_state (const pu_load_client_t *c, guint64 now,
                           pu_load_client_state_t *s);

G_END_DECLS

#endif
