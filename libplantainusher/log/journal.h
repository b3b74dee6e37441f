#ifndef PU_LOG_JOURNAL_H
#define PU_LOG_JOURNAL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "base/error.h"
#include "log/replica.h"

G_BEGIN_DECLS

/*
 * journal - one log on disk, under one folder.
 *
 *   meta          two checksummed slots, both written and synced one after
 *                 the other, so that damage to one loses nothing
 *   log-SEQ       segments of checksummed batches; a batch is one group sync
 *   snap-INDEX    snapshots: written aside, synced, renamed, folder synced
 *   lost-*        files set aside from a damaged or spent identity
 *
 * Writes are gathered and go out as one batch with one sync; while that runs,
 * on libuv's thread pool, the next batch gathers.  A failed write or sync
 * fails the journal for good: no later success is ever reported.  A write that
 * finds the disk full is the exception: nothing of it was reported, and it is
 * made again, from its start, until there is room.
 */

/* The file system calls, all blocking; run on the loop's thread at start-up
   and on the thread pool later.  Each returns 0 or more, or -errno.  */
typedef struct pu_journal_fs
{
  int (*open) (void *data, const char *path, int flags);
  int64_t (*write) (void *data, int fd, const void *p, size_t n, int64_t at);
  int (*sync) (void *data, int fd);
  int (*truncate) (void *data, int fd, int64_t size);
  /* Keeps other processes out for as long as FD is open.  */
  int (*lock) (void *data, int fd);
  int (*close) (void *data, int fd);
  int (*rename) (void *data, const char *from, const char *to);
  int (*unlink) (void *data, const char *path);
  int (*mkdir) (void *data, const char *path);
  int (*sync_folder) (void *data, const char *path);
  /* The whole file as new bytes in *OUT.  */
  int (*read) (void *data, const char *path, GBytes **out);
  /* The names in a folder, added to NAMES (char *, owned).  */
  int (*list) (void *data, const char *path, GPtrArray *names);
  void *data;
} pu_journal_fs_t;

/* pu_journal_fs_system - the operating system's calls.  */
const pu_journal_fs_t *pu_journal_fs_system (void);

typedef struct pu_journal pu_journal_t;

/* Called on the loop: writes up to TICKET are durable.  */
typedef void pu_journal_synced_fn (uint64_t ticket, void *data);
/* Called on the loop: the snapshot at INDEX is durable.  */
typedef void pu_journal_saved_fn (uint64_t index, void *data);
/* Called once, on the loop: the journal failed for good.  */
typedef void pu_journal_failed_fn (const pu_error_t *e, void *data);

typedef struct
{
  uv_loop_t *loop; /* NULL: only pu_journal_flush works */
  const char *folder;
  const pu_journal_fs_t *fs; /* NULL: the operating system's */
  uint64_t segment_bytes;    /* 8 MiB: a segment is closed at this size */
  bool sync_each_entry;      /* one sync an entry: the baseline of the bench */
  pu_journal_synced_fn *synced;
  pu_journal_saved_fn *saved;
  pu_journal_failed_fn *failed;
  void *data;
} pu_journal_options_t;

void pu_journal_options_init (pu_journal_options_t *o);

/* pu_journal_open - opens the folder (made when missing) and fills IMAGE with
   what it holds.  IMAGE->meta.id is 0 in an empty folder: then make an
   identity and call pu_journal_create.  A batch cut off by a crash at the very
   end is dropped.  Returns NULL with PU_ERROR_CORRUPT when anything that was
   synced is damaged or missing, PU_ERROR_IO when the system refuses.  */
pu_journal_t *pu_journal_open (const pu_journal_options_t *o,
                               pu_disk_image_t *image, pu_error_t *e);

/* pu_journal_create - writes identity ID into an empty folder, durably.  */
bool pu_journal_create (pu_journal_t *j, uint64_t id, pu_error_t *e);

/* pu_journal_set_aside - renames all files of the folder to lost-NAME (over
   earlier ones), durably, so that it opens as empty.  */
bool pu_journal_set_aside (const char *folder, const pu_journal_fs_t *fs,
                           pu_error_t *e);

/* pu_journal_had_identity - whether files were set aside in FOLDER: an earlier
   identity lived there.  */
bool pu_journal_had_identity (const char *folder, const pu_journal_fs_t *fs);

/* pu_journal_free - closes the files.  Nothing may be under way: see
   pu_journal_busy.  */
void pu_journal_free (pu_journal_t *j);

/* pu_journal_queue_entries, _meta, _save - gather a write; tickets must rise.
   _save is done beside the batches and reported by `saved`; INSTALLED voids
   all entries gathered or written before.  */
void pu_journal_queue_entries (pu_journal_t *j, uint64_t ticket,
                               const GPtrArray *entries, uint64_t commit);
void pu_journal_queue_meta (pu_journal_t *j, uint64_t ticket,
                            const pu_log_meta *m);
void pu_journal_queue_snapshot (pu_journal_t *j, const pu_snapshot_t *s,
                                bool installed);

/* pu_journal_start - hands what was gathered to the thread pool, unless a
   batch is under way; it goes on by itself until nothing is left.  */
void pu_journal_start (pu_journal_t *j);

/* pu_journal_flush - the same, blocking, with the callbacks called before it
   returns.  For start-up, tests and benchmarks.  Where the disk is full it
   fails, and the next flush goes on.  */
bool pu_journal_flush (pu_journal_t *j, pu_error_t *e);

/* pu_journal_stop - starts nothing more; what runs is finished.  */
void pu_journal_stop (pu_journal_t *j);

/* pu_journal_busy - whether the thread pool works for it.  */
bool pu_journal_busy (const pu_journal_t *j);
bool pu_journal_failed (const pu_journal_t *j);

typedef struct
{
  uint32_t segments;
  uint64_t bytes; /* of segments and the snapshot */
  uint64_t syncs;
  uint64_t batches;
  uint64_t entries;
  uint64_t cut;     /* bytes cut off the tail when it was opened */
  uint64_t sync_us; /* mean time of a write with its sync */
} pu_journal_stats_t;

void pu_journal_stats (const pu_journal_t *j, pu_journal_stats_t *s);

G_END_DECLS

#endif
