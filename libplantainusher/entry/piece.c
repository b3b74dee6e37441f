#include "entry/piece.h"

#include <jansson.h>
#include <string.h>

struct pu_chunk_reader
{
  json_t *root;    /* the last event that was parsed; PIECE points into it */
  GString *before; /* what stands before the text, with its quote */
  GString *after;  /* what stands after it, with its quote */
  GString *text;   /* of an event that was not parsed */
  GString *frame_text; /* of the event that was learnt from */
  pu_chunk_t frame; /* all but the text, of the event that was learnt from */
  bool learnt;
  bool proved; /* another text in the frame was read as by parsing */
  guint parsed;
};

pu_chunk_reader_t *
pu_chunk_reader_new (void)
{
  pu_chunk_reader_t *r = g_new0 (pu_chunk_reader_t, 1);

  r->before = g_string_new (NULL);
  r->after = g_string_new (NULL);
  r->text = g_string_new (NULL);
  r->frame_text = g_string_new (NULL);
  return r;
}

void
pu_chunk_reader_free (pu_chunk_reader_t *r)
{
  if (r == NULL)
    return;
  json_decref (r->root);
  g_string_free (r->before, TRUE);
  g_string_free (r->after, TRUE);
  g_string_free (r->text, TRUE);
  g_string_free (r->frame_text, TRUE);
  g_free (r);
}

guint
pu_chunk_reader_parsed_count (const pu_chunk_reader_t *r)
{
  return r->parsed;
}

/* Whether the string S stands in JSON as it is.  */
static bool
is_plain (const char *s, gsize len)
{
  for (gsize i = 0; i < len; i++)
    {
      if (s[i] == '"' || s[i] == '\\' || (unsigned char)s[i] < ' ')
        return false;
    }
  return g_utf8_validate_len (s, len, NULL);
}

/* --- the frame --- */

/* The only place in DATA where TEXT stands in quotes, or NULL.  */
static const char *
only_place (const char *data, gsize len, const char *text, gsize text_len)
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

static bool
ends_in_member (const GString *before)
{
  static const char *const ends[]
      = { "\"content\":\"", "\"content\": \"", "\"text\":\"", "\"text\": \"" };

  for (gsize i = 0; i < G_N_ELEMENTS (ends); i++)
    {
      if (g_str_has_suffix (before->str, ends[i]))
        return true;
    }
  return false;
}

static void
frame_learn (pu_chunk_reader_t *r, const char *data, gsize len,
             const pu_chunk_t *piece)
{
  gsize n = strlen (piece->text);
  const char *place;

  r->learnt = false;
  r->proved = false;
  if (n == 0 || !is_plain (piece->text, n) || memchr (data, 0, len) != NULL)
    return;
  place = only_place (data, len, piece->text, n);
  if (place == NULL)
    return;
  g_string_truncate (r->before, 0);
  g_string_append_len (r->before, data, place - data);
  g_string_truncate (r->after, 0);
  g_string_append_len (r->after, place + n, data + len - place - (gssize)n);
  g_string_assign (r->frame_text, piece->text);
  r->frame = *piece;
  r->learnt = ends_in_member (r->before);
}

static bool
frame_fits (pu_chunk_reader_t *r, const char *data, gsize len,
            pu_chunk_t *piece)
{
  gsize frame = r->before->len + r->after->len;
  const char *text = data + r->before->len;

  if (!r->learnt || len < frame
      || memcmp (data, r->before->str, r->before->len) != 0
      || memcmp (data + len - r->after->len, r->after->str, r->after->len) != 0
      || !is_plain (text, len - frame))
    return false;
  g_string_truncate (r->text, 0);
  g_string_append_len (r->text, text, (gssize)(len - frame));
  *piece = r->frame;
  piece->text = r->text->str;
  return true;
}

/* --- parsing --- */

static const char *
text_of (const json_t *choice)
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

  p->text = text_of (choice);
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
  r->parsed++;
  r->root = json_loadb (data, len, 0, NULL);
  if (!json_is_object (r->root))
    return false;
  piece_fill (r->root, piece);
  return true;
}

/* Reads an event that fits the frame both ways.  */
static bool
frame_prove (pu_chunk_reader_t *r, const char *data, gsize len,
             pu_chunk_t *piece)
{
  char *learnt_id = g_strdup (r->frame.id);
  bool good = piece_parse (r, data, len, piece);

  r->proved = good && strcmp (piece->text, r->text->str) == 0
              && g_strcmp0 (piece->id, learnt_id) == 0
              && piece->finish == r->frame.finish
              && piece->is_error == r->frame.is_error
              && piece->completion_tokens == r->frame.completion_tokens;
  r->learnt = r->proved;
  /* The frame's id belonged to the event before.  */
  if (good)
    r->frame.id = piece->id;
  g_free (learnt_id);
  return good;
}

bool
pu_chunk_read (pu_chunk_reader_t *r, const char *data, gsize len,
               pu_chunk_t *piece)
{
  bool fits = frame_fits (r, data, len, piece);

  if (fits && r->proved)
    return true;
  if (fits && strcmp (r->text->str, r->frame_text->str) != 0)
    return frame_prove (r, data, len, piece);
  if (!piece_parse (r, data, len, piece))
    {
      r->learnt = false;
      return false;
    }
  frame_learn (r, data, len, piece);
  return true;
}
