#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "entry/events.h"
}

namespace
{

constexpr gsize MAX_BYTES = 1024 * 1024;

struct Caller
{
  std::string got;
  guint events = 0;
};

void
on_events (void *data, const char *bytes, gsize len, guint n)
{
  Caller *c = static_cast<Caller *> (data);

  c->got.append (bytes, len);
  c->events += n;
}

std::string
event (guint id)
{
  return "id: " + std::to_string (id) + "\ndata: x\n\n";
}

/* Feeds UNIT again and again until the filter ends the stream, for 4 MB at
   most; returns the bytes that it took.  */
gsize
taken_without_end (pu_event_filter_t *f, const std::string &unit)
{
  gsize n = 0;

  while (n < 4000000 && pu_event_filter_feed (f, unit.data (), unit.size ()))
    n += unit.size ();
  return n;
}

} // namespace

TEST (Events, StreamThatBringsNothingNewWithoutEndIsBroken)
{
  for (const char *unit :
       { ": x\n\n", ": x\n", "\n", "retry: 1\n\n", "id: 1\ndata: x\n\n" })
    {
      Caller c;
      pu_event_filter_t *f = pu_event_filter_new (0, MAX_BYTES, on_events, &c);
      const std::string first = event (1);

      EXPECT_TRUE (pu_event_filter_feed (f, first.data (), first.size ()));
      EXPECT_LE (taken_without_end (f, unit), MAX_BYTES) << unit;
      EXPECT_EQ (c.events, 1u) << unit;
      pu_event_filter_free (f);
    }
}

TEST (Events, CommentsBetweenEventsAreSound)
{
  Caller c;
  pu_event_filter_t *f = pu_event_filter_new (0, MAX_BYTES, on_events, &c);

  for (guint i = 1; i <= 100; i++)
    {
      const std::string one = std::string (2000, ':') + "\n\n" + event (i);

      ASSERT_TRUE (pu_event_filter_feed (f, one.data (), one.size ()));
    }
  EXPECT_EQ (c.events, 100u);
  pu_event_filter_free (f);
}

TEST (Events, LongReplayIsSound)
{
  Caller c;
  pu_event_filter_t *f = pu_event_filter_new (20000, MAX_BYTES, on_events, &c);

  for (guint i = 1; i <= 20001; i++)
    {
      const std::string one = event (i);

      ASSERT_TRUE (pu_event_filter_feed (f, one.data (), one.size ()));
    }
  EXPECT_EQ (c.got, event (20001));
  pu_event_filter_free (f);
}

TEST (Events, EventsWithoutIdsAreSound)
{
  Caller c;
  pu_event_filter_t *f = pu_event_filter_new (0, MAX_BYTES, on_events, &c);

  EXPECT_GE (taken_without_end (f, "data: x\n\n"), 4000000u);
  pu_event_filter_free (f);
}
