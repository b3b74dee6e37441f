#ifndef FAKES_RUN_H
#define FAKES_RUN_H

#include <glib.h>
#include <popt.h>
#include <stdbool.h>
#include <uv.h>

G_BEGIN_DECLS

/*
 * run - what the main functions of the fakes share: options and signals.
 */

/* fake_run_options - reads the command line by TABLE, logs included; ends the
   process with 2 on a bad one.  */
void fake_run_options (int argc, char **argv, struct poptOption *table);

/* fake_run_on_term - calls CB with DATA for each SIGTERM and SIGINT.  */
void fake_run_on_term (uv_loop_t *loop, void (*cb) (void *data), void *data);

/* fake_run_fail - prints MESSAGE and ends the process with 1.  */
G_NORETURN void fake_run_fail (const char *message);

G_END_DECLS

#endif
