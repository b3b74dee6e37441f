#include "entry/piece.h"

#include <jansson.h>
#include <string.h>

struct pu_chunk_reader
{
  json_t *root;    /* the last parsed chunk; the result points into it */
  GString *prefix; /* bytes before the text, with the opening quote */
  GString *suffix; /* bytes after the text, with the closing quote */
  GString *text;   /* of a chunk that was not parsed */
  GString *template_text;    /* of the chunk that the template was made of */
  pu_chunk_t template_piece; /* all but the text, of the same chunk */
  bool has_template;
  bool verified; /* for another text, parsing gave the same result */
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

/* Whether the string S needs no escapes in JSON.  */
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

/* --- template --- */

/* Finds the only place in DATA where TEXT stands in quotes, or NULL when there
   is none or several.  */
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

/* Whether PREFIX ends with the key of a member that holds the text.  */
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

/* Makes a template of a parsed chunk whose text stands in it once, without
   escapes.  */
static void
template_make (pu_chunk_reader_t *r, const char *data, gsize len,
               const pu_chunk_t *piece)
{
  gsize n = strlen (piece->text);
  const char *place;

  r->has_template = false;
  r->verified = false;
  if (n == 0 || !needs_no_escapes (piece->text, n)
      || memchr (data, 0, len) != NULL)
    return;
  place = find_unique_quoted (data, len, piece->text, n);
  if (place == NULL)
    return;
  g_string_truncate (r->prefix, 0);
  g_string_append_len (r->prefix, data, place - data);
  g_string_truncate (r->suffix, 0);
  g_string_append_len (r->suffix, place + n, data + len - place - (gssize)n);
  g_string_assign (r->template_text, piece->text);
  r->template_piece = *piece;
  r->has_template = ends_with_text_key (r->prefix);
}

/* Reads a chunk that matches the template, without parsing.  */
static bool
template_match (pu_chunk_reader_t *r, const char *data, gsize len,
                pu_chunk_t *piece)
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
  *piece = r->template_piece;
  piece->text = r->text->str;
  return true;
}

/* --- parsing --- */

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
piece_fill (const json_t *root, pu_chunk_t *p)
{
  const json_t *choice = json_array_get (json_object_get (root, "choices"), 0);
  const json_t *tokens
      = json_object_get (json_object_get (root, "usage"), "completion_tokens");

  p->text = choice_text (choice);
  p->id = json_string_value (json_object_get (root, "id"));
  p->finish = json_is_string (json_object_get (choice, "finish_reason"));
  p->is_error = json_object_get (root, "error") != NULL;
  p->completion_tokens
      = json_is_integer (tokens) ? json_integer_value (tokens) : -1;
}

static bool
piece_parse (pu_chunk_reader_t *r, const char *data, gsize len,
             pu_chunk_t *piece)
{
  json_decref (r->root);
  r->parsed_count++;
  r->root = json_loadb (data, len, 0, NULL);
  if (!json_is_object (r->root))
    return false;
  piece_fill (r->root, piece);
  return true;
}

/* Parses a chunk that matches the template, and drops the template unless both
   ways to read the chunk gave the same result.  */
static bool
template_verify (pu_chunk_reader_t *r, const char *data, gsize len,
                 pu_chunk_t *piece)
{
  char *template_id = g_strdup (r->template_piece.id);
  bool good = piece_parse (r, data, len, piece);

  r->verified
      = good && strcmp (piece->text, r->text->str) == 0
        && g_strcmp0 (piece->id, template_id) == 0
        && piece->finish == r->template_piece.finish
        && piece->is_error == r->template_piece.is_error
        && piece->completion_tokens == r->template_piece.completion_tokens;
  r->has_template = r->verified;
  /* The template's id pointed into the chunk parsed before.  */
  if (good)
    r->template_piece.id = piece->id;
  g_free (template_id);
  return good;
}

bool
pu_chunk_read (pu_chunk_reader_t *r, const char *data, gsize len,
               pu_chunk_t *piece)
{
  bool fits = template_match (r, data, len, piece);

  if (fits && r->verified)
    return true;
  if (fits && strcmp (r->text->str, r->template_text->str) != 0)
    return template_verify (r, data, len, piece);
  if (!piece_parse (r, data, len, piece))
    {
      r->has_template = false;
      return false;
    }
  template_make (r, data, len, piece);
  return true;
}
