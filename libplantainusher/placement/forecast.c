#include "placement/forecast.h"

#include <math.h>

#define DEFAULT_FAST_S 15.0
#define DEFAULT_MID_S 45.0
#define DEFAULT_SLOW_S 60.0
#define DEFAULT_HELD_S 200.0
#define DEFAULT_LEAD_S 10.0
#define DEFAULT_SIGMAS 4.0
#define MOST_GROWTH 1.5 /* of the trend, over the fast average */
#define MS_PER_S 1000.0
/* Requests at which a model's own estimate counts half: a dozen answers are
   enough for the least of them to be one that met no crowd.  */
#define FEW_REQUESTS 16.0
/* Times the mean of all models that is believed without that.  With it, a
   model that got two requests a second, told to take four to ten seconds
   each, no longer gets a load of the store for them: served on five days of
   trouble and high load rose from 0.729 to 0.747 and from 0.887 to 0.896 on
   two deployments of 21 engines.  */
#define BELIEVED_MEANS 2.0
/* Requests that the mean of all models looks back on.  */
#define COMMON_REQUESTS 100.0

void
pu_forecast_options_init (pu_forecast_options_t *o)
{
  o->fast_s = DEFAULT_FAST_S;
  o->mid_s = DEFAULT_MID_S;
  o->slow_s = DEFAULT_SLOW_S;
  o->peak_decay_s = DEFAULT_HELD_S;
  o->horizon_s = DEFAULT_LEAD_S;
  o->sigmas = DEFAULT_SIGMAS;
}

static double
believed_ms (const pu_forecast_t *f, const pu_forecast_request_stats_t *c,
             guint32 requests, double stream_ms)
{
  double most = BELIEVED_MEANS * c->request_ms * requests;
  double trust = f->seen / (f->seen + FEW_REQUESTS);

  if (c->request_ms <= 0 || stream_ms <= most)
    return stream_ms;
  return most + trust * (stream_ms - most);
}

static void
common_learn (pu_forecast_request_stats_t *c, guint32 requests,
              double stream_ms)
{
  double mean = stream_ms / requests;
  double newest = requests / (requests + COMMON_REQUESTS);

  c->request_ms = c->request_ms > 0
                      ? c->request_ms + newest * (mean - c->request_ms)
                      : mean;
}

void
pu_forecast_add (pu_forecast_t *f, pu_forecast_request_stats_t *c,
                 guint32 requests, double stream_ms)
{
  double ms;

  if (requests == 0)
    return;
  f->seen += requests;
  f->requests += requests;
  ms = believed_ms (f, c, requests, stream_ms);
  f->stream_s += ms / MS_PER_S;
  common_learn (c, requests, ms);
}

static double
weight (double period_s, double constant_s)
{
  return 1.0 - exp (-period_s / constant_s);
}

pu_forecast_weights_t
pu_forecast_get_weights (const pu_forecast_options_t *o, double period_s)
{
  pu_forecast_weights_t p;

  p.period_s = period_s;
  p.fast = weight (period_s, o->fast_s);
  p.mid = weight (period_s, o->mid_s);
  p.slow = weight (period_s, o->slow_s);
  p.held = weight (period_s, o->peak_decay_s);
  return p;
}

static void
start (pu_forecast_t *f, double sample)
{
  f->started = true;
  f->fast = sample;
  f->mid = sample;
  f->slow = sample;
  f->held = sample;
}

/* Standard deviation of the fast average for Poisson arrivals at the slow
   average's rate.  */
static double
deviation (const pu_forecast_t *f, const pu_forecast_options_t *o)
{
  return sqrt (f->slow * f->request_s / (2.0 * o->fast_s));
}

void
pu_forecast_advance (pu_forecast_t *f, const pu_forecast_options_t *o,
                     const pu_forecast_weights_t *p)
{
  double sample = f->stream_s / p->period_s;
  double slope;

  if (f->requests > 0)
    {
      double mean = f->stream_s / f->requests;

      f->request_s
          = f->started ? f->request_s + p->slow * (mean - f->request_s) : mean;
    }
  if (!f->started && f->requests > 0)
    start (f, sample);
  f->seen -= p->slow * f->seen;
  f->requests = 0;
  f->stream_s = 0;
  if (!f->started)
    return;

  f->fast += p->fast * (sample - f->fast);
  f->mid += p->mid * (sample - f->mid);
  f->slow += p->slow * (sample - f->slow);
  slope = (f->fast - f->mid) / (o->mid_s - o->fast_s);
  f->burst = f->fast > f->slow + o->sigmas * deviation (f, o);
  f->expected = MAX (f->slow, f->fast - deviation (f, o));
  if (f->burst)
    {
      double ahead = f->fast + MAX (0.0, slope) * o->horizon_s;

      f->expected = MIN (ahead, MOST_GROWTH * f->fast);
    }
  f->held += p->held * (f->expected - f->held);
  f->held = MAX (f->held, f->expected);
}
