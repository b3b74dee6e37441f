#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "state/recent.h"
}

namespace
{

class Recent : public ::testing::Test
{
public:
  pu_recent_t *r = pu_recent_new ();

  ~Recent () override { pu_recent_free (r); }

  std::string
  After (uint64_t since)
  {
    std::string found;

    pu_recent_each (
        r, since,
        [] (const char *name, void *data) {
          *static_cast<std::string *> (data) += std::string (name) + " ";
        },
        &found);
    return found;
  }
};

TEST_F (Recent, OnlyWhatChangedSinceIsSeen)
{
  pu_recent_note (r, "a", 1);
  pu_recent_note (r, "b", 2);
  pu_recent_note (r, "c", 3);
  EXPECT_EQ ("c b a ", After (0));
  EXPECT_EQ ("c ", After (2));
  EXPECT_EQ ("", After (3));
}

TEST_F (Recent, AChangeMovesItsNameToTheEnd)
{
  pu_recent_note (r, "a", 1);
  pu_recent_note (r, "b", 2);
  pu_recent_note (r, "a", 3);
  EXPECT_EQ ("a ", After (2));
  EXPECT_EQ ("a b ", After (0)) << "each once";
}

TEST_F (Recent, WhatIsDroppedIsNotSeen)
{
  pu_recent_note (r, "a", 1);
  pu_recent_note (r, "b", 2);
  pu_recent_drop (r, "a");
  pu_recent_drop (r, "unknown");
  EXPECT_EQ ("b ", After (0));
}

}
