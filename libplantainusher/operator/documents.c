/* The paths that take a document: submit, diff, plan.  */

#include "operator/internal.h"

#include <string.h>

bool
pu_operator_exchange_is_small_enough (pu_operator_exchange_t *x, size_t len)
{
  if (len <= PU_DOCUMENT_TEXT_MAX)
    return true;
  pu_operator_exchange_fail (x, PU_ERROR_TOO_LARGE,
                             "The document is over its limit of %zu bytes.",
                             PU_DOCUMENT_TEXT_MAX);
  return false;
}

/* Reads a document from TEXT; on a fault it answers, so that X is gone, and
   returns NULL.  */
static pu_document_t *
read_document (pu_operator_exchange_t *x, const char *text, size_t len)
{
  pu_findings_t *f;
  pu_document_t *d;

  if (!pu_operator_exchange_is_small_enough (x, len))
    return NULL;
  f = pu_findings_new ();
  d = pu_document_parse (text, len, f);
  if (d == NULL)
    {
      pu_operator_exchange_findings (x, f);
      return NULL;
    }
  pu_findings_free (f);
  return d;
}

static void
add_capacity (const pu_backend_record *b, void *data)
{
  pu_capacity_t c = { b->name, b->accelerators, b->memory_mb };

  if (b->kind == PU_BACKEND_ENGINE && !b->leaving && !b->down)
    g_array_append_val ((GArray *)data, c);
}

/* What does not stop a submission: whether the models fit the engines that
   are announced just now.  Nothing is said before an engine is there.  */
static json_t *
warnings_of (const pu_operator_exchange_t *x, const pu_document_t *d)
{
  GArray *engines = g_array_new (FALSE, FALSE, sizeof (pu_capacity_t));
  pu_findings_t *f = pu_findings_new ();
  json_t *result;

  pu_state_each_backend (pu_operator_exchange_view (x), add_capacity, engines);
  if (engines->len > 0)
    {
      pu_document_check_fit (d, (const pu_capacity_t *)engines->data,
                             engines->len, f);
    }
  result = pu_findings_to_json (f);
  pu_findings_free (f);
  g_array_free (engines, TRUE);
  return result;
}

static json_t *
json_of_document (const pu_document_t *d)
{
  return json_loads (pu_document_text (d), 0, NULL);
}

/* What differs from the document in force to NEWER.  */
static json_t *
differs_from_view (const pu_state_t *s, const json_t *newer)
{
  json_t *older = pu_operator_document_json (s);
  json_t *differs = pu_document_diff (older, newer);

  json_decref (older);
  return differs;
}

guint64
pu_operator_document_version (const pu_state_t *s)
{
  const pu_doc_record *r = pu_state_document (s);

  return r != NULL ? r->doc_version : 0;
}

void
pu_operator_diff (pu_operator_exchange_t *x)
{
  pu_document_t *d = read_document (x, x->body, x->body_len);
  const pu_state_t *s;
  json_t *newer;
  json_t *body;

  if (d == NULL)
    return;
  s = pu_operator_exchange_view (x);
  newer = json_of_document (d);
  pu_document_unref (d);
  body = json_pack ("{s:I, s:o}", "base_version",
                    (json_int_t)pu_operator_document_version (s), "differs",
                    differs_from_view (s, newer));
  json_decref (newer);
  pu_operator_exchange_json (x, 200, body);
}

void
pu_operator_plan (pu_operator_exchange_t *x)
{
  pu_document_t *d = read_document (x, x->body, x->body_len);

  if (d == NULL)
    return;
  if (x->op->hooks.plan == NULL)
    {
      pu_operator_exchange_fail (x, PU_ERROR_UNAVAILABLE,
                                 "This daemon does not plan.");
    }
  else
    {
      x->op->hooks.plan (d, pu_operator_exchange_done_json, x,
                         x->op->hooks.data);
    }
  pu_document_unref (d);
}

