#include <gtest/gtest.h>

#include <fcntl.h>
#include <jansson.h>
#include <unistd.h>

#include <string>
#include <vector>

extern "C"
{
#include "base/log.h"
#include "base/log_out.h"
}

namespace
{

/* The log goes into a pipe that the test empties when it likes.  */
class LogLine : public testing::Test
{
protected:
  int ends[2];

  LogLine ()
  {
    EXPECT_EQ (0, pipe (ends));
    fcntl (ends[0], F_SETFL, O_NONBLOCK);
    pu_log_init ();
    pu_log_set_level ("info");
    pu_log_out_to (ends[1]);
  }

  ~LogLine () override
  {
    read_all ();
    pu_log_out_to (STDOUT_FILENO);
    close (ends[0]);
    close (ends[1]);
  }

  std::string
  read_all ()
  {
    std::string text;
    char buffer[65536];
    ssize_t n;

    do
      {
        pu_log_flush ();
        n = read (ends[0], buffer, sizeof buffer);
        if (n > 0)
          text.append (buffer, n);
      }
    while (n > 0);
    return text;
  }

  /* Every line, parsed.  */
  std::vector<json_t *>
  lines ()
  {
    const std::string text = read_all ();
    std::vector<json_t *> all;
    std::size_t at = 0;

    while (at < text.size ())
      {
        const std::size_t end = text.find ('\n', at);
        json_error_t e;
        json_t *one = json_loadb (text.data () + at, end - at, 0, &e);

        EXPECT_NE (nullptr, one) << text.substr (at, end - at) << e.text;
        all.push_back (one);
        at = end + 1;
      }
    return all;
  }

  static std::string
  member (const json_t *line, const char *key)
  {
    const json_t *v = json_object_get (line, key);

    if (json_is_integer (v))
      return std::to_string (json_integer_value (v));
    return json_is_string (v) ? json_string_value (v) : "(none)";
  }

  static void
  free_all (const std::vector<json_t *> &all)
  {
    for (json_t *one : all)
      json_decref (one);
  }
};

TEST_F (LogLine, LineHasItsMembers)
{
  pu_log_event ("entry", "Refused.", PU_LOG_TEXT ("request", "9c41"),
                PU_LOG_NUMBER ("age_ms", 17), PU_LOG_TEXT ("model", NULL),
                PU_LOG_TEXT ("reason", "dead\"line\n\xff"));
  pu_log_warn ("agent", "Lost %s.", "voter-1");
  auto all = lines ();

  ASSERT_EQ (2u, all.size ());
  EXPECT_EQ ("info", member (all[0], "level"));
  EXPECT_EQ ("entry", member (all[0], "part"));
  EXPECT_EQ ("Refused.", member (all[0], "message"));
  EXPECT_EQ ("9c41", member (all[0], "request"));
  EXPECT_EQ ("17", member (all[0], "age_ms"));
  EXPECT_EQ ("(none)", member (all[0], "model"));
  EXPECT_EQ (0u, member (all[0], "reason").find ("dead\"line\n"));
  EXPECT_EQ (24u, member (all[0], "time").size ());
  EXPECT_EQ ("warn", member (all[1], "level"));
  EXPECT_EQ ("Lost voter-1.", member (all[1], "message"));
  free_all (all);
}

TEST_F (LogLine, LevelHoldsBackWhatIsBelowIt)
{
  pu_log_set_level ("note");
  pu_log_event ("entry", "Sent.", PU_LOG_NUMBER ("n", 1));
  pu_log_info ("entry", "Sent too.");
  EXPECT_FALSE (pu_log_is_on ("info"));
  EXPECT_TRUE (pu_log_is_on ("warn"));
  EXPECT_EQ ("", read_all ());
  pu_log_set_level ("info");
}

/* Nobody reads: no line waits, what is kept is bounded, and the number of
   those that are lost is told once the reader is back.  */
TEST_F (LogLine, FullPipeDropsCountsAndSaysSo)
{
  const std::string filler (3000, 'x');
  const guint64 before = pu_log_dropped ();
  guint64 told = 0;

  for (int i = 0; i < 400; i++)
    pu_log_warn ("test", "%s", filler.c_str ());
  EXPECT_GT (pu_log_dropped (), before);
  read_all ();
  pu_log_warn ("test", "Read again.");
  auto all = lines ();
  for (const json_t *one : all)
    {
      if (member (one, "message") == "Dropped lines.")
        told += json_integer_value (json_object_get (one, "lines"));
    }
  EXPECT_EQ (pu_log_dropped () - before, told);
  EXPECT_EQ ("Read again.", member (all.back (), "message"));
  free_all (all);
}

TEST_F (LogLine, LinesOfASecondAreBounded)
{
  const guint64 before = pu_log_dropped ();
  std::size_t written = 0;

  for (int i = 0; i < 5000; i++)
    {
      pu_log_event ("test", "Many.", PU_LOG_NUMBER ("i", i));
      if (i % 100 == 0)
        {
          auto some = lines ();

          written += some.size ();
          free_all (some);
        }
    }
  EXPECT_GT (pu_log_dropped (), before);
  EXPECT_LT (written, 4500u);
  /* What must be seen is not held back by them.  */
  pu_log_warn ("test", "Seen.");
  EXPECT_NE (std::string::npos, read_all ().find ("Seen."));
}

} // namespace
