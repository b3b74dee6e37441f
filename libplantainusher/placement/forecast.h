#ifndef PU_PLACEMENT_FORECAST_H
#define PU_PLACEMENT_FORECAST_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * forecast - the demand for one model in the near future, in streams.
 *
 * A stream is one request running at the speed of an uncontended engine; the
 * demand is the number of streams that would run at once.  A fast, a middle
 * and a slow exponential moving average are kept.  When the fast average
 * exceeds the slow one by more than random variation explains, the demand is
 * in a burst, and the forecast follows the fast average and its trend; else it
 * is the slow average, or the fast one less its standard deviation where that
 * is higher.  `peak` decays slowly, so that capacity is not given up in the
 * first quiet minute.
 *
 * The daemon that admits a request estimates how long it will run.  For a
 * model with few requests the estimate rests on one or two answers, which may
 * have run under contention, so what exceeds twice the mean of all models
 * counts only in part.
 */

typedef struct
{
  double fast_s; /* time constants of the averages */
  double mid_s;  /* the trend is that of the fast average against this one */
  double slow_s;
  double peak_decay_s; /* time constant by which `peak` decays */
  /* The trend is extrapolated this far: the time of a load.  */
  double horizon_s;
  double burst_sigmas; /* a burst begins this many standard deviations above
                          the slow average */
} pu_forecast_options_t;

typedef struct
{
  double fast; /* averages of the demand, in streams */
  double mid;
  double slow;
  double peak;              /* decaying peak of `expected` */
  double weighted_requests; /* requests, decayed like `slow` */
  double mean_request_s;    /* mean stream time of a request */
  double expected; /* streams expected when a load ordered now is ready */
  bool burst;
  bool started;            /* the averages have a first sample */
  guint32 period_requests; /* since the last advance */
  double period_stream_s;  /* stream time of period_requests */
} pu_forecast_t;

/* Statistics of the requests of all models.  */
typedef struct
{
  double mean_request_ms; /* mean stream time; 0: no request yet */
} pu_forecast_request_stats_t;

/* The weights of the newest sample in each average, for one period; the same
   for all models.  */
typedef struct
{
  double period_s;
  double fast_weight;
  double mid_weight;
  double slow_weight;
  double peak_weight;
} pu_forecast_weights_t;

void pu_forecast_options_init (pu_forecast_options_t *o);

/* pu_forecast_add - records REQUESTS that arrived, with an estimated stream
   time of STREAM_MS in all, in F and in the common statistics C.  */
void pu_forecast_add (pu_forecast_t *f, pu_forecast_request_stats_t *c,
                      guint32 requests, double stream_ms);

/* pu_forecast_get_weights - returns the weights for a period that lasts
   PERIOD_S seconds.  */
pu_forecast_weights_t pu_forecast_get_weights (const pu_forecast_options_t *o,
                                               double period_s);

/* pu_forecast_advance - ends a period: updates the averages and the forecast
   of F with the requests added since the last call.  P holds the weights for
   the length of the period.  */
void pu_forecast_advance (pu_forecast_t *f, const pu_forecast_options_t *o,
                          const pu_forecast_weights_t *p);

G_END_DECLS

#endif
