#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "entry/stream.h"

namespace
{

const std::string DONE = "data: [DONE]\n\n";

std::string
token (const std::string &text, const std::string &index = "",
       const std::string &id = "r")
{
  return (index.empty () ? "" : "id: " + index + "\n") + "data: {\"id\":\""
         + id + "\",\"choices\":[{\"delta\":{\"content\":\"" + text
         + "\"},\"finish_reason\":null}]}\n\n";
}

const std::string FINISH = "data: {\"id\":\"r\",\"choices\":[{\"delta\":{},"
                           "\"finish_reason\":\"stop\"}]}\n\n";

std::string
usage (int tokens)
{
  return "data: {\"id\":\"r\",\"choices\":[],\"usage\":"
         "{\"completion_tokens\":"
         + std::to_string (tokens) + "}}\n\n";
}

/* What a caller gets over several attempts.  */
struct caller
{
  pu_delivered_t sent{};
  std::string raw;

  caller () { pu_delivered_init (&sent); }
  ~caller () { pu_delivered_clear (&sent); }

  static void
  pass (void *d, const char *bytes, gsize len, guint)
  {
    static_cast<caller *> (d)->raw.append (bytes, len);
  }

  pu_stream_result_t
  attempt (const std::string &bytes, bool confirmed = false,
           std::size_t step = 1000)
  {
    pu_stream_t *s = pu_stream_new (&sent, confirmed, pass, this);
    pu_stream_result_t result = PU_STREAM_MORE;

    for (std::size_t i = 0; i < bytes.size () && result == PU_STREAM_MORE;
         i += step)
      result = pu_stream_feed (s, bytes.data () + i,
                               std::min (step, bytes.size () - i));
    pu_stream_free (s);
    return result;
  }

