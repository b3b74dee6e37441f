#ifndef PU_DAEMON_DAEMON_H
#define PU_DAEMON_DAEMON_H

#include <stdbool.h>
#include <uv.h>

#include "base/error.h"
#include "settings/settings.h"

G_BEGIN_DECLS

/*
 * daemon - one instance's process: its parts, made from the settings and
 * joined by hooks.
 *
 * Every daemon has a server for its peers, an agent and the operators'
 * listener; the entry role adds the callers' listener, the control role a
 * voter.  The daemon owns its parts and frees them in the reverse order.
 */

typedef struct pu_daemon pu_daemon_t;

/* pu_daemon_new - builds and starts all parts on LOOP.  Takes S over when it
   succeeds.  NULL and E when an address, a folder or a file cannot be used. */
pu_daemon_t *pu_daemon_new (uv_loop_t *loop, pu_settings_t *s, pu_error_t *e);

/* pu_daemon_stop - the planned stop: no new callers are sent here, the
   requests in progress are finished, the lead is handed over; then STOPPED is
   called once.  A second call gives up what is still open.  */
void pu_daemon_stop (pu_daemon_t *d, void (*stopped) (void *data), void *data);

/* pu_daemon_reload - takes S over: what may change at run time is in force at
   once, the fields that need a restart keep their value and are logged.  */
void pu_daemon_reload (pu_daemon_t *d, pu_settings_t *s);

/* pu_daemon_free - after STOPPED.  The loop must run until its handles are
   closed.  */
void pu_daemon_free (pu_daemon_t *d);

G_END_DECLS

#endif
