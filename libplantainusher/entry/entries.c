#include "entry/entry_private.h"

#include <string.h>

enum
{
  RATE_PERIOD_MS = 1000,
  RATE_PAST_WEIGHT_PCT = 70, /* weight of the previous periods in the mean
                                request rate */
};

void
pu_rates_add_request (pu_entry_t *en, const char *service)
{
  gpointer n = g_hash_table_lookup (en->counts, service);

  g_hash_table_replace (en->counts, g_strdup (service),
                        GUINT_TO_POINTER (GPOINTER_TO_UINT (n) + 1));
}

static double
mean_rate (const pu_entry_t *en, const char *service)
{
  const double *rate = g_hash_table_lookup (en->rates, service);

  return rate != NULL ? *rate : 0;
}

static void
rate_set (pu_entry_t *en, const char *service, double rate)
{
  double *stored = g_new (double, 1);

  *stored = rate;
  g_hash_table_replace (en->rates, g_strdup (service), stored);
}

/* Updates the mean request rate of each service.  Callers spread evenly over
   the entries of a service, so the request rate of the service is the rate at
   this entry times the number of entries.  */
void
pu_rates_tick (pu_entry_t *en, guint64 now)
{
  double seconds = (double)(now - en->rates_updated_at) / RATE_PERIOD_MS;
  GHashTableIter it;
  gpointer name;

  if (now - en->rates_updated_at < RATE_PERIOD_MS || en->document == NULL)
    return;
  en->rates_updated_at = now;
  for (guint i = 0; i < pu_document_services (en->document); i++)
    {
      const char *service = pu_document_service (en->document, i)->name;
      guint n = GPOINTER_TO_UINT (g_hash_table_lookup (en->counts, service));
      double all = n / seconds * pu_service_entry_count (en, service);
      double old = mean_rate (en, service);

      rate_set (
          en, service,
          (old * RATE_PAST_WEIGHT_PCT + all * (100 - RATE_PAST_WEIGHT_PCT))
              / 100);
    }
  g_hash_table_remove_all (en->counts);
  g_hash_table_iter_init (&it, en->rates);
  while (g_hash_table_iter_next (&it, &name, NULL))
    {
      if (pu_document_find_service (en->document, name) == PU_HANDLE_NONE)
        g_hash_table_iter_remove (&it);
    }
}

guint
pu_service_entry_count (const pu_entry_t *en, const char *service)
{
  return pu_directory_set_size (en->directory, mean_rate (en, service));
}

static json_t *
entries_json (pu_entry_t *en, const char *service, const char *region,
              const char *zone)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (pu_directory_entry_t));
  guint size
      = *service != 0 ? pu_service_entry_count (en, service) : G_MAXUINT16;
  json_t *list = json_array ();

  pu_directory_entries (en->directory, service, size, region, zone, found);
  for (guint i = 0; i < found->len; i++)
    {
      const pu_directory_entry_t *e
          = &g_array_index (found, pu_directory_entry_t, i);

      json_array_append_new (list, json_pack ("{s:s, s:s, s:i}", "address",
                                              e->address, "zone", e->zone,
                                              "weight", (int)e->weight));
    }
  g_array_free (found, TRUE);
  return list;
}

static bool
is_declared (const pu_entry_t *en, const char *service)
{
  return en->document != NULL
         && pu_document_find_service (en->document, service) != PU_HANDLE_NONE;
}

static void
service_not_found (pu_entry_t *en, pu_http_request_t *http,
                   const char *service)
{
  static const pu_refusal_t refusal
      = { 404, "service_not_found", PU_RUN_OUTCOME_NOT_RUN, 0 };
  char *similar = en->document != NULL
                      ? pu_document_near_services (en->document, service)
                      : g_strdup ("");
  char *message
      = g_strdup_printf ("Service '%s' is not declared%s%s.", service,
                         *similar != 0 ? "; similar names: " : "", similar);

  pu_respond_error (http, NULL, pu_entry_undeclared (en, &refusal), message);
  g_free (message);
  g_free (similar);
}

void
pu_entry_serve_entries (pu_entry_t *en, pu_http_request_t *http)
{
  char *service = pu_http_request_query_value (http, "service");
  char *region = pu_http_request_query_value (http, "region");
  char *zone = pu_http_request_query_value (http, "zone");
  const char *name = service != NULL ? service : "";

  if (*name != 0 && !is_declared (en, name))
    {
      service_not_found (en, http, name);
    }
  else
    {
      pu_respond_json (
          http, 200,
          json_pack ("{s:s, s:o, s:i}", "service", name, "entries",
                     entries_json (en, name, region, zone), "ttl_s",
                     (int)pu_directory_ttl_s (en->directory)));
    }
  g_free (service);
  g_free (region);
  g_free (zone);
}

static json_t *
model_json (const pu_entry_t *en, pu_model_handle_t h)
{
  const pu_model_t *m = pu_document_model (en->document, h);
  pu_service_handle_t s = pu_document_default_service (en->document, h);
  pu_router_model_t r = pu_router_find_model (en->router, m->name);
  const char *service
      = s == PU_HANDLE_NONE ? "" : pu_document_service (en->document, s)->name;

  return json_pack (
      "{s:s, s:s, s:s, s:s, s:s, s:i}", "id", m->name, "object", "model",
      "owned_by", "plantainusher", "service", service, "version", m->version,
      "ready",
      r == PU_ROUTER_NONE ? 0 : (int)pu_router_ready_copies (en->router, r));
}

void
pu_entry_serve_models (pu_entry_t *en, pu_http_request_t *http)
{
  json_t *list = json_array ();

  for (guint i = 0; i < pu_document_models (en->document); i++)
    json_array_append_new (list, model_json (en, i));
  pu_respond_json (http, 200,
                   json_pack ("{s:s, s:o}", "object", "list", "data", list));
}

void
pu_entry_serve_health (pu_entry_t *en, pu_http_request_t *http)
{
  const char *status = "ok";

  if (!en->o.hooks.ready (en->o.hooks.data))
    {
      status = "starting";
    }
  else if (en->leaving)
    {
      status = "leaving";
    }
  pu_respond_json (http, strcmp (status, "ok") == 0 ? 200 : 503,
                   json_pack ("{s:s}", "status", status));
}
