/* What the entry and the operators' paths ask of the daemon.  */

#include <string.h>

#include "base/breaks.h"
#include "base/log.h"
#include "daemon/parts.h"

/* --- the entry's --- */

static const pu_state_t *
entry_view (void *data)
{
  const pu_daemon_t *d = data;

  return pu_agent_view (d->agent);
}

static bool
entry_ready (void *data)
{
  const pu_daemon_t *d = data;

  return pu_agent_ready (d->agent);
}

/* Two polls, and what an election or a late answer may take besides.  */
#define CUT_OFF_POLLS 2
#define CUT_OFF_SLACK_MS 200

static guint64
cut_off_ms (const pu_daemon_t *d)
{
  return CUT_OFF_POLLS * (guint64)d->settings->timing.poll_wait_ms
         + CUT_OFF_SLACK_MS;
}

static bool
entry_in_touch (void *data)
{
  const pu_daemon_t *d = data;

  return pu_agent_silent_ms (d->agent) < cut_off_ms (d);
}

/* A view is as old as the last poll that was answered, and the poll after it
   is under way.  */
static bool
entry_view_current (void *data)
{
  const pu_daemon_t *d = data;

  return pu_agent_view_age_ms (d->agent) < cut_off_ms (d)
         || pu_break_active (PU_BREAK_VIEW_AGE_IGNORED);
}

static bool
entry_caught_up (void *data)
{
  const pu_daemon_t *d = data;

  return pu_agent_caught_up (d->agent)
         && pu_agent_view_age_ms (d->agent) < cut_off_ms (d);
}

static const char *const *
entry_voters (void *data, guint *n)
{
  const pu_daemon_t *d = data;

  return pu_agent_voters_known (d->agent, n);
}

static guint64
entry_incarnation (void *data)
{
  const pu_daemon_t *d = data;

  return pu_agent_incarnation (d->agent);
}

static void
entry_propose (void *data, const pu_command *c, guint timeout_ms,
               pu_entry_done_fn *fn, void *fn_data)
{
  pu_daemon_t *d = data;

  pu_agent_propose (d->agent, c, timeout_ms, fn, fn_data);
}

static void
entry_renew (void *data, const char *backend, guint64 incarnation)
{
  pu_daemon_t *d = data;

  pu_agent_renew (d->agent, backend, incarnation);
}

static void
entry_demand (void *data, const char *model, guint32 requests,
              guint32 stream_ms)
{
  pu_daemon_t *d = data;

  pu_agent_demand (d->agent, model, requests, stream_ms);
}

static void
entry_urgency (void *data, const char *model, guint32 stream_ms,
               guint32 weighted_ms)
{
  pu_daemon_t *d = data;

  pu_agent_urgency (d->agent, model, stream_ms, weighted_ms);
}

static void
entry_want (void *data, const char *model, guint timeout_ms,
            pu_entry_json_fn *fn, void *fn_data)
{
  pu_daemon_t *d = data;

  pu_agent_want (d->agent, model, timeout_ms, fn, fn_data);
}

static void
entry_request_grant (void *data, const pu_grant_request_t *q, guint timeout_ms,
                     pu_entry_json_fn *fn, void *fn_data)
{
  pu_daemon_t *d = data;

  pu_agent_request_grant (d->agent, q, timeout_ms, fn, fn_data);
}

static void
entry_ask_allowance (void *data, const GArray *asks, guint timeout_ms,
                     pu_entry_grants_fn *fn, void *fn_data)
{
  pu_daemon_t *d = data;

  pu_agent_ask_allowance (d->agent, asks, timeout_ms, fn, fn_data);
}

static const char *const *
entry_load_voters (void *data, guint *n)
{
  const pu_daemon_t *d = data;

  return pu_agent_load_voters (d->agent, n);
}

static void
entry_exchange_loads (void *data, const char *voter,
                      const pu_load_statement_t *s,
                      const pu_load_since_t *since, guint timeout_ms,
                      pu_entry_loads_fn *fn, void *fn_data)
{
  pu_daemon_t *d = data;

  pu_agent_exchange_loads (d->agent, voter, s, since, timeout_ms, fn, fn_data);
}

static void
entry_report_refusal (void *data, const char *backend, guint64 incarnation,
                      guint timeout_ms, pu_entry_json_fn *fn, void *fn_data)
{
  pu_daemon_t *d = data;

  pu_agent_report_refusal (d->agent, backend, incarnation, timeout_ms, fn,
                           fn_data);
}

void
pu_daemon_entry_hooks (pu_daemon_t *d, pu_entry_hooks_t *h)
{
  h->view = entry_view;
  h->ready = entry_ready;
  h->view_current = entry_view_current;
  h->caught_up = entry_caught_up;
  h->leader_reachable = entry_in_touch;
  h->incarnation = entry_incarnation;
  h->propose = entry_propose;
  h->renew = entry_renew;
  h->demand = entry_demand;
  h->urgency = entry_urgency;
  h->request_model_load = entry_want;
  h->request_grant = entry_request_grant;
  h->ask_allowance = entry_ask_allowance;
  h->load_voters = entry_load_voters;
  h->exchange_loads = entry_exchange_loads;
  h->report_refusal = entry_report_refusal;
  h->loads = pu_daemon_loads_out;
  h->withdraw = pu_daemon_withdraw_out;
  h->tell_origins = pu_daemon_origins_tell;
  h->tell_accusations = pu_daemon_accusations_tell;
  h->tell_statements = pu_daemon_statements_tell;
  h->ask_origin = pu_daemon_origin_ask;
  h->ask_witness = pu_daemon_witness_ask;
  if (d->settings->keep_origins)
    {
      h->voters = entry_voters;
      h->keep_origins = pu_daemon_origins_keep;
    }
  h->data = d;
}

