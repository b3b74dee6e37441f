/* Routes of a document: selection of a route and a service for a request by
   host and path.  */

#include "document/internal.h"

#include <string.h>

const char *
pu_document_check_prefix (const char *s)
{
  size_t n = strlen (s);

  if (n > 0 && s[0] == '/' && s[n - 1] == '/' && strchr (s, '?') == NULL)
    return NULL;
  return "is not a path that begins and ends with a slash";
}

const char *
pu_document_check_host (const char *s)
{
  for (; *s != '\0'; s++)
    {
      if (!g_ascii_isalnum (*s) && strchr (".-_", *s) == NULL)
        return "is not a host name";
    }
  return NULL;
}

const pu_caller_limits_t *
pu_document_caller_limits (const pu_document_t *d)
{
  return &d->callers;
}

const char *
pu_document_source (const pu_document_t *d)
{
  return d->source;
}

guint
pu_document_routes (const pu_document_t *d)
{
  return d->routes.n;
}

const pu_route_t *
pu_document_route (const pu_document_t *d, pu_route_handle_t h)
{
  g_assert (h < d->routes.n);
  return (const pu_route_t *)d->routes.items + h;
}

/* --- construction of the lookup table --- */

static void
resolve_route_services (pu_document_t *d, pu_route_t *r)
{
  pu_route_part_t *parts = r->parts.items;

  for (guint i = 0; i < r->parts.n; i++)
    {
      parts[i].service = pu_document_find_service (d, parts[i].service_name);
      r->weight_sum += parts[i].weight;
    }
}

static GArray *
get_or_add_host (pu_document_t *d, const char *host)
{
  char *name = g_ascii_strdown (host, -1);
  GArray *list = g_hash_table_lookup (d->hosts, name);

  if (list != NULL)
    {
      g_free (name);
      return list;
    }
  list = g_array_new (FALSE, FALSE, sizeof (pu_route_handle_t));
  g_hash_table_insert (d->hosts, name, list);
  return list;
}

/* Orders routes of a host with longer path prefixes first, and routes with
   equal path prefixes, which pu_document_check reports, by name.  */
static gint
compare_prefixes (gconstpointer a, gconstpointer b, gpointer document)
{
  const pu_document_t *d = document;
  pu_route_handle_t x = *(const pu_route_handle_t *)a;
  pu_route_handle_t y = *(const pu_route_handle_t *)b;
  size_t m = strlen (pu_document_route (d, x)->path_prefix);
  size_t n = strlen (pu_document_route (d, y)->path_prefix);

  if (m != n)
    return m > n ? -1 : 1;
  return x < y ? -1 : x > y;
}

static void
host_free (gpointer list)
{
  g_array_free (list, TRUE);
}

void
pu_routes_build (pu_document_t *d)
{
  pu_route_t *routes = d->routes.items;
  GHashTableIter it;
  gpointer list;

  d->hosts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, host_free);
  for (guint h = 0; h < d->routes.n; h++)
    {
      resolve_route_services (d, &routes[h]);
      g_array_append_val (get_or_add_host (d, routes[h].host), h);
    }
  g_hash_table_iter_init (&it, d->hosts);
  while (g_hash_table_iter_next (&it, NULL, &list))
    g_array_sort_with_data (list, compare_prefixes, d);
}

void
pu_routes_clear (pu_document_t *d)
{
  if (d->hosts != NULL)
    g_hash_table_destroy (d->hosts);
}

/* --- finding a route or service --- */

/* A binary search, since the rows of routes are sorted by name.  */
bool
pu_document_route_named (const pu_document_t *d, const char *name)
{
  guint low = 0;
  guint high = d->routes.n;

  while (low < high)
    {
      guint mid = low + (high - low) / 2;
      int order = strcmp (pu_document_route (d, mid)->name, name);

      if (order == 0)
        return true;
      if (order < 0)
        {
          low = mid + 1;
        }
      else
        {
          high = mid;
        }
    }
  return false;
}

static char *
host_key (const char *host)
{
  const char *colon = strchr (host, ':');

  return g_ascii_strdown (host, colon != NULL ? colon - host : -1);
}

pu_route_handle_t
pu_document_find_route (const pu_document_t *d, const char *host,
                        const char *path)
{
  char *key = host_key (host);
  const GArray *list = g_hash_table_lookup (d->hosts, key);

  g_free (key);
  for (guint i = 0; list != NULL && i < list->len; i++)
    {
      pu_route_handle_t h = g_array_index (list, pu_route_handle_t, i);

      if (g_str_has_prefix (path, pu_document_route (d, h)->path_prefix))
        return h;
    }
  return PU_HANDLE_NONE;
}

pu_service_handle_t
pu_route_choose_service (const pu_route_t *r, guint32 draw)
{
  const pu_route_part_t *parts = r->parts.items;
  guint32 left = draw % r->weight_sum;
  guint i = 0;

  while (left >= parts[i].weight)
    left -= parts[i++].weight;
  return parts[i].service;
}
