#include "entry/stream.h"

#include <string.h>

#include "entry/chunk.h"
#include "http/sse.h"

/* Maximum size of one server-sent event, which holds one token and its
   metadata.  */
#define EVENT_MAX_BYTES ((gsize)256 * 1024)

/* Bytes of comments and of events without text between two with text.  */
#define IDLE_MAX_BYTES ((gsize)64 * 1024)

struct pu_stream
{
  pu_delivered_t *sent;
  pu_sse_t *sse;
  pu_chunk_reader_t *reader;
  pu_stream_cb cb;
  void *cb_data;
  bool is_from_start;         /* no token was forwarded before this attempt */
  guint replay_tokens_left;   /* tokens of the replay that have not arrived */
  gsize replay_matched_bytes; /* bytes of the caller's text that the replay has
                                 repeated */
  guint tokens;
  guint events;
  gsize idle; /* bytes since the last event with text */
  char *id;   /* completion id in the chunks; NULL: no chunk with an id has
                 arrived */
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

/* Forwards the event EV to the caller, and records in S->sent what the caller
   has received.  P is the chunk that EV holds; NULL: EV holds none.  */
static void
event_forward (pu_stream_t *s, const pu_sse_event_t *ev, const pu_chunk_t *p)
{
  bool token = p != NULL && *p->text != 0;

  if (token)
    {
      g_string_append (s->sent->text, p->text);
      s->sent->tokens++;
      s->tokens++;
    }
  if (p != NULL && p->has_finish_reason)
    s->sent->finished = true;
  s->cb (s->cb_data, ev->raw, ev->raw_len, token ? 1 : 0);
}

/* Whether TEXT, the next token of the replay, equals the text that the caller
   has received at the same place.  */
static bool
replay_check (pu_stream_t *s, const char *text)
{
  gsize n = strlen (text);
  const GString *had = s->sent->text;

  if (n > had->len - s->replay_matched_bytes
      || memcmp (had->str + s->replay_matched_bytes, text, n) != 0)
    return false;
  s->replay_matched_bytes += n;
  s->replay_tokens_left--;
  return s->replay_tokens_left > 0 || s->replay_matched_bytes == had->len;
}

static pu_stream_result_t
token_handle (pu_stream_t *s, const pu_sse_event_t *ev, const pu_chunk_t *p)
{
  guint64 index = 0;

  if (g_ascii_string_to_unsigned (ev->id, 10, 0, G_MAXUINT32, &index, NULL))
    {
      /* The event id is the index of the token, so the text need not be
         compared.  */
      s->replay_tokens_left = 0;
      if (index > s->sent->tokens)
        return PU_STREAM_BROKEN;
      if (index == s->sent->tokens)
        event_forward (s, ev, p);
      return PU_STREAM_MORE;
    }
  if (s->replay_tokens_left == 0)
    {
      event_forward (s, ev, p);
      return PU_STREAM_MORE;
    }
  return replay_check (s, p->text) ? PU_STREAM_MORE : PU_STREAM_MISMATCH;
}

static bool
is_same_completion (pu_stream_t *s, const char *id)
{
  if (id == NULL)
    return true;
  if (s->id == NULL)
    s->id = g_strdup (id);
  return strcmp (s->id, id) == 0;
}

/* Whether more tokens were forwarded than the token count in the usage data of
   P, which means that some tokens were sent twice.  Each event with text
   counts as one token.  Not checked after a resume, where the usage data may
   count only the remaining tokens.  */
static bool
has_duplicates (const pu_stream_t *s, const pu_chunk_t *p)
{
  return s->is_from_start && p->completion_tokens > 0
         && s->sent->tokens > p->completion_tokens;
}

static pu_stream_result_t
chunk_handle (pu_stream_t *s, const pu_sse_event_t *ev, const pu_chunk_t *p)
{
  if (p->is_error)
    return PU_STREAM_BROKEN;
  if (!is_same_completion (s, p->id))
    return PU_STREAM_MISMATCH;
  if (*p->text != 0)
    {
      s->idle = 0;
      return token_handle (s, ev, p);
    }
  /* A chunk without text is either the first one, which holds the role, or the
     last one, which holds the finish reason.  */
  if (p->has_finish_reason ? !s->sent->finished : s->is_from_start)
    event_forward (s, ev, p);
  return has_duplicates (s, p) ? PU_STREAM_DUPLICATES : PU_STREAM_MORE;
}

static pu_stream_result_t
event_handle (pu_stream_t *s, const pu_sse_event_t *ev)
{
  pu_chunk_t p;

  if (!ev->has_data)
    {
      event_forward (s, ev, NULL);
      return PU_STREAM_MORE;
    }
  if (pu_sse_is_done (ev))
    {
      if (s->replay_tokens_left > 0)
        return PU_STREAM_MISMATCH;
      event_forward (s, ev, NULL);
      return PU_STREAM_DONE;
    }
  if (strcmp (ev->name, "error") == 0)
    return PU_STREAM_BROKEN;
  if (!pu_chunk_read (s->reader, ev->data, ev->data_len, &p))
    return PU_STREAM_BROKEN;
  return chunk_handle (s, ev, &p);
}

static bool
on_event (void *data, const pu_sse_event_t *ev)
{
  pu_stream_t *s = data;

  s->events++;
  s->idle += ev->raw_len;
  s->result = event_handle (s, ev);
  if (s->result == PU_STREAM_MORE && s->idle > IDLE_MAX_BYTES)
    s->result = PU_STREAM_BROKEN;
  return s->result == PU_STREAM_MORE;
}

pu_stream_t *
pu_stream_new (pu_delivered_t *sent, bool confirmed, pu_stream_cb cb,
               void *data)
{
  pu_stream_t *s = g_new0 (pu_stream_t, 1);

  s->sent = sent;
  s->sse = pu_sse_new (EVENT_MAX_BYTES, on_event, s);
  s->reader = pu_chunk_reader_new ();
  s->cb = cb;
  s->cb_data = data;
  s->is_from_start = sent->tokens == 0;
  s->replay_tokens_left = confirmed ? 0 : sent->tokens;
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
pu_stream_token_count (const pu_stream_t *s)
{
  return s->tokens;
}

guint
pu_stream_event_count (const pu_stream_t *s)
{
  return s->events;
}