/* --- the operators' --- */

/* The two kinds of answer differ in the order of their arguments.  */
typedef struct
{
  pu_operator_reply_fn *reply;
  pu_operator_json_fn *json;
  void *data;
} answer_t;

static void
on_reply (void *data, const pu_reply *r, const pu_error_t *e)
{
  answer_t *a = data;

  a->reply (r, e, a->data);
  g_free (a);
}

static void
on_json (void *data, json_t *result, const pu_error_t *e)
{
  answer_t *a = data;

  a->json (result != NULL ? json_incref (result) : NULL, e, a->data);
  g_free (a);
}

/* The copy that is in force here, on a voter too: the state of a voter that
   was started again ends where it knows of commits, which may be before what
   was in force.  */
static const pu_state_t *
operator_view (void *data)
{
  const pu_daemon_t *d = data;

  return pu_agent_view (d->agent);
}

/* The kept copy is shown before a voter confirms it: it was in force here.
   The first copy of an instance that kept none may be older than what was.  */
static bool
operator_ready (void *data)
{
  const pu_daemon_t *d = data;

  return pu_agent_may_show (d->agent);
}

static void
operator_propose (const pu_command *c, guint32 timeout_ms,
                  pu_operator_reply_fn *done, void *done_data, void *data)
{
  pu_daemon_t *d = data;
  answer_t *a = g_new0 (answer_t, 1);

  a->reply = done;
  a->data = done_data;
  pu_agent_propose (d->agent, c, timeout_ms, on_reply, a);
}

#define ASK_TIMEOUT_MS 3000

static void
operator_history (pu_operator_json_fn *done, void *done_data, void *data)
{
  pu_daemon_t *d = data;
  answer_t *a = g_new0 (answer_t, 1);

  a->json = done;
  a->data = done_data;
  pu_agent_history (d->agent, ASK_TIMEOUT_MS, on_json, a);
}

static void
operator_voters (pu_operator_voters_action_t action, const char *name,
                 const char *with, pu_operator_json_fn *done, void *done_data,
                 void *data)
{
  static const char *const actions[] = {
    [PU_OPERATOR_VOTERS_ADD] = "add",
    [PU_OPERATOR_VOTERS_REMOVE] = "remove",
    [PU_OPERATOR_VOTERS_REPLACE] = "replace",
  };
  pu_daemon_t *d = data;
  answer_t *a = g_new0 (answer_t, 1);

  a->json = done;
  a->data = done_data;
  pu_agent_voters (d->agent, actions[action], name, with, ASK_TIMEOUT_MS,
                   on_json, a);
}

static void
operator_plan (const pu_document_t *doc, pu_operator_json_fn *done,
               void *done_data, void *data)
{
  pu_daemon_t *d = data;
  json_t *moves;

  if (d->placer != NULL)
    {
      moves = pu_placer_plan (d->placer, doc);
    }
  else
    {
      moves = pu_placer_plan_state (pu_agent_view (d->agent), doc);
    }
  done (moves, NULL, done_data);
}

static void
operator_request_sizes (pu_request_sizes_fn *fn, void *fn_data, void *data)
{
  const pu_daemon_t *d = data;

  if (d->entry != NULL)
    pu_entry_each_request_size (d->entry, fn, fn_data);
}

static bool
operator_log_level (const char *level, void *data)
{
  (void)data;
  return pu_log_set_level (level);
}

static void
set_counter (const pu_daemon_t *d, const char *name, guint64 value)
{
  pu_counters_set (d->counters, pu_counters_get (d->counters, name),
                   (gint64)value);
}

static void
count_load_exchange (const pu_daemon_t *d)
{
  pu_load_client_state_t s;

  if (d->entry == NULL || !pu_entry_load_exchange (d->entry, &s)
      || s.age_ms == G_MAXUINT64)
    return;
  set_counter (d, "load_exchange_age_ms", s.age_ms);
}

void
pu_daemon_metrics (GString *out, void *data)
{
  const pu_daemon_t *d = data;
  const pu_state_t *view = pu_agent_view (d->agent);
  const pu_doc_record *document = pu_state_document (view);

  set_counter (d, "position_in_force", pu_state_position (view));
  set_counter (d, "document_version",
               document == NULL ? 0 : document->doc_version);
  set_counter (d, "log_lines_dropped_total", pu_log_dropped ());
  count_load_exchange (d);
  if (d->control != NULL)
    pu_control_count (d->control);
  pu_counters_print (d->counters, out);
  pu_daemon_print_teams (d, out);
}

void
pu_daemon_operator_hooks (pu_daemon_t *d, pu_operator_hooks_t *h)
{
  h->view = operator_view;
  h->ready = operator_ready;
  h->propose = operator_propose;
  h->status = pu_daemon_status;
  h->history = operator_history;
  h->dump = pu_daemon_dump;
  h->voters = operator_voters;
  h->plan = operator_plan;
  h->request_sizes = operator_request_sizes;
  h->set_log_level = operator_log_level;
  h->metrics = pu_daemon_metrics;
  h->data = d;
}
