#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "entry/stream.h"

namespace
{

const std::string DONE_EVENT = "data: [DONE]\n\n";

std::string
token_event (const std::string &text, const std::string &index = "",
             const std::string &id = "r")
{
  return (index.empty () ? "" : "id: " + index + "\n") + "data: {\"id\":\""
         + id + "\",\"choices\":[{\"delta\":{\"content\":\"" + text
         + "\"},\"finish_reason\":null}]}\n\n";
}

const std::string FINISH_EVENT
    = "data: {\"id\":\"r\",\"choices\":[{\"delta\":{},"
      "\"finish_reason\":\"stop\"}]}\n\n";

std::string
usage_event (int tokens)
{
  return "data: {\"id\":\"r\",\"choices\":[],\"usage\":"
         "{\"completion_tokens\":"
         + std::to_string (tokens) + "}}\n\n";
}

/* Collects what a caller receives over several attempts.  */
struct caller
{
  pu_delivered_t sent{};
  std::string received;

  caller () { pu_delivered_init (&sent); }
  ~caller () { pu_delivered_clear (&sent); }

  static void
  on_bytes (void *d, const char *bytes, gsize len, guint)
  {
    static_cast<caller *> (d)->received.append (bytes, len);
  }

  pu_stream_result_t
  attempt (const std::string &bytes, bool confirmed = false,
           std::size_t chunk_bytes = 1000)
  {
    pu_stream_t *s = pu_stream_new (&sent, confirmed, on_bytes, this);
    pu_stream_result_t result = PU_STREAM_MORE;

    for (std::size_t i = 0; i < bytes.size () && result == PU_STREAM_MORE;
         i += chunk_bytes)
      result = pu_stream_feed (s, bytes.data () + i,
                               std::min (chunk_bytes, bytes.size () - i));
    pu_stream_free (s);
    return result;
  }

