#ifndef PU_BASE_LOG_H
#define PU_BASE_LOG_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * log - short sentences with a fixed prefix for each part, by GLib.
 *
 * PART is the slice's name, such as "journal"; it becomes the GLib log domain
 * and the prefix of the line.  A line on standard error reads:
 *   2026-12-02T18:30:00.123Z info journal: Cut a torn tail of 17 bytes.
 */

#define pu_log_debug(part, ...) g_log (part, G_LOG_LEVEL_DEBUG, __VA_ARGS__)
#define pu_log_info(part, ...) g_log (part, G_LOG_LEVEL_INFO, __VA_ARGS__)
#define pu_log_note(part, ...) g_log (part, G_LOG_LEVEL_MESSAGE, __VA_ARGS__)
#define pu_log_warn(part, ...) g_log (part, G_LOG_LEVEL_WARNING, __VA_ARGS__)

/* pu_log_init - sends all log lines through the writer of this module, at
   level "info".  Call it once, before the first line.  */
void pu_log_init (void);

/* pu_log_set_level - "debug", "info", "note" or "warn".  Returns false and
   changes nothing for another word.  May be called at any time.  */
bool pu_log_set_level (const char *level);

/* pu_log_level - the name of the level in force.  */
const char *pu_log_level (void);

/* pu_log_limited - true at most once in PERIOD_MS for the same LAST, which
   the caller keeps; for lines that a peer could cause without end.  */
bool pu_log_limited (guint64 *last, guint64 now_ms, guint64 period_ms);

G_END_DECLS

#endif
