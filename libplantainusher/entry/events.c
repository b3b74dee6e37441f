#include "entry/events.h"

#include <string.h>

enum
{
  /* Bytes of comments and of events that bring nothing new, between two that
     do.  */
  IDLE_MAX_BYTES = 65536,
};

struct pu_event_filter
{
  pu_event_filter_cb cb;
  void *data;
  gsize max_bytes;
  guint64 last_id; /* id of the last event forwarded */
  guint count;
  GString *partial; /* bytes of the incomplete event */
  gsize line;       /* offset in partial of the incomplete line */
  GString *ready;   /* complete events to forward at the end of the current
                       call of pu_event_filter_feed */
  guint ready_events;
  guint64 id; /* id of the incomplete event, if has_id */
  bool has_id;
  bool has_data;
  guint64 seen_id; /* highest id, also of events not forwarded */
  gsize idle;      /* bytes since the last event that brought something new */
};

pu_event_filter_t *
pu_event_filter_new (guint64 after, gsize max_bytes, pu_event_filter_cb cb,
                     void *data)
{
  pu_event_filter_t *s = g_new0 (pu_event_filter_t, 1);

  s->cb = cb;
  s->data = data;
  s->max_bytes = max_bytes;
  s->last_id = after;
  s->partial = g_string_new (NULL);
  s->ready = g_string_new (NULL);
  return s;
}

void
pu_event_filter_free (pu_event_filter_t *s)
{
  if (s == NULL)
    return;
  g_string_free (s->partial, TRUE);
  g_string_free (s->ready, TRUE);
  g_free (s);
}

static bool
id_parse (const char *text, gsize len, guint64 *value)
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

/* Reads the id from a line such as "id: 12".  */
static void
line_parse (pu_event_filter_t *s, const char *line, gsize len)
{
  static const char field[] = "id:";
  static const char data[] = "data";
  gsize skip = sizeof field - 1;

  if (len >= sizeof data - 1 && memcmp (line, data, sizeof data - 1) == 0)
    s->has_data = true;
  if (len < skip || memcmp (line, field, skip) != 0)
    return;
  if (len > skip && line[skip] == ' ')
    skip++;
  s->has_id = id_parse (line + skip, len - skip, &s->id);
}

/* Whether the event that is complete brings something new.  */
static bool
is_new (const pu_event_filter_t *s)
{
  return s->has_id ? s->id > s->seen_id : s->has_data;
}

/* Handles the end of an event.  Adds the event to the bytes to forward unless
   its id was forwarded before.  */
static void
event_complete (pu_event_filter_t *s)
{
  bool seen = s->has_id && s->id <= s->last_id;

  s->idle = is_new (s) ? 0 : s->idle + s->partial->len;
  if (s->has_id)
    s->seen_id = MAX (s->seen_id, s->id);
  if (!seen)
    {
      g_string_append_len (s->ready, s->partial->str, (gssize)s->partial->len);
      s->ready_events += s->has_id ? 1 : 0;
      if (s->has_id)
        s->last_id = s->id;
    }
  g_string_truncate (s->partial, 0);
  s->line = 0;
  s->has_id = false;
  s->has_data = false;
}

/* Handles a line feed, which completes the line that starts at s->line.  */
static void
line_complete (pu_event_filter_t *s)
{
  const char *line = s->partial->str + s->line;
  gsize len = s->partial->len - s->line - 1;

  if (len > 0 && line[len - 1] == '\r')
    len--;
  if (len == 0)
    {
      event_complete (s);
      return;
    }
  line_parse (s, line, len);
  s->line = s->partial->len;
}

bool
pu_event_filter_feed (pu_event_filter_t *s, const char *bytes, gsize len)
{
  const char *end = bytes + len;

  while (bytes < end)
    {
      const char *newline = memchr (bytes, '\n', (gsize)(end - bytes));
      gsize n = (gsize)((newline != NULL ? newline + 1 : end) - bytes);

      if (s->partial->len + n > s->max_bytes)
        return false;
      g_string_append_len (s->partial, bytes, (gssize)n);
      bytes += n;
      if (newline != NULL)
        line_complete (s);
      if (s->idle > IDLE_MAX_BYTES)
        return false;
    }
  if (s->ready->len > 0)
    {
      s->count += s->ready_events;
      s->cb (s->data, s->ready->str, s->ready->len, s->ready_events);
      g_string_truncate (s->ready, 0);
      s->ready_events = 0;
    }
  return true;
}

guint64
pu_event_filter_last_id (const pu_event_filter_t *s)
{
  return s->last_id;
}

guint
pu_event_filter_count (const pu_event_filter_t *s)
{
  return s->count;
}

bool
pu_event_filter_has_partial (const pu_event_filter_t *s)
{
  return s->partial->len > 0;
}
