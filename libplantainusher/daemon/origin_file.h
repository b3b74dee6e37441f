#ifndef PU_DAEMON_ORIGIN_FILE_H
#define PU_DAEMON_ORIGIN_FILE_H

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

#include "base/counters.h"
#include "log/journal.h"

G_BEGIN_DECLS

/*
 * origin_file - the file "origins" in the data folder of a voter, with the
 * origins of streams that this instance keeps (routing/origin_records.h).
 *
 * What is added within PU_ORIGIN_FILE_FLUSH_MS is written and synced at once,
 * on libuv's thread pool, one write after the other.  Nothing waits for a
 * write.  After the first error the file is removed and nothing more is
 * written: the records that it lacks could be those that make an origin
 * unknown.
 */

#define PU_ORIGIN_FILE_FLUSH_MS 250

typedef struct pu_origin_file pu_origin_file_t;

/* Called for each record of the file; LIFE_MS is left of its life.  */
typedef void pu_origin_file_fn (guint64 key, const char *version,
                                guint life_ms, void *data);

typedef struct
{
  uv_loop_t *loop;
  const char *folder; /* exists */
  /* NULL: the operating system's file system calls */
  const pu_journal_fs_t *fs;
  pu_counters_t *counters; /* may be NULL */
  pu_origin_file_fn *loaded;
  void *data;
} pu_origin_file_options_t;

/* pu_origin_file_new - reads the file and calls `loaded` for its records that
   are still valid.  A file in another format is renamed to "lost-origins".
   Never fails: without a usable file, nothing is kept.  */
pu_origin_file_t *pu_origin_file_new (const pu_origin_file_options_t *o);

/* pu_origin_file_free - a write under way is finished by itself; what was
   added after it is not written.  The loop must run until the handles are
   closed.  */
void pu_origin_file_free (pu_origin_file_t *f);

/* pu_origin_file_add - VERSION began the stream KEY, which can be resumed for
   LIFE_MS.  */
void pu_origin_file_add (pu_origin_file_t *f, guint64 key, const char *version,
                         guint life_ms);

/* pu_origin_file_is_usable - false after the first error.  */
bool pu_origin_file_is_usable (const pu_origin_file_t *f);

G_END_DECLS

#endif
