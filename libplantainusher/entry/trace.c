#include "entry/trace.h"

#include "base/counters.h"
#include "base/log.h"

static void
count_at_entry (const pu_entry_t *en, const char *name)
{
  pu_counters_t *c = en->o.counters;

  if (c != NULL)
    pu_counters_add (c, pu_counters_get (c, name), 1);
}

static void
count (const pu_exchange_t *x, const char *name)
{
  count_at_entry (x->en, name);
}

static void
count_labelled (const pu_exchange_t *x, const char *name, const char *label,
                const char *value)
{
  char *full = g_strdup_printf ("%s{%s=\"%s\"}", name, label, value);

  count (x, full);
  g_free (full);
}

static void
observe (const pu_exchange_t *x, const char *name, guint64 ms)
{
  pu_counters_t *c = x->en->o.counters;

  if (c != NULL)
    pu_counters_observe (c, pu_counters_latency (c, name), ms);
}

static guint64
elapsed_ms (const pu_exchange_t *x, guint64 then)
{
  return uv_now (x->en->o.loop) - then;
}

/* Returns the name of the backend server or entry that X was sent to, or ""
   when X was sent to none.  */
static const char *
target_name (const pu_exchange_t *x)
{
  if (x->at.server != NULL)
    return x->at.server->name;
  return x->at.entry != NULL ? x->at.entry : "";
}

static guint
ready_copies (const pu_exchange_t *x)
{
  char *plain = g_strconcat ("service:", x->q.service, NULL);
  pu_router_model_t m
      = pu_router_find_model (x->en->router, x->q.plain ? plain : x->q.model);

  g_free (plain);
  return m != PU_ROUTER_NONE ? pu_router_ready_copies (x->en->router, m) : 0;
}

static guint64
time_left_ms (const pu_exchange_t *x)
{
  guint64 now = uv_now (x->en->o.loop);

  return x->q.deadline > now ? x->q.deadline - now : 0;
}

void
pu_trace_queued (const pu_exchange_t *x)
{
  count (x, "requests_queued_total");
  pu_log_event (
      PU_ENTRY_LOG_SLICE, "Queued.", PU_LOG_TEXT ("request", x->q.id),
      PU_LOG_TEXT ("route", x->q.route), PU_LOG_TEXT ("service", x->q.service),
      PU_LOG_TEXT ("model", x->q.model),
      PU_LOG_NUMBER ("ready_copies", ready_copies (x)),
      PU_LOG_NUMBER ("age_ms", elapsed_ms (x, x->q.arrived)),
      PU_LOG_NUMBER ("left_ms", time_left_ms (x)),
      PU_LOG_NUMBER ("document", x->en->document_version));
}

void
pu_trace_model_wait (const pu_exchange_t *x)
{
  count (x, "requests_without_a_copy_total");
  pu_log_event (PU_ENTRY_LOG_SLICE, "Waits for its model to be loaded.",
                PU_LOG_TEXT ("request", x->q.id),
                PU_LOG_TEXT ("model", x->q.model),
                PU_LOG_NUMBER ("age_ms", elapsed_ms (x, x->q.arrived)),
                PU_LOG_NUMBER ("left_ms", time_left_ms (x)),
                PU_LOG_NUMBER ("document", x->en->document_version));
}

void
pu_trace_sent (const pu_exchange_t *x, const pu_server_t *s)
{
  pu_router_backend_t b = pu_router_find_backend (x->en->router, s->name);
  pu_router_load_t load = { 0 };

  count (x, "attempts_total");
  pu_router_backend_load (x->en->router, b, uv_now (x->en->o.loop), &load);
  pu_log_event (PU_ENTRY_LOG_SLICE, "Sent.", PU_LOG_TEXT ("request", x->q.id),
                PU_LOG_TEXT ("route", x->q.route),
                PU_LOG_TEXT ("service", x->q.service),
                PU_LOG_TEXT ("model", x->q.model), PU_LOG_TEXT ("to", s->name),
                PU_LOG_TEXT ("software", s->software),
                PU_LOG_TEXT ("resumes", x->q.resumes),
                PU_LOG_NUMBER ("last_event", x->last_event),
                PU_LOG_NUMBER ("attempt", x->attempts),
                PU_LOG_NUMBER ("predicted_ms", x->predicted_ms),
                PU_LOG_NUMBER ("own_running", load.own),
                PU_LOG_NUMBER ("running", load.running),
                PU_LOG_NUMBER ("waiting", load.waiting),
                PU_LOG_NUMBER ("report_age_ms", load.age_ms),
                PU_LOG_NUMBER ("age_ms", elapsed_ms (x, x->q.arrived)),
                PU_LOG_NUMBER ("left_ms", time_left_ms (x)),
                PU_LOG_NUMBER ("document", x->en->document_version));
}

void
pu_trace_relayed (const pu_exchange_t *x, const char *to)
{
  pu_log_event (
      PU_ENTRY_LOG_SLICE, "Relayed.", PU_LOG_TEXT ("request", x->q.id),
      PU_LOG_TEXT ("service", x->q.service), PU_LOG_TEXT ("model", x->q.model),
      PU_LOG_TEXT ("to", to), PU_LOG_NUMBER ("hops", x->hops),
      PU_LOG_NUMBER ("left_ms", time_left_ms (x)));
}

