/* Commands about requests that may crash what runs them.  */

#include "state/apply.h"

#include <stdlib.h>
#include <string.h>

/* A death that a suspect met while it ran apart counts against it alone.
   Whoever else was struck for it, before or after, is innocent of it.  */
#define APART_MARK "!"

/* The place of LOST, or of LOST with the mark of one that ran apart, in P's
   list; -1 when it is not there.  */
static int
find_lost (const pu_suspect_record *p, const char *lost, bool apart)
{
  size_t n = strlen (lost);

  for (u_int i = 0; i < p->lost.lost_len; i++)
    {
      const char *one = p->lost.lost_val[i];

      if (strncmp (one, lost, n) == 0
          && strcmp (one + n, apart ? APART_MARK : "") == 0)
        return (int)i;
    }
  return -1;
}

/* Whether a suspect that ran apart accounts for the death LOST.  */
static bool
is_explained (const pu_state_t *s, const char *lost)
{
  for (GTreeNode *n = g_tree_node_first (s->suspects); n != NULL;
       n = g_tree_node_next (n))
    {
      if (find_lost (g_tree_node_value (n), lost, true) >= 0)
        return true;
    }
  return false;
}

static void
unstrike (const pu_state_t *s, pu_suspect_record *p, int place)
{
  u_int last = p->lost.lost_len - 1;

  free (p->lost.lost_val[place]);
  p->lost.lost_val[place] = p->lost.lost_val[last];
  p->lost.lost_len = last;
  p->strikes--;
  p->convicted = p->strikes >= s->options.convict_strikes;
}

/* Takes back what others were struck with for the death LOST.  */
static void
absolve_others (pu_state_t *s, const char *lost)
{
  GArray *cleared = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  for (GTreeNode *n = g_tree_node_first (s->suspects); n != NULL;
       n = g_tree_node_next (n))
    {
      pu_suspect_record *p = g_tree_node_value (n);
      int place = find_lost (p, lost, false);

      if (place < 0)
        continue;
      unstrike (s, p, place);
      if (p->strikes == 0)
        g_array_append_val (cleared, p->fingerprint);
    }
  for (guint i = 0; i < cleared->len; i++)
    g_tree_remove (s->suspects, &g_array_index (cleared, uint64_t, i));
  g_array_free (cleared, TRUE);
}

static void
note_lost (pu_suspect_record *p, const char *lost, bool apart)
{
  u_int n = p->lost.lost_len;
  size_t size;

  if (n == PU_LOST_MAX)
    return;
  p->lost.lost_val = realloc (p->lost.lost_val, (n + 1) * sizeof (pu_detail));
  size = strlen (lost) + sizeof APART_MARK;
  p->lost.lost_val[n] = malloc (size);
  g_snprintf (p->lost.lost_val[n], size, "%s%s", lost,
              apart ? APART_MARK : "");
  p->lost.lost_len = n + 1;
}

/* The suspect to strike: the one that is known, or a new one where there is
   none or where the known one's only strikes are too old to count.  */
static pu_suspect_record *
suspect_to_strike (pu_state_t *s, const pu_strike *c)
{
  uint64_t fingerprint = c->fingerprint;
  pu_suspect_record *p = g_tree_lookup (s->suspects, &fingerprint);
  pu_suspect_record n = { 0 };

  if (p != NULL
      && (p->convicted || p->wall + s->options.strike_window_ms >= c->wall))
    return p;
  n.fingerprint = c->fingerprint;
  n.model = c->model;
  p = pu_codec_clone ((xdrproc_t)xdr_pu_suspect_record, &n, sizeof n);
  pu_tables_put_suspect (s, p);
  return p;
}

void
pu_apply_strike (pu_apply_t *a, const pu_strike *c)
{
  pu_suspect_record *p;
  char lost[PU_DETAIL_MAX - 1];

  g_snprintf (lost, sizeof lost, "%s@%lu", c->backend,
              (unsigned long)c->incarnation);
  if (!c->apart && is_explained (a->state, lost))
    {
      pu_apply_answer (a, PU_OUTCOME_SEEN, "A suspect accounts for %s.", lost);
      return;
    }
  p = suspect_to_strike (a->state, c);
  if (find_lost (p, lost, c->apart) >= 0)
    {
      pu_apply_answer (a, PU_OUTCOME_SEEN, "The strike is counted.");
      return;
    }
  if (c->apart)
    absolve_others (a->state, lost);
  /* Absolved itself when it ran there apart and not apart: find it anew.  */
  p = suspect_to_strike (a->state, c);
  note_lost (p, lost, c->apart);
  p->strikes++;
  p->wall = MAX (p->wall, c->wall);
  p->convicted
      = p->convicted || p->strikes >= a->state->options.convict_strikes;
  a->state->changes++;
}

void
pu_apply_lift (pu_apply_t *a, uint64_t fingerprint)
{
  if (!g_tree_remove (a->state->suspects, &fingerprint))
    {
      pu_apply_answer (a, PU_OUTCOME_REFUSED,
                       "No suspect of that fingerprint.");
      return;
    }
  a->state->changes++;
}
