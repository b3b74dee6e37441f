#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "state/hunks.h"
}

namespace
{

std::string
random_text (guint32 seed, size_t n)
{
  GRand *r = g_rand_new_with_seed (seed);
  std::string text (n, '\0');

  for (char &c : text)
    c = static_cast<char> (g_rand_int_range (r, '0', '0' + 64));
  g_rand_free (r);
  return text;
}

/* Returns the hunks from BASE to TARGET, which must make TARGET again.  */
std::string
diff (const std::string &base, const std::string &target)
{
  char *hunks = pu_hunks_diff (base.data (), base.size (), target.data (),
                               target.size ());
  GString *out = g_string_new (nullptr);
  std::string copy = hunks;

  EXPECT_TRUE (
      pu_hunks_apply (hunks, base.data (), base.size (), target.size (), out));
  EXPECT_TRUE (target == out->str);
  g_string_free (out, TRUE);
  g_free (hunks);
  return copy;
}

} // namespace

TEST (Hunks, TextsShorterThanABlock)
{
  EXPECT_EQ (diff ("", ""), "");
  EXPECT_EQ (diff ("{}", ""), "");
  EXPECT_EQ (diff ("", "{}"), "+2\n{}");
  EXPECT_EQ (diff ("{}", random_text (1, 40)), "+40\n" + random_text (1, 40));
}

/* However much of the text before it is new.  */
TEST (Hunks, RunsOf600BytesAreFoundAfterALongNewText)
{
  const std::string base = random_text (1, 65536);
  const std::string fresh = random_text (2, 40000);

  for (size_t from = 0; from < 64; from++)
    {
      std::string target = fresh + base.substr (1000 + from, 600)
                           + random_text (3, 5000 + from)
                           + base.substr (30000 + from, 600);

      EXPECT_LT (diff (base, target).size (), target.size () - 1100) << from;
    }
}

TEST (Hunks, ChangesOfSingleBytesStayShort)
{
  const std::string base = random_text (1, 100000);
  std::string target = base;

  for (size_t i = 0; i < target.size (); i += 1000)
    target[i] = '!';
  EXPECT_LT (diff (base, target).size (), 2500U);
}
