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
} pu_piece_t;

typedef struct pu_piece_reader pu_piece_reader_t;

pu_piece_reader_t *pu_piece_reader_new (void);
void pu_piece_reader_free (pu_piece_reader_t *r);

/* pu_piece_read - reads the event's data of LEN bytes.  False when it is no
   JSON object.  PIECE holds until the next call.  */
bool pu_piece_read (pu_piece_reader_t *r, const char *data, gsize len,
                    pu_piece_t *piece);

/* pu_piece_reader_parsed - how many events were parsed; tests.  */
guint pu_piece_reader_parsed (const pu_piece_reader_t *r);

G_END_DECLS

#endif