/* The fields of a submission beside its document.  */
typedef struct
{
  guint64 base_version;
  const char *change_id;
  const char *author;
  char *text; /* of the document; freed by free () */
} submission_t;

static void
check_name (pu_findings_t *f, const char *path, const char *name)
{
  if (*name == '\0' || strlen (name) > PU_NAME_MAX)
    pu_findings_add (f, path, "It must have 1 to %d bytes.", PU_NAME_MAX);
}

static void
read_base_version (const json_t *o, submission_t *s, pu_findings_t *f)
{
  const json_t *v = json_object_get (o, "base_version");

  if (!json_is_integer (v) || json_integer_value (v) < 0)
    {
      pu_findings_add (f, "/base_version",
                       "The version that the change starts from is needed; "
                       "0 when there is none.");
      return;
    }
  s->base_version = json_integer_value (v);
}

static void
read_names (const pu_operator_exchange_t *x, const json_t *o, submission_t *s,
            pu_findings_t *f)
{
  const json_t *author = json_object_get (o, "author");

  s->change_id = json_string_value (json_object_get (o, "change_id"));
  if (s->change_id == NULL)
    {
      pu_findings_add (f, "/change_id",
                       "A name for this change is needed, the same again when "
                       "it is sent again.");
    }
  else
    {
      check_name (f, "/change_id", s->change_id);
    }
  s->author = x->author;
  if (author == NULL || json_is_null (author))
    return;
  s->author = json_string_value (author);
  if (s->author == NULL)
    {
      pu_findings_add (f, "/author", "It must be a string.");
    }
  else
    {
      check_name (f, "/author", s->author);
    }
}

static void
read_text (const json_t *o, submission_t *s, pu_findings_t *f)
{
  const json_t *d = json_object_get (o, "document");

  if (json_is_string (d))
    {
      s->text = strdup (json_string_value (d));
    }
  else if (json_is_object (d))
    {
      s->text = json_dumps (d, JSON_COMPACT);
    }
  else
    {
      pu_findings_add (f, "/document",
                       "The document is needed, as an object or as its text.");
    }
}

static void
refuse_unknown (const json_t *o, pu_findings_t *f)
{
  static const char *const known[]
      = { "base_version", "change_id", "author", "document", NULL };
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *)o, key, value)
  {
    char *path;

    if (g_strv_contains (known, key))
      continue;
    path = g_strconcat ("/", key, NULL);
    pu_findings_add (f, path, "No field of a submission has this name.");
    g_free (path);
  }
}

/* Reads the body O.  On a fault it answers, frees the text and returns
   false.  */
static bool
read_submission (pu_operator_exchange_t *x, const json_t *o, submission_t *s)
{
  pu_findings_t *f = pu_findings_new ();

  memset (s, 0, sizeof *s);
  refuse_unknown (o, f);
  read_base_version (o, s, f);
  read_names (x, o, s, f);
  read_text (o, s, f);
  if (pu_findings_count (f) == 0)
    {
      pu_findings_free (f);
      return true;
    }
  free (s->text);
  pu_operator_exchange_findings (x, f);
  return false;
}

static void
answer_conflict (pu_operator_exchange_t *x, const pu_reply *r)
{
  const pu_state_t *s = pu_operator_exchange_view (x);
  char *message = g_strdup_printf (
      "Another change was first: version %" G_GUINT64_FORMAT " is in force.",
      (guint64)r->doc_version);
  json_t *body
      = json_pack ("{s:s, s:s, s:s, s:I, s:I, s:o}", "error", "conflict",
                   "message", message, "outcome", "not-run", "current_version",
                   (json_int_t)r->doc_version, "differs_version",
                   (json_int_t)pu_operator_document_version (s), "differs",
                   differs_from_view (s, x->document));

  g_free (message);
  pu_operator_exchange_json (x, 409, body);
}

