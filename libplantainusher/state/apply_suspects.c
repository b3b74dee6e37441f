/* Commands about suspects: requests that may crash the backend server that
   runs them.  */

#include "state/apply.h"

#include <stdlib.h>
#include <string.h>

/* Follows a lost backend server in a suspect's list when the request ran there
   isolated.  That loss counts against this suspect alone: strikes of other
   requests for it are removed, and later ones are refused.  */
#define ISOLATED_MARK "!"

/* Returns the index of LOST in P's list, with the mark of an isolated request
   when ISOLATED is set and without it otherwise; -1 when it is not there.  */
static int
find_lost (const pu_suspect_record *p, const char *lost, bool isolated)
{
  size_t n = strlen (lost);

  for (u_int i = 0; i < p->lost.lost_len; i++)
    {
      const char *one = p->lost.lost_val[i];

      if (strncmp (one, lost, n) == 0
          && strcmp (one + n, isolated ? ISOLATED_MARK : "") == 0)
        return (int)i;
    }
  return -1;
}

/* Returns whether LOST counts against a suspect that ran isolated.  */
static bool
is_attributed (const pu_state_t *s, const char *lost)
{
  for (GTreeNode *n = g_tree_node_first (s->suspects); n != NULL;
       n = g_tree_node_next (n))
    {
      if (find_lost (g_tree_node_value (n), lost, true) >= 0)
        return true;
    }
  return false;
}

/* Removes the lost backend server at index PLACE of P's list.  */
static void
remove_lost (pu_suspect_record *p, u_int place)
{
  pu_detail *at = p->lost.lost_val + place;

  free (*at);
  p->lost.lost_len--;
  memmove (at, at + 1, (p->lost.lost_len - place) * sizeof *at);
}

/* Removes the strike at index PLACE of P's list.  */
static void
remove_strike (const pu_state_t *s, pu_suspect_record *p, int place)
{
  remove_lost (p, (u_int)place);
  p->strikes--;
  p->convicted = p->convicted && p->strikes >= s->options.convict_strikes;
}

/* Removes the strikes for the loss LOST of all requests that were not
   isolated, and the suspects that have no strike left.  */
static void
remove_other_strikes (pu_state_t *s, const char *lost)
{
  GArray *cleared = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  for (GTreeNode *n = g_tree_node_first (s->suspects); n != NULL;
       n = g_tree_node_next (n))
    {
      pu_suspect_record *p = g_tree_node_value (n);
      int place = find_lost (p, lost, false);

      if (place < 0)
        continue;
      remove_strike (s, p, place);
      if (p->strikes == 0)
        g_array_append_val (cleared, p->fingerprint);
    }
  for (guint i = 0; i < cleared->len; i++)
    g_tree_remove (s->suspects, &g_array_index (cleared, uint64_t, i));
  g_array_free (cleared, TRUE);
}

/* Appends LOST to P's list.  A full list drops its oldest: what is sent again
   was lost recently.  */
static void
add_lost (pu_suspect_record *p, const char *lost, bool isolated)
{
  u_int n;
  size_t size;

  if (p->lost.lost_len == PU_LOST_MAX)
    remove_lost (p, 0);
  n = p->lost.lost_len;
  p->lost.lost_val = realloc (p->lost.lost_val, (n + 1) * sizeof (pu_detail));
  size = strlen (lost) + sizeof ISOLATED_MARK;
  p->lost.lost_val[n] = malloc (size);
  g_snprintf (p->lost.lost_val[n], size, "%s%s", lost,
              isolated ? ISOLATED_MARK : "");
  p->lost.lost_len = n + 1;
}

/* Returns the suspect with the fingerprint in C.  Adds one without strikes
   when there is none, or in place of one that is not convicted and whose last
   strike is older than strike_window_ms.  */
static pu_suspect_record *
find_or_add_suspect (pu_state_t *s, const pu_strike *c)
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

/* Whether P is convicted by its newest strike, for a run that was ISOLATED or
   not.  */
static bool
convicts (const pu_state_t *s, const pu_suspect_record *p, bool isolated)
{
  return p->strikes >= s->options.convict_strikes
         && (isolated || !s->options.convict_isolated);
}

/* Removes the suspects that are not convicted and whose last strike is older
   than strike_window_ms at the time WALL.  */
static void
remove_expired (pu_state_t *s, uint64_t wall)
{
  GArray *expired = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  for (GTreeNode *n = g_tree_node_first (s->suspects); n != NULL;
       n = g_tree_node_next (n))
    {
      const pu_suspect_record *p = g_tree_node_value (n);

      if (!p->convicted && p->wall + s->options.strike_window_ms < wall)
        g_array_append_val (expired, p->fingerprint);
    }
  for (guint i = 0; i < expired->len; i++)
    g_tree_remove (s->suspects, &g_array_index (expired, uint64_t, i));
  g_array_free (expired, TRUE);
}

void
pu_apply_strike (pu_apply_t *a, const pu_strike *c)
{
  pu_suspect_record *p;
  char lost[PU_DETAIL_MAX - 1];

  remove_expired (a->state, c->wall);
  g_snprintf (lost, sizeof lost, "%s@%lu", c->backend,
              (unsigned long)c->incarnation);
  if (!c->apart && is_attributed (a->state, lost))
    {
      pu_apply_set_outcome (
          a, PU_OUTCOME_SEEN,
          "The loss of %s counts against an isolated suspect.", lost);
      return;
    }
  p = find_or_add_suspect (a->state, c);
  if (find_lost (p, lost, c->apart) >= 0)
    {
      pu_apply_set_outcome (a, PU_OUTCOME_SEEN,
                            "The strike was already counted.");
      return;
    }
  if (c->apart)
    remove_other_strikes (a->state, lost);
  /* The call may have removed P: it has lost its only strike when the request
     also ran there without isolation.  */
  p = find_or_add_suspect (a->state, c);
  add_lost (p, lost, c->apart);
  p->strikes++;
  p->wall = MAX (p->wall, c->wall);
  p->convicted = p->convicted || convicts (a->state, p, c->apart);
  a->state->changes++;
}

void
pu_apply_lift (pu_apply_t *a, uint64_t fingerprint)
{
  if (!g_tree_remove (a->state->suspects, &fingerprint))
    {
      pu_apply_set_outcome (a, PU_OUTCOME_REFUSED,
                            "No suspect has this fingerprint.");
      return;
    }
  a->state->changes++;
}
