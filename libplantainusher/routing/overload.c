#include "routing/overload.h"

#include <string.h>

enum
{
  SPAN_MS = 500,
  EXCESS_MIN = 4,     /* requests more that came than started */
  BUSY_SPANS_MIN = 3, /* spans in which some came */
};

static pu_overload_span_t *
span_at (pu_overload_t *o, guint64 number)
{
  return &o->spans[number % G_N_ELEMENTS (o->spans)];
}

/* Begins the span of NOW; those in which nothing was counted are empty.  */
static void
advance (pu_overload_t *o, guint64 now)
{
  guint64 number = now / SPAN_MS;

  if (number >= o->number + G_N_ELEMENTS (o->spans))
    {
      memset (o->spans, 0, sizeof o->spans);
      o->number = number;
    }
  while (o->number < number)
    {
      o->number++;
      *span_at (o, o->number) = (pu_overload_span_t){ 0 };
    }
}

void
pu_overload_came (pu_overload_t *o, guint64 now)
{
  advance (o, now);
  span_at (o, o->number)->came++;
}

void
pu_overload_started (pu_overload_t *o, guint64 now)
{
  advance (o, now);
  span_at (o, o->number)->started++;
}

/* Returns the sums of the spans before the present one.  */
static pu_overload_span_t
sums (pu_overload_t *o, guint64 now)
{
  pu_overload_span_t all = { 0 };

  advance (o, now);
  for (guint i = 1; i <= PU_OVERLOAD_SPANS; i++)
    {
      const pu_overload_span_t *s
          = span_at (o, o->number + G_N_ELEMENTS (o->spans) - i);

      all.came += s->came;
      all.started += s->started;
    }
  return all;
}

bool
pu_overload_lasts (pu_overload_t *o, guint64 now)
{
  pu_overload_span_t all = sums (o, now);
  guint busy_spans = 0;

  for (guint i = 1; i <= PU_OVERLOAD_SPANS; i++)
    {
      const pu_overload_span_t *s
          = span_at (o, o->number + G_N_ELEMENTS (o->spans) - i);

      if (s->came < s->started)
        return false;
      busy_spans += s->came > 0;
    }
  return all.came >= all.started + EXCESS_MIN && busy_spans >= BUSY_SPANS_MIN;
}

double
pu_overload_starts_per_ms (pu_overload_t *o, guint64 now)
{
  return (double)sums (o, now).started / (PU_OVERLOAD_SPANS * SPAN_MS);
}

double
pu_overload_ratio (pu_overload_t *o, guint64 now)
{
  pu_overload_span_t all = sums (o, now);

  return MAX ((double)all.came / MAX (all.started, 1), 1);
}
