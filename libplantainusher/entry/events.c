#include "entry/events.h"

#include <string.h>

struct pu_events
{
  pu_events_cb cb;
  void *data;
  gsize max;
  guint64 last;
  guint count;
  GString *held; /* the beginning of an event */
  gsize line;    /* where the current line of it begins */
  GString *out;  /* whole events of the feed in progress */
  guint out_events;
  guint64 number; /* of the event in progress */
  bool has_number;
};

pu_events_t *
pu_events_new (guint64 after, gsize max, pu_events_cb cb, void *data)
{
  pu_events_t *s = g_new0 (pu_events_t, 1);

  s->cb = cb;
  s->data = data;
  s->max = max;
  s->last = after;
  s->held = g_string_new (NULL);
  s->out = g_string_new (NULL);
  return s;
}

void
pu_events_free (pu_events_t *s)
{
  if (s == NULL)
    return;
  g_string_free (s->held, TRUE);
  g_string_free (s->out, TRUE);
  g_free (s);
}

static bool
digits_read (const char *text, gsize len, guint64 *value)
{
  *value = 0;
  if (len == 0)
    return false;
  for (gsize i = 0; i < len; i++)
    {
      if (!g_ascii_isdigit (text[i]) || *value > G_MAXUINT64 / 10 - 1)
        return false;
      *value = *value * 10 + (guint64)(text[i] - '0');
    }
  return true;
}

/* Takes the number from a line such as "id: 12".  */
static void
line_read (pu_events_t *s, const char *line, gsize len)
{
  static const char field[] = "id:";
  gsize skip = sizeof field - 1;

  if (len < skip || memcmp (line, field, skip) != 0)
    return;
  if (len > skip && line[skip] == ' ')
    skip++;
  s->has_number = digits_read (line + skip, len - skip, &s->number);
}

/* The event in progress is whole.  */
static void
event_end (pu_events_t *s)
{
  bool seen = s->has_number && s->number <= s->last;

  if (!seen)
    {
      g_string_append_len (s->out, s->held->str, (gssize)s->held->len);
      s->out_events += s->has_number ? 1 : 0;
      if (s->has_number)
        s->last = s->number;
    }
  g_string_truncate (s->held, 0);
  s->line = 0;
  s->has_number = false;
}

/* A line feed has come: the line from s->line to the end is whole.  */
static void
line_end (pu_events_t *s)
{
  const char *line = s->held->str + s->line;
  gsize len = s->held->len - s->line - 1;

  if (len > 0 && line[len - 1] == '\r')
    len--;
  if (len == 0)
    {
      event_end (s);
      return;
    }
  line_read (s, line, len);
  s->line = s->held->len;
}

bool
pu_events_feed (pu_events_t *s, const char *bytes, gsize len)
{
  const char *end = bytes + len;

  while (bytes < end)
    {
      const char *feed = memchr (bytes, '\n', (gsize)(end - bytes));
      gsize n = (gsize)((feed != NULL ? feed + 1 : end) - bytes);

      if (s->held->len + n > s->max)
        return false;
      g_string_append_len (s->held, bytes, (gssize)n);
      bytes += n;
      if (feed != NULL)
        line_end (s);
    }
  if (s->out->len > 0)
    {
      s->count += s->out_events;
      s->cb (s->data, s->out->str, s->out->len, s->out_events);
      g_string_truncate (s->out, 0);
      s->out_events = 0;
    }
  return true;
}

void
pu_events_flush (pu_events_t *s)
{
  if (s->held->len == 0)
    return;
  s->cb (s->data, s->held->str, s->held->len, 0);
  g_string_truncate (s->held, 0);
}

guint64
pu_events_last (const pu_events_t *s)
{
  return s->last;
}

guint
pu_events_count (const pu_events_t *s)
{
  return s->count;
}

bool
pu_events_unfinished (const pu_events_t *s)
{
  return s->held->len > 0;
}
