#ifndef PU_BASE_MEMORY_BUDGET_H
#define PU_BASE_MEMORY_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * memory_budget - decides from the memory that a process uses what it no
 * longer accepts.
 *
 * Load pattern: a crowd of callers, or of daemons that lack the same state,
 * fills queues and buffers faster than they drain.  A process that exceeds its
 * limit is ended by the system and takes all its requests with it, so it
 * refuses new work before: bulk transfers first, which are repeated at no loss
 * for callers, then new requests.  What keeps a leader elected and requests in
 * progress is never refused.
 *
 * What is held of requests that are not whole yet is counted as it arrives and
 * takes at most a share of the limit.  The last part of the share is for
 * requests of at most PU_MEMORY_SMALL_REQUEST bytes.  The large bodies of
 * requests in progress have a share of their own: backend servers that read
 * them slowly must not keep small requests out.
 *
 * The decision does no I/O and reads no clock; the functions that read what
 * the system knows are apart from it.
 */

#define PU_MEMORY_SMALL_REQUEST 65536

typedef enum
{
  PU_MEMORY_NORMAL,
  PU_MEMORY_HOLD_BULK,      /* bulk transfers to daemons wait */
  PU_MEMORY_REFUSE_REQUESTS /* the same, and new requests are refused */
} pu_memory_level_t;

typedef struct
{
  uint64_t limit; /* bytes; 0: none */
  uint64_t used;  /* bytes, as of the last update */
  pu_memory_level_t level;
  uint64_t arriving; /* bytes held of requests that are not whole */
  uint64_t refused;  /* requests refused before they were whole, for room */
} pu_memory_budget_t;

/* pu_memory_budget_update - sets the use to USED bytes.  Returns whether the
   level changed.  A level ends only when the use is clearly below the share
   of the limit at which it began.  */
bool pu_memory_budget_update (pu_memory_budget_t *m, uint64_t used);

/* pu_memory_budget_reached - whether M, which may be NULL, is at LEVEL or
   above.  */
bool pu_memory_budget_reached (const pu_memory_budget_t *m,
                               pu_memory_level_t level);

/* pu_memory_arriving_max - the most that the requests of more than
   PU_MEMORY_SMALL_REQUEST bytes may hold together while they arrive, in bytes;
   UINT64_MAX when M, which may be NULL, has no limit.  */
uint64_t pu_memory_arriving_max (const pu_memory_budget_t *m);

/* pu_memory_arriving_fits - whether a request that holds HELD bytes, which are
   counted, may take MORE.  M may be NULL.  */
bool pu_memory_arriving_fits (const pu_memory_budget_t *m, uint64_t held,
                              uint64_t more);

/* pu_memory_arriving_move - a request that held BEFORE bytes holds AFTER.  M
   may be NULL.  */
void pu_memory_arriving_move (pu_memory_budget_t *m, uint64_t before,
                              uint64_t after);

/* pu_memory_answers_max - the most that the responses which are kept until
   they are complete may take together, in bytes; UINT64_MAX when M, which may
   be NULL, has no limit.  */
uint64_t pu_memory_answers_max (const pu_memory_budget_t *m);

/* pu_memory_bodies_max - the most that the bodies of more than
   PU_MEMORY_SMALL_REQUEST bytes of requests in progress may have together, in
   bytes; UINT64_MAX when M, which may be NULL, has no limit.  */
uint64_t pu_memory_bodies_max (const pu_memory_budget_t *m);

/* pu_memory_unread_max - the most that complete responses of more than
   PU_MEMORY_SMALL_REQUEST bytes may take together while callers read them, in
   bytes; UINT64_MAX when M, which may be NULL, has no limit.  */
uint64_t pu_memory_unread_max (const pu_memory_budget_t *m);

/* pu_memory_level_name - "normal", "hold bulk transfers" or "refuse
   requests".  */
const char *pu_memory_level_name (pu_memory_level_t level);

/* pu_memory_parse_resident - returns the resident bytes that STATM states, the
   content of /proc/PID/statm (proc(5)), for pages of PAGE bytes; 0 when it
   does not parse.  */
uint64_t pu_memory_parse_resident (const char *statm, uint64_t page);

/* pu_memory_parse_limit - returns the limit that TEXT states, the content of a
   cgroup's memory.max; 0 when there is none or it does not parse.  */
uint64_t pu_memory_parse_limit (const char *text);

/* pu_memory_open_resident - returns a descriptor for
   pu_memory_read_resident, or -1.  */
int pu_memory_open_resident (void);

/* pu_memory_read_resident - returns the resident bytes of this process; 0 when
   they are not known.  */
uint64_t pu_memory_read_resident (int fd);

/* pu_memory_cgroup_limit - returns the memory limit of this process's cgroup
   (version 2), in bytes; 0 when there is none.  */
uint64_t pu_memory_cgroup_limit (void);

G_END_DECLS

#endif
