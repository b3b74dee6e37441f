#include <gtest/gtest.h>

#include <vector>

extern "C"
{
#include "routing/lost.h"
}

namespace
{

class Lost : public ::testing::Test
{
public:
  pu_lost_t *l = pu_lost_new ();
  std::vector<int> servers = std::vector<int> (300);
  guint64 now = 10000;

  ~Lost () override { pu_lost_free (l); }

  gpointer
  server (guint i)
  {
    return &servers[i];
  }

  void
  lose (guint n)
  {
    for (guint i = 0; i < n; i++)
      pu_lost_add (l, server (i));
  }

  std::vector<gpointer>
  due ()
  {
    GPtrArray *a = g_ptr_array_new ();
    std::vector<gpointer> all;

    pu_lost_probes_due (l, now, a);
    for (guint i = 0; i < a->len; i++)
      all.push_back (g_ptr_array_index (a, i));
    g_ptr_array_free (a, TRUE);
    return all;
  }

  /* One round of probes, which all end with GOOD; returns how many.  */
  guint
  round (bool good)
  {
    const auto all = due ();

    for (gpointer s : all)
      {
        if (good)
          pu_lost_remove (l, s);
        pu_lost_probe_ended (l, good);
      }
    now += 200;
    return static_cast<guint> (all.size ());
  }
};

} // namespace

TEST_F (Lost, IsLostUntilItIsReached)
{
  EXPECT_TRUE (pu_lost_add (l, server (0)));
  EXPECT_FALSE (pu_lost_add (l, server (0)));
  EXPECT_TRUE (pu_lost_contains (l, server (0)));
  EXPECT_FALSE (pu_lost_contains (l, server (1)));
  EXPECT_EQ (round (false), 1u);
  EXPECT_TRUE (pu_lost_contains (l, server (0)));
  EXPECT_EQ (round (true), 1u);
  EXPECT_FALSE (pu_lost_contains (l, server (0)));
  EXPECT_FALSE (pu_lost_remove (l, server (0)));
  EXPECT_EQ (round (true), 0u);
}

TEST_F (Lost, ARoundBeginsAfterTheLastOneAndAnInterval)
{
  lose (1);
  ASSERT_EQ (due ().size (), 1u);
  now += 1000;
  EXPECT_EQ (due ().size (), 0u) << "a probe is open";
  pu_lost_probe_ended (l, false);
  EXPECT_EQ (due ().size (), 1u);
  pu_lost_probe_ended (l, false);
  now += 199;
  EXPECT_EQ (due ().size (), 0u);
  now += 1;
  EXPECT_EQ (due ().size (), 1u);
}

TEST_F (Lost, AllHaveTheirTurn)
{
  std::vector<gpointer> seen;

  lose (10);
  for (int i = 0; i < 3; i++)
    {
      for (gpointer s : due ())
        {
          seen.push_back (s);
          pu_lost_probe_ended (l, false);
        }
      now += 200;
    }
  ASSERT_EQ (seen.size (), 12u);
  for (guint i = 0; i < 12; i++)
    EXPECT_EQ (seen[i], server (i % 10));
}

/* Probes cost as much whether three or three hundred are lost.  */
TEST_F (Lost, FewAreProbedWhileOneFails)
{
  lose (300);
  for (int i = 0; i < 20; i++)
    EXPECT_EQ (round (false), 4u);
}

TEST_F (Lost, HundredsAreBackWithinSomeRounds)
{
  int rounds = 0;

  lose (300);
  round (false);
  while (pu_lost_count (l) > 0 && rounds < 100)
    {
      round (true);
      rounds++;
    }
  EXPECT_LE (rounds, 8);
}

TEST_F (Lost, OneThatIsGoneDuringItsProbeIsForgotten)
{
  lose (2);
  ASSERT_EQ (due ().size (), 2u);
  pu_lost_remove (l, server (0));
  pu_lost_probe_ended (l, true);
  pu_lost_probe_ended (l, false);
  now += 200;
  EXPECT_EQ (due (), std::vector<gpointer>{ server (1) });
}
