#include "placement/copy_pace.h"

enum
{
  INTERVAL_MIN_MS = 100,
  INTERVAL_MAX_MS = 5000,
  WINDOW_MS = 250,
  QUESTIONS_MAX_PER_S = 800,
  MS_PER_S = 1000,
};

/* The most that the interval shrinks from one window to the next, as a
   fraction: askers that wait out a long interval are not seen for a while.  */
#define SHRINK_MAX 0.75

void
pu_copy_pace_init (pu_copy_pace_t *p, guint64 now)
{
  *p = (pu_copy_pace_t){ .window_started_at = now,
                         .interval_ms = INTERVAL_MIN_MS };
}

/* Ends the window at NOW: the daemons that asked in it, each once an interval,
   get an interval at which they ask QUESTIONS_MAX_PER_S times a second.  */
static void
window_end (pu_copy_pace_t *p, guint64 now)
{
  double elapsed_ms = (double)(now - p->window_started_at);
  double per_s = p->asked * MS_PER_S / elapsed_ms;
  double fitting = p->interval_ms * per_s / QUESTIONS_MAX_PER_S;
  double next = MAX (fitting, p->interval_ms * SHRINK_MAX);

  p->interval_ms = (guint32)CLAMP (next, INTERVAL_MIN_MS, INTERVAL_MAX_MS);
  p->window_started_at = now;
  p->asked = 0;
}

guint32
pu_copy_pace_add (pu_copy_pace_t *p, guint64 now)
{
  p->asked++;
  if (now >= p->window_started_at + WINDOW_MS)
    window_end (p, now);
  return p->interval_ms;
}
