/* The path that checks a document.  */

#include "base/log.h"
#include "document/changes.h"
#include "document/warnings.h"
#include "operator/internal.h"

#include <string.h>

/* Maximum number of checks that wait for another one.  Each holds up to two
   documents as text.  */
#define WAITING_MAX 4

/* One check.  Its steps access nothing else, so that they can run in the
   thread pool.  */
typedef struct
{
  uv_work_t work;
  pu_operator_exchange_t *x;
  bool is_long; /* runs in the thread pool */
  char *text;   /* as submitted */
  size_t len;
  GArray *servers;       /* of pu_known_server_t */
  GArray *requests;      /* of pu_known_request_t */
  GStringChunk *strings; /* that the rows above refer to */
  bool wants_changes;
  char *base_text; /* in force; NULL: none */
  guint64 base_version;
  pu_findings_t *errors; /* of the submitted text */
  pu_document_t *older;
  pu_document_t *newer;
  json_t *body;   /* of the answer */
  json_t *status; /* of the teams; NULL: not known */
  char *answer;   /* the body as text */
} check_t;

static void check_start (check_t *c);

static void
check_free (check_t *c)
{
  g_free (c->text);
  g_array_free (c->servers, TRUE);
  g_array_free (c->requests, TRUE);
  g_string_chunk_free (c->strings);
  g_free (c->base_text);
  if (c->errors != NULL)
    pu_findings_free (c->errors);
  pu_document_unref (c->older);
  pu_document_unref (c->newer);
  json_decref (c->body);
  json_decref (c->status);
  free (c->answer);
  g_free (c);
}

/* Frees C, which has answered, and starts the next check.  OP must have a
   reference of the caller's.  */
static void
check_end (check_t *c, pu_operator_t *op)
{
  bool was_long = c->is_long;

  check_free (c);
  if (!was_long)
    return;
  op->checking = false;
  if (!g_queue_is_empty (&op->checks_waiting))
    check_start (g_queue_pop_head (&op->checks_waiting));
}

/* Answers with what the steps have found.  */
static void
check_answer (check_t *c)
{
  pu_operator_t *op = c->x->op;

  op->refs++;
  if (c->newer == NULL)
    {
      pu_operator_exchange_findings (c->x, g_steal_pointer (&c->errors));
    }
  else
    {
      pu_operator_exchange_send (c->x, 200, "application/json", c->answer,
                                 strlen (c->answer));
    }
  check_end (c, op);
  pu_operator_unref (op);
}

/* --- the steps --- */

static void
write_answer (check_t *c)
{
  c->answer = json_dumps (c->body, JSON_COMPACT);
  g_assert (c->answer != NULL);
}

/* Reads the submitted document, and the one in force.  */
static void
read_step (uv_work_t *work)
{
  check_t *c = work->data;
  pu_findings_t *warnings = pu_findings_new ();
  pu_warning_options_t o = {
    .text_len = c->len,
    .servers = (const pu_known_server_t *)c->servers->data,
    .n_servers = c->servers->len,
    .requests = (const pu_known_request_t *)c->requests->data,
    .n_requests = c->requests->len,
  };

  c->newer = pu_document_check_text (c->text, c->len, &o, c->errors, warnings);
  if (c->newer != NULL)
    {
      c->body = json_pack ("{s:[], s:o}", "findings", "warnings",
                           pu_findings_to_json (warnings));
      if (c->base_text != NULL)
        {
          pu_findings_t *f = pu_findings_new ();

          c->older
              = pu_document_parse (c->base_text, strlen (c->base_text), f);
          pu_findings_free (f);
        }
      if (!c->wants_changes || (c->base_text != NULL && c->older == NULL))
        write_answer (c);
    }
  pu_findings_free (warnings);
}

static void
compare_step (uv_work_t *work)
{
  check_t *c = work->data;
  GArray *uses = g_array_new (FALSE, FALSE, sizeof (pu_team_use_t));
  pu_change_options_t o;
  const json_t *team;
  size_t i;

  json_array_foreach (json_object_get (c->status, "teams"), i, team)
  {
    pu_team_use_t use
        = { json_string_value (json_object_get (team, "name")),
            json_integer_value (json_object_get (team, "granted_per_s")) };

    if (use.name != NULL)
      g_array_append_val (uses, use);
  }
  o.uses = (const pu_team_use_t *)uses->data;
  o.n_uses = uses->len;
  json_object_set_new (c->body, "base_version",
                       json_integer ((json_int_t)c->base_version));
  json_object_set_new (c->body, "differs",
                       pu_document_changes (c->older, c->newer, &o));
  g_array_free (uses, TRUE);
  write_answer (c);
}

/* Runs STEP, then AFTER on the loop.  */
static void
check_run (check_t *c, uv_work_cb step, uv_after_work_cb after)
{
  if (c->is_long && uv_queue_work (c->x->op->loop, &c->work, step, after) == 0)
    return;
  step (&c->work);
  after (&c->work, 0);
}

