#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

extern "C"
{
#include "routing/crowded.h"
}

namespace
{

constexpr guint64 RUN_MS = 30;

/* A server with places and a queue before them, and an entry that always has
   requests for it.  */
class Crowded : public ::testing::Test
{
protected:
  struct request
  {
    guint64 sent_at;
    guint64 back_at; /* when its rejection comes */
    guint64 left;    /* time that it still runs */
    bool rejected;
  };

  pu_crowded_t *c = pu_crowded_new ();
  guint64 now = 10000;
  guint places = 6;
  guint queue = 24;
  guint others = 0; /* places and queue that requests of others take */
  std::vector<request> flight;
  guint ran = 0;
  guint rejected = 0;

  ~Crowded () override { pu_crowded_free (c); }

  guint
  accepted () const
  {
    return (guint)std::count_if (
        flight.begin (), flight.end (),
        [] (const request &q) { return !q.rejected; });
  }

  void
  send (guint most)
  {
    while (flight.size () < std::min (most, pu_crowded_limit (c)))
      {
        bool full = accepted () + others >= places + queue;

        pu_crowded_sent (c, now);
        flight.push_back ({ now, now + 2, RUN_MS, full });
      }
  }

  void
  step ()
  {
    guint running = others;

    now++;
    for (size_t i = 0; i < flight.size ();)
      {
        request &q = flight[i];
        bool ends = q.rejected && q.back_at <= now;

        if (!q.rejected && running < places)
          {
            running++;
            ends = --q.left == 0;
          }
        if (!ends)
          {
            i++;
            continue;
          }
        if (q.rejected)
          {
            rejected++;
            pu_crowded_rejected (c, q.sent_at, now);
          }
        else
          {
            ran++;
            pu_crowded_ended (c, q.sent_at, now);
          }
        flight.erase (flight.begin () + (long)i);
      }
  }

  void
  play (guint ms, guint most = 200)
  {
    for (guint i = 0; i < ms; i++)
      {
        send (most);
        step ();
      }
  }
};

TEST_F (Crowded, LimitIsWhatTheServerAccepts)
{
  play (3000);
  EXPECT_GE (pu_crowded_limit (c), places + queue);
  EXPECT_LE (pu_crowded_limit (c), places + queue + 2);
  EXPECT_GE (ran, 3000 / RUN_MS * places - places);
}

TEST_F (Crowded, LimitLearnedBesideOthersDoesNotStarveTheServer)
{
  others = places + queue;
  play (100);
  ASSERT_EQ (1U, pu_crowded_limit (c));
  others = 0;
  play (300);
  ran = 0;
  play (1000);
  EXPECT_GE (ran, 1000 / RUN_MS * places);
}

TEST_F (Crowded, LimitThatNobodyNeedsStays)
{
  guint limit;

  play (3000);
  limit = pu_crowded_limit (c);
  play (60000, 4);
  EXPECT_EQ (limit, pu_crowded_limit (c));
}

TEST_F (Crowded, ProbesOfAFullServerAreRare)
{
  places = 3;
  queue = 0;
  play (3000);
  rejected = ran = 0;
  play (10000);
  EXPECT_LE (rejected, 20U);
  EXPECT_GE (ran, 10000 / RUN_MS * places * 95 / 100);
}

TEST_F (Crowded, PlacesThatComeBackAreUsed)
{
  places = 2;
  queue = 0;
  play (10000);
  places = 12;
  play (3000);
  ran = 0;
  play (1000);
  EXPECT_GE (ran, 1000 / RUN_MS * places * 9 / 10);
}

TEST_F (Crowded, RejectionAfterAWaitInTheQueueSaysNothingOfTheRoom)
{
  pu_crowded_sent (c, now);
  pu_crowded_sent (c, now);
  pu_crowded_rejected (c, now, now + 1000);
  EXPECT_EQ (G_MAXUINT, pu_crowded_limit (c));
}

TEST_F (Crowded, OneRejectionDoesNotMakeAServerCrowded)
{
  pu_crowded_sent (c, now);
  pu_crowded_rejected (c, now, now + 2);
  EXPECT_FALSE (pu_crowded_is_found (c, now + 2));
}

TEST_F (Crowded, FewRejectionsAmongManyAnswersDoNotMakeAServerCrowded)
{
  for (int i = 0; i < 10; i++)
    {
      pu_crowded_sent (c, now);
      pu_crowded_ended (c, now, now);
    }
  for (int i = 0; i < 3; i++)
    {
      pu_crowded_sent (c, now);
      pu_crowded_rejected (c, now, now);
    }
  EXPECT_FALSE (pu_crowded_is_found (c, now));
}

TEST_F (Crowded, RejectionsOfMostRequestsMakeAServerCrowdedForAWhile)
{
  for (int i = 0; i < 3; i++)
    {
      pu_crowded_sent (c, now);
      pu_crowded_rejected (c, now, now);
    }
  EXPECT_TRUE (pu_crowded_is_found (c, now));
  EXPECT_FALSE (pu_crowded_is_found (c, now + 2000));
}

}
