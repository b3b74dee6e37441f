#include "document/warnings.h"

#include "document/internal.h"

#include <stdarg.h>
#include <string.h>

/* Maximum number of warnings of one name; a document of thousands of routes
   can give as many of each.  */
#define WARNINGS_MAX 20

/* A document larger than this part of what instances accept is warned of.  */
#define LARGE_BYTES (PU_DOCUMENT_TEXT_MAX / 4 * 3)

/* What leads to a service.  */
typedef struct
{
  bool has_part;  /* a route names it */
  bool reachable; /* a route names it with a weight above 0 */
  guint servers;  /* backend servers that are announced for it */
} service_use_t;

typedef struct
{
  const pu_document_t *d;
  const pu_warning_options_t *o;
  pu_findings_t *f;
  service_use_t *uses; /* by service handle */
  const char *name;    /* of the warning that is checked for */
  guint n;             /* warnings of this name */
} warner_t;

/* --- findings --- */

/* Adds a warning at "/TABLE/NAME" followed by REST.  */
static void G_GNUC_PRINTF (5, 6)
    warn (warner_t *w, const char *table, const char *name, const char *rest,
          const char *format, ...)
{
  GString *path;
  va_list ap;
  char *message;

  if (w->n++ >= WARNINGS_MAX)
    return;
  path = g_string_new (NULL);
  pu_json_path_append (path, table);
  if (name != NULL)
    pu_json_path_append (path, name);
  g_string_append (path, rest);
  va_start (ap, format);
  message = g_strdup_vprintf (format, ap);
  va_end (ap);
  pu_findings_add_named (w->f, w->name, path->str, "%s", message);
  g_free (message);
  g_string_free (path, TRUE);
}

static void
add_rest (warner_t *w)
{
  if (w->n > WARNINGS_MAX)
    {
      pu_findings_add_named (w->f, w->name, "",
                             "has %u more of these warnings",
                             w->n - WARNINGS_MAX);
    }
}

/* --- items that can never match --- */

static void
warn_route_never_matches (warner_t *w)
{
  GHashTable *first
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  /* Hosts are compared without regard to case, and the first of the routes
     with the same host and prefix takes the requests.  */
  for (guint h = 0; h < pu_document_routes (w->d); h++)
    {
      const pu_route_t *r = pu_document_route (w->d, h);
      char *host = g_ascii_strdown (r->host, -1);
      char *key = g_strconcat (host, r->path_prefix, NULL);
      const char *taker = g_hash_table_lookup (first, key);

      g_free (host);
      if (taker == NULL)
        {
          g_hash_table_insert (first, key, (gpointer)r->name);
          continue;
        }
      g_free (key);
      warn (w, "routes", r->name, "",
            "matches no request: the route \"%s\" has the same path_prefix "
            "and host, which is compared without regard to case",
            taker);
    }
  g_hash_table_destroy (first);
}

static void
warn_weight_zero (warner_t *w)
{
  for (guint h = 0; h < pu_document_routes (w->d); h++)
    {
      const pu_route_t *r = pu_document_route (w->d, h);
      const pu_route_part_t *parts = r->parts.items;

      for (guint i = 0; i < r->parts.n; i++)
        {
          char rest[32];

          if (parts[i].weight != 0)
            continue;
          g_snprintf (rest, sizeof rest, "/to/%u", i);
          warn (w, "routes", r->name, rest,
                "has weight 0: the service \"%s\" gets no request of the "
                "route",
                parts[i].service_name);
        }
    }
}

static void
warn_team_without_keys (warner_t *w)
{
  for (guint t = 0; t < pu_document_teams (w->d); t++)
    {
      const pu_team_t *team = pu_document_team (w->d, t);

      if (team->keys.n == 0)
        {
          warn (w, "teams", team->name, "",
                "has no keys, so that no request is of this team");
        }
    }
}

static void
warn_team_unused (warner_t *w)
{
  if (pu_document_routes (w->d) == 0)
    return;
  for (guint h = 0; h < pu_document_routes (w->d); h++)
    {
      if (!pu_document_route (w->d, h)->public_access)
        return;
    }
  for (guint t = 0; t < pu_document_teams (w->d); t++)
    {
      warn (w, "teams", pu_document_team (w->d, t)->name, "",
            "is not used by routes: all are public and ask for no key");
    }
}