static void
on_compared (uv_work_t *work, int status)
{
  (void)status;
  check_answer (work->data);
}

static void
on_status (json_t *status, const pu_error_t *e, void *data)
{
  check_t *c = data;

  if (status == NULL)
    {
      pu_log_warn ("operator",
                   "The use of teams is not known for the differences of a "
                   "document: %s",
                   e != NULL ? e->message : "no status");
    }
  c->status = status;
  check_run (c, compare_step, on_compared);
}

static void
on_read (uv_work_t *work, int status)
{
  check_t *c = work->data;
  const pu_operator_t *op = c->x->op;

  (void)status;
  if (c->newer != NULL && c->answer != NULL && c->wants_changes)
    {
      pu_log_warn ("operator",
                   "A check gives no differences: version %" G_GUINT64_FORMAT
                   ", which is in force, can't be read here.",
                   c->base_version);
    }
  if (c->newer == NULL || c->answer != NULL)
    {
      check_answer (c);
    }
  else if (op->hooks.status == NULL || op->closed)
    {
      check_run (c, compare_step, on_compared);
    }
  else
    {
      op->hooks.status (json_object (), on_status, c, op->hooks.data);
    }
}

/* --- the request --- */

static void
add_server (const pu_backend_record *b, void *data)
{
  check_t *c = data;
  pu_known_server_t s = { NULL, 0, b->memory_mb };

  if (b->leaving || b->down)
    return;
  s.service = g_string_chunk_insert_const (c->strings, b->service);
  if (b->kind == PU_BACKEND_ENGINE)
    s.accelerators = MAX (b->accelerators, 1);
  g_array_append_val (c->servers, s);
}

static void
add_request (void *data, const char *team, guint64 tokens)
{
  check_t *c = data;
  pu_known_request_t q
      = { g_string_chunk_insert_const (c->strings, team), tokens };

  g_array_append_val (c->requests, q);
}

static gint
compare_teams (gconstpointer a, gconstpointer b)
{
  const pu_known_request_t *one = a;
  const pu_known_request_t *other = b;

  return strcmp (one->team, other->team);
}

static check_t *
check_new (pu_operator_exchange_t *x, bool wants_changes)
{
  const pu_state_t *s = pu_operator_exchange_view (x);
  const pu_doc_record *base = wants_changes ? pu_state_document (s) : NULL;
  check_t *c = g_new0 (check_t, 1);
  size_t len = x->body_len;

  c->work.data = c;
  c->x = x;
  c->text = g_malloc (x->body_len + 1);
  memcpy (c->text, x->body, x->body_len);
  c->text[x->body_len] = '\0';
  c->len = x->body_len;
  c->servers = g_array_new (FALSE, FALSE, sizeof (pu_known_server_t));
  c->requests = g_array_new (FALSE, FALSE, sizeof (pu_known_request_t));
  c->strings = g_string_chunk_new (256);
  c->errors = pu_findings_new ();
  c->wants_changes = wants_changes;
  if (pu_operator_is_ready (x->op))
    pu_state_each_backend (s, add_server, c);
  if (x->op->hooks.request_sizes != NULL)
    x->op->hooks.request_sizes (add_request, c, x->op->hooks.data);
  g_array_sort (c->requests, compare_teams);
  if (base != NULL)
    {
      c->base_text = g_strdup (base->text);
      c->base_version = base->doc_version;
      len += strlen (base->text);
    }
  c->is_long = x->op->loop != NULL && len >= PU_DOCUMENT_LONG_BYTES;
  return c;
}

/* Starts C, for which there is room.  */
static void
check_start (check_t *c)
{
  c->x->op->checking |= c->is_long;
  check_run (c, read_step, on_read);
}

/* The argument `differs=1` of the query asks for the changes too.  */
void
pu_operator_check (pu_operator_exchange_t *x)
{
  char *differs = pu_operator_exchange_argument (x, "differs");
  bool wanted = g_strcmp0 (differs, "1") == 0 && pu_operator_is_ready (x->op);
  pu_operator_t *op = x->op;
  check_t *c;

  g_free (differs);
  if (!pu_operator_exchange_is_small_enough (x, x->body_len))
    return;
  c = check_new (x, wanted);
  if (!c->is_long || !op->checking)
    {
      check_start (c);
    }
  else if (g_queue_get_length (&op->checks_waiting) < WAITING_MAX)
    {
      g_queue_push_tail (&op->checks_waiting, c);
    }
  else
    {
      pu_log_note ("operator", "Refused a check: others wait already.");
      check_free (c);
      pu_operator_exchange_fail (x, PU_ERROR_UNAVAILABLE,
                                 "Other documents are being checked. Ask "
                                 "again soon, or ask another daemon.");
    }
}
