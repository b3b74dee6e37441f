#include "entry/entry_private.h"

#include <string.h>

#include "base/log.h"
#include "http/auth.h"
#include "state/codec.h"

enum
{
  INVALID_LOG_PERIOD_MS = 60000,
};

static guint64
loop_now (const pu_entry_t *en)
{
  return uv_now (en->o.loop);
}

static void
record_free (pu_backend_record *b)
{
  if (b != NULL)
    pu_codec_free ((xdrproc_t)xdr_pu_backend_record, b);
}

static pu_backend_record *
record_copy (const pu_backend_record *b)
{
  return pu_codec_clone ((xdrproc_t)xdr_pu_backend_record, b, sizeof *b);
}

static bool
record_equal (const pu_backend_record *a, const pu_backend_record *b)
{
  return pu_codec_equal ((xdrproc_t)xdr_pu_backend_record, a, b);
}

void
pu_reporter_free (gpointer reporter)
{
  pu_reporter_t *p = reporter;

  record_free (p->record);
  record_free (p->accepted);
  record_free (p->proposed);
  g_free (p);
}

/* --- proposals to the log --- */

typedef struct
{
  pu_entry_t *en;
  char *name;
} proposal_t;

static const pu_backend_record *
view_record (const pu_entry_t *en, const char *name)
{
  return pu_state_backend (en->o.hooks.view (en->o.hooks.data), name);
}

/* Whether the record in the last report of a backend server must be proposed
   to the log.  That is the case when the log has not accepted this record, or
   when the replicated state lacks this incarnation or has it as down.  The
   last report is compared with the last accepted one, not with the record in
   the replicated state, which may differ from it, for example when the backend
   server was marked as leaving.  */
static bool
must_propose (const pu_reporter_t *p)
{
  const pu_backend_record *b = view_record (p->en, p->record->name);

  if (p->proposed != NULL)
    return false;
  if (b == NULL || b->down || b->incarnation < p->record->incarnation)
    return true;
  return p->accepted == NULL || !record_equal (p->accepted, p->record);
}

/* Takes the record of the replicated state for the accepted one if no proposal
   of this entry was: another entry, or this one before a restart, has proposed
   the same record.  Else the log gets a copy of each record when all entries
   restart.  */
static void
accepted_from_view (pu_reporter_t *p)
{
  const pu_backend_record *b = view_record (p->en, p->record->name);
  pu_backend_record same;

  if (b == NULL || p->accepted != NULL || p->proposed != NULL)
    return;
  same = *b;
  same.seq = p->record->seq;
  if (record_equal (&same, p->record))
    p->accepted = record_copy (p->record);
}

static void record_propose (pu_reporter_t *p);

static void
on_proposed (void *data, const pu_reply *r, const pu_error_t *e)
{
  proposal_t *proposal = data;
  pu_entry_t *en = proposal->en;
  pu_reporter_t *p = g_hash_table_lookup (en->reporters, proposal->name);

  (void)e;
  en->pending--;
  g_free (proposal->name);
  g_free (proposal);
  if (p != NULL && p->proposed != NULL)
    {
      bool in_log = r != NULL
                    && (r->outcome == PU_OUTCOME_DONE
                        || r->outcome == PU_OUTCOME_SEEN);

      record_free (in_log ? p->accepted : p->proposed);
      if (in_log)
        p->accepted = p->proposed;
      p->proposed = NULL;
      /* The backend server's record may have changed since the proposal.  A
         refused proposal is repeated with the next report.  */
      if (in_log && !record_equal (p->accepted, p->record))
        record_propose (p);
    }
  pu_entry_check_stopped (en);
}

static void
record_propose (pu_reporter_t *p)
{
  pu_entry_t *en = p->en;
  pu_command c = { .type = PU_COMMAND_BACKEND_UP };
  proposal_t *proposal = g_new0 (proposal_t, 1);

  proposal->en = en;
  proposal->name = g_strdup (p->record->name);
  en->pending++;
  p->proposed = record_copy (p->record);
  c.pu_command_u.backend_up = *p->proposed;
  c.pu_command_u.backend_up.seq = p->seq;
  en->o.hooks.propose (en->o.hooks.data, &c, en->o.log_proposal_timeout_ms,
                       on_proposed, proposal);
}

/* --- applying a report --- */

static void
router_report (pu_entry_t *en, const pu_announcement_t *a)
{
  const pu_server_t *s = pu_server_find (en, a->record->name);

  if (s == NULL || s->handle == PU_ROUTER_NONE
      || s->incarnation != a->record->incarnation)
    return;
  if (a->has_load)
    pu_router_report (en->router, s->handle, &a->load, loop_now (en));
  if (a->has_events)
    pu_router_kv_events (en->router, s->handle, &a->events);
  pu_entry_schedule_router (en);
}