static void
mark_reachable_models (const warner_t *w, bool *reachable)
{
  for (guint s = 0; s < pu_document_services (w->d); s++)
    {
      const pu_service_t *service = pu_document_service (w->d, s);

      for (guint i = 0; w->uses[s].reachable && i < service->model_names.n;
           i++)
        reachable[service->models[i]] = true;
    }
}

/* A model that no service lists is an error.  */
static void
warn_model_unreachable (warner_t *w)
{
  bool *reachable;

  if (pu_document_routes (w->d) == 0)
    return;
  reachable = g_new0 (bool, pu_document_models (w->d) + 1);
  mark_reachable_models (w, reachable);
  for (guint h = 0; h < pu_document_models (w->d); h++)
    {
      const pu_model_t *m = pu_document_model (w->d, h);

      if (reachable[h])
        continue;
      warn (w, m->kind == PU_MODEL_BASE ? "models" : "adapters", m->name, "",
            "is offered, in version \"%s\", only by services to which no "
            "route sends requests",
            m->version);
    }
  g_free (reachable);
}

static void
warn_service_without_route (warner_t *w)
{
  if (pu_document_routes (w->d) == 0)
    return;
  for (guint s = 0; s < pu_document_services (w->d); s++)
    {
      if (!w->uses[s].has_part)
        {
          warn (w, "services", pu_document_service (w->d, s)->name, "",
                "is in no route: only requests that name the service or its "
                "models reach it");
        }
    }
}

static void
warn_service_without_servers (warner_t *w)
{
  if (w->o->n_servers == 0)
    return;
  for (guint s = 0; s < pu_document_services (w->d); s++)
    {
      if (w->uses[s].servers == 0)
        {
          warn (w, "services", pu_document_service (w->d, s)->name, "",
                "has no backend server now: none announces the service");
        }
    }
}

/* --- limits that contradict each other --- */

/* Warns when MS, the value of FIELD, is longer than the time-out of the same
   item.  */
static void
warn_over_timeout (warner_t *w, const char *table, const char *name,
                   const char *field, guint32 ms, guint32 timeout_ms)
{
  if (ms > timeout_ms)
    {
      warn (w, table, name, field, "is %u ms; timeout_ms is %u ms", ms,
            timeout_ms);
    }
}

static void
warn_target_over_timeout (warner_t *w)
{
  for (guint s = 0; s < pu_document_services (w->d); s++)
    {
      const pu_service_t *v = pu_document_service (w->d, s);

      warn_over_timeout (w, "services", v->name, "/targets/first_token_ms",
                         v->targets.first_token_ms, v->timeout_ms);
      warn_over_timeout (w, "services", v->name, "/targets/answer_ms",
                         v->targets.answer_ms, v->timeout_ms);
    }
  for (guint h = 0; h < pu_document_routes (w->d); h++)
    {
      const pu_route_t *r = pu_document_route (w->d, h);

      warn_over_timeout (w, "routes", r->name, "/target_ms", r->target_ms,
                         r->timeout_ms);
    }
}

static void
warn_gap_over_timeout (warner_t *w)
{
  for (guint s = 0; s < pu_document_services (w->d); s++)
    {
      const pu_service_t *v = pu_document_service (w->d, s);

      warn_over_timeout (w, "services", v->name, "/targets/per_token_ms",
                         v->targets.per_token_ms, v->timeout_ms);
    }
  for (guint h = 0; h < pu_document_routes (w->d); h++)
    {
      const pu_route_t *r = pu_document_route (w->d, h);

      warn_over_timeout (w, "routes", r->name, "/gap_ms", r->gap_ms,
                         r->timeout_ms);
    }
}

/* Whether the burst of TEAM has room for a request that counts as COST.  Of a
   team with the unit requests, a request counts as 1, for which a burst of 0
   has room too (routing/allowance.c).  */
static bool
burst_holds (const pu_team_t *team, guint64 cost)
{
  return team->rate_per_s == 0 || MAX (team->burst, 1) >= cost;
}

static void
warn_burst_under_plain (warner_t *w)
{
  for (guint t = 0; t < pu_document_teams (w->d); t++)
    {
      const pu_team_t *team = pu_document_team (w->d, t);
      guint64 cost = pu_team_cost (team, 0);

      if (burst_holds (team, cost))
        continue;
      warn (w, "teams", team->name, "/burst",
            "is %u tokens; a request that states none counts as "
            "%" G_GUINT64_FORMAT " (plain_tokens)",
            team->burst, cost);
    }
}

