#ifndef PU_PLACEMENT_FORECAST_H
#define PU_PLACEMENT_FORECAST_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * forecast - the demand for one model in the near future, in streams.
 *
 * A stream is one request running at the speed of an uncontended engine; the
 * demand is the number of streams that would run at the same time.  The stream
 * time of a request is the time that it takes at this speed.  The forecast
 * computes a fast, a middle and a slow exponential moving average of the
 * demand.  When the fast average exceeds the slow one by more than random
 * variation explains, the demand is in a burst, and the forecast follows the
 * fast average and its trend.  Otherwise the forecast is the slow average, or
 * the fast one less its standard deviation if that is higher.  The field
 * `peak` decays slowly, so that copies are not unloaded in the first minute
 * with few requests.
 *
 * The daemon that admits a request estimates its stream time.  For a model
 * with few requests the estimate is based on one or two answers, which may
 * have been slowed by contention.  Therefore the part of an estimate that
 * exceeds twice the mean of all models counts only partly.
 */

typedef struct
{
  double fast_s; /* time constants of the fast, middle and slow average */
  double mid_s;  /* the trend is computed from the difference between the fast
                    and the middle average */
  double slow_s;
  double peak_decay_s; /* time constant of the decay of `peak` */
  /* Time by which the trend is extrapolated: the time that a load takes.  */
  double horizon_s;
  double burst_sigmas; /* a burst begins when the fast average exceeds the slow
                          one by this many standard deviations */
} pu_forecast_options_t;

typedef struct
{
  double fast; /* fast, middle and slow average of the demand, in streams */
  double mid;
  double slow;
  double peak;              /* decaying peak of `expected`, in streams */
  double weighted_requests; /* number of requests, decayed like `slow` */
  double mean_request_s;    /* mean stream time of a request, in seconds */
  double expected; /* demand in streams that is expected when a load ordered
                      now is ready */
  bool burst;
  bool started;            /* the averages have a first sample */
  guint32 period_requests; /* requests since the last pu_forecast_advance */
  double period_stream_s;  /* total stream time of the requests in
                              period_requests, in seconds */
} pu_forecast_t;

/* Statistics of the requests of all models.  */
typedef struct
{
  double mean_request_ms; /* mean stream time of a request in milliseconds; 0:
                             no request yet */
} pu_forecast_request_stats_t;

/* The weights that the newest sample gets in each average, for periods of
   period_s seconds; they are the same for all models.  */
typedef struct
{
  double period_s;
  double fast_weight;
  double mid_weight;
  double slow_weight;
  double peak_weight;
} pu_forecast_weights_t;

void pu_forecast_options_init (pu_forecast_options_t *o);

/* pu_forecast_add - records in F, and in C, the statistics of all models, that
   REQUESTS arrived.  STREAM_MS is their estimated total stream time in
   milliseconds.  */
void pu_forecast_add (pu_forecast_t *f, pu_forecast_request_stats_t *c,
                      guint32 requests, double stream_ms);

/* pu_forecast_get_weights - returns the weights for a period that lasts
   PERIOD_S seconds.  */
pu_forecast_weights_t pu_forecast_get_weights (const pu_forecast_options_t *o,
                                               double period_s);

/* pu_forecast_advance - ends a period: updates the averages and the forecast
   of F with the requests added since the last call.  P holds the weights for a
   period of this length.  */
void pu_forecast_advance (pu_forecast_t *f, const pu_forecast_options_t *o,
                          const pu_forecast_weights_t *p);

G_END_DECLS

#endif