static pu_reporter_t *
reporter_update (pu_entry_t *en, pu_announcement_t *a)
{
  pu_reporter_t *p = g_hash_table_lookup (en->reporters, a->record->name);

  if (p == NULL)
    {
      p = g_new0 (pu_reporter_t, 1);
      p->en = en;
      g_hash_table_insert (en->reporters, g_strdup (a->record->name), p);
    }
  record_free (p->record);
  p->record = record_copy (a->record);
  p->seq = a->seq;
  return p;
}

static void
report_apply (pu_entry_t *en, pu_announcement_t *a)
{
  pu_reporter_t *p = reporter_update (en, a);

  en->o.hooks.renew (en->o.hooks.data, a->record->name,
                     a->record->incarnation);
  if (a->record->leaving)
    pu_server_set_leaving (en, a->record->name, a->record->incarnation);
  accepted_from_view (p);
  if (must_propose (p))
    record_propose (p);
  router_report (en, a);
  if (a->has_load)
    {
      pu_load_forward_queue (en, a->record->name, a->record->incarnation,
                             &a->load);
    }
}

/* Whether the replicated state has no room for a record of NAME, which it does
   not have; counts and logs that.  */
static bool
lacks_room (pu_entry_t *en, const char *name)
{
  pu_counters_t *c = en->o.counters;

  if (pu_state_has_room_for_backend (en->o.hooks.view (en->o.hooks.data),
                                     name))
    return false;
  if (c != NULL)
    pu_counters_add (c, pu_counters_get (c, "reports_without_room_total"), 1);
  if (pu_log_limited (&en->no_room_logged_at, loop_now (en),
                      INVALID_LOG_PERIOD_MS))
    {
      pu_log_warn (PU_ENTRY_LOG_SLICE,
                   "The report of %s is refused: %d backend servers are up, "
                   "and there is no room for more.",
                   name, PU_LIST_MAX);
    }
  return true;
}

bool
pu_entry_accepts_reports (const pu_entry_t *en)
{
  return en->o.hooks.leader_reachable (en->o.hooks.data);
}

guint64
pu_entry_latest_incarnation (const pu_entry_t *en, const char *name)
{
  const pu_backend_record *b = view_record (en, name);
  const pu_reporter_t *p = g_hash_table_lookup (en->reporters, name);
  guint64 known = b != NULL ? b->incarnation : 0;

  return p != NULL ? MAX (known, p->record->incarnation) : known;
}

pu_report_result_t
pu_entry_add_report (pu_entry_t *en, const pu_backend_record *record,
                     guint64 seq)
{
  const pu_reporter_t *p = g_hash_table_lookup (en->reporters, record->name);
  pu_announcement_t a = { .seq = seq };

  if (record->incarnation < pu_entry_latest_incarnation (en, record->name))
    return PU_REPORT_SUPERSEDED;
  if (p != NULL && p->record->incarnation == record->incarnation
      && seq <= p->seq)
    return PU_REPORT_LATE;
  if (lacks_room (en, record->name))
    return PU_REPORT_NO_ROOM;
  a.record = record_copy (record);
  report_apply (en, &a);
  pu_announcement_clear (&a);
  return PU_REPORT_APPLIED;
}

/* --- HTTP handler --- */

static void
report_reject (pu_entry_t *en, pu_http_request_t *http, const pu_findings_t *f)
{
  const pu_finding_t *first = pu_findings_get (f, 0);

  en->invalid_reports++;
  if (pu_log_limited (&en->invalid_report_logged_at, loop_now (en),
                      INVALID_LOG_PERIOD_MS))
    {
      pu_log_warn (PU_ENTRY_LOG_SLICE,
                   "%" G_GUINT64_FORMAT " invalid reports so far; the latest: "
                   "'%s' %s",
                   en->invalid_reports, first->path, first->message);
    }
  pu_respond_json (http, 400,
                   json_pack ("{s:s, s:s, s:o}", "error", "invalid", "message",
                              "The report is invalid.", "findings",
                              pu_findings_to_json (f)));
}

/* Returns the latest record of the backend server NAME at INCARNATION.  NULL:
   none is known, and the backend server must send a full report.  */
static const pu_backend_record *
known_record (const pu_entry_t *en, const char *name, guint64 incarnation)
{
  const pu_reporter_t *p = g_hash_table_lookup (en->reporters, name);
  const pu_backend_record *b = view_record (en, name);

  if (p != NULL && p->record->incarnation == incarnation)
    return p->record;
  return b != NULL && b->incarnation == incarnation && !b->down ? b : NULL;
}

