#ifndef PU_STATE_SERVED_H
#define PU_STATE_SERVED_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "state/generated/state_msg.h"

G_BEGIN_DECLS

/*
 * served - which software versions backend servers had that serve no more, or
 * not with that version, so that a stream of such a version is not resumed as
 * one of the only version.
 *
 * The load: versions change a few times a day, while backend servers come and
 * go all the time.  A row is added whenever a server that was up goes down or
 * is replaced by its own next start; whether others still have its version
 * does not matter.  So there are few rows, and each is small.
 *
 * Deterministic: no clock.  The leader of the log tells the time in a command;
 * a row without a time gets it then, later than its server went, and is
 * dropped after PU_SERVED_LIFE_MS, as long as a stream can be resumed.
 */

/* How long a version counts after its last server was seen, by the wall times
   of leaders; the difference of their clocks is added or taken off.  */
#define PU_SERVED_LIFE_MS 600000u

/* Rows of one service, and of all.  When the oldest is dropped for room, the
   versions of the service, or of all services, are not known.  */
#define PU_SERVED_SERVICE_MAX 64
#define PU_SERVED_MAX 1024

typedef struct
{
  char *service;     /* "": all services */
  char *version;     /* "": not known */
  uint64_t position; /* of the log, when the last server went; later rows have
                        higher positions */
  uint64_t wall;     /* ms since 1970, at or after that; 0: not known yet */
} pu_served_row_t;

typedef struct pu_served pu_served_t;

/* pu_served_new - returns an empty table; free it with pu_served_free.  */
pu_served_t *pu_served_new (void);
void pu_served_free (pu_served_t *t);

/* pu_served_add - at log position POSITION, a backend server of SERVICE with
   VERSION ("": not known) ceased to serve.  A row of an earlier one is
   replaced.  */
void pu_served_add (pu_served_t *t, const char *service, const char *version,
                    uint64_t position);

/* pu_served_set_unknown - what versions any service had before POSITION is not
   known.  */
void pu_served_set_unknown (pu_served_t *t, uint64_t position);

/* pu_served_set_time - it is WALL ms since 1970: rows without a time get it,
   rows older than PU_SERVED_LIFE_MS are dropped.  */
void pu_served_set_time (pu_served_t *t, uint64_t wall);

/* pu_served_lacks_time - whether a row has no time yet.  */
bool pu_served_lacks_time (const pu_served_t *t);

/* pu_served_each - calls FN with DATA for each row, the oldest first.  */
typedef void pu_served_fn (const pu_served_row_t *row, void *data);
void pu_served_each (const pu_served_t *t, pu_served_fn *fn, void *data);

/*
 * An image of the state holds the table as the record of a backend server that
 * is down, has an incarnation that no server has, and holds facts only
 * (state/software.h).  A member of its own would change the encoding of
 * images, which instances of an earlier release could not decode; they take it
 * for a server that never serves.  Its sequence number is the position of the
 * image, so that a table that an earlier release has passed on, and has not
 * kept up, is told apart.
 */

/* pu_served_to_record - returns the record for an image at POSITION; free it
   with pu_codec_free.  */
pu_backend_record *pu_served_to_record (const pu_served_t *t,
                                        uint64_t position);

/* pu_served_is_record - whether B is such a record.  */
bool pu_served_is_record (const pu_backend_record *b);

/* pu_served_load - replaces the rows of T by those of B, which
   pu_served_is_record.  Returns false, with T empty, when B does not belong to
   an image at POSITION or is malformed.  */
bool pu_served_load (pu_served_t *t, const pu_backend_record *b,
                     uint64_t position);

G_END_DECLS

#endif
