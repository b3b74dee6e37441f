#ifndef PU_ENTRY_PIECE_H
#define PU_ENTRY_PIECE_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * piece - what one event of a completion's stream carries.
 *
 * The events of a stream differ in their token's text alone.  The reader
 * learns from an event that it has parsed what stands before and after the
 * text, and checks that on the next one; from then on an event with the same
 * frame around a plain string needs no parsing.
 */

typedef struct
{
  const char *text; /* the token's; "" when it has none */
  const char *id;   /* of the answer; NULL when the event has none */
  bool finish;      /* it has a finish reason */
  bool is_error;
  gint64 completion_tokens; /* of the answer, by its usage; -1: not told */
} pu_chunk_t;

typedef struct pu_chunk_reader pu_chunk_reader_t;

pu_chunk_reader_t *pu_chunk_reader_new (void);
void pu_chunk_reader_free (pu_chunk_reader_t *r);

/* pu_chunk_read - reads the event's data of LEN bytes.  False when it is no
   JSON object.  PIECE holds until the next call.  */
bool pu_chunk_read (pu_chunk_reader_t *r, const char *data, gsize len,
                    pu_chunk_t *piece);

/* pu_chunk_reader_parsed_count - how many events were parsed; tests.  */
guint pu_chunk_reader_parsed_count (const pu_chunk_reader_t *r);

G_END_DECLS

#endif
