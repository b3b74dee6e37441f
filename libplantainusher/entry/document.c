/*
 * Puts a new document into force.  A long document is parsed in the thread
 * pool, because a document of thousands of routes takes about a second on an
 * instance with a small share of a processor.  The parsed document is then
 * applied in one step.
 */

#include "entry/entry_private.h"

#include <string.h>

#include "base/log.h"

/* The share, in thousandths, of the requests for a model that go to its
   version in force where that version is ready: all of them.  */
#define PREFERRED_SHARE_ALL 1000

/* The most requests of one route that are queued at an entry.  Deadlines bound
   the time in the queue; this limit bounds the memory.  */
#define ROUTE_QUEUE_MAX 2000

/* Retry-After while the document in force may be out of date: the agent polls
   another voter, or the parse ends, within some hundred ms.  */
#define STALE_RETRY_AFTER_MS 500

struct pu_document_parse
{
  uv_work_t work;
  pu_entry_t *en;
  guint64 version;
  char *author;
  char *text;
  pu_document_t *document; /* NULL: the text is invalid, see findings */
  pu_findings_t *findings;
};

/* --- applying a document --- */

static void
services_remove_stale (pu_entry_t *en, const pu_document_t *old)
{
  for (guint i = 0; i < pu_document_services (old); i++)
    {
      const pu_service_t *s = pu_document_service (old, i);
      char *name;

      if (pu_document_find_service (en->document, s->name) != PU_HANDLE_NONE)
        continue;
      pu_router_remove_service (en->router,
                                pu_router_find_service (en->router, s->name));
      if (s->kind != PU_SERVICE_PLAIN)
        continue;
      name = g_strconcat ("service:", s->name, NULL);
      pu_router_remove_model (en->router,
                              pu_router_find_model (en->router, name));
      g_free (name);
    }
}

static void
models_remove_stale (pu_entry_t *en, const pu_document_t *old)
{
  for (guint i = 0; i < pu_document_models (old); i++)
    {
      const char *name = pu_document_model (old, i)->name;

      if (pu_document_find_model (en->document, name) == PU_HANDLE_NONE)
        {
          pu_router_remove_model (en->router,
                                  pu_router_find_model (en->router, name));
        }
    }
}

/* The name of R in the router, which treats each route as a service.  */
static char *
route_service_name (const pu_route_t *r)
{
  return g_strconcat ("route:", r->name, NULL);
}

static void
routes_remove_stale (pu_entry_t *en, const pu_document_t *old)
{
  for (guint i = 0; i < pu_document_routes (old); i++)
    {
      const pu_route_t *r = pu_document_route (old, i);
      char *name;

      if (pu_document_route_named (en->document, r->name))
        continue;
      name = route_service_name (r);
      pu_router_remove_service (en->router,
                                pu_router_find_service (en->router, name));
      g_free (name);
    }
}

static void
route_set (pu_entry_t *en, const pu_route_t *r)
{
  char *name = route_service_name (r);
  pu_router_service_options_t o = { .name = name,
                                    .importance = r->priority + 1,
                                    .first_token_ms = r->target_ms,
                                    .per_token_ms = r->gap_ms,
                                    .timeout_ms = r->timeout_ms,
                                    .max_queue = ROUTE_QUEUE_MAX,
                                    .serve_late = r->serve_late,
                                    .patience_ms = r->patience_ms,
                                    .cost_of_delay = r->cost_of_delay };

  pu_router_set_service (en->router, &o);
  g_free (name);
}

static void
service_set (pu_entry_t *en, const pu_service_t *s)
{
  bool plain = s->kind == PU_SERVICE_PLAIN;
  pu_router_service_options_t o
      = { .name = s->name,
          .importance = s->importance,
          .first_token_ms
          = plain ? s->targets.answer_ms : s->targets.first_token_ms,
          .per_token_ms = s->targets.per_token_ms,
          .timeout_ms = s->timeout_ms,
          .max_concurrency = s->max_concurrency,
          .max_queue = s->max_queue };
  char *name;

  pu_router_set_service (en->router, &o);
  if (!plain)
    return;
  name = g_strconcat ("service:", s->name, NULL);
  pu_router_set_model (en->router, name, NULL, PREFERRED_SHARE_ALL);
  g_free (name);
}

static void
router_tables_set (pu_entry_t *en, const pu_document_t *d)
{
  for (guint i = 0; i < pu_document_services (d); i++)
    service_set (en, pu_document_service (d, i));
  for (guint i = 0; i < pu_document_routes (d); i++)
    route_set (en, pu_document_route (d, i));
  for (guint i = 0; i < pu_document_models (d); i++)
    {
      const pu_model_t *m = pu_document_model (d, i);

      pu_router_set_model (en->router, m->name, m->version,
                           PREFERRED_SHARE_ALL);
    }
}

