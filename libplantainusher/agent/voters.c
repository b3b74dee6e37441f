#include "agent/agent_private.h"

#include <string.h>
#include <xxhash.h>

/* The rank of a voter for a daemon: rendezvous hashing, so that a change of
   voters moves only the daemons it must.  */
static uint64_t
rank_of (const char *name, const char *address)
{
  return XXH64 (address, strlen (address), XXH64 (name, strlen (name), 0));
}

static gint
compare_rank (gconstpointer a, gconstpointer b, gpointer data)
{
  const char *name = data;
  uint64_t x = rank_of (name, *(char *const *)a);
  uint64_t y = rank_of (name, *(char *const *)b);

  return x == y ? 0 : x > y ? -1 : 1;
}

static bool
contains (const GPtrArray *list, const char *address)
{
  return g_ptr_array_find_with_equal_func ((GPtrArray *)list, address,
                                           g_str_equal, NULL);
}

/* voters_rank - the voters that are known, best first; behind them the
   addresses of the settings, for the case that all the others have gone.  */
static void
voters_rank (pu_agent_t *a)
{
  char *current = g_strdup (pu_agent_voter (a));
  guint found = 0;

  g_ptr_array_set_size (a->ranked, 0);
  for (guint i = 0; i < a->learnt->len; i++)
    g_ptr_array_add (a->ranked, g_strdup (a->learnt->pdata[i]));
  g_ptr_array_sort_with_data (a->ranked, compare_rank, a->self->name);
  for (guint i = 0; i < a->join->len; i++)
    {
      if (!contains (a->ranked, a->join->pdata[i]))
        g_ptr_array_add (a->ranked, g_strdup (a->join->pdata[i]));
    }
  a->at = 0;
  if (current != NULL
      && g_ptr_array_find_with_equal_func (a->ranked, current, g_str_equal,
                                           &found))
    a->at = found;
  if (a->at != 0)
    a->moved_at = uv_now (a->options.loop);
  g_free (current);
}

void
pu_agent_join_add (pu_agent_t *a, const char *const *addresses, size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      if (!contains (a->join, addresses[i]))
        g_ptr_array_add (a->join, g_strdup (addresses[i]));
    }
  g_ptr_array_sort_with_data (a->join, compare_rank, a->self->name);
  voters_rank (a);
}

void
pu_agent_voters_init (pu_agent_t *a)
{
  a->join = g_ptr_array_new_with_free_func (g_free);
  a->learnt = g_ptr_array_new_with_free_func (g_free);
  a->ranked = g_ptr_array_new_with_free_func (g_free);
  a->load_voters = g_ptr_array_new_with_free_func (g_free);
  a->leader = g_strdup ("");
  pu_agent_join_add (a, a->options.join, a->options.n_join);
}

void
pu_agent_voters_clear (pu_agent_t *a)
{
  g_ptr_array_unref (a->join);
  g_ptr_array_unref (a->learnt);
  g_ptr_array_unref (a->ranked);
  g_ptr_array_unref (a->load_voters);
  g_free (a->leader);
}

const char *
pu_agent_voter (const pu_agent_t *a)
{
  return a->at < a->ranked->len ? a->ranked->pdata[a->at] : NULL;
}

const char *const *
pu_agent_voters_known (const pu_agent_t *a, guint *n)
{
  *n = a->learnt->len;
  return (const char *const *)a->learnt->pdata;
}

static void
voters_set (pu_agent_t *a, uint64_t at, const pu_voter *voters, u_int n)
{
  a->voters_at = at;
  g_ptr_array_set_size (a->learnt, 0);
  for (u_int i = 0; i < n; i++)
    g_ptr_array_add (a->learnt, g_strdup (voters[i].address));
  voters_rank (a);
  pu_agent_load_voters_set (a);
  if (a->options.on_voters != NULL)
    {
      a->options.on_voters (a->options.data,
                            (const char *const *)a->learnt->pdata,
                            a->learnt->len);
    }
}

void
pu_agent_voters_learn (pu_agent_t *a, const pu_poll_reply *r)
{
  pu_agent_set_leader (a, r->leader);
  if (r->voters.voters_len == 0)
    return;
  a->voters_hash = r->voters_hash;
  voters_set (a, r->voters_at, r->voters.voters_val, r->voters.voters_len);
}

bool
pu_agent_voters_take (pu_agent_t *a, uint64_t at, const pu_voter *voters,
                      u_int n)
{
  if (n == 0 || at <= a->voters_at)
    return false;
  voters_set (a, at, voters, n);
  return true;
}

void
pu_agent_voters_next (pu_agent_t *a)
{
  if (a->ranked->len == 0)
    return;
  if (a->at == 0)
    a->moved_at = uv_now (a->options.loop);
  a->at = (a->at + 1) % a->ranked->len;
}

void
pu_agent_voters_use (pu_agent_t *a, const char *address)
{
  guint found = 0;

  if (!g_ptr_array_find_with_equal_func (a->ranked, address, g_str_equal,
                                         &found))
    return;
  if (a->at == 0)
    a->moved_at = uv_now (a->options.loop);
  a->at = found;
}

void
pu_agent_voters_home (pu_agent_t *a)
{
  if (a->at != 0
      && uv_now (a->options.loop) - a->moved_at >= a->options.home_ms)
    a->at = 0;
}

void
pu_agent_set_leader (pu_agent_t *a, const char *address)
{
  if (strcmp (a->leader, address) == 0)
    return;
  g_free (a->leader);
  a->leader = g_strdup (address);
}
