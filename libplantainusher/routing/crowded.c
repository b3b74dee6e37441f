#include "routing/crowded.h"

enum
{
  SPAN_MS = 500, /* outcomes are counted in this span and the one before it */
  /* Rejections in these spans, and their share of the outcomes in percent,
     from which on the server is crowded.  */
  FOUND_MIN = 2,
  FOUND_PCT = 25,
  /* A rejection for want of room comes back sooner than this.  A later one is
     of a request that had room, and waited in the server's queue for too
     long.  */
  PROMPT_MS = 200,
  /* Time without a rejection until the limit grows, at least and at most: it
     doubles with each attempt to grow that ends in a rejection.  */
  PROBE_MIN_MS = 50,
  PROBE_MAX_MS = 1600,
};

typedef struct
{
  guint64 sent_at;
  guint at_once; /* requests in flight with this one when it was sent */
} sent_t;

typedef struct
{
  guint rejected;
  guint other;
} outcomes_t;

struct pu_crowded
{
  GArray *sent; /* of sent_t, in order: those that have not ended */
  outcomes_t spans[2];
  guint64 span;     /* number of the present span */
  guint limit;      /* G_MAXUINT: not known */
  guint step;       /* by which the limit grows next */
  guint64 probe_ms; /* time without a rejection until then */
  guint64 changed_at;
};

pu_crowded_t *
pu_crowded_new (void)
{
  pu_crowded_t *c = g_new0 (pu_crowded_t, 1);

  c->sent = g_array_new (FALSE, FALSE, sizeof (sent_t));
  c->limit = G_MAXUINT;
  c->step = 1;
  c->probe_ms = PROBE_MIN_MS;
  return c;
}

void
pu_crowded_free (pu_crowded_t *c)
{
  if (c == NULL)
    return;
  g_array_free (c->sent, TRUE);
  g_free (c);
}

/* Returns the counts of the span of NOW.  */
static outcomes_t *
outcomes_at (pu_crowded_t *c, guint64 now)
{
  guint64 number = now / SPAN_MS;

  if (number > c->span + 1)
    c->spans[(number + 1) % 2] = (outcomes_t){ 0 };
  if (number > c->span)
    c->spans[number % 2] = (outcomes_t){ 0 };
  c->span = number;
  return &c->spans[number % 2];
}

void
pu_crowded_sent (pu_crowded_t *c, guint64 now)
{
  sent_t one = { now, c->sent->len + 1 };

  g_array_append_val (c->sent, one);
}

/* Removes the request that was sent at SENT_AT, the LAST or the first of
   several: a server accepts the first of them.  Returns how many were in
   flight with it when it was sent, 0 if there is none.  */
static guint
sent_remove (pu_crowded_t *c, guint64 sent_at, bool last)
{
  guint found = c->sent->len;
  guint at_once;

  for (guint i = 0; i < c->sent->len && (last || found == c->sent->len); i++)
    {
      if (g_array_index (c->sent, sent_t, i).sent_at == sent_at)
        found = i;
    }
  if (found == c->sent->len)
    return 0;
  at_once = g_array_index (c->sent, sent_t, found).at_once;
  g_array_remove_index (c->sent, found);
  return at_once;
}

void
pu_crowded_ended (pu_crowded_t *c, guint64 sent_at, guint64 now)
{
  bool is_limit = c->sent->len >= c->limit;

  sent_remove (c, sent_at, false);
  outcomes_at (c, now)->other++;
  if (!is_limit || now < c->changed_at + c->probe_ms)
    return;
  /* Nothing was rejected since the last step.  */
  if (c->step > 1)
    c->probe_ms = PROBE_MIN_MS;
  c->limit += c->step;
  c->step *= 2;
  c->changed_at = now;
}

void
pu_crowded_rejected (pu_crowded_t *c, guint64 sent_at, guint64 now)
{
  guint at_once = sent_remove (c, sent_at, true);

  if (now >= sent_at + PROMPT_MS || at_once == 0)
    return;
  outcomes_at (c, now)->rejected++;
  /* One attempt to grow, however many of its requests are rejected.  */
  if (c->step > 1)
    c->probe_ms = MIN (c->probe_ms * 2, PROBE_MAX_MS);
  c->limit = MIN (c->limit, MAX (at_once - 1, 1));
  c->step = 1;
  c->changed_at = now;
}

bool
pu_crowded_is_found (pu_crowded_t *c, guint64 now)
{
  guint rejected;
  guint other;

  outcomes_at (c, now);
  rejected = c->spans[0].rejected + c->spans[1].rejected;
  other = c->spans[0].other + c->spans[1].other;
  return rejected >= FOUND_MIN
         && rejected * 100 >= (rejected + other) * FOUND_PCT;
}

guint
pu_crowded_limit (const pu_crowded_t *c)
{
  return c->limit;
}
