#include <string.h>

#include "placer/placer_private.h"

#define REASON_SEPARATOR ": "

const char *
pu_placer_move_reason (const char *text)
{
  const char *separator = strstr (text, REASON_SEPARATOR);

  return separator != NULL ? separator + strlen (REASON_SEPARATOR) : text;
}

/* --- orders --- */

static const char *
order_kind_name (bool load)
{
  return load ? "load" : "unload";
}

static json_t *
order_json (const pu_placer_sync_t *sync, const pu_orders_order_t *r)
{
  return json_pack (
      "{s:s, s:s, s:s, s:s, s:I, s:s, s:I, s:I, s:b, s:s}", "kind",
      order_kind_name (r->spec.kind == PU_LEDGER_LOAD), "model",
      pu_placer_sync_copy_model (sync, r->spec.copy), "version",
      pu_placer_sync_copy_version (sync, r->spec.copy), "backend",
      pu_names_name (&sync->backends, r->spec.backend), "memory_mb",
      (json_int_t)r->spec.memory_mb, "state", pu_orders_state_name (r->state),
      "token", (json_int_t)r->token, "tries", (json_int_t)r->tries,
      "inherited", r->inherited, "reason",
      pu_placer_move_reason (r->spec.reason));
}

static json_t *
orders_json (const pu_placer_sync_t *sync)
{
  const pu_orders_t *orders = pu_placement_orders (sync->placement);
  json_t *list = json_array ();

  for (guint i = 0; i < pu_orders_count (orders); i++)
    json_array_append_new (list, order_json (sync, pu_orders_get (orders, i)));
  return list;
}

/* --- failures --- */

static json_t *
failure_json (const pu_placer_sync_t *sync, guint32 backend, guint32 copy,
              guint64 now)
{
  guint64 until;
  guint n = pu_orders_failures (pu_placement_orders (sync->placement), backend,
                                copy, &until);

  return json_pack ("{s:s, s:s, s:s, s:I, s:I}", "model",
                    pu_placer_sync_copy_model (sync, copy), "version",
                    pu_placer_sync_copy_version (sync, copy), "backend",
                    pu_names_name (&sync->backends, backend), "failures",
                    (json_int_t)n, "retry_ms",
                    (json_int_t)(until > now ? until - now : 0));
}

/* Lists the recorded failures that no later success has cleared.  */
static json_t *
failures_json (const pu_placer_sync_t *sync, guint64 now)
{
  const pu_orders_t *orders = pu_placement_orders (sync->placement);
  json_t *list = json_array ();
  GHashTableIter i;
  gpointer key;

  g_hash_table_iter_init (&i, sync->failures);
  while (g_hash_table_iter_next (&i, &key, NULL))
    {
      const pu_placer_sync_failure_t *x = key;

      if (pu_orders_failures (orders, x->backend, x->copy, NULL) > 0)
        {
          json_array_append_new (
              list, failure_json (sync, x->backend, x->copy, now));
        }
    }
  return list;
}

/* --- models --- */

/* Returns the reason in the first line of the planner's explanation of ITEM,
   as a new string.  */
static char *
item_reason (const pu_placer_sync_t *sync, guint32 item, guint64 now)
{
  GString *text = g_string_new (NULL);
  char *line;

  pu_planner_explain_item (pu_placement_planner (sync->placement), item, now,
                           text);
  if (strchr (text->str, '\n') != NULL)
    g_string_truncate (text, (gsize)(strchr (text->str, '\n') - text->str));
  line = g_strdup (pu_placer_move_reason (text->str));
  g_string_free (text, TRUE);
  return line;
}

/* The copies of each item on engines that are up.  */
typedef struct
{
  const pu_placer_sync_t *sync;
  GPtrArray *copy_lists; /* of json_t arrays, by item */
  GArray *ready_counts;  /* of guint, by item; does not count copies on leaving
                            engines */
} item_copies_t;

static const char *
copy_reason (const pu_placer_sync_t *sync, const pu_backend_record *b,
             const pu_copy_record *r)
{
  const pu_planner_t *p = pu_placement_planner (sync->placement);
  guint32 backend;
  guint32 item;
  guint32 version;

  if (!pu_names_find (&sync->backends, b->name, &backend)
      || !pu_names_find (&sync->items, r->model, &item)
      || !pu_names_find (&sync->versions, r->model_version, &version))
    return pu_plan_reason_name (PU_REASON_PREEXISTING);
  return pu_plan_reason_name (
      pu_planner_copy_reason (p, backend, item, version));
}

static json_t *
copy_json (const pu_placer_sync_t *sync, const pu_backend_record *b,
           const pu_copy_record *r)
{
  static const char *const phases[]
      = { "loading", "ready", "draining", "unloading" };

  return json_pack ("{s:s, s:s, s:s, s:I, s:s}", "backend", b->name, "version",
                    r->model_version, "phase", phases[r->phase], "memory_mb",
                    (json_int_t)r->memory_mb, "reason",
                    copy_reason (sync, b, r));
}

