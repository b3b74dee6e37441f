#include <gtest/gtest.h>

extern "C"
{
#include "control/pace.h"
}

namespace
{

constexpr uint32_t gather = 250;
constexpr uint64_t soon = PU_PACE_SOON_MS;

pu_pace_t
Pace ()
{
  pu_pace_t p = {};

  p.gather_ms = gather;
  return p;
}

TEST (Pace, FirstNewsAfterAPauseGoesAtOnce)
{
  pu_pace_t p = Pace ();

  EXPECT_EQ (0U, pu_pace_news (&p, PU_PACE_RATE_LIMITED, 10000));
  pu_pace_tell (&p, 1, 10000);
  EXPECT_EQ (0U, pu_pace_news (&p, PU_PACE_RATE_LIMITED, 10000 + soon));
}

/* 3,000 backend servers check in within three seconds: those who poll are told
   thirty times, not 3,000 times.  */
TEST (Pace, RushIsToldInFewAnswers)
{
  pu_pace_t p = Pace ();
  uint64_t position = 0, due = 0, longest = 0, oldest = 0;
  int told = 0;

  for (uint64_t now = 10000; now < 13000; now++)
    {
      if (p.waits && now >= due)
        {
          pu_pace_tell (&p, position, now);
          longest = MAX (longest, now - oldest);
          told++;
        }
      if (!p.waits)
        oldest = now;
      position++;
      due = now + pu_pace_news (&p, PU_PACE_RATE_LIMITED, now);
    }
  EXPECT_LE (told, 31);
  EXPECT_GE (told, 28);
  EXPECT_LE (longest, soon);
}

TEST (Pace, DocumentDoesNotWaitAndTakesAlongWhatDoes)
{
  pu_pace_t p = Pace ();

  pu_pace_tell (&p, 1, 10000);
  EXPECT_EQ (soon - 10, pu_pace_news (&p, PU_PACE_RATE_LIMITED, 10010));
  EXPECT_EQ (0U, pu_pace_news (&p, PU_PACE_IMMEDIATE, 10020));
  pu_pace_tell (&p, 3, 10020);
  EXPECT_FALSE (p.waits);
}

/* What comes later doesn't put off what waits.  */
TEST (Pace, ChangesOfCopiesAreGatheredButNotForEver)
{
  pu_pace_t p = Pace ();

  EXPECT_EQ (gather, pu_pace_news (&p, PU_PACE_BATCHED, 10000));
  EXPECT_EQ (gather - 100, pu_pace_news (&p, PU_PACE_BATCHED, 10100));
  EXPECT_EQ (0U, pu_pace_news (&p, PU_PACE_RATE_LIMITED, 10110));
}

/* One that was on its way while the others were told is not made to wait; one
   that has what they have waits with them.  */
TEST (Pace, WhoLacksWhatOthersWereToldIsLate)
{
  pu_pace_t p = Pace ();

  pu_pace_tell (&p, 7, 10000);
  pu_pace_news (&p, PU_PACE_RATE_LIMITED, 10010);
  EXPECT_TRUE (pu_pace_is_late (&p, 6));
  EXPECT_FALSE (pu_pace_is_late (&p, 7));
}

}
