#include "control/pace.h"

static uint64_t
due_time (const pu_pace_t *p, pu_pace_urgency_t urgency, uint64_t now)
{
  switch (urgency)
    {
    case PU_PACE_IMMEDIATE:
      return now;
    case PU_PACE_RATE_LIMITED:
      return MAX (now, p->sent_at + PU_PACE_MIN_INTERVAL_MS);
    case PU_PACE_BATCHED:
      return now + p->gather_ms;
    }
  return now;
}

uint64_t
pu_pace_schedule (pu_pace_t *p, pu_pace_urgency_t urgency, uint64_t now)
{
  uint64_t due = due_time (p, urgency, now);

  p->due = p->pending ? MIN (p->due, due) : due;
  p->pending = true;
  return p->due > now ? p->due - now : 0;
}

void
pu_pace_mark_sent (pu_pace_t *p, uint64_t position, uint64_t now)
{
  p->sent_position = MAX (p->sent_position, position);
  p->sent_at = now;
  p->pending = false;
}

bool
pu_pace_is_stale (const pu_pace_t *p, uint64_t position)
{
  return position < p->sent_position;
}