static void
add_copies (const pu_backend_record *b, void *data)
{
  const item_copies_t *c = data;

  if (b->down || b->kind != PU_BACKEND_ENGINE)
    return;
  for (u_int i = 0; i < b->copies.copies_len; i++)
    {
      const pu_copy_record *r = &b->copies.copies_val[i];
      guint32 item;

      if (!pu_names_find (&c->sync->items, r->model, &item))
        continue;
      json_array_append_new (g_ptr_array_index (c->copy_lists, item),
                             copy_json (c->sync, b, r));
      if (r->phase == PU_COPY_READY && !b->leaving)
        g_array_index (c->ready_counts, guint, item)++;
    }
}

static void
item_copies_init (item_copies_t *c, const pu_placer_sync_t *sync)
{
  guint n = pu_names_count (&sync->items);

  c->sync = sync;
  c->copy_lists = g_ptr_array_new_with_free_func ((GDestroyNotify)json_decref);
  c->ready_counts = g_array_new (FALSE, TRUE, sizeof (guint));
  g_array_set_size (c->ready_counts, n);
  for (guint i = 0; i < n; i++)
    g_ptr_array_add (c->copy_lists, json_array ());
  pu_state_each_backend (sync->state, add_copies, c);
}

static void
item_copies_clear (item_copies_t *c)
{
  g_ptr_array_unref (c->copy_lists);
  g_array_unref (c->ready_counts);
}

static json_t *
model_json (const item_copies_t *c, const pu_model_t *m, guint32 item,
            guint64 now)
{
  const pu_planner_t *p = pu_placement_planner (c->sync->placement);
  char *text = item_reason (c->sync, item, now);
  json_t *o = json_pack (
      "{s:s, s:s, s:I, s:s, s:b, s:s, s:O}", "model", m->name, "version",
      m->version, "ready",
      (json_int_t)g_array_index (c->ready_counts, guint, item), "standing",
      pu_item_state_name (pu_planner_item_state (p, item, now)), "rolled_back",
      pu_planner_rolled_back (p, item), "why", text, "copies",
      (json_t *)g_ptr_array_index (c->copy_lists, item));

  g_free (text);
  return o;
}

static void
add_models (json_t *o, const pu_placer_sync_t *sync, guint64 now)
{
  json_t *models = json_array ();
  json_t *missing = json_array ();
  json_t *repairing = json_array ();
  guint n = sync->document != NULL ? pu_document_models (sync->document) : 0;
  const pu_planner_t *p = pu_placement_planner (sync->placement);
  item_copies_t copies;

  item_copies_init (&copies, sync);
  for (pu_model_handle_t h = 0; h < n; h++)
    {
      const pu_model_t *m = pu_document_model (sync->document, h);
      guint32 item;

      pu_names_find (&sync->items, m->name, &item);
      json_array_append_new (models, model_json (&copies, m, item, now));
      if (g_array_index (copies.ready_counts, guint, item) > 0)
        continue;
      json_array_append_new (missing, json_string (m->name));
      if (pu_planner_item_state (p, item, now) == PU_ITEM_STATE_LOADING)
        json_array_append_new (repairing, json_string (m->name));
    }
  item_copies_clear (&copies);
  json_object_set_new (o, "models", models);
  json_object_set_new (o, "missing", missing);
  json_object_set_new (o, "repairing", repairing);
}

static void
add_empty_lists (json_t *o)
{
  static const char *const lists[]
      = { "orders", "models", "missing", "repairing", "failures" };

  for (gsize i = 0; i < G_N_ELEMENTS (lists); i++)
    json_object_set_new (o, lists[i], json_array ());
}

json_t *
pu_placer_status_of (const pu_placer_sync_t *sync, guint64 now)
{
  const pu_orders_t *orders;
  json_t *o = json_pack ("{s:b, s:b}", "leads", sync != NULL, "quiet", 0);

  if (sync == NULL)
    {
      add_empty_lists (o);
      return o;
    }
  orders = pu_placement_orders (sync->placement);
  json_object_set_new (o, "quiet",
                       json_boolean (pu_orders_loads_suspended (orders, now)));
  json_object_set_new (o, "orders", orders_json (sync));
  json_object_set_new (o, "failures", failures_json (sync, now));
  add_models (o, sync, now);
  return o;
}

json_t *
pu_placer_status (pu_placer_t *p)
{
  return pu_placer_status_of (p->sync, pu_control_now (p->o.control));
}

