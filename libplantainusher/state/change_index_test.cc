#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "state/change_index.h"
}

namespace
{

class ChangeIndex : public ::testing::Test
{
public:
  pu_change_index_t *index_ = pu_change_index_new ();

  ~ChangeIndex () override { pu_change_index_free (index_); }

  std::string
  NamesAfter (uint64_t since)
  {
    std::string found;

    pu_change_index_each_since (
        index_, since,
        [] (const char *name, void *data) {
          *static_cast<std::string *> (data) += std::string (name) + " ";
        },
        &found);
    return found;
  }
};

TEST_F (ChangeIndex, ListsOnlyLaterChanges)
{
  pu_change_index_record (index_, "a", 1);
  pu_change_index_record (index_, "b", 2);
  pu_change_index_record (index_, "c", 3);
  EXPECT_EQ ("c b a ", NamesAfter (0));
  EXPECT_EQ ("c ", NamesAfter (2));
  EXPECT_EQ ("", NamesAfter (3));
}

TEST_F (ChangeIndex, LastChangeOfANameCounts)
{
  pu_change_index_record (index_, "a", 1);
  pu_change_index_record (index_, "b", 2);
  pu_change_index_record (index_, "a", 3);
  EXPECT_EQ ("a ", NamesAfter (2));
  EXPECT_EQ ("a b ", NamesAfter (0)) << "each name is listed once";
}

TEST_F (ChangeIndex, RemovedNameIsNotListed)
{
  pu_change_index_record (index_, "a", 1);
  pu_change_index_record (index_, "b", 2);
  pu_change_index_remove (index_, "a");
  pu_change_index_remove (index_, "unknown");
  EXPECT_EQ ("b ", NamesAfter (0));
}

}
