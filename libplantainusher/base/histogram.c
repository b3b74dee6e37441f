#include "base/histogram.h"

#define SUB_BITS 5
#define SUB_COUNT ((guint64)1 << SUB_BITS)
#define VALUE_BITS 64
#define BUCKETS ((VALUE_BITS - SUB_BITS + 1) * SUB_COUNT)

struct pu_histogram
{
  guint64 buckets[BUCKETS];
  guint64 count;
  guint64 max;
  double sum;
};

pu_histogram_t *
pu_histogram_new (void)
{
  return g_new0 (pu_histogram_t, 1);
}

void
pu_histogram_free (pu_histogram_t *h)
{
  g_free (h);
}

/* How many low bits of VALUE its bucket does not tell apart.  */
static guint
shift_of (guint64 value)
{
  guint high;

  if (value < 2 * SUB_COUNT)
    return 0;
  high = VALUE_BITS - 1 - (guint)__builtin_clzll (value);
  return high - SUB_BITS;
}

static guint
bucket_of (guint64 value)
{
  guint shift = shift_of (value);

  return (guint)(shift * SUB_COUNT + (value >> shift));
}

/* The greatest value that falls into BUCKET.  */
static guint64
bucket_bound (guint bucket)
{
  guint shift;
  guint64 top;

  if (bucket < 2 * SUB_COUNT)
    return bucket;
  shift = (guint)(bucket / SUB_COUNT) - 1;
  top = SUB_COUNT + bucket % SUB_COUNT;
  return (top << shift) + ((G_GUINT64_CONSTANT (1) << shift) - 1);
}

void
pu_histogram_add (pu_histogram_t *h, guint64 value)
{
  h->buckets[bucket_of (value)]++;
  h->count++;
  h->sum += (double)value;
  h->max = MAX (h->max, value);
}

void
pu_histogram_merge (pu_histogram_t *h, const pu_histogram_t *from)
{
  for (guint i = 0; i < BUCKETS; i++)
    h->buckets[i] += from->buckets[i];
  h->count += from->count;
  h->sum += from->sum;
  h->max = MAX (h->max, from->max);
}

guint64
pu_histogram_count (const pu_histogram_t *h)
{
  return h->count;
}

guint64
pu_histogram_max (const pu_histogram_t *h)
{
  return h->max;
}

double
pu_histogram_mean (const pu_histogram_t *h)
{
  return h->count == 0 ? 0 : h->sum / (double)h->count;
}

guint64
pu_histogram_quantile (const pu_histogram_t *h, double q)
{
  double share = q * (double)h->count;
  guint64 rank = (guint64)share;
  guint64 seen = 0;

  if ((double)rank < share || rank == 0)
    rank++;
  for (guint i = 0; i < BUCKETS; i++)
    {
      seen += h->buckets[i];
      if (seen >= rank)
        return MIN (bucket_bound (i), h->max);
    }
  return h->max;
}