  std::string
  text () const
  {
    return sent.text->str;
  }
};

TEST (Stream, WholeStreamPassesAsItIs)
{
  caller c;
  const std::string all
      = token ("a") + ": beat\n\n" + token ("b") + FINISH + DONE;

  EXPECT_EQ (PU_STREAM_DONE, c.attempt (all));
  EXPECT_EQ (all, c.raw);
  EXPECT_EQ ("ab", c.text ());
}

TEST (Stream, UnfinishedEventIsNotPassedOn)
{
  caller c;

  EXPECT_EQ (PU_STREAM_MORE,
             c.attempt (token ("a") + token ("b").substr (0, 20)));
  EXPECT_EQ (token ("a"), c.raw);
}

TEST (Stream, ReplayGoesOnWhereTheCallerIs)
{
  caller c;

  c.attempt (token ("a") + token ("b"));
  EXPECT_EQ (PU_STREAM_DONE, c.attempt (token ("a") + token ("b") + token ("c")
                                        + FINISH + DONE));
  EXPECT_EQ (token ("a") + token ("b") + token ("c") + FINISH + DONE, c.raw);
}

TEST (Stream, ReplayThatDiffersIsForeign)
{
  caller c;

  c.attempt (token ("a") + token ("b"));
  EXPECT_EQ (PU_STREAM_MISMATCH, c.attempt (token ("a") + token ("x")));
  EXPECT_EQ (PU_STREAM_MISMATCH, c.attempt (token ("ab") + token ("c")));
  EXPECT_EQ (PU_STREAM_MISMATCH, c.attempt (token ("a") + DONE));
  EXPECT_EQ (token ("a") + token ("b"), c.raw);
}

TEST (Stream, ConfirmedResumePassesFromItsFirstEvent)
{
  caller c;

  c.attempt (token ("a") + token ("b"));
  EXPECT_EQ (PU_STREAM_DONE, c.attempt (token ("c") + FINISH + DONE, true));
  EXPECT_EQ ("abc", c.text ());
}

TEST (Stream, IndexesDropDoublesAndShowGaps)
{
  caller c;

  EXPECT_EQ (PU_STREAM_MORE, c.attempt (token ("a", "0") + token ("a", "0")
                                        + token ("a", "1")));
  EXPECT_EQ ("aa", c.text ());
  EXPECT_EQ (PU_STREAM_BROKEN, c.attempt (token ("x", "3")));
  EXPECT_EQ (PU_STREAM_DONE,
             c.attempt (token ("a", "1") + token ("b", "2") + DONE));
  EXPECT_EQ ("aab", c.text ());
}

TEST (Stream, MoreTokensThanTheUsageTellsAreDoubled)
{
  caller one;
  caller two;
  caller resumed;
  EXPECT_EQ (one.attempt (token ("a") + token ("b") + usage (2) + DONE),
             PU_STREAM_DONE);
  EXPECT_EQ (
      two.attempt (token ("a") + token ("a") + token ("b") + usage (2) + DONE),
      PU_STREAM_DUPLICATES);
  EXPECT_EQ (resumed.attempt (token ("a") + token ("b")), PU_STREAM_MORE);
  EXPECT_EQ (resumed.attempt (token ("c") + usage (1) + DONE, true),
             PU_STREAM_DONE);
}

TEST (Stream, NumberedDoublesAndTokensInOneEventAreNotDoubled)
{
  caller numbered;
  caller joined;
  EXPECT_EQ (numbered.attempt (token ("a", "0") + token ("a", "0")
                               + token ("b", "1") + usage (2) + DONE),
             PU_STREAM_DONE);
  EXPECT_EQ (joined.attempt (token ("a b") + usage (2) + DONE),
             PU_STREAM_DONE);
}

TEST (Stream, AnotherAnswersEventIsForeign)
{
  caller c;

  EXPECT_EQ (PU_STREAM_MISMATCH,
             c.attempt (token ("a") + token ("b", "", "other")));
  EXPECT_EQ ("a", c.text ());
}

TEST (Stream, FinishIsPassedOnOnce)
{
  caller c;

  c.attempt (token ("a") + FINISH);
  EXPECT_EQ (PU_STREAM_DONE, c.attempt (token ("a") + FINISH + DONE));
  EXPECT_EQ (token ("a") + FINISH + DONE, c.raw);
}

TEST (Stream, BrokenEvents)
{
  for (const char *bad : { "data: nonsense\n\n", "data: {\"error\":{}}\n\n",
                           "event: error\ndata: {}\n\n", "data: 3\n\n" })
    {
      caller c;

      EXPECT_EQ (PU_STREAM_BROKEN, c.attempt (bad)) << bad;
      EXPECT_EQ ("", c.raw);
    }
}

/* Any cuts, split and way to resume: the caller has the text once.  */
RC_GTEST_PROP (Stream, AnyCutsGiveTheTextOnce, ())
{
  const auto words
      = *rc::gen::nonEmpty (rc::gen::container<std::vector<std::string> > (
          rc::gen::element<std::string> ("a", "b", "ab")));
  const auto cuts
      = *rc::gen::container<std::vector<int> > (rc::gen::inRange (0, 400));
  const auto step = *rc::gen::inRange<std::size_t> (1, 50);
  const bool indexed = *rc::gen::arbitrary<bool> ();
  caller c;
  std::string text;
  auto stream = [&] (std::size_t from) {
    std::string out;

    for (std::size_t i = from; i < words.size (); i++)
      out += token (words[i], indexed ? std::to_string (i) : "");
    return out + FINISH + DONE;
  };

  for (const auto &w : words)
    text += w;
  pu_stream_result_t last = PU_STREAM_MORE;
  for (int cut : cuts)
    {
      const bool confirmed = cut % 2 == 0;
      const std::string all = stream (confirmed ? c.sent.tokens : 0);

      last = c.attempt (all.substr (0, static_cast<std::size_t> (cut)),
                        confirmed && c.sent.tokens > 0, step);
      RC_ASSERT (last == PU_STREAM_MORE || last == PU_STREAM_DONE);
      if (last == PU_STREAM_DONE)
        break;
    }
  if (last != PU_STREAM_DONE)
    RC_ASSERT (c.attempt (stream (0), false, step) == PU_STREAM_DONE);
  RC_ASSERT (c.text () == text);
  RC_ASSERT (c.sent.tokens == words.size ());
}

} // namespace
