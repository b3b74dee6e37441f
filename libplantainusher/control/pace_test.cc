#include <gtest/gtest.h>

extern "C"
{
#include "control/pace.h"
}

namespace
{

constexpr uint32_t gather_ms = 250;
constexpr uint64_t min_interval_ms = PU_PACE_MIN_INTERVAL_MS;

pu_pace_t
new_pace ()
{
  pu_pace_t p = {};

  p.gather_ms = gather_ms;
  return p;
}

TEST (Pace, FirstChangeAfterAPauseIsSentAtOnce)
{
  pu_pace_t p = new_pace ();

  EXPECT_EQ (0U, pu_pace_schedule (&p, PU_PACE_RATE_LIMITED, 10000));
  pu_pace_mark_sent (&p, 1, 10000);
  EXPECT_EQ (0U, pu_pace_schedule (&p, PU_PACE_RATE_LIMITED,
                                   10000 + min_interval_ms));
}

/* 3,000 backend servers check in within three seconds.  Each pending poll must
   get about thirty notifications, not 3,000.  */
TEST (Pace, BurstOfChangesIsSentInFewNotifications)
{
  pu_pace_t p = new_pace ();
  uint64_t position = 0, due = 0, longest_delay = 0, oldest_pending = 0;
  int notifications = 0;

  for (uint64_t now = 10000; now < 13000; now++)
    {
      if (p.pending && now >= due)
        {
          pu_pace_mark_sent (&p, position, now);
          longest_delay = MAX (longest_delay, now - oldest_pending);
          notifications++;
        }
      if (!p.pending)
        oldest_pending = now;
      position++;
      due = now + pu_pace_schedule (&p, PU_PACE_RATE_LIMITED, now);
    }
  EXPECT_LE (notifications, 31);
  EXPECT_GE (notifications, 28);
  EXPECT_LE (longest_delay, min_interval_ms);
}

TEST (Pace, DocumentIsSentAtOnceWithAllPendingChanges)
{
  pu_pace_t p = new_pace ();

  pu_pace_mark_sent (&p, 1, 10000);
  EXPECT_EQ (min_interval_ms - 10,
             pu_pace_schedule (&p, PU_PACE_RATE_LIMITED, 10010));
  EXPECT_EQ (0U, pu_pace_schedule (&p, PU_PACE_IMMEDIATE, 10020));
  pu_pace_mark_sent (&p, 3, 10020);
  EXPECT_FALSE (p.pending);
}

/* Later changes must not postpone a pending notification.  */
TEST (Pace, ChangesOfCopiesAreBatchedForALimitedTime)
{
  pu_pace_t p = new_pace ();

  EXPECT_EQ (gather_ms, pu_pace_schedule (&p, PU_PACE_BATCHED, 10000));
  EXPECT_EQ (gather_ms - 100, pu_pace_schedule (&p, PU_PACE_BATCHED, 10100));
  EXPECT_EQ (0U, pu_pace_schedule (&p, PU_PACE_RATE_LIMITED, 10110));
}

/* A poll that arrives just after a notification lacks its entries and must not
   wait for the next one; a poll that has these entries waits.  */
TEST (Pace, ReaderThatMissedANotificationIsStale)
{
  pu_pace_t p = new_pace ();

  pu_pace_mark_sent (&p, 7, 10000);
  pu_pace_schedule (&p, PU_PACE_RATE_LIMITED, 10010);
  EXPECT_TRUE (pu_pace_is_stale (&p, 6));
  EXPECT_FALSE (pu_pace_is_stale (&p, 7));
}

}
