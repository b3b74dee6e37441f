#include "routing/reach.h"

enum
{
  FAILURE_TTL_MS = 1000, /* an older failure says nothing */
  /* So many that one of them succeeds where a part of the backend servers is
     reached.  */
  PROBES_IN_DOUBT = 8,
  PROBES_CUT_OFF = 4,
  ROUND_INTERVAL_MS = 200, /* between rounds of a cut off instance */
};

void
pu_reach_init (pu_reach_t *r)
{
  *r = (pu_reach_t){ .state = PU_REACH_GOOD };
}

static void
round_reset (pu_reach_t *r, guint64 next_at)
{
  r->probes_good = 0;
  r->probes_bad = 0;
  r->next_round_at = next_at;
}

static void
become_good (pu_reach_t *r)
{
  r->state = PU_REACH_GOOD;
  r->n_failed = 0;
  round_reset (r, 0);
}

static bool
has_failed (const pu_reach_t *r, guint server)
{
  for (guint i = 0; i < r->n_failed; i++)
    {
      if (r->failed[i] == server)
        return true;
    }
  return false;
}

void
pu_reach_failed (pu_reach_t *r, guint server, guint64 now)
{
  if (r->state != PU_REACH_GOOD)
    return;
  if (now >= r->failed_at + FAILURE_TTL_MS)
    r->n_failed = 0;
  r->failed_at = now;
  if (has_failed (r, server))
    return;
  r->failed[r->n_failed++] = server;
  if (r->n_failed < PU_REACH_FAILED_MAX)
    return;
  r->state = PU_REACH_IN_DOUBT;
  r->round_counts = false;
  round_reset (r, now);
}

void
pu_reach_connected (pu_reach_t *r)
{
  if (r->state != PU_REACH_CUT_OFF)
    become_good (r);
}

guint
pu_reach_probes_due (pu_reach_t *r, guint64 now)
{
  guint n;

  if (r->state == PU_REACH_GOOD || r->probes_open > 0
      || now < r->next_round_at)
    return 0;
  n = r->state == PU_REACH_IN_DOUBT ? PROBES_IN_DOUBT : PROBES_CUT_OFF;
  round_reset (r, now + ROUND_INTERVAL_MS);
  r->round_counts = true;
  r->probes_open = n;
  return n;
}

/* Decides when all probes of the round have ended.  */
static void
round_end (pu_reach_t *r)
{
  if (r->state == PU_REACH_CUT_OFF && r->probes_bad == 0 && r->probes_good > 0)
    {
      become_good (r);
    }
  else if (r->state == PU_REACH_IN_DOUBT)
    {
      r->state = PU_REACH_CUT_OFF;
    }
}

void
pu_reach_probe_ended (pu_reach_t *r, bool good)
{
  if (r->probes_open > 0)
    r->probes_open--;
  if (good)
    {
      r->probes_good++;
    }
  else
    {
      r->probes_bad++;
    }
  if (good && r->state == PU_REACH_IN_DOUBT)
    {
      become_good (r);
    }
  else if (r->probes_open == 0 && r->round_counts)
    {
      round_end (r);
    }
}
