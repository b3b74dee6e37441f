/* The path that shows the state of the system.  What it tells of the document
   is kept until another is in force: an open console asks for it every few
   seconds.  */

#include "operator/internal.h"

#include <string.h>

#include "base/log.h"
#include "state/software.h"

static void
set_number (json_t *o, const char *key, guint64 value)
{
  json_object_set_new (o, key, json_integer ((json_int_t)value));
}

static void
add_member (const pu_member_record *m, void *data)
{
  json_t *o = json_pack (
      "{s:s, s:s, s:s, s:s, s:s, s:b}", "name", m->name, "region", m->region,
      "zone", m->zone, "caller_address", m->caller_address, "operator_address",
      m->operator_address, "leaving", m->leaving);

  set_number (o, "incarnation", m->incarnation);
  json_array_append_new (data, o);
}

static const char *
phase_name (pu_copy_phase phase)
{
  switch (phase)
    {
    case PU_COPY_LOADING:
      return "loading";
    case PU_COPY_READY:
      return "ready";
    case PU_COPY_DRAINING:
      return "draining";
    case PU_COPY_UNLOADING:
      return "unloading";
    }
  return "unknown";
}

static json_t *
copies_json (const pu_backend_record *b)
{
  json_t *list = json_array ();

  for (guint i = 0; i < b->copies.copies_len; i++)
    {
      const pu_copy_record *c = &b->copies.copies_val[i];

      if (pu_copy_is_fact (c))
        continue;
      json_array_append_new (
          list, json_pack ("{s:s, s:s, s:i, s:s}", "model", c->model,
                           "version", c->model_version, "memory_mb",
                           (int)c->memory_mb, "phase", phase_name (c->phase)));
    }
  return list;
}

typedef struct
{
  const pu_state_t *state;
  json_t *list;
} backends_t;

static void
add_backend (const pu_backend_record *b, void *data)
{
  backends_t *all = data;
  json_t *o
      = json_pack ("{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:b, s:b, s:b, s:o}",
                   "name", b->name, "software", pu_backend_software (b),
                   "kind", b->kind == PU_BACKEND_ENGINE ? "engine" : "plain",
                   "service", b->service, "address", b->address, "region",
                   b->region, "zone", b->zone, "fenced", b->fenced, "leaving",
                   b->leaving, "down", b->down, "copies", copies_json (b));

  set_number (o, "accelerators", b->accelerators);
  set_number (o, "memory_mb", b->memory_mb);
  set_number (o, "committed_mb", pu_state_committed_mb (all->state, b->name));
  json_array_append_new (all->list, o);
}

/* Copies of a model by phase; the key of the table is the model's name.  */
typedef struct
{
  guint ready;
  guint loading;
  guint going;
} copies_t;

static void
count_copies (const pu_backend_record *b, void *data)
{
  if (b->down)
    return;
  for (guint i = 0; i < b->copies.copies_len; i++)
    {
      const pu_copy_record *c = &b->copies.copies_val[i];
      copies_t *n = g_hash_table_lookup (data, c->model);

      if (n == NULL)
        {
          n = g_new0 (copies_t, 1);
          g_hash_table_insert (data, g_strdup (c->model), n);
        }
      n->ready += c->phase == PU_COPY_READY;
      n->loading += c->phase == PU_COPY_LOADING;
      n->going += c->phase > PU_COPY_READY;
    }
}

/* --- what is kept of the document --- */

static json_t *
models_json (const pu_document_t *d)
{
  json_t *list = json_array ();

  for (guint h = 0; h < pu_document_models (d); h++)
    {
      const pu_model_t *m = pu_document_model (d, h);
      json_t *o = json_pack ("{s:s, s:s, s:s, s:s}", "name", m->name, "kind",
                             m->kind == PU_MODEL_BASE ? "model" : "adapter",
                             "base", m->base_name, "version", m->version);

      set_number (o, "min_copies", m->min_copies);
      json_array_append_new (list, o);
    }
  return list;
}

static json_t *
services_json (const pu_document_t *d)
{
  json_t *list = json_array ();

  for (guint h = 0; h < pu_document_services (d); h++)
    {
      const pu_service_t *s = pu_document_service (d, h);
      json_t *o = json_pack ("{s:s, s:s}", "name", s->name, "kind",
                             s->kind == PU_SERVICE_MODEL ? "model" : "plain");

      set_number (o, "importance", s->importance);
      set_number (o, "models", s->model_names.n);
      json_array_append_new (list, o);
    }
  return list;
}

void
pu_operator_outline_clear (pu_operator_outline_t *o)
{
  json_decref (o->models);
  json_decref (o->services);
  memset (o, 0, sizeof *o);
}

/* A document that is read; the thread pool accesses nothing else.  */
typedef struct
{
  uv_work_t work;
  pu_operator_t *op; /* a reference */
  char *text;
  pu_operator_outline_t outline;
} reading_t;

