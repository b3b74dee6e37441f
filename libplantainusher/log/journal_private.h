#ifndef PU_LOG_JOURNAL_PRIVATE_H
#define PU_LOG_JOURNAL_PRIVATE_H

#include "log/journal.h"

G_BEGIN_DECLS

/*
 * journal_private - what the files of the journal share.
 *
 *   journal.c       gathering, batches, running of jobs
 *   journal_save.c  snapshots
 *   journal_frame.c checksummed frames, files' names
 *   journal_load.c  reading a folder back
 *   journal_fs.c    the operating system's calls
 *
 * A frame is a header and a payload, padded to eight bytes.  A job owns the
 * open files while it runs; all else belongs to the loop's thread.
 */

#define PU_FRAME_HEADER 32

typedef enum
{
  PU_FRAME_BATCH = 0x50554c31,
  PU_FRAME_META = 0x50554d31,
  PU_FRAME_SNAPSHOT = 0x50555331,
} pu_frame_magic_t;

typedef struct
{
  uint64_t number; /* of its first batch; its name */
  uint64_t last;   /* highest entry in it */
  uint64_t bytes;
  bool spent; /* a snapshot voided all of it */
} pu_segment_t;

enum
{
  PU_META_SLOTS = 2,
  PU_META_SLOT_BYTES = 4096,
};

typedef enum
{
  PU_JOURNAL_BATCH, /* a pu_batch_job_t of journal.c */
  PU_JOURNAL_SAVE   /* a pu_save_job_t of journal_save.c */
} pu_journal_kind_t;

/* What a job begins with, whatever it writes.  */
typedef struct
{
  uv_work_t work;
  pu_journal_t *j;
  pu_journal_kind_t kind;
  bool again; /* the disk was full */
  int rc;
} pu_journal_job_t;

static inline void
pu_journal_job_init (pu_journal_job_t *job, pu_journal_t *j,
                     pu_journal_kind_t kind)
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

  /* The files; a running batch owns them.  */
  int meta_fd;
  int segment_fd; /* -1: open a new one */

  GArray *segments; /* pu_segment_t, rising; the last may be open */
  bool rotate;      /* the open segment takes no more batches */
  uint64_t next_batch;
  uint64_t last_index; /* highest entry written and not dropped again */
  uint64_t durable;    /* highest entry synced */
  uint64_t commit;
  uint64_t snapshot_index;
  uint64_t snapshot_bytes;
  pu_log_meta meta; /* as last gathered */

  GPtrArray *gathered; /* pu_record_t */
  bool meta_gathered;
  uint64_t ticket;
  GQueue saves;              /* of pu_journal_job_t *, each a save */
  pu_journal_job_t *running; /* a batch */
  pu_journal_job_t *saving;  /* a snapshot */
  pu_journal_stats_t stats;
  uint64_t sync_us_total;
};

/* journal.c */

/* pu_journal_fail - J takes no more writes, as RC shows that it could not do
   WHAT.  */
void pu_journal_fail (pu_journal_t *j, const char *what, int rc);

/* journal_save.c: jobs of the kind PU_JOURNAL_SAVE */

/* pu_journal_save_prepare - JOB is the next to run: decides what it makes
   useless.  */
void pu_journal_save_prepare (pu_journal_job_t *job);

/* pu_journal_save_run - writes the snapshot; on the thread pool.  */
void pu_journal_save_run (pu_journal_job_t *job);

/* pu_journal_save_finish - takes the result in, and frees JOB.  */
void pu_journal_save_finish (pu_journal_job_t *job);
void pu_journal_save_free (pu_journal_job_t *job);

/* journal_frame.c */
GBytes *pu_frame_new (pu_frame_magic_t magic, uint64_t number, uint64_t id,
                      const void *payload, size_t len);

/* pu_frame_check - whether a whole frame stands at P, of which N bytes are
   there.  PAYLOAD points into P.  */
typedef struct
{
  uint64_t number;
  uint64_t id;
  const uint8_t *payload;
  uint32_t len;
  size_t size; /* with header and padding */
} pu_frame_t;

bool pu_frame_check (pu_frame_magic_t magic, const uint8_t *p, size_t n,
                     pu_frame_t *f);

char *pu_journal_path (const pu_journal_t *j, const char *name);
char *pu_segment_path (const pu_journal_t *j, uint64_t number);
char *pu_snapshot_path (const pu_journal_t *j, uint64_t index);

/* pu_journal_write_all - writes all N bytes at AT, going on after short
   writes.  0 or -errno.  */
int pu_journal_write_all (const pu_journal_fs_t *fs, int fd, const void *p,
                          size_t n, int64_t at);

/* pu_journal_is_full - whether a call failed with RC for want of room: what it
   should write can be written again.  */
bool pu_journal_is_full (int rc);

/* pu_journal_sync_result - RC of a sync.  One that failed for want of room
   fails like any other: it doesn't tell what is on the disk.  */
int pu_journal_sync_result (int rc);

/* pu_journal_write_meta - both slots, each synced.  0 or -errno.  */
int pu_journal_write_meta (const pu_journal_fs_t *fs, int fd, GBytes *frame);

/* journal_load.c */
bool pu_journal_load (pu_journal_t *j, pu_disk_image_t *image, pu_error_t *e);

G_END_DECLS

#endif
