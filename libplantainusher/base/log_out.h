#ifndef PU_BASE_LOG_OUT_H
#define PU_BASE_LOG_OUT_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * log_out - lines on their way to standard output, which may be a pipe that
 * nobody empties.  Never waits.  For log.c alone.
 */

/* pu_log_out_line - takes LINE, without its end; NOW: it is written at once if
   the reader takes it, else with others.  */
void pu_log_out_line (const char *line, bool now);

/* pu_log_out_flush - writes what is kept, as far as the reader takes it.  */
void pu_log_out_flush (void);

/* pu_log_out_dropped - lines that were never written, since the start.  */
guint64 pu_log_out_dropped (void);

/* pu_log_out_to - writes to the descriptor FD from here on, for tests.  */
void pu_log_out_to (int fd);

G_END_DECLS

#endif
