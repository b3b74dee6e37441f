#include "placement/forecast.h"

#include <math.h>

#define DEFAULT_FAST_S 15.0
#define DEFAULT_MID_S 45.0
#define DEFAULT_SLOW_S 60.0
#define DEFAULT_PEAK_DECAY_S 200.0
#define DEFAULT_HORIZON_S 10.0
#define DEFAULT_BURST_SIGMAS 4.0
/* Limit of the forecast in a burst, which follows the extrapolated trend, as a
   multiple of the fast average.  */
#define MAX_TREND_GROWTH 1.5
#define MS_PER_S 1000.0
/* Number of requests of a model at which the part of its estimate above the
   cap of CAP_MEANS counts half.  With more requests that part counts more:
   among a dozen answers, the shortest has probably run without contention.  */
#define TRUST_HALF_REQUESTS 16.0
/* Multiple of the mean stream time of all models up to which an estimate
   always counts in full.  The cap prevents a model with two requests a second,
   estimated at four to ten seconds each, from using one of the loads that the
   weights store serves.  On five days with faults and high load, the cap
   raised the share of requests served from 0.729 to 0.747 and from 0.887 to
   0.896 on two deployments of 21 engines.  */
#define CAP_MEANS 2.0
/* Number of requests over which the mean stream time of all models is
   averaged.  */
#define COMMON_MEAN_REQUESTS 100.0

void
pu_forecast_options_init (pu_forecast_options_t *o)
{
  o->fast_s = DEFAULT_FAST_S;
  o->mid_s = DEFAULT_MID_S;
  o->slow_s = DEFAULT_SLOW_S;
  o->peak_decay_s = DEFAULT_PEAK_DECAY_S;
  o->horizon_s = DEFAULT_HORIZON_S;
  o->burst_sigmas = DEFAULT_BURST_SIGMAS;
}

/* Returns STREAM_MS, the estimate for REQUESTS, with the part above CAP_MEANS
   times the mean of all models reduced.  The more requests the model has had,
   the smaller the reduction.  */
static double
cap_estimate_ms (const pu_forecast_t *f, const pu_forecast_request_stats_t *c,
                 guint32 requests, double stream_ms)
{
  double cap_ms = CAP_MEANS * c->mean_request_ms * requests;
  double trust
      = f->weighted_requests / (f->weighted_requests + TRUST_HALF_REQUESTS);

  if (c->mean_request_ms <= 0 || stream_ms <= cap_ms)
    return stream_ms;
  return cap_ms + trust * (stream_ms - cap_ms);
}

static void
update_common_mean (pu_forecast_request_stats_t *c, guint32 requests,
                    double stream_ms)
{
  double mean = stream_ms / requests;
  double newest_weight = requests / (requests + COMMON_MEAN_REQUESTS);

  c->mean_request_ms
      = c->mean_request_ms > 0
            ? c->mean_request_ms + newest_weight * (mean - c->mean_request_ms)
            : mean;
}

void
pu_forecast_add (pu_forecast_t *f, pu_forecast_request_stats_t *c,
                 guint32 requests, double stream_ms)
{
  double ms;

  if (requests == 0)
    return;
  f->weighted_requests += requests;
  f->period_requests += requests;
  ms = cap_estimate_ms (f, c, requests, stream_ms);
  f->period_stream_s += ms / MS_PER_S;
  update_common_mean (c, requests, ms);
}

static double
smoothing_weight (double period_s, double constant_s)
{
  return 1.0 - exp (-period_s / constant_s);
}

pu_forecast_weights_t
pu_forecast_get_weights (const pu_forecast_options_t *o, double period_s)
{
  pu_forecast_weights_t p;

  p.period_s = period_s;
  p.fast_weight = smoothing_weight (period_s, o->fast_s);
  p.mid_weight = smoothing_weight (period_s, o->mid_s);
  p.slow_weight = smoothing_weight (period_s, o->slow_s);
  p.peak_weight = smoothing_weight (period_s, o->peak_decay_s);
  return p;
}

static void
start_averages (pu_forecast_t *f, double sample)
{
  f->started = true;
  f->fast = sample;
  f->mid = sample;
  f->slow = sample;
  f->peak = sample;
}

/* Returns the standard deviation that the fast average has when requests
   arrive as a Poisson process at the rate of the slow average.  */
static double
fast_deviation (const pu_forecast_t *f, const pu_forecast_options_t *o)
{
  return sqrt (f->slow * f->mean_request_s / (2.0 * o->fast_s));
}

void
pu_forecast_advance (pu_forecast_t *f, const pu_forecast_options_t *o,
                     const pu_forecast_weights_t *p)
{
  double sample = f->period_stream_s / p->period_s;
  double slope;

  if (f->period_requests > 0)
    {
      double mean = f->period_stream_s / f->period_requests;

      f->mean_request_s
          = f->started ? f->mean_request_s
                             + p->slow_weight * (mean - f->mean_request_s)
                       : mean;
    }
  if (!f->started && f->period_requests > 0)
    start_averages (f, sample);
  f->weighted_requests -= p->slow_weight * f->weighted_requests;
  f->period_requests = 0;
  f->period_stream_s = 0;
  if (!f->started)
    return;

  f->fast += p->fast_weight * (sample - f->fast);
  f->mid += p->mid_weight * (sample - f->mid);
  f->slow += p->slow_weight * (sample - f->slow);
  slope = (f->fast - f->mid) / (o->mid_s - o->fast_s);
  f->burst = f->fast > f->slow + o->burst_sigmas * fast_deviation (f, o);
  f->expected = MAX (f->slow, f->fast - fast_deviation (f, o));
  if (f->burst)
    {
      double ahead = f->fast + MAX (0.0, slope) * o->horizon_s;

      f->expected = MIN (ahead, MAX_TREND_GROWTH * f->fast);
    }
  f->peak += p->peak_weight * (f->expected - f->peak);
  f->peak = MAX (f->peak, f->expected);
}
