#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "state/change_index.h"
}

namespace
{

class Recent : public ::testing::Test
{
public:
  pu_change_index_t *r = pu_change_index_new ();

  ~Recent () override { pu_change_index_free (r); }

  std::string
  NamesAfter (uint64_t since)
  {
    std::string found;

    pu_change_index_each_since (
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
  pu_change_index_record (r, "a", 1);
  pu_change_index_record (r, "b", 2);
  pu_change_index_record (r, "c", 3);
  EXPECT_EQ ("c b a ", NamesAfter (0));
  EXPECT_EQ ("c ", NamesAfter (2));
  EXPECT_EQ ("", NamesAfter (3));
}

TEST_F (Recent, LastChangeOfANameCounts)
{
  pu_change_index_record (r, "a", 1);
  pu_change_index_record (r, "b", 2);
  pu_change_index_record (r, "a", 3);
  EXPECT_EQ ("a ", NamesAfter (2));
  EXPECT_EQ ("a b ", NamesAfter (0)) << "each name is listed once";
}

TEST_F (Recent, RemovedNameIsNotListed)
{
  pu_change_index_record (r, "a", 1);
  pu_change_index_record (r, "b", 2);
  pu_change_index_remove (r, "a");
  pu_change_index_remove (r, "unknown");
  EXPECT_EQ ("b ", NamesAfter (0));
}

}