static void
report_answer (const pu_entry_t *en, pu_http_request_t *http, guint64 seq,
               bool want_full)
{
  static const pu_refusal_t cut_off
      = { 503, "cut-off", PU_RUN_OUTCOME_NOT_RUN, 0 };
  json_t *v;

  if (!pu_entry_accepts_reports (en))
    {
      pu_respond_error (
          http, NULL, &cut_off,
          "This instance can't reach a voter; report to another one.");
      return;
    }
  v = json_pack ("{s:I, s:i}", "seq", (json_int_t)seq, "interval_ms",
                 (int)en->o.report_ms);
  if (want_full)
    json_object_set_new (v, "whole", json_true ());
  pu_respond_json (http, 200, v);
}

/* The response to a report that a backend server leaves.  */
typedef struct
{
  pu_entry_t *en;
  pu_http_request_t *http; /* NULL: the backend server has disconnected */
  guint64 seq;
} leave_answer_t;

static void
on_leave_disconnected (void *data)
{
  ((leave_answer_t *)data)->http = NULL;
}

static void
on_leave (void *data, bool known)
{
  static const pu_refusal_t unknown
      = { 503, "unavailable", PU_RUN_OUTCOME_NOT_RUN, 0 };
  leave_answer_t *a = data;

  if (a->http != NULL && known)
    {
      report_answer (a->en, a->http, a->seq, false);
    }
  else if (a->http != NULL)
    {
      pu_respond_error (a->http, NULL, &unknown,
                        "The log does not have this leave yet.");
    }
  g_free (a);
}

/* Answers the report SEQ with the record B.  That it leaves is acknowledged
   when the log has it.  */
static void
report_answer_when_known (pu_entry_t *en, pu_http_request_t *http,
                          const pu_backend_record *b, guint64 seq)
{
  static const pu_http_request_events_t events
      = { on_leave_disconnected, NULL };
  leave_answer_t *a;

  if (!b->leaving)
    {
      report_answer (en, http, seq, false);
      return;
    }
  a = g_new0 (leave_answer_t, 1);
  a->en = en;
  a->http = http;
  a->seq = seq;
  pu_http_request_watch (http, &events, a);
  pu_entry_mark_leaving (en, b->name, b->incarnation, on_leave, a);
}

static void
report_handle (pu_entry_t *en, pu_http_request_t *http, const json_t *root,
               const char *name, guint64 incarnation, pu_findings_t *f)
{
  static const pu_refusal_t no_room
      = { 503, "no_room", PU_RUN_OUTCOME_NOT_RUN, 0 };
  const pu_backend_record *base = known_record (en, name, incarnation);
  const pu_reporter_t *p = g_hash_table_lookup (en->reporters, name);
  pu_announcement_t a = { 0 };

  if (base == NULL && json_object_get (root, "address") == NULL)
    {
      report_answer (en, http, 0, true);
      return;
    }
  if (!pu_announcement_read (&a, root, base, f))
    {
      report_reject (en, http, f);
    }
  else if (p != NULL && p->record->incarnation == incarnation
           && a.seq <= p->seq)
    {
      report_answer_when_known (en, http, p->record, p->seq);
    }
  else if (lacks_room (en, name))
    {
      pu_respond_error (http, NULL, &no_room,
                        "There is no room for another backend server.");
    }
  else
    {
      report_apply (en, &a);
      report_answer_when_known (en, http, a.record, a.seq);
    }
  pu_announcement_clear (&a);
}

static bool
is_backend_key (const pu_entry_t *en, const char *authorization)
{
  bool good = false;

  for (char **key = en->backend_keys; *key != NULL; key++)
    good = pu_http_bearer_equal (authorization, *key) || good;
  return good;
}

void
pu_entry_serve_announce (pu_entry_t *en, pu_http_request_t *http)
{
  static const pu_refusal_t denied
      = { 401, "denied", PU_RUN_OUTCOME_NOT_RUN, 0 };
  const char *authorization = pu_http_request_header (http, "authorization");
  pu_findings_t *f;
  json_t *root;
  gsize len = 0;
  const char *body = pu_http_request_body (http, &len);
  const char *name = NULL;
  guint64 incarnation = 0;

  if (!is_backend_key (en, authorization))
    {
      pu_respond_error (http, NULL, &denied,
                        "A valid backend key is required.");
      return;
    }
  f = pu_findings_new ();
  root = pu_json_load_document (body, len, en->o.announcement_max, f);
  if (root == NULL
      || !pu_announcement_read_sender (root, &name, &incarnation, f))
    {
      report_reject (en, http, f);
    }
  else if (incarnation < pu_entry_latest_incarnation (en, name))
    {
      pu_respond_json (http, 409,
                       json_pack ("{s:s, s:s}", "error", "conflict", "message",
                                  "A newer incarnation is known."));
    }
  else
    {
      report_handle (en, http, root, name, incarnation, f);
    }
  json_decref (root);
  pu_findings_free (f);
}