static void
warn_burst_under_known (warner_t *w)
{
  for (size_t i = 0; i < w->o->n_requests; i++)
    {
      const pu_known_request_t *q = &w->o->requests[i];
      pu_team_handle_t t = pu_document_find_team (w->d, q->team);
      const pu_team_t *team;

      if (t == PU_HANDLE_NONE)
        continue;
      team = pu_document_team (w->d, t);
      /* One warning is enough for a team.  */
      if (!burst_holds (team, pu_team_cost (team, 0))
          || burst_holds (team, pu_team_cost (team, q->tokens)))
        continue;
      warn (w, "teams", team->name, "/burst",
            "is %u tokens; the largest request of the team that this daemon "
            "has received in the last ten minutes has %" G_GUINT64_FORMAT,
            team->burst, q->tokens);
    }
}

static void
warn_burst_under_request (warner_t *w)
{
  warn_burst_under_plain (w);
  warn_burst_under_known (w);
}

/* Routes have time-outs of their own, which count in place of those of the
   services.  */
static void
warn_timeout_over_idle (warner_t *w)
{
  guint32 idle_ms = pu_document_caller_limits (w->d)->idle_timeout_ms;
  guint n_routes = pu_document_routes (w->d);
  guint n = n_routes > 0 ? n_routes : pu_document_services (w->d);

  if (idle_ms == 0)
    return;
  for (guint i = 0; i < n; i++)
    {
      const char *name = n_routes > 0 ? pu_document_route (w->d, i)->name
                                      : pu_document_service (w->d, i)->name;
      guint32 ms = n_routes > 0 ? pu_document_route (w->d, i)->timeout_ms
                                : pu_document_service (w->d, i)->timeout_ms;

      if (ms > idle_ms)
        {
          warn (w, n_routes > 0 ? "routes" : "services", name, "/timeout_ms",
                "is %u ms; idle_timeout_ms of callers is %u ms", ms, idle_ms);
        }
    }
}

/* Sets, for each model, the largest memory of an engine of the services that
   list it; G_MAXUINT32 where a service does not tell it.  */
static void
find_engine_memory (const warner_t *w, guint32 *largest_mb)
{
  for (guint s = 0; s < pu_document_services (w->d); s++)
    {
      const pu_service_t *v = pu_document_service (w->d, s);
      guint32 mb
          = v->engine.memory_mb != 0 ? v->engine.memory_mb : G_MAXUINT32;

      for (guint i = 0; i < v->model_names.n; i++)
        largest_mb[v->models[i]] = MAX (largest_mb[v->models[i]], mb);
    }
}

static void
warn_weights_over_class (warner_t *w)
{
  guint32 *largest_mb = g_new0 (guint32, pu_document_models (w->d) + 1);

  find_engine_memory (w, largest_mb);
  for (guint h = 0; h < pu_document_models (w->d); h++)
    {
      const pu_model_t *m = pu_document_model (w->d, h);
      bool adapter = m->kind == PU_MODEL_ADAPTER;
      guint64 mb = m->memory_mb;

      if (adapter)
        mb += pu_document_model (w->d, m->base)->memory_mb;
      if (mb <= largest_mb[h])
        continue;
      warn (w, adapter ? "adapters" : "models", m->name, "/memory_mb",
            "makes weights of %" G_GUINT64_FORMAT " MB%s; the engines of its "
            "services have %u MB",
            mb, adapter ? " with its base" : "", largest_mb[h]);
    }
  g_free (largest_mb);
}

static void
warn_weights_over_engines (warner_t *w)
{
  GArray *engines = g_array_new (FALSE, FALSE, sizeof (pu_capacity_t));
  pu_findings_t *f = pu_findings_new ();

  for (size_t i = 0; i < w->o->n_servers; i++)
    {
      const pu_known_server_t *s = &w->o->servers[i];
      pu_capacity_t c = { s->service, s->accelerators, s->memory_mb };

      if (s->accelerators > 0)
        g_array_append_val (engines, c);
    }
  if (engines->len > 0)
    {
      pu_document_check_fit (w->d, (const pu_capacity_t *)engines->data,
                             engines->len, f);
    }
  for (size_t i = 0; i < pu_findings_count (f); i++, w->n++)
    {
      const pu_finding_t *one = pu_findings_get (f, i);

      if (w->n < WARNINGS_MAX)
        pu_findings_add_named (w->f, w->name, one->path, "%s", one->message);
    }
  pu_findings_free (f);
  g_array_free (engines, TRUE);
}

static void
warn_weights_over_memory (warner_t *w)
{
  warn_weights_over_class (w);
  warn_weights_over_engines (w);
}

