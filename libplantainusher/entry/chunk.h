#ifndef PU_ENTRY_CHUNK_H
#define PU_ENTRY_CHUNK_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * chunk - reads the chunks of a completion's stream, each the data of one
 * event.
 *
 * The chunks of a stream differ only in the text of their token.  The reader
 * stores the bytes before and after the text of a parsed chunk as a template,
 * and verifies the template on the next chunk that matches it with another
 * text.  After that, a chunk that matches the template, with a text that needs
 * no escapes, is read without JSON parsing.
 */

typedef struct
{
  const char *text; /* text of the token; "" when there is none */
  const char *id;   /* id of the completion; NULL when there is none */
  bool has_finish_reason;
  bool is_error;
  gint64 completion_tokens; /* token count in the usage data of the chunk; -1:
                               not given */
} pu_chunk_t;

typedef struct pu_chunk_reader pu_chunk_reader_t;

pu_chunk_reader_t *pu_chunk_reader_new (void);
void pu_chunk_reader_free (pu_chunk_reader_t *r);

/* pu_chunk_read - reads a chunk of LEN bytes.  Returns false when it is not a
   JSON object.  CHUNK is valid until the next call.  */
bool pu_chunk_read (pu_chunk_reader_t *r, const char *data, gsize len,
                    pu_chunk_t *chunk);

/* pu_chunk_reader_parsed_count - number of chunks that were parsed as JSON;
   for tests.  */
guint pu_chunk_reader_parsed_count (const pu_chunk_reader_t *r);

G_END_DECLS

#endif
