#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "log/commit_watch.h"
#include "log/replica_sim.h"

namespace
{

/* The lines of the log while it exists.  */
class Lines
{
public:
  Lines ()
  {
    handler_ = g_log_set_handler (
        "log", G_LOG_LEVEL_MESSAGE,
        [] (const char *, GLogLevelFlags, const char *message, gpointer data) {
          ((Lines *)data)->all.emplace_back (message);
        },
        this);
  }
  ~Lines () { g_log_remove_handler ("log", handler_); }
  std::vector<std::string> all;

private:
  guint handler_;
};

bool
holds (const std::string &text, const std::string &part)
{
  return text.find (part) != std::string::npos;
}

class CommitWatch : public ::testing::Test
{
protected:
  sim::Sim s{ 3, 9, 0 };
  pu_commit_watch_t watch{};
  Lines lines;

  void
  SetUp () override
  {
    s.run (4000);
    ASSERT_NE (nullptr, s.leader ());
  }

  /* Runs for MS, with a look at the leader every 50 ms.  */
  void
  watch_for (unsigned ms)
  {
    for (unsigned i = 0; i < ms / 50; i++)
      {
        s.run (50);
        pu_commit_watch_update (&watch, s.leader ()->r,
                                s.clock (*s.leader ()));
      }
  }
};

TEST_F (CommitWatch, SaysNothingWhileEntriesAreCommitted)
{
  for (int i = 0; i < 50; i++)
    {
      s.propose ();
      watch_for (100);
    }
  watch_for (3000);
  EXPECT_TRUE (lines.all.empty ()) << lines.all[0];
}

TEST_F (CommitWatch, NamesThePositionsOfAllMembersOnceASecond)
{
  uint64_t before = pu_replica_last_index (s.leader ()->r);

  watch_for (100);
  for (unsigned i = 0; i < 3; i++)
    s.node (i).stalled = true;
  s.propose ();
  s.propose ();
  watch_for (3500);
  ASSERT_EQ (lines.all.size (), 3U);
  for (const std::string &line : lines.all)
    {
      EXPECT_TRUE (holds (line, "entries " + std::to_string (before + 1)
                                    + " to " + std::to_string (before + 2)
                                    + " wait"))
          << line;
      EXPECT_TRUE (
          holds (line, "the own disk has " + std::to_string (before) + ","))
          << line;
      for (unsigned i = 0; i < 3; i++)
        {
          EXPECT_EQ (holds (line, ", " + s.node (i).name + " has "
                                      + std::to_string (before)
                                      + " and answered "),
                     &s.node (i) != s.leader ())
              << line;
        }
    }
  for (unsigned i = 0; i < 3; i++)
    s.node (i).stalled = false;
  watch_for (1000);
  ASSERT_EQ (lines.all.size (), 4U);
  EXPECT_TRUE (holds (lines.all[3], "The stall ended after "));
}

} // namespace
