#ifndef PU_LOG_JOURNAL_PRIVATE_H
#define PU_LOG_JOURNAL_PRIVATE_H

#include "log/journal.h"

G_BEGIN_DECLS

/*
 * journal_private - types and functions shared by the files of the journal.
 *
 *   journal.c           queueing, batches, running of jobs
 *   journal_save.c      snapshots
 *   journal_frame.c     checksummed frames, file names
 *   journal_load.c      recovery when a folder is opened
 *   journal_fs.c        the calls of the operating system
 *
 * A frame is a header and a payload, padded to eight bytes.  While a job runs
 * it owns the open files; the loop's thread owns everything else.
 */

#define PU_FRAME_HEADER_BYTES 32

typedef enum
{
  PU_FRAME_BATCH = 0x50554c31,
  PU_FRAME_META = 0x50554d31,
  PU_FRAME_SNAPSHOT = 0x50555331,
} pu_frame_magic_t;

typedef struct
{
  uint64_t start_batch; /* number of the first batch, also part of the file's
                           name */
  uint64_t last_index;  /* highest index of an entry in the segment */
  uint64_t bytes;
  bool superseded; /* an installed snapshot replaced its entries */
} pu_segment_t;

enum
{
  PU_META_SLOTS = 2,
  PU_META_SLOT_BYTES = 4096,
};

typedef enum
{
  PU_JOURNAL_JOB_BATCH,   /* a pu_batch_job_t of journal.c */
  PU_JOURNAL_JOB_SNAPSHOT /* a pu_snapshot_job_t of journal_save.c */
} pu_journal_job_kind_t;

/* The common first member of all jobs.  */
typedef struct
{
  uv_work_t work;
  pu_journal_t *j;
  pu_journal_job_kind_t kind;
  bool retry; /* the last run found the disk full, so the job must run again */
  int rc;     /* result: 0 or more, or -errno */
} pu_journal_job_t;

static inline void
pu_journal_job_init (pu_journal_job_t *job, pu_journal_t *j,
                     pu_journal_job_kind_t kind)
{
  *job = (pu_journal_job_t){ .j = j, .kind = kind };
  job->work.data = job;
}

struct pu_journal
{
  pu_journal_options_t o;
  char *folder;
  const pu_journal_fs_t *fs;
  uint64_t id;
  bool failed;
  bool stopped;
  pu_error_t error;

  /* The open files; a batch job owns them while it runs.  */
  int meta_fd;
  int segment_fd; /* -1: no segment is open */

  /* pu_segment_t, sorted by start_batch; the last may be open */
  GArray *segments;
  bool rotate; /* the next batch starts a new segment */
  uint64_t next_batch;
  uint64_t last_index;    /* index of the last entry queued or written and not
                             dropped since */
  uint64_t durable_index; /* index of the last synced entry */
  uint64_t commit_index;
  uint64_t snapshot_index;
  uint64_t snapshot_bytes;
  pu_log_meta meta; /* the metadata as last queued */

  GPtrArray *queued_entries; /* pu_record_t; they form the next batch */
  bool meta_pending;
  uint64_t pending_ticket;        /* highest ticket queued */
  GQueue snapshot_queue;          /* of pu_journal_job_t * */
  pu_journal_job_t *batch_job;    /* batch job in flight, or NULL */
  pu_journal_job_t *snapshot_job; /* snapshot job in flight, or NULL */
  pu_journal_stats_t stats;
  uint64_t sync_us_total;
};

/* journal.c */

/* pu_journal_fail - fails J permanently because OPERATION returned RC, which
   is -errno.  OPERATION completes the sentence "cannot ...".  */
void pu_journal_fail (pu_journal_t *j, const char *operation, int rc);

/* journal_save.c: jobs of the kind PU_JOURNAL_JOB_SNAPSHOT */

/* pu_snapshot_job_prepare - sets the paths of JOB and chooses the files that
   its snapshot makes obsolete.  Call it before JOB runs.  */
void pu_snapshot_job_prepare (pu_journal_job_t *job);

/* pu_snapshot_job_run - writes the snapshot, on the thread pool, then removes
   the obsolete files.  */
void pu_snapshot_job_run (pu_journal_job_t *job);

/* pu_snapshot_job_finish - handles the result of JOB on the loop's thread and
   frees JOB.  */
void pu_snapshot_job_finish (pu_journal_job_t *job);
void pu_snapshot_job_free (pu_journal_job_t *job);

/* journal_frame.c */

/* pu_frame_encode - returns a frame.  NUMBER is the number of the batch, the
   count of metadata writes or the index of the snapshot, depending on MAGIC;
   ID is the voter's identity.  */
GBytes *pu_frame_encode (pu_frame_magic_t magic, uint64_t number, uint64_t id,
                         const void *payload, size_t len);

typedef struct
{
  uint64_t number;
  uint64_t id;
  const uint8_t *payload; /* points into the decoded bytes */
  uint32_t len;
  size_t size; /* size of the frame with header and padding */
} pu_frame_t;

/* pu_frame_decode - fills F and returns true when the N bytes at P begin with
   a complete frame of kind MAGIC with a valid checksum.  */
bool pu_frame_decode (pu_frame_magic_t magic, const uint8_t *p, size_t n,
                      pu_frame_t *f);

char *pu_journal_path (const pu_journal_t *j, const char *name);
char *pu_segment_path (const pu_journal_t *j, uint64_t number);
char *pu_snapshot_path (const pu_journal_t *j, uint64_t index);

/* pu_journal_write_all - writes all N bytes at offset AT, and continues after
   short writes.  Returns 0 or -errno.  */
int pu_journal_write_all (const pu_journal_fs_t *fs, int fd, const void *p,
                          size_t n, int64_t at);

/* pu_journal_is_disk_full - returns whether RC is the error of a full disk or
   quota, after which the same write can be retried.  */
bool pu_journal_is_disk_full (int rc);

/* pu_journal_map_sync_error - returns the result RC of a sync, with the error
   of a full disk replaced by -EIO.  A failed sync is never retried, because it
   leaves unknown which writes are on the disk.  */
int pu_journal_map_sync_error (int rc);

/* pu_journal_write_meta_slots - writes FRAME to both slots and syncs each.
   Returns 0 or -errno.  */
int pu_journal_write_meta_slots (const pu_journal_fs_t *fs, int fd,
                                 GBytes *frame);

/* journal_load.c */

/* pu_journal_load - reads the folder into J and IMAGE.  Fails with the same
   errors as pu_journal_open.  */
bool pu_journal_load (pu_journal_t *j, pu_disk_image_t *image, pu_error_t *e);

G_END_DECLS

#endif
