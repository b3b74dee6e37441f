#ifndef PU_ROUTING_STEP_MODEL_H
#define PU_ROUTING_STEP_MODEL_H

#include "routing/estimate.h"

#include <glib.h>

G_BEGIN_DECLS

/*
 * step_model - the time between two events of a stream at an engine, with and
 * without unread prompts there.
 *
 * Load pattern: an engine executes one step after another.  While a prompt has
 * not been read completely, each step also reads a part of it and takes
 * several times as long, so that a prompt causes a pause in each stream at the
 * engine.  Engines differ in speed, and each is slower for short periods.
 *
 * All times are milliseconds at an engine of slowness 1; the caller divides
 * what it measures by the slowness, and multiplies what it predicts.  Without
 * unread prompts the time is a line over the concurrent requests.  With
 * unread prompts it is longer by the time to read them, but no longer than
 * the mean of events during which the engine read prompts all the time: one
 * event has only so many steps, and one step reads only so much.
 *
 * Does no I/O and reads no clock.
 */

typedef struct
{
  linear_fit_t idle; /* ms (y) by concurrent requests (x), no unread prompts */
  guint idle_count;
  double reading_ms; /* mean of events while prompts were read; 0: not known */
  double spread; /* mean absolute error of the prediction, as a logarithm */
} pu_step_model_t;

/* pu_step_model_init - initialises M without samples to STEP_MS.  */
void pu_step_model_init (pu_step_model_t *m, double step_ms);

/* pu_step_model_add - adds a sample: MS between two events, with LOAD
   concurrent requests.  UNREAD_BEFORE_MS and UNREAD_MS are the time to read
   the prompts that were unread at the first and at the second event.  */
void pu_step_model_add (pu_step_model_t *m, double load,
                        double unread_before_ms, double unread_ms, double ms);

/* pu_step_model_gap_ms - returns the expected time between two events with
   LOAD concurrent requests and prompts that take UNREAD_MS to read.  */
double pu_step_model_gap_ms (const pu_step_model_t *m, double load,
                             double unread_ms);

/* pu_step_model_over - returns the probability that a time that is expected to
   be EXPECTED_MS exceeds TARGET_MS, where SPREAD is the mean absolute error of
   its logarithm.  */
double pu_step_model_over (double expected_ms, double target_ms,
                           double spread);

G_END_DECLS

#endif
