/* A queue of the requests that arrive before the entry has a document, such as
   after a restart.  */

#include "entry/entry_private.h"

enum
{
  /* How long a request is queued at most, in milliseconds.  The time covers a
     leader election and the agent's next poll of a voter.  Callers disconnect
     after two seconds without a byte.  */
  HOLD_TIMEOUT_MS = 1500,
  /* The most requests in the queue: several times the number that callers send
     to one instance within HOLD_TIMEOUT_MS.  */
  HELD_REQUESTS_MAX = 256,
  HELD_BYTES_MAX = 4 << 20, /* maximum total size of the queued bodies */
};

typedef struct
{
  pu_entry_t *en;
  pu_http_request_t *http;
  guint64 arrived; /* loop time of the arrival */
  gsize bytes;
  GList link; /* link in en->startup_queue */
} held_request_t;

static void
held_request_free (held_request_t *e)
{
  g_queue_unlink (&e->en->startup_queue, &e->link);
  e->en->startup_bytes -= e->bytes;
  g_free (e);
}

static void
on_gone (void *data)
{
  held_request_free (data);
}

bool
pu_startup_hold (pu_entry_t *en, pu_http_request_t *http)
{
  static const pu_http_request_events_t events = { .on_gone = on_gone };
  held_request_t *e;
  gsize bytes;

  pu_http_request_body (http, &bytes);
  if (en->stopping || en->startup_queue.length >= HELD_REQUESTS_MAX
      || en->startup_bytes + bytes > HELD_BYTES_MAX)
    return false;
  e = g_new0 (held_request_t, 1);
  e->en = en;
  e->http = http;
  e->arrived = uv_now (en->o.loop);
  e->bytes = bytes;
  e->link.data = e;
  g_queue_push_tail_link (&en->startup_queue, &e->link);
  en->startup_bytes += bytes;
  pu_http_request_watch (http, &events, e);
  return true;
}

/* Removes E from the queue and stops watching its request, which is
   returned.  */
static pu_http_request_t *
held_request_detach (held_request_t *e)
{
  static const pu_http_request_events_t none = { 0 };
  pu_http_request_t *http = e->http;

  pu_http_request_watch (http, &none, NULL);
  held_request_free (e);
  return http;
}

void
pu_startup_admit (pu_entry_t *en)
{
  held_request_t *e;

  while (en->document != NULL
         && (e = g_queue_peek_head (&en->startup_queue)) != NULL)
    {
      guint64 arrived = e->arrived;

      pu_exchange_begin_arrived (en, held_request_detach (e), arrived);
    }
}

void
pu_startup_tick (pu_entry_t *en, guint64 now)
{
  held_request_t *e;

  while ((e = g_queue_peek_head (&en->startup_queue)) != NULL
         && (en->stopping || now >= e->arrived + HOLD_TIMEOUT_MS))
    pu_exchange_refuse_starting (en, held_request_detach (e));
}
