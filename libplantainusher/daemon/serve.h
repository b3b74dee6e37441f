#ifndef PU_DAEMON_SERVE_H
#define PU_DAEMON_SERVE_H

#include <glib.h>

G_BEGIN_DECLS

/*
 * serve - the command that is a daemon.
 */

typedef struct
{
  const char *settings_path; /* the settings file (settings/settings.h) */
} pu_serve_options_t;

/* pu_serve_main - runs a daemon until SIGTERM or SIGINT, gracefully; a second
   signal gives up what is still open.  SIGHUP reads the settings again.
   Returns the exit code of the process: 0 after a planned stop, 1 when the
   settings have findings (each is printed), 9 when it cannot start.  */
int pu_serve_main (const pu_serve_options_t *o);

G_END_DECLS

#endif
