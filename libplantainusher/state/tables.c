#include "state/tables.h"

#include <stdlib.h>
#include <string.h>

static gint
compare_names (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return strcmp (a, b);
}

static gint
compare_uint64 (gconstpointer a, gconstpointer b, gpointer data)
{
  uint64_t x = *(const uint64_t *)a;
  uint64_t y = *(const uint64_t *)b;

  (void)data;
  return (x > y) - (x < y);
}

/* Orders claims by the end of their window, then by position.  */
static gint
compare_expiry (gconstpointer a, gconstpointer b, gpointer data)
{
  const pu_claim_record *x = a;
  const pu_claim_record *y = b;
  uint64_t x_end = x->wall + x->window_ms;
  uint64_t y_end = y->wall + y->window_ms;

  if (x_end != y_end)
    return x_end < y_end ? -1 : 1;
  return compare_uint64 (&x->position, &y->position, data);
}

static void
free_document (gpointer d)
{
  pu_codec_free ((xdrproc_t)xdr_pu_doc_record, d);
}

static void
free_member (gpointer m)
{
  pu_codec_free ((xdrproc_t)xdr_pu_member_record, m);
}

static void
free_backend (gpointer b)
{
  pu_codec_free ((xdrproc_t)xdr_pu_backend_record, b);
}

static void
free_order (gpointer o)
{
  pu_codec_free ((xdrproc_t)xdr_pu_order_record, o);
}

static void
free_claim (gpointer c)
{
  pu_codec_free ((xdrproc_t)xdr_pu_claim_record, c);
}

static void
free_suspect (gpointer p)
{
  pu_codec_free ((xdrproc_t)xdr_pu_suspect_record, p);
}

void
pu_tables_init (pu_state_t *s)
{
  s->documents = g_queue_new ();
  s->documents_by_change = g_hash_table_new (g_str_hash, g_str_equal);
  s->members = g_tree_new_full (compare_names, NULL, NULL, free_member);
  s->backends = g_tree_new_full (compare_names, NULL, NULL, free_backend);
  s->recent_backends = pu_change_index_new ();
  s->orders = g_tree_new_full (compare_uint64, NULL, NULL, free_order);
  s->claims = g_tree_new_full (compare_names, NULL, g_free, free_claim);
  s->open_claims = g_tree_new_full (compare_uint64, NULL, NULL, NULL);
  s->claims_by_expiry = g_tree_new_full (compare_expiry, NULL, NULL, NULL);
  s->memory = pu_memory_new ();
  s->suspects = g_tree_new_full (compare_uint64, NULL, NULL, free_suspect);
  s->served = pu_served_new ();
}

void
pu_tables_clear (pu_state_t *s)
{
  pu_memory_free (s->memory);
  g_hash_table_destroy (s->documents_by_change);
  g_queue_free_full (s->documents, free_document);
  g_tree_destroy (s->members);
  g_tree_destroy (s->backends);
  pu_change_index_free (s->recent_backends);
  g_tree_destroy (s->orders);
  g_tree_destroy (s->open_claims);
  g_tree_destroy (s->claims_by_expiry);
  g_tree_destroy (s->claims);
  g_tree_destroy (s->suspects);
  pu_served_free (s->served);
}

/* Frees the text of D, which is no longer the newest document.  The history
   keeps only who changed the document and when.  */
static void
clear_text (pu_doc_record *d)
{
  free (d->text);
  d->text = strdup ("");
}

static void
trim_history (pu_state_t *s)
{
  while (s->documents->length > s->options.history_max)
    {
      pu_doc_record *old = g_queue_pop_tail (s->documents);

      if (g_hash_table_lookup (s->documents_by_change, old->change_id) == old)
        g_hash_table_remove (s->documents_by_change, old->change_id);
      free_document (old);
    }
}

void
pu_tables_put_document (pu_state_t *s, pu_doc_record *d)
{
  pu_doc_record *last = g_queue_peek_head (s->documents);

  if (last != NULL)
    clear_text (last);
  g_queue_push_head (s->documents, d);
  g_hash_table_replace (s->documents_by_change, d->change_id, d);
  trim_history (s);
}

void
pu_tables_put_member (pu_state_t *s, pu_member_record *m)
{
  g_tree_replace (s->members, m->name, m);
}

void
pu_tables_mark_backend_changed (pu_state_t *s, const char *name)
{
  pu_change_index_record (s->recent_backends, name, s->changes + 1);
}

void
pu_tables_remove_backend (pu_state_t *s, const char *name)
{
  s->last_unlisted_change = s->changes + 1;
  pu_change_index_remove (s->recent_backends, name);
  g_tree_remove (s->backends, name);
}

void
pu_tables_put_backend (pu_state_t *s, pu_backend_record *b)
{
  pu_tables_mark_backend_changed (s, b->name);
  g_tree_replace (s->backends, b->name, b);
}

void
pu_tables_put_order (pu_state_t *s, pu_order_record *o)
{
  g_tree_replace (s->orders, &o->token, o);
}

void
pu_tables_put_suspect (pu_state_t *s, pu_suspect_record *p)
{
  g_tree_replace (s->suspects, &p->fingerprint, p);
}

static char *
claim_key (const char *service, const char *key)
{
  return g_strconcat (service, "\n", key, NULL);
}

void
pu_tables_remove_claim (pu_state_t *s, const pu_claim_record *c)
{
  char *key = claim_key (c->service, c->key);

  g_tree_remove (s->open_claims, &c->position);
  g_tree_remove (s->claims_by_expiry, c);
  g_tree_remove (s->claims, key);
  g_free (key);
}

void
pu_tables_put_claim (pu_state_t *s, pu_claim_record *c)
{
  pu_claim_record *old = pu_tables_find_claim (s, c->service, c->key);
  char *key = claim_key (c->service, c->key);

  if (old != NULL)
    pu_tables_remove_claim (s, old);
  g_tree_replace (s->claims, key, c);
  g_tree_replace (s->claims_by_expiry, c, c);
  if (c->phase == PU_CLAIM_OPEN)
    g_tree_replace (s->open_claims, &c->position, c);
}

void
pu_tables_set_claim_phase (pu_state_t *s, pu_claim_record *c,
                           pu_claim_phase phase)
{
  c->phase = phase;
  if (phase == PU_CLAIM_OPEN)
    {
      g_tree_replace (s->open_claims, &c->position, c);
    }
  else
    {
      g_tree_remove (s->open_claims, &c->position);
    }
}

pu_claim_record *
pu_tables_find_claim (const pu_state_t *s, const char *service,
                      const char *key)
{
  char *name = claim_key (service, key);
  pu_claim_record *c = g_tree_lookup (s->claims, name);

  g_free (name);
  return c;
}
