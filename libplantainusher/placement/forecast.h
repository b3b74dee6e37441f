#ifndef PU_PLACEMENT_FORECAST_H
#define PU_PLACEMENT_FORECAST_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * forecast - the demand for one model in the near future, in streams.
 *
 * A stream is one request running at the speed of an engine that is not
 * crowded; the demand is the number of them that would run at once.  Moving
 * averages are kept, a fast, a middle and a slow one.  When the fast one
 * leaves the slow one by more than chance explains, the demand is in a burst
 * and is followed, with its trend; else the slow one holds.  `held` falls
 * slowly, so that capacity is not given up at the first quiet minute.
 *
 * How long a request will run is an estimate of who took it in.  That of a
 * model with few requests comes from one or two answers in whatever crowd
 * there was, and is believed only up to twice what requests take on average.
 */

typedef struct
{
  double fast_s; /* time constants */
  double mid_s;  /* against which the trend is taken */
  double slow_s;
  double peak_decay_s;
  double horizon_s; /* the trend is followed this far ahead: a load's time */
  double sigmas;    /* deviations of the fast average that make a burst */
} pu_forecast_options_t;

typedef struct
{
  double fast; /* streams */
  double mid;
  double slow;
  double held;      /* upper envelope */
  double seen;      /* requests, falling off as the slow average does */
  double request_s; /* mean seconds of stream for each request */
  double expected;  /* streams expected when a load ordered now is ready */
  bool burst;
  bool started;
  guint32 requests; /* since the last advance */
  double stream_s;  /* the same, seconds of stream */
} pu_forecast_t;

/* What a request takes, over all models.  */
typedef struct
{
  double request_ms; /* of stream, the mean; 0: none was seen */
} pu_forecast_request_stats_t;

/* The weights of one period, shared by all models.  */
typedef struct
{
  double period_s;
  double fast;
  double mid;
  double slow;
  double held;
} pu_forecast_weights_t;

void pu_forecast_options_init (pu_forecast_options_t *o);

/* pu_forecast_add - REQUESTS arrived, which are told to need STREAM_MS in
   all.  C learns from them too.  */
void pu_forecast_add (pu_forecast_t *f, pu_forecast_request_stats_t *c,
                      guint32 requests, double stream_ms);

/* pu_forecast_get_weights - the weights for a period of PERIOD_S seconds.  */
pu_forecast_weights_t pu_forecast_get_weights (const pu_forecast_options_t *o,
                                               double period_s);

/* pu_forecast_advance - closes a period: takes in what was added.  */
void pu_forecast_advance (pu_forecast_t *f, const pu_forecast_options_t *o,
                          const pu_forecast_weights_t *p);

G_END_DECLS

#endif
