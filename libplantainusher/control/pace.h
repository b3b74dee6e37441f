#ifndef PU_CONTROL_PACE_H
#define PU_CONTROL_PACE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * pace - decides when a voter notifies the daemons whose polls are pending.
 *
 * It does no I/O and reads no clock: `now` is monotonic milliseconds.
 *
 * Thousands of backend servers may check in, or hundreds of instances start,
 * within seconds.  If each record were sent on its own, it would cost one
 * reply and one poll for each daemon, while a reply with a hundred records
 * costs little more than a reply with one.  So the first change after a pause
 * is sent at once, and the changes that follow are batched.
 */

/* Minimum interval between rate-limited notifications.  Short, because daemons
   must learn which instances and backend servers come and go before requests
   fail.  */
#define PU_PACE_MIN_INTERVAL_MS 100

typedef enum
{
  PU_PACE_IMMEDIATE,    /* a document, which must be in force everywhere within
                         seconds: no delay */
  PU_PACE_RATE_LIMITED, /* no delay after a pause, else rate-limited */
  PU_PACE_BATCHED /* always batched: a change of copies, whose size is less
                     than half of the reply and the poll needed to send it */
} pu_pace_urgency_t;

typedef struct
{
  uint32_t gather_ms;     /* delay of PU_PACE_BATCHED */
  uint64_t sent_position; /* all pending polls were sent entries up to it */
  uint64_t sent_at;       /* time of the last notification, ms */
  uint64_t due;           /* time of the next notification, ms, if PENDING */
  bool pending;
} pu_pace_t;

/* pu_pace_schedule - schedules the notification of a change of URGENCY.
   Returns the milliseconds from NOW until the notification, which covers all
   pending changes.  */
uint64_t pu_pace_schedule (pu_pace_t *p, pu_pace_urgency_t urgency,
                           uint64_t now);

/* pu_pace_mark_sent - records that all entries up to POSITION are sent at
   NOW, so that no change is pending.  */
void pu_pace_mark_sent (pu_pace_t *p, uint64_t position, uint64_t now);

/* pu_pace_is_stale - whether a reader at POSITION lacks entries that other
   readers were already sent, so that it must not wait for the next
   notification.  */
bool pu_pace_is_stale (const pu_pace_t *p, uint64_t position);

G_END_DECLS

#endif
