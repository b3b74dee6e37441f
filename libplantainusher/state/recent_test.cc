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
  NamesAfter (uint64_t since)
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

TEST_F (Recent, ListsOnlyLaterChanges)
{
  pu_recent_note (r, "a", 1);
  pu_recent_note (r, "b", 2);
  pu_recent_note (r, "c", 3);
  EXPECT_EQ ("c b a ", NamesAfter (0));
  EXPECT_EQ ("c ", NamesAfter (2));
  EXPECT_EQ ("", NamesAfter (3));
}

TEST_F (Recent, LastChangeOfANameCounts)
{
  pu_recent_note (r, "a", 1);
  pu_recent_note (r, "b", 2);
  pu_recent_note (r, "a", 3);
  EXPECT_EQ ("a ", NamesAfter (2));
  EXPECT_EQ ("a b ", NamesAfter (0)) << "each name is listed once";
}

TEST_F (Recent, RemovedNameIsNotListed)
{
  pu_recent_note (r, "a", 1);
  pu_recent_note (r, "b", 2);
  pu_recent_drop (r, "a");
  pu_recent_drop (r, "unknown");
  EXPECT_EQ ("b ", NamesAfter (0));
}

}
