#ifndef PU_BASE_LOG_H
#define PU_BASE_LOG_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * log - one JSON object a line on standard output, by GLib and jansson.
 *
 * PART is the slice's name, such as "journal"; it becomes the GLib log domain
 * and the member "part".  The message is a short sentence; what decided, and
 * the id of the request that it is about, are members of their own:
 *   {"time": "2026-12-02T18:30:00.123Z", "level": "info", "part": "entry",
 *    "message": "Refused.", "request": "9c41", "reason": "deadline"}
 *
 * A line never waits for whoever reads the output: while that is full, lines
 * are kept up to a limit, then dropped, counted, and their number is told. The
 * same holds for lines beyond so many in a second.
 */

#define pu_log_debug(part, ...) g_log (part, G_LOG_LEVEL_DEBUG, __VA_ARGS__)
#define pu_log_info(part, ...) g_log (part, G_LOG_LEVEL_INFO, __VA_ARGS__)
#define pu_log_note(part, ...) g_log (part, G_LOG_LEVEL_MESSAGE, __VA_ARGS__)
#define pu_log_warn(part, ...) g_log (part, G_LOG_LEVEL_WARNING, __VA_ARGS__)

/* A member of a line, besides the message.  */
typedef struct
{
  const char *key;
  const char *text; /* NULL: a number */
  gint64 number;
} pu_log_field_t;

/* The value of a text may be NULL: it is left out then.  */
#define PU_LOG_TEXT(name, value)                                              \
  {                                                                           \
    .key = (name), .text = (value) != NULL ? (value) : "", .number = 0        \
  }
#define PU_LOG_NUMBER(name, value)                                            \
  {                                                                           \
    .key = (name), .text = NULL, .number = (gint64)(value)                    \
  }

/* pu_log_event - a line at level "info" with members of its own.  Costs a
   comparison when that level is not in force.  */
#define pu_log_event(part, message, ...)                                      \
  do                                                                          \
    {                                                                         \
      if (pu_log_is_on ("info"))                                              \
        {                                                                     \
          const pu_log_field_t fields_[] = { __VA_ARGS__ };                   \
                                                                              \
          pu_log_fields (part, message, fields_, G_N_ELEMENTS (fields_));     \
        }                                                                     \
    }                                                                         \
  while (0)

void pu_log_fields (const char *part, const char *message,
                    const pu_log_field_t *fields, gsize n);

/* pu_log_init - sends all log lines through the writer of this module, at
   level "info".  Call it once, before the first line; without it, events are
   not written.  */
void pu_log_init (void);

/* pu_log_set_level - "debug", "info", "note" or "warn".  Returns false and
   changes nothing for another word.  May be called at any time.  */
bool pu_log_set_level (const char *level);

/* pu_log_level - the name of the level in force.  */
const char *pu_log_level (void);

/* pu_log_is_on - whether lines of LEVEL are written now.  */
bool pu_log_is_on (const char *level);

/* pu_log_flush - writes what is kept, as far as the reader takes it.  Lines of
   level "info" and below wait for this call, or until a few KB are kept; the
   others don't wait.  */
void pu_log_flush (void);

/* pu_log_dropped - lines that were never written, since the start.  */
guint64 pu_log_dropped (void);

/* pu_log_limited - true at most once in PERIOD_MS for the same LAST, which
   the caller keeps; for lines that a peer could cause without end.  */
bool pu_log_limited (guint64 *last, guint64 now_ms, guint64 period_ms);

G_END_DECLS

#endif
