#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <vector>

extern "C"
{
#include "base/histogram.h"
}

namespace
{

/* The oracle: the value at the same rank of the sorted list.  */
guint64
exact_quantile (std::vector<guint64> values, double q)
{
  std::sort (values.begin (), values.end ());
  size_t rank = (size_t)std::ceil (q * (double)values.size ());
  return values[std::max<size_t> (rank, 1) - 1];
}

} // namespace

TEST (Histogram, IsZeroWhenEmpty)
{
  pu_histogram_t *h = pu_histogram_new ();

  EXPECT_EQ (0u, pu_histogram_count (h));
  EXPECT_EQ (0u, pu_histogram_quantile (h, 0.99));
  EXPECT_EQ (0, pu_histogram_mean (h));
  pu_histogram_free (h);
}

TEST (Histogram, TakesTheGreatestValue)
{
  pu_histogram_t *h = pu_histogram_new ();

  pu_histogram_add (h, G_MAXUINT64);
  EXPECT_EQ (G_MAXUINT64, pu_histogram_quantile (h, 1.0));
  EXPECT_EQ (G_MAXUINT64, pu_histogram_max (h));
  pu_histogram_free (h);
}

RC_GTEST_PROP (Histogram, QuantileIsAtMostA32ndTooHigh, ())
{
  auto bits = *rc::gen::inRange (1, 63);
  auto values = *rc::gen::nonEmpty (rc::gen::container<std::vector<guint64> > (
      rc::gen::inRange<guint64> (0, G_GUINT64_CONSTANT (1) << bits)));
  double q = *rc::gen::inRange (0, 101) / 100.0;
  pu_histogram_t *h = pu_histogram_new ();
  pu_histogram_t *half = pu_histogram_new ();

  for (size_t i = 0; i < values.size (); i++)
    pu_histogram_add (i % 2 == 0 ? h : half, values[i]);
  pu_histogram_merge (h, half);
  guint64 got = pu_histogram_quantile (h, q);
  guint64 count = pu_histogram_count (h);
  pu_histogram_free (h);
  pu_histogram_free (half);

  guint64 want = exact_quantile (values, q);
  RC_ASSERT (count == values.size ());
  RC_ASSERT (got >= want);
  RC_ASSERT (got - want <= want / 32);
}
