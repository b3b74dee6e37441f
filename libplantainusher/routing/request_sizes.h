#ifndef PU_ROUTING_REQUEST_SIZES_H
#define PU_ROUTING_REQUEST_SIZES_H

#include <glib.h>

G_BEGIN_DECLS

/*
 * request_sizes - the largest request of each team in the last ten minutes.
 *
 * Load pattern: a few large requests among many small ones.  A mean would not
 * show that a team's burst is smaller than one of its requests, which is then
 * admitted only now and then.
 *
 * Maxima are kept by the minute, so a request counts for ten to eleven
 * minutes.  Does no I/O and reads no clock.  Times are monotonic
 * milliseconds.
 */

typedef struct pu_request_sizes pu_request_sizes_t;

/* Maximum number of teams; requests of more teams are not counted.  The same
   as of the teams of a document.  */
#define PU_REQUEST_SIZES_TEAMS_MAX 4096

pu_request_sizes_t *pu_request_sizes_new (void);
void pu_request_sizes_free (pu_request_sizes_t *s);

/* pu_request_sizes_add - a request of TEAM states TOKENS; 0 (none) counts for
   nothing.  */
void pu_request_sizes_add (pu_request_sizes_t *s, const char *team,
                           guint64 tokens, guint64 now);

/* pu_request_sizes_each - calls FN for each team with a request in the last
   ten minutes, in no order: its name and the tokens of the largest one.  FN
   must not change S.  */
typedef void pu_request_sizes_fn (void *data, const char *team,
                                  guint64 tokens);
void pu_request_sizes_each (const pu_request_sizes_t *s, guint64 now,
                            pu_request_sizes_fn *fn, void *data);

G_END_DECLS

#endif
