#ifndef PU_LOG_COMMIT_WATCH_H
#define PU_LOG_COMMIT_WATCH_H

#include "log/replica.h"

G_BEGIN_DECLS

/* Tells, on the leader, what holds up a commit index that does not rise while
   entries wait.  Times are in milliseconds.  */
typedef struct
{
  uint64_t commit;    /* commit index at SINCE */
  uint64_t since;     /* since when entries wait and it has not risen */
  uint64_t logged_at; /* when that was last logged; 0: not yet */
} pu_commit_watch_t;

/* pu_commit_watch_update - looks at R at NOW; call it with each tick of R.
   Writes a line a second to the log for as long as nothing is committed, with
   the last durable entry of each member, and one when that ends.  */
void pu_commit_watch_update (pu_commit_watch_t *w, const pu_replica_t *r,
                             uint64_t now);

G_END_DECLS

#endif
