#include "placer/names.h"

void
pu_names_init (pu_names_t *n)
{
  n->names = g_ptr_array_new_with_free_func (g_free);
  n->handles = g_hash_table_new (g_str_hash, g_str_equal);
}

void
pu_names_clear (pu_names_t *n)
{
  g_hash_table_destroy (n->handles);
  g_ptr_array_free (n->names, TRUE);
}

bool
pu_names_find (const pu_names_t *n, const char *name, guint32 *handle)
{
  guint found = GPOINTER_TO_UINT (g_hash_table_lookup (n->handles, name));

  *handle = found - 1;
  return found != 0;
}

guint32
pu_names_intern (pu_names_t *n, const char *name)
{
  char *kept;
  guint32 handle;

  if (pu_names_find (n, name, &handle))
    return handle;
  kept = g_strdup (name);
  g_ptr_array_add (n->names, kept);
  g_hash_table_insert (n->handles, kept, GUINT_TO_POINTER (n->names->len));
  return n->names->len - 1;
}

guint32
pu_names_intern_incarnation (pu_names_t *n, const char *name,
                             guint64 incarnation)
{
  char *key = g_strdup_printf ("%s#%" G_GUINT64_FORMAT, name, incarnation);
  guint32 handle = pu_names_intern (n, key);

  g_free (key);
  return handle;
}

const char *
pu_names_name (const pu_names_t *n, guint32 handle)
{
  if (handle >= n->names->len)
    return "?";
  return g_ptr_array_index (n->names, handle);
}

guint32
pu_names_count (const pu_names_t *n)
{
  return n->names->len;
}
