#ifndef PU_ROUTING_ORIGIN_RECORDS_H
#define PU_ROUTING_ORIGIN_RECORDS_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * origin_records - the contents of the file that keeps origins of streams
 * (routing/origins.h) over the end of the process.
 *
 * The load pattern: all instances are killed at once, and the callers of all
 * open streams resume them at instances whose memory is empty.  A keeper adds
 * some tens of records a second, most of which are valid for less than a
 * minute, and loads the file once, when it starts.
 *
 * The file is a line with its format, then records with a checksum each.
 * Contents that are not whole never give a version that was not added; they
 * give fewer.
 *
 * Pure: no I/O, no clock; `now` and `until` are wall-clock milliseconds.
 */

typedef struct pu_origin_records pu_origin_records_t;

/* The size of the file, and of its next contents beside it while it is
   replaced, is at most 8 MB: PU_ORIGIN_RECORDS_MAX records of 25 bytes and a
   version each, twice for the file before it is replaced.  */
#define PU_ORIGIN_RECORDS_MAX 24576
#define PU_ORIGIN_RECORD_VERSION_MAX 64

typedef enum
{
  PU_ORIGIN_CONTENTS_WHOLE,
  PU_ORIGIN_CONTENTS_TORN,   /* the records before the first bad one count */
  PU_ORIGIN_CONTENTS_FOREIGN /* another format: no record counts */
} pu_origin_contents_t;

/* pu_origin_records_new - no records.  Free it with
   pu_origin_records_free.  */
pu_origin_records_t *pu_origin_records_new (void);
void pu_origin_records_free (pu_origin_records_t *r);

/* pu_origin_records_load - adds the records of the N bytes at P, the contents
   of the file, to R, which is new.  */
pu_origin_contents_t pu_origin_records_load (pu_origin_records_t *r,
                                             const void *p, size_t n,
                                             guint64 now);

/* pu_origin_records_add - VERSION began the stream KEY, which can be resumed
   until UNTIL.  A version longer than PU_ORIGIN_RECORD_VERSION_MAX is not
   written, unless to make KEY unknown.  */
void pu_origin_records_add (pu_origin_records_t *r, guint64 key,
                            const char *version, guint64 until, guint64 now);

/* pu_origin_records_take - returns the bytes to be written next, or NULL if
   nothing was added since the last call.  If *WHOLE, they replace the file,
   else they go to its end.  The first bytes after a load are *WHOLE.  */
GBytes *pu_origin_records_take (pu_origin_records_t *r, guint64 now,
                                bool *whole);

/* pu_origin_records_each - calls FN for each record that is valid; VERSION is
   "" where several versions began KEY.  */
typedef void pu_origin_record_fn (guint64 key, const char *version,
                                  guint64 until, void *data);
void pu_origin_records_each (const pu_origin_records_t *r, guint64 now,
                             pu_origin_record_fn *fn, void *data);

G_END_DECLS

#endif
