#include "http/sse.h"

#include <string.h>

struct pu_sse
{
  gsize max;
  pu_sse_cb cb;
  void *cb_data;
  GString *raw;     /* the lines of the event so far */
  GString *data;    /* its data lines, each followed by LF */
  GString *name;    /* its field "event" */
  GString *id;      /* its field "id" */
  gsize line_start; /* of the unfinished line, in raw */
  bool has_data;
  bool after_cr; /* the last byte was CR: an LF now belongs to it */
};

pu_sse_t *
pu_sse_new (gsize max, pu_sse_cb cb, void *data)
{
  pu_sse_t *s = g_new0 (pu_sse_t, 1);

  s->max = max;
  s->cb = cb;
  s->cb_data = data;
  s->raw = g_string_new (NULL);
  s->data = g_string_new (NULL);
  s->name = g_string_new (NULL);
  s->id = g_string_new (NULL);
  return s;
}

void
pu_sse_free (pu_sse_t *s)
{
  if (s == NULL)
    return;
  g_string_free (s->raw, TRUE);
  g_string_free (s->data, TRUE);
  g_string_free (s->name, TRUE);
  g_string_free (s->id, TRUE);
  g_free (s);
}

static void
event_clear (pu_sse_t *s)
{
  g_string_truncate (s->raw, 0);
  g_string_truncate (s->data, 0);
  g_string_truncate (s->name, 0);
  g_string_truncate (s->id, 0);
  s->line_start = 0;
  s->has_data = false;
}

void
pu_sse_reset (pu_sse_t *s)
{
  event_clear (s);
  s->after_cr = false;
}

static bool
field_is (const char *line, gsize len, const char *name)
{
  return len == strlen (name) && memcmp (line, name, len) == 0;
}

static void
field_set (GString *field, const char *value, gsize len)
{
  g_string_truncate (field, 0);
  g_string_append_len (field, value, (gssize)len);
}

/* Takes the field of LINE.  */
static void
field_take (pu_sse_t *s, const char *line, gsize len)
{
  const char *colon = memchr (line, ':', len);
  gsize name_len = colon == NULL ? len : (gsize)(colon - line);
  gsize skip = colon == NULL ? len : name_len + 1;

  if (skip < len && line[skip] == ' ')
    skip++;
  if (field_is (line, name_len, "data"))
    {
      g_string_append_len (s->data, line + skip, (gssize)(len - skip));
      g_string_append_c (s->data, '\n');
      s->has_data = true;
    }
  else if (field_is (line, name_len, "event"))
    {
      field_set (s->name, line + skip, len - skip);
    }
  else if (field_is (line, name_len, "id"))
    {
      field_set (s->id, line + skip, len - skip);
    }
}

/* Gives the finished event out; an event without any line is none.  */
static bool
event_give (pu_sse_t *s)
{
  pu_sse_event_t ev = { 0 };
  bool going = true;

  if (s->raw->len > 1)
    {
      if (s->has_data)
        g_string_truncate (s->data, s->data->len - 1);
      ev.raw = s->raw->str;
      ev.raw_len = s->raw->len;
      ev.data = s->data->str;
      ev.data_len = s->data->len;
      ev.has_data = s->has_data;
      ev.name = s->name->str;
      ev.id = s->id->str;
      going = s->cb (s->cb_data, &ev);
    }
  event_clear (s);
  return going;
}

static bool
line_end (pu_sse_t *s)
{
  gsize len = s->raw->len - s->line_start;

  if (len > 0)
    field_take (s, s->raw->str + s->line_start, len);
  g_string_append_c (s->raw, '\n');
  s->line_start = s->raw->len;
  return len > 0 ? true : event_give (s);
}

/* Appends the run of bytes up to the next line end; returns its length.  */
static gsize
run_take (pu_sse_t *s, const char *bytes, gsize len)
{
  gsize n = 0;

  while (n < len && bytes[n] != '\n' && bytes[n] != '\r')
    n++;
  g_string_append_len (s->raw, bytes, (gssize)n);
  return n;
}

pu_sse_result_t
pu_sse_feed (pu_sse_t *s, const char *bytes, gsize len)
{
  gsize i = 0;

  while (i < len)
    {
      bool pair = s->after_cr && bytes[i] == '\n';

      s->after_cr = false;
      if (pair)
        {
          i++;
          continue;
        }
      i += run_take (s, bytes + i, len - i);
      /* One more for the line end that follows.  */
      if (s->raw->len + 1 > s->max)
        return PU_SSE_TOO_LARGE;
      if (i == len)
        break;
      s->after_cr = bytes[i] == '\r';
      i++;
      if (!line_end (s))
        return PU_SSE_STOPPED;
    }
  return PU_SSE_OK;
}

bool
pu_sse_is_done (const pu_sse_event_t *ev)
{
  return field_is (ev->data, ev->data_len, "[DONE]");
}
