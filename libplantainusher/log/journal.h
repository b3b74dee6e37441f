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
 * journal - the storage of one voter's log, in a folder that holds nothing
 * else.
 *
 *   meta          the metadata (identity, term, vote) in two checksummed
 *                 slots, written and synced one after the other, so that
 *                 damage to one loses nothing
 *   log-SEQ       segments of checksummed batches; a batch is one group commit
 *   snap-INDEX    snapshots: written to a temporary file, synced and renamed,
 *                 then the folder is synced
 *   lost-*        files set aside from an identity that was damaged or retired
 *
 * Writes are queued and written as one batch with one sync (group commit) on
 * libuv's thread pool; writes that are queued during the sync form the next
 * batch.  A failed write or sync fails the journal permanently: the journal
 * never reports a later success.  The exception is a write that finds the disk
 * full: nothing of that write was reported, so the journal repeats it from its
 * start until there is space.
 */

/* The file system calls.  All of them block; they run on the loop's thread at
   start-up and on the thread pool later.  Each returns 0 or more on success,
   or -errno.  */
typedef struct pu_journal_fs
{
  int (*open) (void *data, const char *path, int flags);
  int64_t (*write) (void *data, int fd, const void *p, size_t n, int64_t at);
  int (*sync) (void *data, int fd);
  int (*truncate) (void *data, int fd, int64_t size);
  /* Takes an exclusive lock on the file, which is released when FD is
     closed.  */
  int (*lock) (void *data, int fd);
  int (*close) (void *data, int fd);
  int (*rename) (void *data, const char *from, const char *to);
  int (*unlink) (void *data, const char *path);
  int (*mkdir) (void *data, const char *path);
  int (*sync_folder) (void *data, const char *path);
  /* Stores the contents of the file in *OUT, which the caller owns.  */
  int (*read) (void *data, const char *path, GBytes **out);
  /* Adds the names in the folder to NAMES (char *, owned).  */
  int (*list) (void *data, const char *path, GPtrArray *names);
  void *data;
} pu_journal_fs_t;

/* pu_journal_fs_system - returns the file system calls of the operating
   system.  */
const pu_journal_fs_t *pu_journal_fs_system (void);

typedef struct pu_journal pu_journal_t;

/* Called on the loop's thread: the writes up to TICKET are durable.  */
typedef void pu_journal_synced_fn (uint64_t ticket, void *data);
/* Called on the loop's thread: the snapshot at INDEX is durable.  */
typedef void pu_journal_saved_fn (uint64_t index, void *data);
/* Called once, on the loop's thread: the journal failed permanently.  */
typedef void pu_journal_failed_fn (const pu_error_t *e, void *data);

typedef struct
{
  uv_loop_t *loop; /* NULL: writes run only in pu_journal_flush */
  const char *folder;
  /* NULL: the operating system's file system calls */
  const pu_journal_fs_t *fs;
  /* default 8 MiB: size at which a new segment starts */
  uint64_t segment_bytes;
  bool sync_each_entry; /* one sync per entry; baseline of a benchmark */
  pu_journal_synced_fn *synced;
  pu_journal_saved_fn *saved;
  pu_journal_failed_fn *failed;
  void *data;
} pu_journal_options_t;

void pu_journal_options_init (pu_journal_options_t *o);

/* pu_journal_open - opens the folder, which is created when missing, and
   fills IMAGE with its contents.  IMAGE->meta.id is 0 for an empty folder:
   the caller must choose an identity and call pu_journal_create.  An
   incomplete batch at the end of the log, left by a crash, is dropped.
   Returns NULL with PU_ERROR_CORRUPT when synced data is damaged or missing,
   and with PU_ERROR_IO when a system call fails or another process uses the
   folder.  */
pu_journal_t *pu_journal_open (const pu_journal_options_t *o,
                               pu_disk_image_t *image, pu_error_t *e);

/* pu_journal_create - writes identity ID into an empty folder.  The identity
   is durable on return.  */
bool pu_journal_create (pu_journal_t *j, uint64_t id, pu_error_t *e);

/* pu_journal_set_aside - renames all files of the folder to lost-NAME,
   replacing files that were set aside earlier, so that the folder opens as
   empty.  The renames are durable on return.  */
bool pu_journal_set_aside (const char *folder, const pu_journal_fs_t *fs,
                           pu_error_t *e);

/* pu_journal_had_identity - returns whether FOLDER holds files that were set
   aside, which means that it belonged to an earlier identity.  */
bool pu_journal_had_identity (const char *folder, const pu_journal_fs_t *fs);

/* pu_journal_free - closes the files.  No job may be in flight: see
   pu_journal_busy.  */
void pu_journal_free (pu_journal_t *j);

/* pu_journal_queue_entries, pu_journal_queue_meta - queue entries or metadata
   for the next batch.  Tickets must rise with each call; the `synced`
   callback reports them.  */
void pu_journal_queue_entries (pu_journal_t *j, uint64_t ticket,
                               const GPtrArray *entries, uint64_t commit);
void pu_journal_queue_meta (pu_journal_t *j, uint64_t ticket,
                            const pu_log_meta *m);

/* pu_journal_queue_snapshot - queues a snapshot, which is written
   independently of the batches and reported by the `saved` callback.  If
   INSTALLED, the snapshot replaces the log: all entries queued or written
   before this call are discarded.  */
void pu_journal_queue_snapshot (pu_journal_t *j, const pu_snapshot_t *s,
                                bool installed);

/* pu_journal_start - submits the queued writes to the thread pool.  Writes
   that are queued while a job is in flight are submitted when that job ends,
   without another call.  */
void pu_journal_start (pu_journal_t *j);

/* pu_journal_flush - runs the queued writes on the calling thread and calls
   the callbacks before it returns.  For start-up, tests and benchmarks.  When
   the disk is full it returns false with PU_ERROR_IO, and the next flush
   retries the write.  */
bool pu_journal_flush (pu_journal_t *j, pu_error_t *e);

/* pu_journal_stop - makes the journal submit no more jobs; jobs in flight
   finish.  */
void pu_journal_stop (pu_journal_t *j);

/* pu_journal_busy - returns whether a job of the journal is in flight.  */
bool pu_journal_busy (const pu_journal_t *j);

/* pu_journal_failed - returns whether the journal failed permanently.  */
bool pu_journal_failed (const pu_journal_t *j);

typedef struct
{
  uint32_t segments;
  uint64_t bytes; /* size of the segments and the snapshot */
  uint64_t syncs;
  uint64_t batches;
  uint64_t entries;
  uint64_t torn_bytes; /* bytes truncated from the end of the log when the
                          journal was opened */
  uint64_t sync_us; /* mean time in microseconds to write and sync a batch */
} pu_journal_stats_t;

void pu_journal_stats (const pu_journal_t *j, pu_journal_stats_t *s);

G_END_DECLS

#endif
