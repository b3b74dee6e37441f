#include "state/state.h"

#include "base/breaks.h"
#include "state/tables.h"

#define DEFAULT_HISTORY_MAX 10000
#define DEFAULT_CLAIM_WINDOW_MS 3600000u
#define DEFAULT_STRIKE_WINDOW_MS 600000u
#define DEFAULT_CONVICT_STRIKES 2

void
pu_state_options_init (pu_state_options_t *o)
{
  o->history_max = DEFAULT_HISTORY_MAX;
  o->claim_window_ms = DEFAULT_CLAIM_WINDOW_MS;
  o->strike_window_ms = DEFAULT_STRIKE_WINDOW_MS;
  o->convict_strikes = DEFAULT_CONVICT_STRIKES;
  o->convict_isolated = false;
  o->test_breaks
      = pu_break_bit (PU_BREAK_BASE_IGNORED, PU_STATE_BREAK_NO_BASE_CHECK)
        | pu_break_bit (PU_BREAK_CHANGE_TWICE,
                        PU_STATE_BREAK_NO_CHANGE_ID_CHECK);
}

pu_state_t *
pu_state_new (const pu_state_options_t *o)
{
  pu_state_t *s = g_new0 (pu_state_t, 1);

  s->options = *o;
  pu_tables_init (s);
  return s;
}

void
pu_state_free (pu_state_t *s)
{
  if (s == NULL)
    return;
  pu_tables_clear (s);
  g_free (s);
}

uint64_t
pu_state_position (const pu_state_t *s)
{
  return s->position;
}

uint64_t
pu_state_membership_version (const pu_state_t *s)
{
  return s->membership_version;
}

uint64_t
pu_state_change_count (const pu_state_t *s)
{
  return s->changes;
}

void
pu_state_skip_to (pu_state_t *s, uint64_t position)
{
  if (position > s->position)
    s->position = position;
}

const pu_doc_record *
pu_state_document (const pu_state_t *s)
{
  return g_queue_peek_head (s->documents);
}

const pu_doc_record *
pu_state_document_of_change (const pu_state_t *s, const char *change_id)
{
  return g_hash_table_lookup (s->documents_by_change, change_id);
}

void
pu_state_each_member (const pu_state_t *s, pu_member_fn *fn, void *data)
{
  for (GTreeNode *n = g_tree_node_first (s->members); n != NULL;
       n = g_tree_node_next (n))
    fn (g_tree_node_value (n), data);
}

void
pu_state_each_backend (const pu_state_t *s, pu_backend_fn *fn, void *data)
{
  for (GTreeNode *n = g_tree_node_first (s->backends); n != NULL;
       n = g_tree_node_next (n))
    fn (g_tree_node_value (n), data);
}

typedef struct
{
  const pu_state_t *state;
  pu_backend_fn *fn;
  void *data;
} changed_visitor_t;

static void
visit_changed (const char *name, void *data)
{
  const changed_visitor_t *c = data;

  c->fn (g_tree_lookup (c->state->backends, name), c->data);
}

bool
pu_state_each_changed_backend (const pu_state_t *s, uint64_t since,
                               pu_backend_fn *fn, void *data)
{
  changed_visitor_t c = { s, fn, data };

  if (since < s->last_unlisted_change)
    return false;
  pu_change_index_each_since (s->recent_backends, since, visit_changed, &c);
  return true;
}

void
pu_state_each_order (const pu_state_t *s, pu_order_fn *fn, void *data)
{
  for (GTreeNode *n = g_tree_node_first (s->orders); n != NULL;
       n = g_tree_node_next (n))
    fn (g_tree_node_value (n), data);
}

void
pu_state_each_claim (const pu_state_t *s, pu_claim_fn *fn, void *data)
{
  for (GTreeNode *n = g_tree_node_first (s->claims); n != NULL;
       n = g_tree_node_next (n))
    fn (g_tree_node_value (n), data);
}

void
pu_state_each_suspect (const pu_state_t *s, pu_suspect_fn *fn, void *data)
{
  for (GTreeNode *n = g_tree_node_first (s->suspects); n != NULL;
       n = g_tree_node_next (n))
    fn (g_tree_node_value (n), data);
}

void
pu_state_each_document (const pu_state_t *s, pu_doc_fn *fn, void *data)
{
  for (GList *l = s->documents->head; l != NULL; l = l->next)
    fn (l->data, data);
}

void
pu_state_each_served (const pu_state_t *s, pu_served_fn *fn, void *data)
{
  pu_served_each (s->served, fn, data);
}

bool
pu_state_served_lacks_time (const pu_state_t *s)
{
  return pu_served_lacks_time (s->served);
}

uint32_t
pu_state_claim_count (const pu_state_t *s)
{
  return (uint32_t)g_tree_nnodes (s->claims);
}

const pu_member_record *
pu_state_member (const pu_state_t *s, const char *name)
{
  return g_tree_lookup (s->members, name);
}

const pu_backend_record *
pu_state_backend (const pu_state_t *s, const char *name)
{
  return g_tree_lookup (s->backends, name);
}

const pu_claim_record *
pu_state_claim (const pu_state_t *s, const char *service, const char *key)
{
  return pu_tables_find_claim (s, service, key);
}

const pu_suspect_record *
pu_state_suspect (const pu_state_t *s, uint64_t fingerprint)
{
  return g_tree_lookup (s->suspects, &fingerprint);
}

const pu_order_record *
pu_state_order (const pu_state_t *s, uint64_t token)
{
  return g_tree_lookup (s->orders, &token);
}

uint64_t
pu_state_committed_mb (const pu_state_t *s, const char *backend)
{
  return pu_memory_committed_mb (s->memory, backend);
}

uint64_t
pu_state_planned_mb (const pu_state_t *s, const char *backend)
{
  return pu_memory_planned_mb (s->memory, backend);
}
