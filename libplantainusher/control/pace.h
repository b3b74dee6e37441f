#ifndef PU_CONTROL_PACE_H
#define PU_CONTROL_PACE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * pace - when a voter tells those who poll it what is new.
 *
 * A core.  The load that it answers: thousands of backend servers check in
 * within seconds, or hundreds of instances start.  Told one by one, each
 * record costs an answer and a poll for each daemon; an answer with a hundred
 * records costs little more than one with one.  So the first news after a
 * pause goes at once, and what follows is gathered.
 */

/* Least time between two tellings of all else but documents, ms.  Who comes
   and goes is to be known before requests fail of it.  */
#define PU_PACE_SOON_MS 100

typedef enum
{
  PU_PACE_IMMEDIATE,    /* a document: in force everywhere within seconds */
  PU_PACE_RATE_LIMITED, /* at once after a pause, else gathered */
  PU_PACE_BATCHED /* always gathered: a change of copies, which costs less
                      than half of the bytes of its answer and poll */
} pu_pace_urgency_t;

typedef struct
{
  uint32_t gather_ms; /* PU_PACE_BATCHED waits for so long */
  uint64_t told;      /* up to this position all who wait were told */
  uint64_t told_at;   /* when, ms */
  uint64_t due;       /* when the rest is to be told, ms; with WAITS */
  bool waits;
} pu_pace_t;

/* pu_pace_news - there is something NEW.  Returns the ms from NOW until it,
   and all that waits, is to be told.  */
uint64_t pu_pace_news (pu_pace_t *p, pu_pace_urgency_t news, uint64_t now);

/* pu_pace_tell - now is when all up to POSITION is told.  */
void pu_pace_tell (pu_pace_t *p, uint64_t position, uint64_t now);

/* pu_pace_is_late - whether a reader that has all up to POSITION lacks what
   others were told, and so is not to wait with them.  */
bool pu_pace_is_late (const pu_pace_t *p, uint64_t position);

G_END_DECLS

#endif
