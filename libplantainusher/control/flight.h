#ifndef PU_CONTROL_FLIGHT_H
#define PU_CONTROL_FLIGHT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * flight - limits the bytes of bulk data that a voter has sent to daemons and
 * that they have not received yet.
 *
 * Load pattern: hundreds of daemons lack the same large document or image at
 * the same moment, as after a start of all instances.  If all were answered at
 * once, heartbeats and replies would wait behind megabytes on the voter's
 * link, daemons would time out and ask another voter for the same bytes, and
 * the send buffers would take memory in proportion to the daemons.
 *
 * A daemon's next call shows that it has received what it was sent.  A daemon
 * that makes none for EXPIRY_MS no longer counts, so that lost daemons do not
 * stop the others; it is sent nothing more until it calls.
 *
 * It does no I/O and reads no clock.  Times are monotonic milliseconds.
 */

typedef struct pu_flight pu_flight_t;

/* pu_flight_new - at most BYTES_MAX bytes are in flight.  */
pu_flight_t *pu_flight_new (size_t bytes_max, uint64_t expiry_ms);
void pu_flight_free (pu_flight_t *f);

/* pu_flight_admit - whether N bytes may be sent to READER at NOW; if so, they
   are in flight.  More than BYTES_MAX bytes are admitted when nothing else is
   in flight.  */
bool pu_flight_admit (pu_flight_t *f, const char *reader, size_t n,
                      uint64_t now);

/* pu_flight_receive - READER has received all that it was sent.  Returns
   whether that was anything.  */
bool pu_flight_receive (pu_flight_t *f, const char *reader);

/* pu_flight_expire - forgets what was sent EXPIRY_MS before NOW or earlier.
   Returns whether that was anything.  */
bool pu_flight_expire (pu_flight_t *f, uint64_t now);

/* pu_flight_bytes - returns the bytes in flight.  */
size_t pu_flight_bytes (const pu_flight_t *f);

G_END_DECLS

#endif
