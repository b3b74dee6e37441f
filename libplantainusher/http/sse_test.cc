#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "http/auth.h"
#include "http/sse.h"

namespace
{

struct seen
{
  std::vector<std::string> data;
  std::string raw;
};

bool
collect (void *p, const pu_sse_event_t *ev)
{
  auto *s = static_cast<seen *> (p);

  s->raw.append (ev->raw, ev->raw_len);
  if (ev->has_data)
    s->data.emplace_back (ev->data, ev->data_len);
  return !pu_sse_is_done (ev);
}

seen
parse (const std::string &text, pu_sse_result_t want = PU_SSE_OK)
{
  seen s;
  pu_sse_t *p = pu_sse_new (64, collect, &s);

  EXPECT_EQ (want, pu_sse_feed (p, text.data (), text.size ()));
  pu_sse_free (p);
  return s;
}

using list = std::vector<std::string>;

TEST (Sse, GivesWholeEventsOnly)
{
  struct
  {
    const char *text;
    list data;
  } const table[] = {
    { "data: a\n\n", { "a" } },
    { "data:a\r\n\r\ndata: b\r\rdata: c\n\n", { "a", "b", "c" } },
    { "data: a\ndata: b\n\n", { "a\nb" } },
    { "data\n\n", { "" } },
    { "data: a\n", {} },
    { "data: a", {} },
    { ": beat\n\n", {} },
    { "event: x\nid: 1\ndata:  a\n\n", { " a" } },
    { "\n\n\ndata: a\n\n\n", { "a" } },
    { "datax: a\n\n", {} },
  };

  for (const auto &row : table)
    EXPECT_EQ (row.data, parse (row.text).data) << row.text;
}

TEST (Sse, RawIsTheEventWithOneKindOfLineEnd)
{
  EXPECT_EQ ("data: a\n\n: beat\n\n", parse ("data: a\r\n\r\n: beat\r\r").raw);
}

TEST (Sse, IdOfAnEventIsItsOwn)
{
  list ids;
  auto take = [] (void *p, const pu_sse_event_t *ev) {
    static_cast<list *> (p)->emplace_back (ev->id);
    return true;
  };
  pu_sse_t *p = pu_sse_new (64, take, &ids);
  const std::string text = "id: 7\ndata: a\n\ndata: b\n\n";

  pu_sse_feed (p, text.data (), text.size ());
  pu_sse_free (p);
  EXPECT_EQ ((list{ "7", "" }), ids);
}

TEST (Sse, StopsAtTheEndMark)
{
  EXPECT_EQ (
      (list{ "a", "[DONE]" }),
      parse ("data: a\n\ndata: [DONE]\n\ndata: b\n\n", PU_SSE_STOPPED).data);
}

TEST (Sse, RefusesAnEventOverTheLimit)
{
  parse ("data: " + std::string (100, 'x'), PU_SSE_TOO_LARGE);
}

RC_GTEST_PROP (Sse, AnySplitGivesTheSameEvents, ())
{
  const auto text = *rc::gen::container<std::string> (
      rc::gen::element ('d', 'a', 't', ':', ' ', '\n', '\r', 'x'));
  const auto step = *rc::gen::inRange<std::size_t> (1, 7);
  seen whole;
  seen split;
  pu_sse_t *a = pu_sse_new (1024, collect, &whole);
  pu_sse_t *b = pu_sse_new (1024, collect, &split);
  const std::string all = "data: 1\r\n\r\n" + text + "data: 2\n\n";

  pu_sse_feed (a, all.data (), all.size ());
  for (std::size_t i = 0; i < all.size (); i += step)
    pu_sse_feed (b, all.data () + i, std::min (step, all.size () - i));
  pu_sse_free (a);
  pu_sse_free (b);
  RC_ASSERT (whole.raw == split.raw);
  RC_ASSERT (whole.data == split.data);
}

TEST (Auth, EqualKeysOnly)
{
  EXPECT_TRUE (pu_http_key_equal ("k1", "k1"));
  EXPECT_FALSE (pu_http_key_equal ("k1", "k2"));
  EXPECT_FALSE (pu_http_key_equal ("k1", "k11"));
  EXPECT_FALSE (pu_http_key_equal ("", ""));
  EXPECT_FALSE (pu_http_key_equal (nullptr, "k"));
}

TEST (Auth, BearerTokens)
{
  EXPECT_STREQ ("abc", pu_http_bearer ("Bearer abc"));
  EXPECT_STREQ ("abc", pu_http_bearer ("bearer  abc"));
  EXPECT_EQ (nullptr, pu_http_bearer ("Basic abc"));
  EXPECT_EQ (nullptr, pu_http_bearer ("Bearer "));
  EXPECT_EQ (nullptr, pu_http_bearer ("Bearer a b"));
  EXPECT_EQ (nullptr, pu_http_bearer (nullptr));
}

} // namespace
