#include "entry/stream.h"

#include <string.h>

#include "entry/piece.h"
#include "http/sse.h"

/* Bytes of one event; a token and what describes it.  */
#define EVENT_MAX ((gsize)256 * 1024)

struct pu_stream
{
  pu_delivered_t *sent;
  pu_sse_t *sse;
  pu_chunk_reader_t *reader;
  pu_stream_cb cb;
  void *cb_data;
  bool first;    /* nothing had been sent before this attempt */
  guint replay;  /* tokens of the replay that are still to come */
  gsize matched; /* bytes of the caller's text that the replay had */
  guint tokens;
  guint events;
  char *id; /* `id` inside the events; NULL: none yet */
  pu_stream_result_t result;
};

void
pu_delivered_init (pu_delivered_t *s)
{
  memset (s, 0, sizeof *s);
  s->text = g_string_new (NULL);
}

void
pu_delivered_clear (pu_delivered_t *s)
{
  if (s->text != NULL)
    g_string_free (s->text, TRUE);
  s->text = NULL;
}

static void
pass (pu_stream_t *s, const pu_sse_event_t *ev, const pu_chunk_t *p)
{
  bool token = p != NULL && *p->text != 0;

  if (token)
    {
      g_string_append (s->sent->text, p->text);
      s->sent->tokens++;
      s->tokens++;
    }
  if (p != NULL && p->finish)
    s->sent->finished = true;
  s->cb (s->cb_data, ev->raw, ev->raw_len, token ? 1 : 0);
}

/* A token of the replay: it must be what the caller has.  */
static bool
replay_take (pu_stream_t *s, const char *text)
{
  gsize n = strlen (text);
  const GString *had = s->sent->text;

  if (n > had->len - s->matched
      || memcmp (had->str + s->matched, text, n) != 0)
    return false;
  s->matched += n;
  s->replay--;
  return s->replay > 0 || s->matched == had->len;
}

static pu_stream_result_t
token_take (pu_stream_t *s, const pu_sse_event_t *ev, const pu_chunk_t *p)
{
  guint64 index = 0;

  if (g_ascii_string_to_unsigned (ev->id, 10, 0, G_MAXUINT32, &index, NULL))
    {
      /* The indexes say what is new.  */
      s->replay = 0;
      if (index > s->sent->tokens)
        return PU_STREAM_BROKEN;
      if (index == s->sent->tokens)
        pass (s, ev, p);
      return PU_STREAM_MORE;
    }
  if (s->replay == 0)
    {
      pass (s, ev, p);
      return PU_STREAM_MORE;
    }
  return replay_take (s, p->text) ? PU_STREAM_MORE : PU_STREAM_MISMATCH;
}

static bool
same_answer (pu_stream_t *s, const char *id)
{
  if (id == NULL)
    return true;
  if (s->id == NULL)
    s->id = g_strdup (id);
  return strcmp (s->id, id) == 0;
}

/* Whether the usage at the end tells of fewer tokens than were passed on, each
   in an event of its own.  After a resume it may count the rest alone.  */
static bool
is_doubled (const pu_stream_t *s, const pu_chunk_t *p)
{
  return s->first && p->completion_tokens > 0
         && s->sent->tokens > p->completion_tokens;
}

static pu_stream_result_t
piece_take (pu_stream_t *s, const pu_sse_event_t *ev, const pu_chunk_t *p)
{
  if (p->is_error)
    return PU_STREAM_BROKEN;
  if (!same_answer (s, p->id))
    return PU_STREAM_MISMATCH;
  if (*p->text != 0)
    return token_take (s, ev, p);
  /* An event without text: the role at the start, or the end.  */
  if (p->finish ? !s->sent->finished : s->first)
    pass (s, ev, p);
  return is_doubled (s, p) ? PU_STREAM_DUPLICATES : PU_STREAM_MORE;
}

static pu_stream_result_t
event_take (pu_stream_t *s, const pu_sse_event_t *ev)
{
  pu_chunk_t p;

  if (!ev->has_data)
    {
      pass (s, ev, NULL);
      return PU_STREAM_MORE;
    }
  if (pu_sse_is_done (ev))
    {
      if (s->replay > 0)
        return PU_STREAM_MISMATCH;
      pass (s, ev, NULL);
      return PU_STREAM_DONE;
    }
  if (strcmp (ev->name, "error") == 0)
    return PU_STREAM_BROKEN;
  if (!pu_chunk_read (s->reader, ev->data, ev->data_len, &p))
    return PU_STREAM_BROKEN;
  return piece_take (s, ev, &p);
}

static bool
on_event (void *data, const pu_sse_event_t *ev)
{
  pu_stream_t *s = data;

  s->events++;
  s->result = event_take (s, ev);
  return s->result == PU_STREAM_MORE;
}

pu_stream_t *
pu_stream_new (pu_delivered_t *sent, bool confirmed, pu_stream_cb cb,
               void *data)
{
  pu_stream_t *s = g_new0 (pu_stream_t, 1);

  s->sent = sent;
  s->sse = pu_sse_new (EVENT_MAX, on_event, s);
  s->reader = pu_chunk_reader_new ();
  s->cb = cb;
  s->cb_data = data;
  s->first = sent->tokens == 0;
  s->replay = confirmed ? 0 : sent->tokens;
  return s;
}

void
pu_stream_free (pu_stream_t *s)
{
  if (s == NULL)
    return;
  pu_sse_free (s->sse);
  pu_chunk_reader_free (s->reader);
  g_free (s->id);
  g_free (s);
}

pu_stream_result_t
pu_stream_feed (pu_stream_t *s, const char *bytes, gsize len)
{
  switch (pu_sse_feed (s->sse, bytes, len))
    {
    case PU_SSE_OK:
      return PU_STREAM_MORE;
    case PU_SSE_STOPPED:
      return s->result;
    case PU_SSE_TOO_LARGE:
      return PU_STREAM_BROKEN;
    }
  return PU_STREAM_BROKEN;
}

guint
pu_stream_tokens (const pu_stream_t *s)
{
  return s->tokens;
}

guint
pu_stream_events (const pu_stream_t *s)
{
  return s->events;
}
