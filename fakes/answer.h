#ifndef FAKES_ANSWER_H
#define FAKES_ANSWER_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * answer - what a fake engine says, worked out from model and prompt alone.
 *
 * Any two engines give the same text, and a load driver knows beforehand what
 * the whole answer must be.
 */

#define FAKE_TOKEN_SIZE 8 /* six hex digits, a space, a NUL */
#define FAKE_DEFAULT_TOKENS 16
#define FAKE_BLOCK_BYTES 256 /* of prompt in one block of the KV cache */
#define FAKE_BYTES_PER_TOKEN 4

typedef struct
{
  char *model;
  char *prompt; /* all messages, or the prompt of a completion */
  guint64 seed; /* of the answer */
  guint tokens; /* length of the whole answer */
  bool stream;
  bool chat; /* chat/completions, else completions */
} fake_question_t;

/* fake_question_parse - reads the body of a request.  Returns false when it is
   no such request.  Release it with fake_question_clear.  */
bool fake_question_parse (fake_question_t *q, const char *body, size_t len,
                          bool chat);
void fake_question_clear (fake_question_t *q);

/* fake_question_body - the body of a chat request as a new string, to be freed
   with free; FAKE_DEFAULT_TOKENS when TOKENS is 0.  */
char *fake_question_body (const char *model, const char *prompt, guint tokens,
                          bool stream);

/* fake_answer_token - token INDEX (from 0) of the answer of SEED.  */
void fake_answer_token (guint64 seed, guint index, char out[FAKE_TOKEN_SIZE]);

/* fake_answer_text - the whole answer as a new string.  */
char *fake_answer_text (const fake_question_t *q);

/* fake_answer_next - appends the server-sent event with token INDEX to OUT;
   WITH_ID gives it the index as its `id` field.  */
void fake_answer_next (GString *out, const fake_question_t *q, const char *id,
                       guint index, bool with_id);

/* fake_answer_end - appends the event with the finish reason and the number
   of tokens, and the end mark.  */
void fake_answer_end (GString *out, const fake_question_t *q, const char *id);

/* fake_answer_whole - the body of an answer that is not streamed.  */
char *fake_answer_whole (const fake_question_t *q, const char *id);

/* fake_block_hash - the hash of the prompt's first N whole blocks.  */
guint64 fake_block_hash (const fake_question_t *q, guint n);

G_END_DECLS

#endif
