#ifndef PU_STATE_HUNKS_H
#define PU_STATE_HUNKS_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * hunks - a text as pieces of another and what stands between them.
 *
 * Each hunk is a line: "=FROM,LENGTH" for bytes of the old text, "+LENGTH" for
 * so many new bytes, which follow the line.  Numbers are decimal.
 */

/* pu_hunks_make - the hunks that make NEXT, of N bytes, of OLD; to be freed
   with g_free.  Neither has a zero byte.  Pieces shorter than 32 bytes are not
   looked for.  Takes about a millisecond for 100 KB.  */
char *pu_hunks_make (const char *old, gsize old_n, const char *next, gsize n);

/* pu_hunks_apply - appends to OUT what HUNKS make of OLD.  False when they are
   malformed, name bytes that OLD has not got, or make more than MOST bytes in
   all; OUT then holds a part.  */
bool pu_hunks_apply (const char *hunks, const char *old, gsize old_n,
                     gsize most, GString *out);

G_END_DECLS

#endif
