#include "routing/witnesses.h"

void
pu_witnesses_init (pu_witnesses_t *w, guint asked, guint64 soon, guint64 until)
{
  *w = (pu_witnesses_t){ .asked = asked, .soon = soon, .until = until };
}

void
pu_witnesses_add (pu_witnesses_t *w, pu_sight_t sight)
{
  switch (sight)
    {
    case PU_SIGHT_ACCEPTS:
      w->accepted++;
      return;
    case PU_SIGHT_REFUSES:
      w->refused++;
      return;
    case PU_SIGHT_NONE:
      break;
    }
  w->unsure++;
}

bool
pu_witnesses_none_answered (const pu_witnesses_t *w)
{
  return w->accepted + w->refused + w->unsure == 0;
}

pu_witnesses_verdict_t
pu_witnesses_verdict (const pu_witnesses_t *w, guint64 now)
{
  bool all = w->accepted + w->refused + w->unsure >= w->asked;
  bool most_refused = 2 * w->refused > w->asked;

  if (w->accepted > 0)
    return PU_WITNESSES_RUNS;
  if (most_refused && (all || now >= w->soon))
    return PU_WITNESSES_CRASHED;
  return all || now >= w->until ? PU_WITNESSES_UNKNOWN : PU_WITNESSES_AWAITED;
}
