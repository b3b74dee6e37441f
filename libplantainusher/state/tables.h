#ifndef PU_STATE_TABLES_H
#define PU_STATE_TABLES_H

#include "state/codec.h"
#include "state/memory.h"
#include "state/recent.h"
#include "state/state.h"

G_BEGIN_DECLS

/*
 * tables - the records behind pu_state_t, shared by the files of this slice.
 */

struct pu_state
{
  pu_state_options_t options;
  uint64_t position;
  uint64_t view;
  uint64_t changes;
  uint64_t whole;         /* number of the last change that pu_recent can't
                             tell: an image, or a record that went */
  uint64_t claim_wall;    /* latest wall time that a claim carried */
  GQueue *documents;      /* of pu_doc_record *, newest first */
  GHashTable *change_ids; /* change id -> pu_doc_record * in documents */
  GTree *members;         /* name -> pu_member_record * */
  GTree *backends;        /* name -> pu_backend_record * */
  pu_recent_t *recent;    /* backend servers by their last change */
  GTree *orders;          /* &token -> pu_order_record * */
  GTree *claims;          /* "service\nkey" -> pu_claim_record * */
  GTree *open_claims;     /* &position -> record in claims, not owned */
  GTree *claim_ages;      /* record -> itself, by the end of its window */
  pu_memory_t *memory;    /* what backends and orders commit */
  GTree *suspects;        /* &fingerprint -> pu_suspect_record * */
};

/* pu_tables_init, pu_tables_clear - the empty tables, and giving them back. */
void pu_tables_init (pu_state_t *s);
void pu_tables_clear (pu_state_t *s);

/* pu_tables_put_document - makes D, which the tables take over, the newest. */
void pu_tables_put_document (pu_state_t *s, pu_doc_record *d);

/* pu_tables_note_backend - the record of NAME changes with the next count of
   changes.  */
void pu_tables_note_backend (pu_state_t *s, const char *name);

/* pu_tables_remove_backend - forgets NAME, with the next count of changes.  */
void pu_tables_remove_backend (pu_state_t *s, const char *name);

/* The others take the record over and replace one of the same key.  */
void pu_tables_put_member (pu_state_t *s, pu_member_record *m);
void pu_tables_put_backend (pu_state_t *s, pu_backend_record *b);
void pu_tables_put_order (pu_state_t *s, pu_order_record *o);
void pu_tables_put_claim (pu_state_t *s, pu_claim_record *c);
void pu_tables_put_suspect (pu_state_t *s, pu_suspect_record *p);
void pu_tables_remove_claim (pu_state_t *s, const pu_claim_record *c);

/* pu_tables_claim_phase - moves C, which is in the table, to PHASE.  */
void pu_tables_claim_phase (pu_state_t *s, pu_claim_record *c,
                            pu_claim_phase phase);

/* pu_tables_find_claim - the record that may be changed, or NULL.  */
pu_claim_record *pu_tables_find_claim (const pu_state_t *s,
                                       const char *service, const char *key);

G_END_DECLS

#endif