  std::string
  text () const
  {
    return sent.text->str;
  }
};

TEST (Stream, CompleteStreamIsForwardedUnchanged)
{
  caller c;
  const std::string all = token_event ("a") + ": beat\n\n" + token_event ("b")
                          + FINISH_EVENT + DONE_EVENT;

  EXPECT_EQ (PU_STREAM_DONE, c.attempt (all));
  EXPECT_EQ (all, c.received);
  EXPECT_EQ ("ab", c.text ());
}

TEST (Stream, IncompleteEventIsNotForwarded)
{
  caller c;

  EXPECT_EQ (PU_STREAM_MORE,
             c.attempt (token_event ("a") + token_event ("b").substr (0, 20)));
  EXPECT_EQ (token_event ("a"), c.received);
}

TEST (Stream, ReplayContinuesAfterTheLastTokenSent)
{
  caller c;

  c.attempt (token_event ("a") + token_event ("b"));
  EXPECT_EQ (PU_STREAM_DONE,
             c.attempt (token_event ("a") + token_event ("b")
                        + token_event ("c") + FINISH_EVENT + DONE_EVENT));
  EXPECT_EQ (token_event ("a") + token_event ("b") + token_event ("c")
                 + FINISH_EVENT + DONE_EVENT,
             c.received);
}

TEST (Stream, DivergingReplayIsRejected)
{
  caller c;

  c.attempt (token_event ("a") + token_event ("b"));
  EXPECT_EQ (PU_STREAM_MISMATCH,
             c.attempt (token_event ("a") + token_event ("x")));
  EXPECT_EQ (PU_STREAM_MISMATCH,
             c.attempt (token_event ("ab") + token_event ("c")));
  EXPECT_EQ (PU_STREAM_MISMATCH, c.attempt (token_event ("a") + DONE_EVENT));
  EXPECT_EQ (token_event ("a") + token_event ("b"), c.received);
}

TEST (Stream, ConfirmedResumeIsForwardedFromItsFirstEvent)
{
  caller c;

  c.attempt (token_event ("a") + token_event ("b"));
  EXPECT_EQ (PU_STREAM_DONE,
             c.attempt (token_event ("c") + FINISH_EVENT + DONE_EVENT, true));
  EXPECT_EQ ("abc", c.text ());
}

TEST (Stream, TokenIndexesRevealDuplicatesAndGaps)
{
  caller c;

  EXPECT_EQ (PU_STREAM_MORE,
             c.attempt (token_event ("a", "0") + token_event ("a", "0")
                        + token_event ("a", "1")));
  EXPECT_EQ ("aa", c.text ());
  EXPECT_EQ (PU_STREAM_BROKEN, c.attempt (token_event ("x", "3")));
  EXPECT_EQ (PU_STREAM_DONE,
             c.attempt (token_event ("a", "1") + token_event ("b", "2")
                        + DONE_EVENT));
  EXPECT_EQ ("aab", c.text ());
}

TEST (Stream, MoreTokensThanTheUsageCountAreDuplicates)
{
  caller one;
  caller two;
  caller resumed;
  EXPECT_EQ (one.attempt (token_event ("a") + token_event ("b")
                          + usage_event (2) + DONE_EVENT),
             PU_STREAM_DONE);
  EXPECT_EQ (two.attempt (token_event ("a") + token_event ("a")
                          + token_event ("b") + usage_event (2) + DONE_EVENT),
             PU_STREAM_DUPLICATES);
  EXPECT_EQ (resumed.attempt (token_event ("a") + token_event ("b")),
             PU_STREAM_MORE);
  EXPECT_EQ (
      resumed.attempt (token_event ("c") + usage_event (1) + DONE_EVENT, true),
      PU_STREAM_DONE);
}

TEST (Stream, DroppedDuplicatesAndMergedTokensAgreeWithTheUsage)
{
  caller numbered;
  caller joined;
  EXPECT_EQ (numbered.attempt (token_event ("a", "0") + token_event ("a", "0")
                               + token_event ("b", "1") + usage_event (2)
                               + DONE_EVENT),
             PU_STREAM_DONE);
  EXPECT_EQ (
      joined.attempt (token_event ("a b") + usage_event (2) + DONE_EVENT),
      PU_STREAM_DONE);
}

TEST (Stream, EventOfAnotherCompletionIsRejected)
{
  caller c;

  EXPECT_EQ (PU_STREAM_MISMATCH,
             c.attempt (token_event ("a") + token_event ("b", "", "other")));
  EXPECT_EQ ("a", c.text ());
}

TEST (Stream, FinishEventIsForwardedOnce)
{
  caller c;

  c.attempt (token_event ("a") + FINISH_EVENT);
  EXPECT_EQ (PU_STREAM_DONE,
             c.attempt (token_event ("a") + FINISH_EVENT + DONE_EVENT));
  EXPECT_EQ (token_event ("a") + FINISH_EVENT + DONE_EVENT, c.received);
}

TEST (Stream, MalformedAndErrorEventsBreakTheStream)
{
  for (const char *bad : { "data: nonsense\n\n", "data: {\"error\":{}}\n\n",
                           "event: error\ndata: {}\n\n", "data: 3\n\n" })
    {
      caller c;

      EXPECT_EQ (PU_STREAM_BROKEN, c.attempt (bad)) << bad;
      EXPECT_EQ ("", c.received);
    }
}

TEST (Stream, CommentsWithoutEndBreakTheStream)
{
  caller c;
  std::string bytes = token_event ("a");

  for (int i = 0; i < 50000; i++)
    bytes += ": comment\n\n";
  EXPECT_EQ (PU_STREAM_BROKEN, c.attempt (bytes));
  EXPECT_LE (c.received.size (), 70000u);
}

/* Wherever the attempts are cut, however their bytes are split and whether
   they resume or replay, the caller receives each token exactly once.  */
RC_GTEST_PROP (Stream, AnyCutsDeliverEachTokenOnce, ())
{
  const auto token_texts
      = *rc::gen::nonEmpty (rc::gen::container<std::vector<std::string> > (
          rc::gen::element<std::string> ("a", "b", "ab")));
  const auto cuts
      = *rc::gen::container<std::vector<int> > (rc::gen::inRange (0, 400));
  const auto chunk_bytes = *rc::gen::inRange<std::size_t> (1, 50);
  const bool indexed = *rc::gen::arbitrary<bool> ();
  caller c;
  std::string text;
  auto events_from = [&] (std::size_t from) {
    std::string out;

    for (std::size_t i = from; i < token_texts.size (); i++)
      out += token_event (token_texts[i], indexed ? std::to_string (i) : "");
    return out + FINISH_EVENT + DONE_EVENT;
  };

  for (const auto &one : token_texts)
    text += one;
  pu_stream_result_t last = PU_STREAM_MORE;
  for (int cut : cuts)
    {
      const bool confirmed = cut % 2 == 0;
      const std::string all = events_from (confirmed ? c.sent.tokens : 0);

      last = c.attempt (all.substr (0, static_cast<std::size_t> (cut)),
                        confirmed && c.sent.tokens > 0, chunk_bytes);
      RC_ASSERT (last == PU_STREAM_MORE || last == PU_STREAM_DONE);
      if (last == PU_STREAM_DONE)
        break;
    }
  if (last != PU_STREAM_DONE)
    RC_ASSERT (c.attempt (events_from (0), false, chunk_bytes)
               == PU_STREAM_DONE);
  RC_ASSERT (c.text () == text);
  RC_ASSERT (c.sent.tokens == token_texts.size ());
}

} // namespace