json_t *
pu_placer_dump (pu_placer_t *p)
{
  const pu_orders_options_t *r = &p->o.placement.orders;
  json_t *o = pu_placer_status (p);
  json_t *numbers = json_pack (
      "{s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "take_overs",
      (json_int_t)p->takeovers, "sends_open",
      (json_int_t)pu_order_sender_in_flight (p->sender), "reservations_open",
      (json_int_t)g_hash_table_size (p->pending_reserves), "lease_ms",
      (json_int_t)r->lease_ms, "send_ms", (json_int_t)r->send_ms, "transit_ms",
      (json_int_t)r->transit_ms, "report_ms", (json_int_t)r->report_ms);

  json_object_set_new (o, "numbers", numbers);
  return o;
}

/* --- plans --- */

static json_t *
move_json (const pu_placer_sync_t *sync, const pu_move_t *m)
{
  char *reason = g_strdup (pu_plan_reason_name (m->reason));
  json_t *o;

  if (m->reason == PU_REASON_MAKE_ROOM)
    {
      g_free (reason);
      reason = g_strdup_printf ("%s (%s)", pu_plan_reason_name (m->reason),
                                pu_names_name (&sync->items, m->for_item));
    }
  o = json_pack ("{s:s, s:s, s:s, s:s, s:I, s:s}", "kind",
                 order_kind_name (m->kind == PU_MOVE_LOAD), "model",
                 pu_names_name (&sync->items, m->item), "version",
                 pu_names_name (&sync->versions, m->version), "backend",
                 pu_names_name (&sync->backends, m->engine), "memory_mb",
                 (json_int_t)m->memory_mb, "reason", reason);
  g_free (reason);
  return o;
}

/* Appends to MOVES the moves that would lead to the items in WANTED under the
   settings of D.  The settings of the planner are restored afterwards.  The
   minimum stay of copies is ignored, because no orders follow from these
   moves.  */
static void
plan_moves (const pu_placer_sync_t *sync, const pu_document_t *d,
            const GPtrArray *wanted, guint64 now, GArray *moves)
{
  pu_planner_t *p = pu_placement_planner (sync->placement);
  pu_placement_options_t o = sync->options;

  pu_placer_sync_document_options (d, &o);
  o.planner.min_stay_s = 0;
  pu_planner_set_options (p, &o.planner);
  pu_planner_what_if (p, (const pu_plan_item_t *const *)wanted->pdata,
                      wanted->len, now, moves);
  pu_planner_set_options (p, &sync->options.planner);
}

static json_t *
plan_json (pu_placer_sync_t *sync, const pu_document_t *d, guint64 now)
{
  GArray *items = pu_placer_sync_declared_items (sync, d);
  GPtrArray *wanted = g_ptr_array_new ();
  GArray *moves = g_array_new (FALSE, FALSE, sizeof (pu_move_t));
  json_t *list = json_array ();

  for (guint i = 0; i < items->len; i++)
    {
      pu_plan_item_t *t = &g_array_index (items, pu_plan_item_t, i);

      g_ptr_array_add (wanted, t->name != NULL ? t : NULL);
    }
  plan_moves (sync, d, wanted, now, moves);
  for (guint i = 0; i < moves->len; i++)
    {
      const pu_move_t *m = &g_array_index (moves, pu_move_t, i);

      json_array_append_new (list, move_json (sync, m));
    }
  g_array_unref (moves);
  g_array_unref (items);
  g_ptr_array_unref (wanted);
  return json_pack ("{s:o}", "moves", list);
}

json_t *
pu_placer_plan_state (const pu_state_t *s, const pu_document_t *d)
{
  pu_placer_options_t o;
  pu_placer_sync_t *sync;
  json_t *plan;

  pu_placer_options_init (&o);
  /* No orders follow from this plan, so it does not wait for the orders of a
     previous leader to end.  */
  o.placement.orders.lease_ms = 0;
  o.placement.orders.send_ms = 0;
  o.placement.orders.transit_ms = 0;
  o.placement.orders.report_ms = 0;
  sync = pu_placer_sync_new (s, &o.placement, o.streams_per_accelerator, 0);
  plan = plan_json (sync, d, 0);
  pu_placer_sync_free (sync);
  return plan;
}

const pu_document_t *
pu_placer_document (const pu_placer_t *p, guint64 *version)
{
  if (p->sync == NULL)
    return NULL;
  *version = p->sync->document_version;
  return p->sync->document;
}

json_t *
pu_placer_plan (pu_placer_t *p, const pu_document_t *d)
{
  guint64 now = pu_control_now (p->o.control);

  if (p->sync == NULL || !pu_placer_sync_is_current (p->sync)
      || pu_orders_loads_suspended (pu_placement_orders (p->sync->placement),
                                    now))
    return pu_placer_plan_state (pu_control_state (p->o.control), d);
  return plan_json (p->sync, d, now);
}
