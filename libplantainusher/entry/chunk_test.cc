#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <jansson.h>

#include <string>
#include <vector>

#include "entry/chunk.h"

namespace
{

std::string
json_quoted (const std::string &text)
{
  json_t *s = json_stringn (text.data (), text.size ());
  char *dumped = json_dumps (s, JSON_ENCODE_ANY);
  std::string out = dumped;

  free (dumped);
  json_decref (s);
  return out;
}

std::string
chat_chunk (const std::string &text, const std::string &id = "r")
{
  return "{\"id\":\"" + id
         + "\",\"model\":\"m\",\"choices\":[{\"delta\":{"
           "\"content\":"
         + json_quoted (text) + "},\"finish_reason\":null}]}";
}

TEST (Chunk, ChunksOfOneTemplateAreParsedOnlyTwice)
{
  pu_chunk_reader_t *r = pu_chunk_reader_new ();

  for (const char *text : { "one ", "two ", "kolm õ ", "四", "" })
    {
      const std::string data = chat_chunk (text);
      pu_chunk_t p{};

      ASSERT_TRUE (pu_chunk_read (r, data.data (), data.size (), &p));
      EXPECT_STREQ (text, p.text);
      EXPECT_STREQ ("r", p.id);
      EXPECT_FALSE (p.has_finish_reason);
    }
  EXPECT_EQ (2u, pu_chunk_reader_parsed_count (r));
  pu_chunk_reader_free (r);
}

/* The token's text is escaped, so the only unescaped "t" is in another
   member.  A template, which reads later chunks without parsing them, must not
   be made from that member.  */
TEST (Chunk, TemplateOfAnotherMemberIsNotUsed)
{
  pu_chunk_reader_t *r = pu_chunk_reader_new ();

  for (const char *other : { "t", "u", "v" })
    {
      const std::string data
          = std::string ("{\"x\":{\"content\":\"") + other
            + "\"},\"choices\":[{\"delta\":{\"content\":\"\\u0074\"}}]}";
      pu_chunk_t p{};

      ASSERT_TRUE (pu_chunk_read (r, data.data (), data.size (), &p));
      EXPECT_STREQ ("t", p.text);
    }
  pu_chunk_reader_free (r);
}

TEST (Chunk, OtherChunksAndInvalidData)
{
  struct
  {
    const char *data;
    bool good;
    const char *text;
    bool has_finish_reason, is_error;
  } const table[] = {
    { "{\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}", true, "a",
      true, false },
    { "{\"choices\":[{\"delta\":{}}]}", true, "", false, false },
    { "{\"error\":{}}", true, "", false, true },
    { "[]", false, "", false, false },
    { "", false, "", false, false },
    { "{\"choices\":[{\"text\":\"a", false, "", false, false },
  };
  pu_chunk_reader_t *r = pu_chunk_reader_new ();

  for (const auto &row : table)
    {
      pu_chunk_t p{};

      ASSERT_EQ (row.good, pu_chunk_read (r, row.data, strlen (row.data), &p));
      if (!row.good)
        continue;
      EXPECT_STREQ (row.text, p.text);
      EXPECT_EQ (row.has_finish_reason, p.has_finish_reason);
      EXPECT_EQ (row.is_error, p.is_error);
    }
  pu_chunk_reader_free (r);
}

/* A reader that has made a template of earlier chunks returns the same fields
   as a new reader, also for texts that contain parts of the template and for
   data with a changed byte.  */
RC_GTEST_PROP (Chunk, TemplateAgreesWithParsing, ())
{
  const auto texts = *rc::gen::container<std::vector<std::string> > (
      rc::gen::container<std::string> (rc::gen::element (
          'a', 'r', 'm', '"', '\\', ',', '}', 'u', '0', '\n', ' ')));
  pu_chunk_reader_t *r = pu_chunk_reader_new ();

  for (const auto &text : texts)
    {
      std::string data
          = chat_chunk (text, *rc::gen::element<std::string> ("r", "a"));
      const auto at = *rc::gen::inRange<std::size_t> (0, data.size () * 3);
      pu_chunk_reader_t *fresh = pu_chunk_reader_new ();
      pu_chunk_t a{};
      pu_chunk_t b{};

      if (at < data.size ())
        data[at] = *rc::gen::element ('a', '"', '\\', '}', ':');
      const bool good = pu_chunk_read (r, data.data (), data.size (), &a);
      RC_ASSERT (good
                 == pu_chunk_read (fresh, data.data (), data.size (), &b));
      if (good)
        {
          RC_ASSERT (std::string (a.text) == b.text);
          RC_ASSERT (std::string (a.id ? a.id : "-") == (b.id ? b.id : "-"));
          RC_ASSERT (a.has_finish_reason == b.has_finish_reason
                     && a.is_error == b.is_error);
        }
      pu_chunk_reader_free (fresh);
    }
  pu_chunk_reader_free (r);
}

} // namespace