static void
read_step (uv_work_t *work)
{
  reading_t *r = work->data;
  pu_findings_t *f = pu_findings_new ();
  pu_document_t *d = pu_document_load (r->text, strlen (r->text), f);

  pu_findings_free (f);
  if (d == NULL)
    return;
  r->outline.models = models_json (d);
  r->outline.services = services_json (d);
  pu_document_unref (d);
}

static bool
is_outline_of (const pu_operator_outline_t *o, const pu_doc_record *r)
{
  return o->version == r->doc_version && o->wall == r->wall;
}

static void answer_waiting (pu_operator_t *op);

static void
on_read (uv_work_t *work, int status)
{
  reading_t *r = work->data;
  pu_operator_t *op = r->op;

  (void)status;
  if (r->outline.models == NULL)
    {
      pu_log_warn ("operator",
                   "A status has no models and services: version "
                   "%" G_GUINT64_FORMAT " can't be read here.",
                   r->outline.version);
    }
  pu_operator_outline_clear (&op->outline);
  op->outline = r->outline;
  op->outlining = false;
  op->outlines++;
  g_free (r->text);
  g_free (r);
  answer_waiting (op);
  pu_operator_unref (op);
}

/* Reads the document of R for the status of OP, at once if it is short.  */
static void
outline_read (pu_operator_t *op, const pu_doc_record *record)
{
  reading_t *r = g_new0 (reading_t, 1);

  r->work.data = r;
  r->op = op;
  op->refs++;
  op->outlining = true;
  r->text = g_strdup (record->text);
  r->outline.version = record->doc_version;
  r->outline.wall = record->wall;
  if (op->loop != NULL && strlen (r->text) >= PU_DOCUMENT_LONG_BYTES
      && uv_queue_work (op->loop, &r->work, read_step, on_read) == 0)
    return;
  read_step (&r->work);
  on_read (&r->work, 0);
}

/* --- the status --- */

static json_t *
models_with_copies (const pu_state_t *s, const json_t *models)
{
  static const copies_t none = { 0 };
  GHashTable *copies
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  json_t *list = json_array ();
  json_t *m;
  size_t i;

  pu_state_each_backend (s, count_copies, copies);
  json_array_foreach (models, i, m)
  {
    const copies_t *n = g_hash_table_lookup (
        copies, json_string_value (json_object_get (m, "name")));
    json_t *o = json_copy (m);

    if (n == NULL)
      n = &none;
    set_number (o, "ready", n->ready);
    set_number (o, "loading", n->loading);
    set_number (o, "going", n->going);
    json_array_append_new (list, o);
  }
  g_hash_table_destroy (copies);
  return list;
}

/* Answers X; R is the document to be told of, or NULL.  */
static void
status_answer (pu_operator_exchange_t *x, const pu_doc_record *r)
{
  const pu_state_t *s = pu_operator_exchange_view (x);
  const pu_operator_outline_t *outline = &x->op->outline;
  json_t *status = json_object ();
  backends_t backends = { s, json_array () };
  json_t *members = json_array ();

  json_object_set_new (status, "ready",
                       json_boolean (pu_operator_is_ready (x->op)));
  set_number (status, "position", pu_state_position (s));
  set_number (status, "view", pu_state_membership_version (s));
  pu_state_each_member (s, add_member, members);
  json_object_set_new (status, "members", members);
  pu_state_each_backend (s, add_backend, &backends);
  json_object_set_new (status, "backends", backends.list);
  set_number (status, "version", r != NULL ? r->doc_version : 0);
  if (r != NULL && outline->models != NULL)
    {
      json_object_set_new (status, "models",
                           models_with_copies (s, outline->models));
      json_object_set (status, "services", outline->services);
    }
  if (x->op->hooks.status == NULL)
    {
      pu_operator_exchange_json (x, 200, status);
    }
  else
    {
      x->op->hooks.status (status, pu_operator_exchange_done_json, x,
                           x->op->hooks.data);
    }
}

/* Answers the requests that waited for the document that was read.  */
static void
answer_waiting (pu_operator_t *op)
{
  GQueue waiting = op->outlines_waiting;
  pu_operator_exchange_t *x;

  g_queue_init (&op->outlines_waiting);
  while ((x = g_queue_pop_head (&waiting)) != NULL)
    {
      if (op->closed)
        {
          pu_operator_exchange_fail (x, PU_ERROR_UNAVAILABLE,
                                     "The daemon is stopping.");
        }
      else
        {
          pu_operator_get_status (x);
        }
    }
}

/* Unless the state is ready to be shown, nothing is told of its document.  */
void
pu_operator_get_status (pu_operator_exchange_t *x)
{
  pu_operator_t *op = x->op;
  const pu_doc_record *r
      = pu_operator_is_ready (op)
            ? pu_state_document (pu_operator_exchange_view (x))
            : NULL;

  if (r == NULL || is_outline_of (&op->outline, r))
    {
      status_answer (x, r);
      return;
    }
  g_queue_push_tail (&op->outlines_waiting, x);
  if (!op->outlining)
    outline_read (op, r);
}
