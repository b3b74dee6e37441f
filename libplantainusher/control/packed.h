#ifndef PU_CONTROL_PACKED_H
#define PU_CONTROL_PACKED_H

#include <glib.h>
#include <stdbool.h>

#include "base/error.h"

G_BEGIN_DECLS

/*
 * packed - compression of what voters send to many daemons (Zstandard,
 * RFC 8878).
 *
 * It does no I/O.  Equal contents have equal compressed bytes in processes of
 * the same library version.
 */

/* pu_packed_new - returns CONTENT compressed.  */
GBytes *pu_packed_new (GBytes *content);

/* pu_packed_size_max - returns the most bytes that N bytes of content have
   when compressed.  */
size_t pu_packed_size_max (size_t n);

/* pu_packed_size - returns the size of the content that the N bytes of PACKED
   state; G_MAXSIZE: they state none.  */
size_t pu_packed_size (const void *packed, size_t n);

/* pu_packed_content - returns the content of the N bytes of PACKED, which must
   have exactly SIZE bytes.  Returns NULL with PU_ERROR_TOO_LARGE, before
   memory is allocated for it, when SIZE is above MAX, and with
   PU_ERROR_CORRUPT when PACKED is damaged, truncated or of another size.  */
GBytes *pu_packed_content (const void *packed, size_t n, size_t size,
                           size_t max, pu_error_t *e);

G_END_DECLS

#endif
