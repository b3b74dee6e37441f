#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

extern "C"
{
#include "control/grants.h"
}

namespace
{

const guint window_ms = 4000;

class Grants
{
public:
  Grants () : g (pu_grants_new ()) {}
  ~Grants () { pu_grants_free (g); }
  Grants (const Grants &) = delete;

  pu_grant_t
  take (double limit, guint64 now, guint wanted = 1, guint64 age_ms = 0,
        guint64 incarnation = 1)
  {
    const pu_grant_request_t q = { "s", incarnation, limit, age_ms, wanted };

    return pu_grants_take (g, &q, now);
  }

  pu_grants_t *g;
};

/* The most of AT in any window of 4 s.  */
size_t
most (const std::vector<guint64> &at)
{
  size_t n = 0;

  for (size_t first = 0, i = 0; i < at.size (); i++)
    {
      while (at[i] - at[first] >= window_ms)
        first++;
      n = std::max (n, i - first + 1);
    }
  return n;
}

} // namespace

TEST (Grants, EntriesTogetherStayWithinTheLimitAndUseIt)
{
  for (double limit : { 0.5, 1.0, 1.4, 7.0, 50.0 })
    for (guint entries : { 1u, 11u, 300u })
      {
        Grants t;
        std::vector<guint64> back (entries, 0);
        std::vector<guint64> at;
        std::mt19937 random (entries);
        guint asked = 0;

        for (guint64 now = 100000; now < 160000; now++)
          for (guint e = 0; e < entries; e++)
            {
              if (now < back[e])
                continue;
              const pu_grant_t r = t.take (limit, now, 1 + random () % 3);

              asked++;
              at.insert (at.end (), r.granted, now);
              back[e] = now + std::max (r.next_ms, 1u);
            }
        EXPECT_LE (most (at), window_ms / 1000 * limit + 2 * limit / 10 + 2)
            << limit << " " << entries;
        EXPECT_GE (at.size (), 60 * limit * 0.9) << limit << " " << entries;
        /* As the header says.  */
        EXPECT_LE (asked, 60 * (limit + entries) * 1.1)
            << limit << " " << entries;
      }
}

TEST (Grants, NothingIsSavedUpWhileNobodyAsks)
{
  Grants t;
  guint granted = 0;

  t.take (1, 1000);
  for (guint64 now = 100000; now < 101000; now++)
    granted += t.take (1, now).granted;
  EXPECT_LE (granted, 2u);
}

TEST (Grants, EndOfALimitIsToldToThoseThatKnowOnlyTheLimit)
{
  Grants t;

  EXPECT_EQ (1u, t.take (1, 10000).granted);
  EXPECT_TRUE (t.take (0, 12000, 0).ended);
  EXPECT_TRUE (t.take (1, 12500, 1, 1000).ended);
  EXPECT_FALSE (t.take (1, 13000, 1, 100).ended);
}

TEST (Grants, NewIncarnationHasALimitOfItsOwn)
{
  Grants t;

  t.take (0.1, 100000);
  t.take (0.1, 100000);
  EXPECT_EQ (0u, t.take (0.1, 100001).granted);
  EXPECT_EQ (1u, t.take (5, 100002, 1, 0, 2).granted);
  /* What an entry knows of the old one changes nothing.  */
  EXPECT_EQ (0u, t.take (0.1, 100003, 1, 0, 1).granted);
  EXPECT_LE (t.take (5, 100004, 1, 0, 2).next_ms, 200u);
}

TEST (Grants, TermsAreReadAsWritten)
{
  const pu_grant_request_t q = { "s", 1, 1.4, 250, 3 };
  pu_grant_request_t r = {};
  char *text = pu_grant_terms_write (&q);

  EXPECT_TRUE (pu_grant_terms_read (&r, text));
  EXPECT_DOUBLE_EQ (1.4, r.limit_per_s);
  EXPECT_EQ (250u, r.age_ms);
  EXPECT_EQ (3u, r.wanted);
  g_free (text);
  for (const char *bad : { "", "1", "1 2", "x 1 1", "-1 1 1", "nan 1 1",
                           "1 -1 1", "1 1 x", "1e9 1 1", "1 1 1 1" })
    EXPECT_FALSE (pu_grant_terms_read (&r, bad)) << bad;
}

TEST (Grants, ServersThatNobodyAsksAboutAreForgotten)
{
  Grants t;

  for (guint i = 0; i < 5000; i++)
    {
      const std::string name = "s" + std::to_string (i);
      const pu_grant_request_t q = { name.c_str (), 1, 1, 0, 1 };

      pu_grants_take (t.g, &q, 100000 + i * 1000);
    }
  EXPECT_LE (pu_grants_count (t.g), 1100u);
}