static void
warn_attempts_over_servers (warner_t *w)
{
  if (w->o->n_servers == 0)
    return;
  for (guint h = 0; h < pu_document_routes (w->d); h++)
    {
      const pu_route_t *r = pu_document_route (w->d, h);
      const pu_route_part_t *parts = r->parts.items;
      guint most = 0;

      /* One request tries servers of the one service that was chosen for
         it.  */
      for (guint i = 0; i < r->parts.n; i++)
        {
          if (parts[i].weight != 0)
            most = MAX (most, w->uses[parts[i].service].servers);
        }
      if (most == 0 || r->attempts <= most)
        continue;
      warn (w, "routes", r->name, "/attempts",
            "is %u; a service of the route has at most %u backend servers "
            "now",
            r->attempts, most);
    }
}

static void
warn_large_document (warner_t *w)
{
  const char *text = pu_document_text (w->d);
  size_t len = MAX (w->o->text_len, text != NULL ? strlen (text) : 0);

  if (len > LARGE_BYTES)
    {
      pu_findings_add_named (w->f, w->name, "",
                             "has %zu bytes, as submitted or with sorted "
                             "keys; instances accept %zu",
                             len, PU_DOCUMENT_TEXT_MAX);
    }
}

/* --- all warnings --- */

typedef struct
{
  const char *name;
  void (*check) (warner_t *w);
} row_t;

static const row_t rows[] = {
  { "route-never-matches", warn_route_never_matches },
  { "weight-zero", warn_weight_zero },
  { "team-without-keys", warn_team_without_keys },
  { "team-unused", warn_team_unused },
  { "model-unreachable", warn_model_unreachable },
  { "service-without-route", warn_service_without_route },
  { "service-without-servers", warn_service_without_servers },
  { "target-over-timeout", warn_target_over_timeout },
  { "gap-over-timeout", warn_gap_over_timeout },
  { "burst-under-request", warn_burst_under_request },
  { "timeout-over-idle", warn_timeout_over_idle },
  { "weights-over-memory", warn_weights_over_memory },
  { "attempts-over-servers", warn_attempts_over_servers },
  { "large-document", warn_large_document },
};

const char *const *
pu_document_warning_names (void)
{
  static const char *names[G_N_ELEMENTS (rows) + 1];

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    names[i] = rows[i].name;
  return names;
}

static void
mark_routes (const pu_document_t *d, service_use_t *uses)
{
  for (guint h = 0; h < pu_document_routes (d); h++)
    {
      const pu_route_t *r = pu_document_route (d, h);
      const pu_route_part_t *parts = r->parts.items;

      for (guint i = 0; i < r->parts.n; i++)
        {
          uses[parts[i].service].has_part = true;
          uses[parts[i].service].reachable |= parts[i].weight > 0;
        }
    }
}

static void
count_servers (const pu_document_t *d, const pu_warning_options_t *o,
               service_use_t *uses)
{
  guint any = 0;

  for (size_t i = 0; i < o->n_servers; i++)
    {
      pu_service_handle_t s
          = pu_document_find_service (d, o->servers[i].service);

      if (s != PU_HANDLE_NONE)
        {
          uses[s].servers++;
        }
      else if (*o->servers[i].service == '\0')
        any++;
    }
  for (guint s = 0; s < pu_document_services (d); s++)
    {
      if (pu_document_service (d, s)->kind == PU_SERVICE_MODEL)
        uses[s].servers += any;
    }
}

void
pu_document_warn (const pu_document_t *d, const pu_warning_options_t *o,
                  pu_findings_t *f)
{
  warner_t w = { .d = d, .o = o, .f = f };

  w.uses = g_new0 (service_use_t, pu_document_services (d) + 1);
  mark_routes (d, w.uses);
  count_servers (d, o, w.uses);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      w.name = rows[i].name;
      w.n = 0;
      rows[i].check (&w);
      add_rest (&w);
    }
  g_free (w.uses);
}

pu_document_t *
pu_document_check_text (const char *text, size_t len,
                        const pu_warning_options_t *o, pu_findings_t *errors,
                        pu_findings_t *warnings)
{
  pu_document_t *d = pu_document_parse (text, len, errors);

  if (len <= PU_DOCUMENT_TEXT_MAX)
    pu_json_locate (text, len, errors);
  if (d == NULL)
    return NULL;
  pu_document_warn (d, o, warnings);
  pu_json_locate (text, len, warnings);
  return d;
}
