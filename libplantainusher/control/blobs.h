#ifndef PU_CONTROL_BLOBS_H
#define PU_CONTROL_BLOBS_H

#include <glib.h>
#include <stdbool.h>

#include "control/generated/control_msg.h"

G_BEGIN_DECLS

/*
 * blobs - bounded table of the large entries and images that daemons fetch,
 * each compressed once.
 *
 * It does no I/O and reads no clock.
 */

typedef struct pu_blobs pu_blobs_t;

/* pu_blobs_new - returns an empty table that keeps the BLOBS_MAX blobs used
   last, of at most BYTES_MAX compressed bytes; the newest is always kept.  */
pu_blobs_t *pu_blobs_new (guint blobs_max, size_t bytes_max);
void pu_blobs_free (pu_blobs_t *b);

/* pu_blobs_get - returns the blob of CONTENT, the image as of POSITION or the
   entry there; compresses it if the table lacks it.  Valid until the table
   changes.  */
const pu_blob *pu_blobs_get (pu_blobs_t *b, bool image, uint64_t position,
                             GBytes *content);

/* pu_blobs_find - returns the description of the blob ID, and its compressed
   bytes in *PACKED, which belong to the table; or NULL.  */
const pu_blob *pu_blobs_find (pu_blobs_t *b, uint64_t id, GBytes **packed);

/* pu_blob_id - returns the id of a blob with the N compressed bytes of
   PACKED.  */
uint64_t pu_blob_id (const void *packed, size_t n);

/* pu_blobs_bytes - returns the compressed bytes in the table.  */
size_t pu_blobs_bytes (const pu_blobs_t *b);

G_END_DECLS

#endif
