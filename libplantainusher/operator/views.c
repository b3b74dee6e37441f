/* The paths that read the state: document, history, convictions, dump.  */

#include "operator/internal.h"

char *
pu_operator_time (guint64 wall)
{
  GDateTime *t = g_date_time_new_from_unix_utc ((gint64)(wall / 1000));
  char *day;
  char *result;

  if (t == NULL)
    return g_strdup ("");
  day = g_date_time_format (t, "%Y-%m-%dT%H:%M:%S");
  result = g_strdup_printf ("%s.%03uZ", day, (guint)(wall % 1000));
  g_free (day);
  g_date_time_unref (t);
  return result;
}

static void
set_time (json_t *o, const char *key, guint64 wall)
{
  char *text = pu_operator_time (wall);

  json_object_set_new (o, key, json_string (text));
  g_free (text);
}

static void
set_number (json_t *o, const char *key, guint64 value)
{
  json_object_set_new (o, key, json_integer ((json_int_t)value));
}

json_t *
pu_operator_document_json (const pu_state_t *s)
{
  const pu_doc_record *r = pu_state_document (s);

  return r != NULL ? json_loads (r->text, 0, NULL) : NULL;
}

static json_t *
record_json (const pu_doc_record *r)
{
  json_t *o = json_object ();

  set_number (o, "version", r->doc_version);
  json_object_set_new (o, "change_id", json_string (r->change_id));
  json_object_set_new (o, "author", json_string (r->author));
  set_time (o, "time", r->wall);
  return o;
}

/* Whether the query asks for the version of R, or for none.  */
static bool
is_asked (const pu_operator_exchange_t *x, const pu_doc_record *r)
{
  char *text = pu_operator_exchange_argument (x, "version");
  bool asked
      = text == NULL || g_ascii_strtoull (text, NULL, 10) == r->doc_version;

  g_free (text);
  return asked;
}

void
pu_operator_get_document (pu_operator_exchange_t *x)
{
  const pu_state_t *s = pu_operator_exchange_view (x);
  const pu_doc_record *r = pu_state_document (s);
  json_t *body;

  if (r == NULL)
    {
      pu_operator_exchange_fail (
          x, PU_ERROR_NOT_FOUND,
          "There is no document yet; the first is submitted "
          "with base version 0.");
      return;
    }
  if (!is_asked (x, r))
    {
      pu_operator_exchange_fail (
          x, PU_ERROR_NOT_FOUND,
          "The text is kept of the version in force only, "
          "which is %" G_GUINT64_FORMAT ".",
          (guint64)r->doc_version);
      return;
    }
  body = record_json (r);
  set_number (body, "position", pu_state_position (s));
  json_object_set_new (body, "document", pu_operator_document_json (s));
  pu_operator_exchange_json (x, 200, body);
}

static void
add_history (const pu_doc_record *r, void *data)
{
  json_array_append_new (data, record_json (r));
}

json_t *
pu_operator_history_json (const pu_state_t *s)
{
  json_t *list = json_array ();

  pu_state_each_document (s, add_history, list);
  return list;
}

void
pu_operator_get_history (pu_operator_exchange_t *x)
{
  if (x->op->hooks.history != NULL)
    {
      x->op->hooks.history (pu_operator_exchange_done_json, x,
                            x->op->hooks.data);
    }
  else
    {
      pu_operator_exchange_json (
          x, 200, pu_operator_history_json (pu_operator_exchange_view (x)));
    }
}

void
pu_operator_get_dump (pu_operator_exchange_t *x)
{
  if (x->op->hooks.dump == NULL)
    {
      pu_operator_exchange_fail (x, PU_ERROR_UNAVAILABLE,
                                 "This daemon dumps nothing.");
    }
  else
    {
      pu_operator_exchange_json (x, 200,
                                 x->op->hooks.dump (x->op->hooks.data));
    }
}

static void
add_conviction (const pu_suspect_record *r, void *data)
{
  char fingerprint[17];
  json_t *o;

  if (!r->convicted)
    return;
  g_snprintf (fingerprint, sizeof fingerprint, "%016" G_GINT64_MODIFIER "x",
              (guint64)r->fingerprint);
  o = json_pack ("{s:s, s:s}", "fingerprint", fingerprint, "model", r->model);
  set_number (o, "strikes", r->strikes);
  set_time (o, "time", r->wall);
  json_array_append_new (data, o);
}

void
pu_operator_get_convictions (pu_operator_exchange_t *x)
{
  json_t *list = json_array ();

  pu_state_each_suspect (pu_operator_exchange_view (x), add_conviction, list);
  pu_operator_exchange_json (x, 200, json_pack ("{s:o}", "convictions", list));
}