static void
answer_accepted (pu_operator_exchange_t *x, const pu_reply *r)
{
  bool resent = r->outcome == PU_OUTCOME_SEEN;

  json_object_set_new (x->answer, "version",
                       json_integer ((json_int_t)r->doc_version));
  json_object_set_new (x->answer, "position",
                       json_integer ((json_int_t)r->position));
  json_object_set_new (x->answer, "seen", json_boolean (resent));
  json_object_set (x->answer, "warnings", x->warnings);
  pu_operator_exchange_json (x, 200, json_incref (x->answer));
}

/* An error of the log, told with what the operator does next.  */
static void
answer_submit_error (pu_operator_exchange_t *x, const pu_error_t *e)
{
  if (e->kind == PU_ERROR_TIMEOUT)
    {
      pu_operator_exchange_fail (
          x, e->kind,
          "No answer in time: the change may be accepted or not. "
          "Send it again with the same change id.");
    }
  else
    {
      pu_operator_exchange_error (x, e);
    }
}

static void
submit_done (const pu_reply *r, const pu_error_t *e, void *data)
{
  pu_operator_exchange_t *x = data;

  if (r == NULL)
    {
      answer_submit_error (x, e);
      return;
    }
  if (x->op->closed)
    {
      pu_operator_exchange_fail (
          x, PU_ERROR_TIMEOUT,
          "The daemon is stopping. Send the change again to "
          "another with the same change id.");
      return;
    }
  switch (r->outcome)
    {
    case PU_OUTCOME_DONE:
    case PU_OUTCOME_SEEN:
      answer_accepted (x, r);
      return;
    case PU_OUTCOME_CONFLICT:
      answer_conflict (x, r);
      return;
    case PU_OUTCOME_REFUSED:
    case PU_OUTCOME_BUSY:
      pu_operator_exchange_fail (x, PU_ERROR_INVALID,
                                 "The change was refused: %s",
                                 r->detail != NULL ? r->detail : "");
      return;
    }
  pu_operator_exchange_fail (x, PU_ERROR_CORRUPT,
                             "The log gave an unknown answer.");
}

static void
propose_document (pu_operator_exchange_t *x, const submission_t *s,
                  const pu_document_t *d)
{
  pu_command c = { .type = PU_COMMAND_SUBMIT };
  pu_submit *submit = &c.pu_command_u.submit;

  x->document = json_of_document (d);
  x->warnings = warnings_of (x, d);
  x->answer = json_pack ("{s:s}", "change_id", s->change_id);
  submit->base_version = s->base_version;
  submit->wall = (guint64)g_get_real_time () / 1000;
  submit->change_id = (char *)s->change_id;
  submit->author = (char *)s->author;
  submit->text = (char *)pu_document_text (d);
  x->op->hooks.propose (&c, x->op->propose_timeout_ms, submit_done, x,
                        x->op->hooks.data);
}

static void
submit_parsed (pu_operator_exchange_t *x, const submission_t *s)
{
  pu_document_t *d;

  g_assert (s->text != NULL);
  d = read_document (x, s->text, strlen (s->text));
  if (d == NULL)
    return;
  if (strlen (pu_document_text (d)) > PU_DOCUMENT_MAX)
    {
      pu_operator_exchange_fail (x, PU_ERROR_TOO_LARGE,
                                 "The document is over its limit of %d bytes.",
                                 PU_DOCUMENT_MAX);
    }
  else if (x->op->hooks.propose == NULL)
    {
      pu_operator_exchange_fail (x, PU_ERROR_UNAVAILABLE,
                                 "There is no log here.");
    }
  else
    {
      propose_document (x, s, d);
    }
  pu_document_unref (d);
}

void
pu_operator_submit (pu_operator_exchange_t *x)
{
  json_t *o = pu_operator_exchange_object (x);
  submission_t s;

  if (o == NULL)
    return;
  if (read_submission (x, o, &s))
    {
      submit_parsed (x, &s);
      free (s.text);
    }
  json_decref (o);
}
