#include "state/state.h"

#include <string.h>

#include "state/tables.h"

/*
 * Encodes and decodes snapshots of the state (pu_state_image), commands and
 * replies.
 *
 * A snapshot is encoded from arrays of shallow copies of the records.  Only
 * the arrays are freed afterwards; what the records point to belongs to the
 * tables.
 */

/* Returns an array of shallow copies of TREE's records, each of SIZE bytes,
   and sets LEN to their number.  To be freed with g_free.  */
static void *
copy_records (GTree *tree, size_t size, u_int *len)
{
  char *array = g_malloc0 (size * MAX (g_tree_nnodes (tree), 1));
  u_int i = 0;

  for (GTreeNode *n = g_tree_node_first (tree); n != NULL;
       n = g_tree_node_next (n))
    memcpy (array + size * i++, g_tree_node_value (n), size);
  *len = i;
  return array;
}

/* A list of backend servers that is filled from its end.  */
typedef struct
{
  const pu_state_t *state;
  pu_backend_record *list;
  guint left;
} backend_list_t;

static void
copy_backend (const char *name, void *data)
{
  backend_list_t *l = data;

  l->list[--l->left] = *pu_state_backend (l->state, name);
}

/* Sets the backend servers of M to shallow copies of S's, in the order of
   their last change, which decides on evictions, and SERVED at the end.
   Without room for it, a copy of the image takes the versions for unknown.  */
static void
copy_backends (const pu_state_t *s, const pu_backend_record *served,
               pu_state_image *m)
{
  guint n = (guint)g_tree_nnodes (s->backends);
  backend_list_t l
      = { s, g_new0 (pu_backend_record, (gsize)n + 1), .left = n };

  pu_change_index_each_since (s->recent_backends, 0, copy_backend, &l);
  m->backends.backends_val = l.list;
  m->backends.backends_len = n;
  if (n >= PU_LIST_MAX)
    return;
  l.list[n] = *served;
  m->backends.backends_len = n + 1;
}

static void
copy_history (const pu_state_t *s, pu_state_image *m)
{
  guint n = s->documents->length;
  u_int i = 0;

  m->history.history_val = g_new0 (pu_doc_record, MAX (n, 1));
  for (GList *l = s->documents->head; l != NULL; l = l->next)
    m->history.history_val[i++] = *(const pu_doc_record *)l->data;
  m->history.history_len = i;
}

static const pu_doc_record no_document
    = { .change_id = (char *)"", .author = (char *)"", .text = (char *)"" };

GBytes *
pu_state_encode (const pu_state_t *s, bool public_only)
{
  const pu_doc_record *d = pu_state_document (s);
  pu_backend_record *served = pu_served_to_record (s->served, s->position);
  pu_state_image m = { 0 };
  GBytes *bytes;

  m.position = s->position;
  m.view = s->membership_version;
  m.document = d != NULL ? *d : no_document;
  m.members.members_val = copy_records (s->members, sizeof (pu_member_record),
                                        &m.members.members_len);
  copy_backends (s, served, &m);
  m.suspects.suspects_val = copy_records (
      s->suspects, sizeof (pu_suspect_record), &m.suspects.suspects_len);
  if (!public_only)
    {
      copy_history (s, &m);
      m.orders.orders_val = copy_records (s->orders, sizeof (pu_order_record),
                                          &m.orders.orders_len);
      m.claims.claims_val = copy_records (s->claims, sizeof (pu_claim_record),
                                          &m.claims.claims_len);
    }
  bytes = pu_codec_encode ((xdrproc_t)xdr_pu_state_image, &m);
  g_free (m.history.history_val);
  g_free (m.members.members_val);
  g_free (m.backends.backends_val);
  g_free (m.orders.orders_val);
  g_free (m.claims.claims_val);
  g_free (m.suspects.suspects_val);
  pu_codec_free ((xdrproc_t)xdr_pu_backend_record, served);
  return bytes;
}