/* Puts the document that R parsed into force and takes it out of R.  */
static void
document_apply (pu_entry_t *en, pu_document_parse_t *r)
{
  pu_document_t *old = en->document;
  pu_document_t *d = g_steal_pointer (&r->document);

  en->document = d;
  en->document_version = r->version;
  if (old != NULL)
    {
      services_remove_stale (en, old);
      models_remove_stale (en, old);
      routes_remove_stale (en, old);
      pu_demand_remove_stale (en);
      pu_model_waits_remove_stale (en);
    }
  router_tables_set (en, d);
  pu_entry_delay_ranks_set (en, d);
  pu_document_unref (old);
  pu_entry_limits_set (en);
  pu_allowances_set_document (en);
  pu_log_event (PU_ENTRY_LOG_SLICE, "A document is in force.",
                PU_LOG_NUMBER ("document", en->document_version),
                PU_LOG_NUMBER ("routes", pu_document_routes (d)),
                PU_LOG_NUMBER ("services", pu_document_services (d)),
                PU_LOG_NUMBER ("models", pu_document_models (d)),
                PU_LOG_TEXT ("author", r->author));
}

static void
document_reject (pu_entry_t *en, const pu_document_parse_t *r)
{
  const pu_finding_t *first = pu_findings_get (r->findings, 0);

  en->rejected_version = r->version;
  pu_log_warn (PU_ENTRY_LOG_SLICE,
               "Document %" G_GUINT64_FORMAT
               " is invalid; the previous one stays in force: '%s' %s",
               r->version, first->path, first->message);
}

/* --- parsing a document --- */

static pu_document_parse_t *
parse_new (pu_entry_t *en, const pu_doc_record *record)
{
  pu_document_parse_t *r = g_new0 (pu_document_parse_t, 1);

  r->work.data = r;
  r->en = en;
  r->version = record->doc_version;
  r->author = g_strdup (record->author);
  r->text = g_strdup (record->text);
  r->findings = pu_findings_new ();
  return r;
}

static void
parse_free (pu_document_parse_t *r)
{
  pu_document_unref (r->document);
  pu_findings_free (r->findings);
  g_free (r->author);
  g_free (r->text);
  g_free (r);
}

/* May run in the thread pool: accesses nothing but the pu_document_parse_t. */
static void
parse_work (uv_work_t *work)
{
  pu_document_parse_t *r = work->data;

  r->document = pu_document_load (r->text, strlen (r->text), r->findings);
}

/* Applies or rejects the document that R parsed, and frees R.  Returns whether
   a document was applied.  */
static bool
parse_finish (pu_entry_t *en, pu_document_parse_t *r)
{
  bool good = r->document != NULL;

  if (good)
    {
      document_apply (en, r);
    }
  else
    {
      document_reject (en, r);
    }
  parse_free (r);
  return good;
}

static void
on_parsed (uv_work_t *work, int status)
{
  pu_document_parse_t *r = work->data;
  pu_entry_t *en = r->en;

  (void)status;
  en->parsing = NULL;
  en->pending--;
  if (en->freed)
    {
      parse_free (r);
      pu_entry_check_stopped (en);
      return;
    }
  parse_finish (en, r);
  /* A change count of 0 makes pu_view_sync apply all backend servers again,
     because the router's tables depend on the document.  pu_view_sync also
     starts to parse a newer document, if the view has one.  */
  en->changes = 0;
  pu_view_sync (en);
}

bool
pu_entry_document_is_current (const pu_entry_t *en)
{
  const pu_entry_hooks_t *h = &en->o.hooks;
  const pu_doc_record *newest = pu_state_document (h->view (h->data));

  if (h->view_current != NULL && !h->view_current (h->data))
    return false;
  return newest == NULL || newest->doc_version == en->document_version
         || newest->doc_version == en->rejected_version;
}

const pu_refusal_t *
pu_entry_undeclared (const pu_entry_t *en, const pu_refusal_t *r)
{
  static const pu_refusal_t unsure
      = { 503, "stale", PU_RUN_OUTCOME_NOT_RUN, STALE_RETRY_AFTER_MS };

  return pu_entry_document_is_current (en) ? r : &unsure;
}

bool
pu_entry_document_sync (pu_entry_t *en, const pu_doc_record *record)
{
  pu_document_parse_t *r;

  if (en->parsing != NULL || record->doc_version == en->document_version
      || record->doc_version == en->rejected_version)
    return false;
  r = parse_new (en, record);
  if (strlen (r->text) >= PU_DOCUMENT_LONG_BYTES
      && uv_queue_work (en->o.loop, &r->work, parse_work, on_parsed) == 0)
    {
      en->parsing = r;
      en->pending++;
      return false;
    }
  parse_work (&r->work);
  return parse_finish (en, r);
}
