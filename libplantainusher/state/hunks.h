#ifndef PU_STATE_HUNKS_H
#define PU_STATE_HUNKS_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * hunks - a target text as copies from a base text and inserted bytes.
 *
 * Each hunk begins with a line.  "=OFFSET,LENGTH" copies LENGTH bytes of the
 * base from OFFSET; "+LENGTH" inserts the LENGTH bytes that follow the line.
 * Numbers are decimal.
 */

/* pu_hunks_diff - returns the hunks that make TARGET, of TARGET_LEN bytes,
   from BASE, of BASE_LEN bytes; free them with g_free.  Neither text may
   contain a zero byte.  Common runs shorter than 32 bytes are not searched
   for, and those of up to 600 bytes may be missed where much text before them
   is new.  */
char *pu_hunks_diff (const char *base, gsize base_len, const char *target,
                     gsize target_len);

/* pu_hunks_apply - applies HUNKS to BASE, of BASE_LEN bytes, and appends the
   result to OUT.  Returns false when HUNKS are malformed, copy from outside of
   BASE or give more than MAX_LEN bytes; OUT then holds a part of the
   result.  */
bool pu_hunks_apply (const char *hunks, const char *base, gsize base_len,
                     gsize max_len, GString *out);

G_END_DECLS

#endif
