#ifndef PU_STATE_TABLES_H
#define PU_STATE_TABLES_H

#include "state/codec.h"
#include "state/memory.h"
#include "state/change_index.h"
#include "state/served.h"
#include "state/state.h"

G_BEGIN_DECLS

/*
 * tables - the records in a pu_state_t and their indexes, for the files in
 * state/ only.
 */

struct pu_state
{
  pu_state_options_t options;
  uint64_t position;
  uint64_t membership_version; /* number of changes of members */
  uint64_t changes;            /* see pu_state_change_count */
  /* Number of the last change that recent_backends does not list: a snapshot
     was loaded, or a record was removed.  */
  uint64_t last_unlisted_change;
  uint64_t latest_claim_wall;      /* latest wall time of a claim, in ms */
  GQueue *documents;               /* of pu_doc_record *, newest first */
  GHashTable *documents_by_change; /* change id -> element of documents */
  GTree *members;                  /* name -> pu_member_record * */
  GTree *backends;                 /* name -> pu_backend_record * */
  pu_change_index_t
      *recent_backends;    /* backend servers by their last change */
  GTree *orders;           /* &token -> pu_order_record * */
  GTree *claims;           /* "service\nkey" -> pu_claim_record * */
  GTree *open_claims;      /* &position -> record in claims, not owned */
  GTree *claims_by_expiry; /* record in claims -> itself, by the end of its
                              window; not owned */
  pu_memory_t *memory;     /* committed by copies and orders */
  GTree *suspects;         /* &fingerprint -> pu_suspect_record * */
  pu_served_t *served;     /* software versions that serve no more */
};

/* pu_tables_init, pu_tables_clear - create empty tables, and free them with
   their records.  */
void pu_tables_init (pu_state_t *s);
void pu_tables_clear (pu_state_t *s);

/* pu_tables_put_document - adds D as the newest document and takes ownership
   of it.  Evicts the oldest beyond history_max.  */
void pu_tables_put_document (pu_state_t *s, pu_doc_record *d);

/* pu_tables_mark_backend_changed - records that the next change, number
   s->changes + 1, changes NAME.  The caller then increments s->changes.  */
void pu_tables_mark_backend_changed (pu_state_t *s, const char *name);

/* pu_tables_remove_backend - removes NAME.  Its removal is change number
   s->changes + 1; the caller then increments s->changes.  */
void pu_tables_remove_backend (pu_state_t *s, const char *name);

/* The other put functions add a record, take ownership of it, and replace one
   with the same key.  */
void pu_tables_put_member (pu_state_t *s, pu_member_record *m);
void pu_tables_put_backend (pu_state_t *s, pu_backend_record *b);
void pu_tables_put_order (pu_state_t *s, pu_order_record *o);
void pu_tables_put_claim (pu_state_t *s, pu_claim_record *c);
void pu_tables_put_suspect (pu_state_t *s, pu_suspect_record *p);

/* pu_tables_remove_claim - removes C from the table and its indexes, and frees
   it.  */
void pu_tables_remove_claim (pu_state_t *s, const pu_claim_record *c);

/* pu_tables_set_claim_phase - sets the phase of C, which is in the table, and
   updates the index of open claims.  */
void pu_tables_set_claim_phase (pu_state_t *s, pu_claim_record *c,
                                pu_claim_phase phase);

/* pu_tables_find_claim - returns the claim for changing it, or NULL.  */
pu_claim_record *pu_tables_find_claim (const pu_state_t *s,
                                       const char *service, const char *key);

G_END_DECLS

#endif
