#include "control/pace.h"

static uint64_t
due_of (const pu_pace_t *p, pu_pace_urgency_t news, uint64_t now)
{
  switch (news)
    {
    case PU_PACE_IMMEDIATE:
      return now;
    case PU_PACE_RATE_LIMITED:
      return MAX (now, p->told_at + PU_PACE_SOON_MS);
    case PU_PACE_BATCHED:
      return now + p->gather_ms;
    }
  return now;
}

uint64_t
pu_pace_news (pu_pace_t *p, pu_pace_urgency_t news, uint64_t now)
{
  uint64_t due = due_of (p, news, now);

  p->due = p->waits ? MIN (p->due, due) : due;
  p->waits = true;
  return p->due > now ? p->due - now : 0;
}

void
pu_pace_tell (pu_pace_t *p, uint64_t position, uint64_t now)
{
  p->told = MAX (p->told, position);
  p->told_at = now;
  p->waits = false;
}

bool
pu_pace_is_late (const pu_pace_t *p, uint64_t position)
{
  return position < p->told;
}