void
pu_trace_attempt_failed (const pu_exchange_t *x, pu_router_failure_t failure)
{
  count_labelled (x, "attempts_failed_total", "why",
                  pu_router_failure_name (failure));
  pu_log_event (
      PU_ENTRY_LOG_SLICE, "Attempt failed.", PU_LOG_TEXT ("request", x->q.id),
      PU_LOG_TEXT ("at", target_name (x)),
      PU_LOG_TEXT ("why", pu_router_failure_name (failure)),
      PU_LOG_NUMBER ("status", x->at.status),
      PU_LOG_NUMBER ("attempt", x->attempts),
      PU_LOG_NUMBER ("after_ms", elapsed_ms (x, x->at.sent_at)),
      PU_LOG_NUMBER ("events", x->events),
      PU_LOG_NUMBER ("server_retry_after_ms", x->at.answer.retry_after_ms),
      PU_LOG_NUMBER ("left_ms", time_left_ms (x)));
}

void
pu_trace_convicted (const pu_exchange_t *x)
{
  char hex[sizeof "0123456789abcdef"];

  g_snprintf (hex, sizeof hex, "%016" G_GINT64_MODIFIER "x", x->q.fingerprint);
  pu_log_event (PU_ENTRY_LOG_SLICE, "Refuses a convicted request.",
                PU_LOG_TEXT ("request", x->q.id),
                PU_LOG_TEXT ("fingerprint", hex),
                PU_LOG_TEXT ("model", x->q.model));
}

void
pu_trace_convicted_part (const pu_exchange_t *x)
{
  char hex[sizeof "0123456789abcdef"];
  guint64 part = 0;

  pu_part_verdict (x, &part);
  g_snprintf (hex, sizeof hex, "%016" G_GINT64_MODIFIER "x", part);
  pu_log_event (PU_ENTRY_LOG_SLICE, "Refuses a request with a convicted part.",
                PU_LOG_TEXT ("request", x->q.id), PU_LOG_TEXT ("part", hex),
                PU_LOG_TEXT ("model", x->q.model),
                PU_LOG_NUMBER ("attempts", x->attempts));
}

void
pu_trace_request_failed (const pu_exchange_t *x, const pu_refusal_t *r,
                         const char *message)
{
  count_labelled (x, "requests_failed_total", "reason", r->type);
  observe (x, "request_failed_ms", elapsed_ms (x, x->q.arrived));
  pu_log_event (
      PU_ENTRY_LOG_SLICE, "Refused or failed.",
      PU_LOG_TEXT ("request", x->q.id), PU_LOG_TEXT ("route", x->q.route),
      PU_LOG_TEXT ("service", x->q.service), PU_LOG_TEXT ("model", x->q.model),
      PU_LOG_TEXT ("reason", r->type), PU_LOG_TEXT ("why", message),
      PU_LOG_TEXT ("outcome", pu_run_outcome_name (r->outcome)),
      PU_LOG_NUMBER ("attempts", x->attempts),
      PU_LOG_NUMBER ("ready_copies", ready_copies (x)),
      PU_LOG_NUMBER ("age_ms", elapsed_ms (x, x->q.arrived)),
      PU_LOG_NUMBER ("left_ms", time_left_ms (x)),
      PU_LOG_NUMBER ("retry_after_ms", r->retry_after_ms),
      PU_LOG_NUMBER ("document", x->en->document_version));
}

void
pu_trace_rejected (const pu_entry_t *en, const char *id, const pu_refusal_t *r,
                   const char *message)
{
  count_at_entry (en, "requests_turned_away_total");
  pu_log_event (PU_ENTRY_LOG_SLICE, "Turned away.",
                PU_LOG_TEXT ("request", id), PU_LOG_TEXT ("reason", r->type),
                PU_LOG_TEXT ("why", message),
                PU_LOG_NUMBER ("open", en->open.length),
                PU_LOG_NUMBER ("retry_after_ms", r->retry_after_ms),
                PU_LOG_NUMBER ("document", en->document_version));
}

void
pu_trace_answered (const pu_exchange_t *x)
{
  count (x, "requests_answered_total");
  observe (x, "request_answered_ms", elapsed_ms (x, x->q.arrived));
  pu_log_event (PU_ENTRY_LOG_SLICE, "Answered.",
                PU_LOG_TEXT ("request", x->q.id),
                PU_LOG_TEXT ("by", target_name (x)),
                PU_LOG_NUMBER ("status", x->at.status),
                PU_LOG_NUMBER ("attempts", x->attempts),
                PU_LOG_NUMBER ("events", x->events),
                PU_LOG_NUMBER ("first_ms", x->first_event_ms),
                PU_LOG_NUMBER ("target_ms", x->q.target_ms),
                PU_LOG_NUMBER ("pause_ms", x->max_event_gap_ms),
                PU_LOG_NUMBER ("pause_target_ms", x->q.gap_ms),
                PU_LOG_NUMBER ("age_ms", elapsed_ms (x, x->q.arrived)));
}

void
pu_trace_caller_gone (const pu_exchange_t *x)
{
  count (x, "requests_left_total");
  pu_log_event (PU_ENTRY_LOG_SLICE, "The caller has left.",
                PU_LOG_TEXT ("request", x->q.id),
                PU_LOG_TEXT ("at", target_name (x)),
                PU_LOG_NUMBER ("age_ms", elapsed_ms (x, x->q.arrived)),
                PU_LOG_NUMBER ("events", x->events));
}

void
pu_trace_first_event (const pu_exchange_t *x)
{
  observe (x, "request_first_event_ms", elapsed_ms (x, x->q.arrived));
}
