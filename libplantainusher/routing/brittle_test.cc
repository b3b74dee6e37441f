#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

extern "C"
{
#include "routing/brittle.h"
}

namespace
{

constexpr guint64 WINDOW_MS = 1000;

/* A server with places, and an entry that sends it as much as it may.  */
class Brittle : public ::testing::Test
{
public:
  pu_brittle_t *b = nullptr;
  guint64 now = 10000;
  guint places = 6;
  guint64 run_ms = 15;
  guint64 back_ms = 4; /* until a rejection is known */
  std::mt19937 random{ 1 };

  struct request
  {
    guint64 sent_at;
    guint64 ends_at;
    bool rejected;
  };
  std::vector<request> flight;
  std::vector<guint64> rejected;
  guint ran = 0;

  ~Brittle () override { pu_brittle_free (b); }

  guint
  running () const
  {
    return (guint)std::count_if (
        flight.begin (), flight.end (),
        [] (const request &q) { return !q.rejected; });
  }

  void
  end_requests ()
  {
    for (size_t i = 0; i < flight.size ();)
      {
        request q = flight[i];

        if (q.ends_at > now)
          {
            i++;
            continue;
          }
        flight.erase (flight.begin () + (long)i);
        if (q.rejected)
          {
            pu_brittle_rejected (b, q.sent_at, now);
          }
        else
          {
            ran++;
            pu_brittle_ended (b, q.sent_at, now);
          }
      }
  }

  void
  send_all ()
  {
    while (flight.size () < pu_brittle_limit (b, true, now))
      {
        bool full = running () >= places;

        if (full)
          rejected.push_back (now);
        flight.push_back ({ now, now + (full ? back_ms : run_ms), full });
        pu_brittle_sent (b, now);
      }
  }

  /* Plays MS milliseconds; the places change to one of CHANGES each 300 ms. */
  void
  play (guint64 ms, const std::vector<guint> &changes = {})
  {
    for (guint64 end = now + ms; now < end; now++)
      {
        if (!changes.empty () && now % 300 == 0)
          places = changes[random () % changes.size ()];
        end_requests ();
        send_all ();
      }
  }

  /* The most rejections in a second.  */
  guint
  most_rejected () const
  {
    guint most = 0;

    for (size_t i = 0; i < rejected.size (); i++)
      {
        auto end = std::lower_bound (rejected.begin (), rejected.end (),
                                     rejected[i] + WINDOW_MS);

        most = std::max (most, (guint)(end - rejected.begin () - (long)i));
      }
    return most;
  }
};

} // namespace

TEST_F (Brittle, RejectionsStayWithinTheBoundHoweverPlacesChange)
{
  for (double per_s : { 1.0, 2.0, 4.0, 10.0, 30.0 })
    {
      for (guint64 run : { 5, 15, 120, 900 })
        {
          pu_brittle_free (b);
          b = pu_brittle_new (per_s);
          run_ms = run;
          flight.clear ();
          rejected.clear ();
          play (60000, { 0, 1, 2, 3, 6, 20, 60 });
          EXPECT_LE (most_rejected (), per_s) << per_s << " " << run;
        }
    }
}

TEST_F (Brittle, PlacesThatDoNotChangeAreUsed)
{
  b = pu_brittle_new (4);
  run_ms = 900;
  play (60000);
  /* At least half of what six places bear.  */
  EXPECT_GE (ran, 60000 / 900 * 6 / 2);
}

TEST_F (Brittle, ShortRequestsAreServedWhileFewPlacesAreLeft)
{
  b = pu_brittle_new (4);
  places = 3;
  play (60000);
  EXPECT_GE (ran, 60000 / 15);
}

TEST_F (Brittle, NothingIsSentAfterAsManyRejectionsAsItsShare)
{
  b = pu_brittle_new (4);
  for (int i = 0; i < 3; i++)
    {
      EXPECT_GT (pu_brittle_limit (b, true, now), 0U);
      pu_brittle_sent (b, now);
      pu_brittle_rejected (b, now, now);
    }
  EXPECT_EQ (pu_brittle_limit (b, true, now), 0U);
  EXPECT_EQ (pu_brittle_free_at (b, now), now + WINDOW_MS);
  EXPECT_GT (pu_brittle_limit (b, true, now + WINDOW_MS), 0U);
}

TEST_F (Brittle, EntryThatIsNotTheOwnerTriesOneRequestAtATime)
{
  b = pu_brittle_new (10);
  EXPECT_EQ (pu_brittle_limit (b, false, now), 1U);
  pu_brittle_sent (b, now);
  EXPECT_EQ (pu_brittle_limit (b, false, now), 1U);
  pu_brittle_ended (b, now, now);
  EXPECT_EQ (pu_brittle_limit (b, false, now), 1U);
}

TEST_F (Brittle, CrashAfterManyRejectionsMayBeAFall)
{
  b = pu_brittle_new (4);
  pu_brittle_sent (b, now);
  pu_brittle_rejected (b, now, now);
  EXPECT_FALSE (pu_brittle_may_have_fallen (b, true, now));
  EXPECT_TRUE (pu_brittle_may_have_fallen (b, false, now));
  pu_brittle_sent (b, now);
  pu_brittle_rejected (b, now, now);
  EXPECT_TRUE (pu_brittle_may_have_fallen (b, true, now));
  EXPECT_FALSE (pu_brittle_may_have_fallen (b, true, now + 2 * WINDOW_MS));
}
