#include "entry/chunk.h"

#include <jansson.h>
#include <string.h>

struct pu_chunk_reader
{
  json_t *root;    /* the last parsed chunk; strings of a pu_chunk_t point into
                      it */
  GString *prefix; /* template: bytes before the text, with the opening
                      quote */
  GString *suffix; /* template: bytes after the text, with the closing quote */
  GString *text;   /* text of the last chunk that was read with the template */
  GString *template_text;    /* text of the chunk that the template was made
                                from */
  pu_chunk_t template_chunk; /* other fields of that chunk */
  bool has_template;
  bool verified; /* a second chunk, with another text, gave the same result
                    with the template and with the JSON parser */
  guint parsed_count;
};

pu_chunk_reader_t *
pu_chunk_reader_new (void)
{
  pu_chunk_reader_t *r = g_new0 (pu_chunk_reader_t, 1);

  r->prefix = g_string_new (NULL);
  r->suffix = g_string_new (NULL);
  r->text = g_string_new (NULL);
  r->template_text = g_string_new (NULL);
  return r;
}

void
pu_chunk_reader_free (pu_chunk_reader_t *r)
{
  if (r == NULL)
    return;
  json_decref (r->root);
  g_string_free (r->prefix, TRUE);
  g_string_free (r->suffix, TRUE);
  g_string_free (r->text, TRUE);
  g_string_free (r->template_text, TRUE);
  g_free (r);
}

guint
pu_chunk_reader_parsed_count (const pu_chunk_reader_t *r)
{
  return r->parsed_count;
}

/* Whether the LEN bytes of S can stand in a JSON string without escapes.  */
static bool
needs_no_escapes (const char *s, gsize len)
{
  for (gsize i = 0; i < len; i++)
    {
      if (s[i] == '"' || s[i] == '\\' || (unsigned char)s[i] < ' ')
        return false;
    }
  return g_utf8_validate_len (s, len, NULL);
}

/* --- reading chunks with the template --- */

/* Returns the only place in DATA where TEXT stands in quotes.  Returns NULL
   when there is no such place or more than one.  */
static const char *
find_unique_quoted (const char *data, gsize len, const char *text,
                    gsize text_len)
{
  const char *found = NULL;
  const char *p = data;
  const char *end = data + len;

  while ((p = memchr (p, '"', (gsize)(end - p))) != NULL)
    {
      p++;
      if ((gsize)(end - p) <= text_len || p[text_len] != '"'
          || memcmp (p, text, text_len) != 0)
        continue;
      if (found != NULL)
        return NULL;
      found = p;
    }
  return found;
}

/* Whether PREFIX, the bytes before a text, ends with the key of a JSON member
   that holds the text of a token.  */
static bool
ends_with_text_key (const GString *prefix)
{
  static const char *const ends[]
      = { "\"content\":\"", "\"content\": \"", "\"text\":\"", "\"text\": \"" };

  for (gsize i = 0; i < G_N_ELEMENTS (ends); i++)
    {
      if (g_str_has_suffix (prefix->str, ends[i]))
        return true;
    }
  return false;
}

/* Makes the template from the parsed CHUNK, provided that the text of CHUNK
   occurs exactly once in DATA and has no escapes.  */
static void
template_make (pu_chunk_reader_t *r, const char *data, gsize len,
               const pu_chunk_t *chunk)
{
  gsize n = strlen (chunk->text);
  const char *place;

  r->has_template = false;
  r->verified = false;
  if (n == 0 || !needs_no_escapes (chunk->text, n)
      || memchr (data, 0, len) != NULL)
    return;
  place = find_unique_quoted (data, len, chunk->text, n);
  if (place == NULL)
    return;
  g_string_truncate (r->prefix, 0);
  g_string_append_len (r->prefix, data, place - data);
  g_string_truncate (r->suffix, 0);
  g_string_append_len (r->suffix, place + n, data + len - place - (gssize)n);
  g_string_assign (r->template_text, chunk->text);
  r->template_chunk = *chunk;
  r->has_template = ends_with_text_key (r->prefix);
}

/* Reads the chunk in DATA without parsing it.  Returns false when DATA does
   not match the template.  */
static bool
template_match (pu_chunk_reader_t *r, const char *data, gsize len,
                pu_chunk_t *chunk)
{
  gsize fixed = r->prefix->len + r->suffix->len;
  const char *text = data + r->prefix->len;

  if (!r->has_template || len < fixed
      || memcmp (data, r->prefix->str, r->prefix->len) != 0
      || memcmp (data + len - r->suffix->len, r->suffix->str, r->suffix->len)
             != 0
      || !needs_no_escapes (text, len - fixed))
    return false;
  g_string_truncate (r->text, 0);
  g_string_append_len (r->text, text, (gssize)(len - fixed));
  *chunk = r->template_chunk;
  chunk->text = r->text->str;
  return true;
}

/* --- parsing a chunk as JSON --- */

static const char *
choice_text (const json_t *choice)
{
  const json_t *delta = json_object_get (choice, "delta");
  const json_t *text = delta != NULL ? json_object_get (delta, "content")
                                     : json_object_get (choice, "text");
  const char *s = json_string_value (text);

  return s != NULL ? s : "";
}

static void
chunk_fill (const json_t *root, pu_chunk_t *p)
{
  const json_t *choice = json_array_get (json_object_get (root, "choices"), 0);
  const json_t *tokens
      = json_object_get (json_object_get (root, "usage"), "completion_tokens");

  p->text = choice_text (choice);
  p->id = json_string_value (json_object_get (root, "id"));
  p->has_finish_reason
      = json_is_string (json_object_get (choice, "finish_reason"));
  p->is_error = json_object_get (root, "error") != NULL;
  p->completion_tokens
      = json_is_integer (tokens) ? json_integer_value (tokens) : -1;
}

static bool
chunk_parse (pu_chunk_reader_t *r, const char *data, gsize len,
             pu_chunk_t *chunk)
{
  json_decref (r->root);
  r->parsed_count++;
  r->root = json_loadb (data, len, 0, NULL);
  if (!json_is_object (r->root))
    return false;
  chunk_fill (r->root, chunk);
  return true;
}

/* Parses a chunk that matches the template.  Drops the template unless the
   parser and the template gave the same result.  Returns whether the chunk is
   valid.  */
static bool
template_verify (pu_chunk_reader_t *r, const char *data, gsize len,
                 pu_chunk_t *chunk)
{
  char *template_id = g_strdup (r->template_chunk.id);
  bool good = chunk_parse (r, data, len, chunk);

  r->verified
      = good && strcmp (chunk->text, r->text->str) == 0
        && g_strcmp0 (chunk->id, template_id) == 0
        && chunk->has_finish_reason == r->template_chunk.has_finish_reason
        && chunk->is_error == r->template_chunk.is_error
        && chunk->completion_tokens == r->template_chunk.completion_tokens;
  r->has_template = r->verified;
  /* The id of the template pointed into the chunk that chunk_parse has
     freed.  */
  if (good)
    r->template_chunk.id = chunk->id;
  g_free (template_id);
  return good;
}

bool
pu_chunk_read (pu_chunk_reader_t *r, const char *data, gsize len,
               pu_chunk_t *chunk)
{
  bool fits = template_match (r, data, len, chunk);

  if (fits && r->verified)
    return true;
  if (fits && strcmp (r->text->str, r->template_text->str) != 0)
    return template_verify (r, data, len, chunk);
  if (!chunk_parse (r, data, len, chunk))
    {
      r->has_template = false;
      return false;
    }
  template_make (r, data, len, chunk);
  return true;
}