#define CLONE(type, record)                                                   \
  pu_codec_clone ((xdrproc_t)xdr_##type, record, sizeof (type))

/* Adds the documents of M, the oldest first.  The history is ordered newest
   first and its first element is the document in force, which is added from
   M->document.  */
static void
load_documents (pu_state_t *s, const pu_state_image *m)
{
  for (u_int i = m->history.history_len; i > 1; i--)
    {
      pu_tables_put_document (
          s, CLONE (pu_doc_record, &m->history.history_val[i - 1]));
    }
  if (m->document.doc_version > 0)
    pu_tables_put_document (s, CLONE (pu_doc_record, &m->document));
}

/* Adds the backend servers of M and the versions that serve no more.  Without
   these, as in the image of an earlier release, versions are not known.  */
static void
load_backends (pu_state_t *s, const pu_state_image *m)
{
  bool known = false;

  for (u_int i = 0; i < m->backends.backends_len; i++)
    {
      const pu_backend_record *b = &m->backends.backends_val[i];

      if (pu_served_is_record (b))
        {
          known = pu_served_load (s->served, b, m->position);
          continue;
        }
      pu_tables_put_backend (s, CLONE (pu_backend_record, b));
      pu_memory_restore_backend (s->memory, b);
    }
  if (!known)
    pu_served_set_unknown (s->served, m->position);
}

static void
load_snapshot (pu_state_t *s, const pu_state_image *m)
{
  s->position = m->position;
  s->membership_version = m->view;
  load_documents (s, m);
  for (u_int i = 0; i < m->members.members_len; i++)
    {
      pu_tables_put_member (
          s, CLONE (pu_member_record, &m->members.members_val[i]));
    }
  load_backends (s, m);
  for (u_int i = 0; i < m->orders.orders_len; i++)
    {
      const pu_order_record *o = &m->orders.orders_val[i];

      pu_tables_put_order (s, CLONE (pu_order_record, o));
      pu_memory_restore_order (s->memory, o);
    }
  for (u_int i = 0; i < m->claims.claims_len; i++)
    pu_tables_put_claim (s, CLONE (pu_claim_record, &m->claims.claims_val[i]));
  for (u_int i = 0; i < m->suspects.suspects_len; i++)
    {
      pu_tables_put_suspect (
          s, CLONE (pu_suspect_record, &m->suspects.suspects_val[i]));
    }
}

/* Returns the latest wall time of a claim in M, in ms.  */
static uint64_t
find_latest_claim_wall (const pu_state_image *m)
{
  uint64_t wall = 0;

  for (u_int i = 0; i < m->claims.claims_len; i++)
    wall = MAX (wall, m->claims.claims_val[i].wall);
  return wall;
}

bool
pu_state_decode (pu_state_t *s, const void *data, size_t len, pu_error_t *e)
{
  pu_state_image m;

  if (!pu_codec_decode ((xdrproc_t)xdr_pu_state_image, &m, sizeof m, data, len,
                        e))
    return false;
  pu_tables_clear (s);
  pu_tables_init (s);
  load_snapshot (s, &m);
  s->latest_claim_wall = find_latest_claim_wall (&m);
  s->changes++;
  s->last_unlisted_change = s->changes;
  xdr_free ((xdrproc_t)xdr_pu_state_image, (char *)&m);
  return true;
}

/* --- commands --- */

GBytes *
pu_command_encode (const pu_command *c)
{
  return pu_codec_encode ((xdrproc_t)xdr_pu_command, c);
}

bool
pu_command_decode (pu_command *c, const void *data, size_t len, pu_error_t *e)
{
  return pu_codec_decode ((xdrproc_t)xdr_pu_command, c, sizeof *c, data, len,
                          e);
}

void
pu_command_clear (pu_command *c)
{
  xdr_free ((xdrproc_t)xdr_pu_command, (char *)c);
  memset (c, 0, sizeof *c);
}

static const struct
{
  const char *name;
  bool public;
} command_table[] = {
  [PU_COMMAND_NOOP] = { "noop", false },
  [PU_COMMAND_SUBMIT] = { "submit", true },
  [PU_COMMAND_MEMBER_UP] = { "member-up", true },
  [PU_COMMAND_MEMBER_DOWN] = { "member-down", true },
  [PU_COMMAND_MEMBER_LEAVING] = { "member-leaving", true },
  [PU_COMMAND_BACKEND_UP] = { "backend-up", true },
  [PU_COMMAND_BACKEND_DOWN] = { "backend-down", true },
  [PU_COMMAND_BACKEND_LEAVING] = { "backend-leaving", true },
  [PU_COMMAND_RESERVE] = { "reserve", false },
  [PU_COMMAND_RELEASE] = { "release", false },
  [PU_COMMAND_CLAIM] = { "claim", false },
  [PU_COMMAND_CLAIM_DONE] = { "claim-done", false },
  [PU_COMMAND_STRIKE] = { "strike", true },
  [PU_COMMAND_LIFT] = { "lift", true },
  [PU_COMMAND_BACKEND_DELTA] = { "backend-delta", true },
  [PU_COMMAND_SERVED_TIME] = { "served-time", true },
};

bool
pu_command_is_public (const pu_command *c)
{
  return (size_t)c->type < G_N_ELEMENTS (command_table)
         && command_table[c->type].public;
}

const char *
pu_command_name (pu_command_type type)
{
  if ((size_t)type >= G_N_ELEMENTS (command_table))
    return "unknown";
  return command_table[type].name;
}

/* --- replies --- */

static const char *const outcome_names[] = {
  [PU_OUTCOME_DONE] = "done",         [PU_OUTCOME_SEEN] = "seen",
  [PU_OUTCOME_CONFLICT] = "conflict", [PU_OUTCOME_REFUSED] = "refused",
  [PU_OUTCOME_BUSY] = "busy",
};

const char *
pu_outcome_name (pu_outcome outcome)
{
  if ((size_t)outcome >= G_N_ELEMENTS (outcome_names))
    return "unknown";
  return outcome_names[outcome];
}

GBytes *
pu_reply_encode (const pu_reply *r)
{
  return pu_codec_encode ((xdrproc_t)xdr_pu_reply, r);
}

bool
pu_reply_decode (pu_reply *r, const void *data, size_t len, pu_error_t *e)
{
  return pu_codec_decode ((xdrproc_t)xdr_pu_reply, r, sizeof *r, data, len, e);
}

void
pu_reply_clear (pu_reply *r)
{
  xdr_free ((xdrproc_t)xdr_pu_reply, (char *)r);
  memset (r, 0, sizeof *r);
}
