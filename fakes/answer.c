#include "answer.h"

#include <string.h>
#include <xxhash.h>

#define TOKENS_MAX 100000

static void
question_seal (fake_question_t *q)
{
  guint64 model = XXH64 (q->model, strlen (q->model), 0);

  q->seed = XXH64 (q->prompt, strlen (q->prompt), model);
}

static char *
messages_text (json_t *messages)
{
  GString *out = g_string_new (NULL);
  json_t *one;
  size_t i;

  json_array_foreach (messages, i, one)
  {
    const char *role = "";
    const char *content = "";

    json_unpack (one, "{s?s, s?s}", "role", &role, "content", &content);
    g_string_append_printf (out, "%s: %s\n", role, content);
  }
  return g_string_free (out, FALSE);
}

bool
fake_question_parse (fake_question_t *q, const char *body, size_t len,
                     bool chat)
{
  json_t *root = json_loadb (body, len, 0, NULL);
  json_t *messages = json_object_get (root, "messages");
  const char *prompt = json_string_value (json_object_get (root, "prompt"));
  const char *model = json_string_value (json_object_get (root, "model"));
  json_int_t tokens
      = json_integer_value (json_object_get (root, "max_tokens"));
  bool good
      = model != NULL && (chat ? json_is_array (messages) : prompt != NULL);

  memset (q, 0, sizeof (*q));
  if (good)
    {
      q->model = g_strdup (model);
      q->prompt = chat ? messages_text (messages) : g_strdup (prompt);
      q->tokens
          = tokens > 0 ? (guint)MIN (tokens, TOKENS_MAX) : FAKE_DEFAULT_TOKENS;
      q->stream = json_is_true (json_object_get (root, "stream"));
      q->chat = chat;
      question_seal (q);
    }
  json_decref (root);
  return good;
}

void
fake_question_clear (fake_question_t *q)
{
  g_free (q->model);
  g_free (q->prompt);
  memset (q, 0, sizeof (*q));
}

char *
fake_question_body (const char *model, const char *prompt, guint tokens,
                    bool stream)
{
  json_t *root = json_pack (
      "{s:s, s:[{s:s, s:s}], s:i, s:b}", "model", model, "messages", "role",
      "user", "content", prompt, "max_tokens",
      (int)(tokens == 0 ? FAKE_DEFAULT_TOKENS : tokens), "stream", stream);
  char *text = json_dumps (root, JSON_COMPACT);

  json_decref (root);
  return text;
}

void
fake_answer_token (guint64 seed, guint index, char out[FAKE_TOKEN_SIZE])
{
  guint64 hash = XXH64 (&index, sizeof (index), seed);

  g_snprintf (out, FAKE_TOKEN_SIZE, "%06x ", (guint)(hash & 0xffffff));
}

char *
fake_answer_text (const fake_question_t *q)
{
  GString *out = g_string_new (NULL);
  char token[FAKE_TOKEN_SIZE];

  for (guint i = 0; i < q->tokens; i++)
    {
      fake_answer_token (q->seed, i, token);
      g_string_append (out, token);
    }
  return g_string_free (out, FALSE);
}

/* One event; TEXT NULL makes the last one, which carries the finish reason.
   Names are plain in the fakes, so nothing is escaped here.  */
static void
event_append (GString *out, const fake_question_t *q, const char *id,
              const char *text)
{
  const char *object = q->chat ? "chat.completion.chunk" : "text_completion";
  const char *finish = text == NULL ? "\"length\"" : "null";

  g_string_append_printf (
      out,
      "data: {\"id\":\"%s\",\"object\":\"%s\",\"model\":\"%s\","
      "\"choices\":[{\"index\":0,",
      id, object, q->model);
  if (q->chat && text != NULL)
    {
      g_string_append_printf (out, "\"delta\":{\"content\":\"%s\"}", text);
    }
  else if (q->chat)
    {
      g_string_append (out, "\"delta\":{}");
    }
  else
    {
      g_string_append_printf (out, "\"text\":\"%s\"",
                              text == NULL ? "" : text);
    }
  g_string_append_printf (out, ",\"finish_reason\":%s}]", finish);
  if (text == NULL)
    {
      g_string_append_printf (out, ",\"usage\":{\"completion_tokens\":%u}",
                              q->tokens);
    }
  g_string_append (out, "}\n\n");
}

void
fake_answer_next (GString *out, const fake_question_t *q, const char *id,
                  guint index, bool with_id)
{
  char token[FAKE_TOKEN_SIZE];

  fake_answer_token (q->seed, index, token);
  if (with_id)
    g_string_append_printf (out, "id: %u\n", index);
  event_append (out, q, id, token);
}

void
fake_answer_end (GString *out, const fake_question_t *q, const char *id)
{
  event_append (out, q, id, NULL);
  g_string_append (out, "data: [DONE]\n\n");
}

char *
fake_answer_whole (const fake_question_t *q, const char *id)
{
  char *text = fake_answer_text (q);
  json_t *root = json_pack (
      "{s:s, s:s, s:s, s:[{s:i, s:s}], s:{s:i, s:i}}", "id", id, "object",
      q->chat ? "chat.completion" : "text_completion", "model", q->model,
      "choices", "index", 0, "finish_reason", "length", "usage",
      "prompt_tokens", (int)(strlen (q->prompt) / FAKE_BYTES_PER_TOKEN),
      "completion_tokens", (int)q->tokens);
  json_t *choice = json_array_get (json_object_get (root, "choices"), 0);
  char *body;

  if (q->chat)
    {
      json_object_set_new (
          choice, "message",
          json_pack ("{s:s, s:s}", "role", "assistant", "content", text));
    }
  else
    {
      json_object_set_new (choice, "text", json_string (text));
    }
  body = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  g_free (text);
  return body;
}

guint64
fake_block_hash (const fake_question_t *q, guint n)
{
  guint64 hash = XXH64 (q->model, strlen (q->model), 0);

  for (guint i = 0; i < n; i++)
    {
      hash = XXH64 (q->prompt + (gsize)i * FAKE_BLOCK_BYTES, FAKE_BLOCK_BYTES,
                    hash);
    }
  return hash;
}
