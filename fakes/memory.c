#include "memory.h"

#include <string.h>

#define UNLOAD_SHARE 4 /* an unload takes a quarter of a load */

typedef struct
{
  char *model;
  char *version;
  guint memory_mb;
  fake_copy_phase_t phase;
  guint64 until; /* end of loading or unloading */
  bool will_fail;
} copy_t;

struct fake_memory
{
  fake_memory_options_t options;
  GPtrArray *copies; /* of copy_t */
  guint64 token;
  guint64 changes;
  guint violations; /* orders beyond the size */
  guint loads;
  guint unloads;
  guint stale; /* orders with an old token that came */
};

static void
copy_free (gpointer data)
{
  copy_t *c = data;

  g_free (c->model);
  g_free (c->version);
  g_free (c);
}

fake_memory_t *
fake_memory_new (const fake_memory_options_t *o)
{
  fake_memory_t *m = g_new0 (fake_memory_t, 1);

  m->options = *o;
  m->copies = g_ptr_array_new_with_free_func (copy_free);
  return m;
}

void
fake_memory_free (fake_memory_t *m)
{
  g_ptr_array_free (m->copies, TRUE);
  g_free (m);
}

static copy_t *
copy_at (const fake_memory_t *m, guint i)
{
  return g_ptr_array_index (m->copies, i);
}

static guint
true_memory (const fake_memory_t *m)
{
  guint sum = 0;

  for (guint i = 0; i < m->copies->len; i++)
    sum += copy_at (m, i)->memory_mb;
  return sum;
}

static copy_t *
copy_find (const fake_memory_t *m, const char *model, const char *version)
{
  for (guint i = 0; i < m->copies->len; i++)
    {
      copy_t *c = copy_at (m, i);

      if (strcmp (c->model, model) == 0 && strcmp (c->version, version) == 0)
        return c;
    }
  return NULL;
}

static copy_t *
copy_add (fake_memory_t *m, const char *model, const char *version, guint mb)
{
  copy_t *c = g_new0 (copy_t, 1);

  c->model = g_strdup (model);
  c->version = g_strdup (version);
  c->memory_mb = mb;
  g_ptr_array_add (m->copies, c);
  m->changes++;
  return c;
}

bool
fake_memory_preload (fake_memory_t *m, const char *models)
{
  char **list = g_strsplit (models, ",", 0);
  bool good = true;

  for (char **one = list; *one != NULL; one++)
    {
      char **parts = g_strsplit (*one, ":", 0);

      if (g_strv_length (parts) == 3)
        {
          copy_add (m, parts[0], parts[1],
                    (guint)g_ascii_strtoull (parts[2], NULL, 10))
              ->phase
              = FAKE_COPY_READY;
        }
      else
        {
          good = false;
        }
      g_strfreev (parts);
    }
  g_strfreev (list);
  return good && true_memory (m) <= m->options.memory_mb;
}

static json_t *
order_fields (const fake_order_t *o)
{
  return json_pack ("{s:I, s:s, s:s, s:s, s:i}", "token", (json_int_t)o->token,
                    "kind", o->load ? "load" : "unload", "model", o->model,
                    "version", o->version, "memory_mb", (int)o->memory_mb);
}

static int
order_load (fake_memory_t *m, const fake_order_t *o, guint64 now)
{
  copy_t *c = copy_find (m, o->model, o->version);
  bool fits = true_memory (m) + o->memory_mb <= m->options.memory_mb;

  if (c != NULL && c->phase == FAKE_COPY_DRAINING)
    {
      c->phase = FAKE_COPY_READY;
      m->changes++;
    }
  if (c != NULL && c->phase != FAKE_COPY_UNLOADING)
    return 202;
  if (!fits)
    {
      m->violations++;
      fake_ledger_write (m->options.ledger, "overcommit", order_fields (o));
    }
  if (!fits && !m->options.greedy)
    return 507;
  c = copy_add (m, o->model, o->version, o->memory_mb);
  c->phase = FAKE_COPY_LOADING;
  c->until = now + m->options.load_ms;
  c->will_fail = o->will_fail;
  m->loads++;
  return 202;
}

static int
order_unload (fake_memory_t *m, const fake_order_t *o, guint64 now)
{
  copy_t *c = copy_find (m, o->model, o->version);

  if (c == NULL || c->phase == FAKE_COPY_UNLOADING
      || c->phase == FAKE_COPY_DRAINING)
    return 202;
  m->unloads++;
  m->changes++;
  if (c->phase == FAKE_COPY_READY)
    {
      c->phase = FAKE_COPY_DRAINING;
      return 202;
    }
  c->phase = FAKE_COPY_UNLOADING;
  c->until = now + m->options.load_ms / UNLOAD_SHARE;
  return 202;
}

int
fake_memory_order (fake_memory_t *m, const fake_order_t *o, guint64 now)
{
  json_t *fields = order_fields (o);
  bool stale = o->token < m->token;
  int status;

  if (stale)
    m->stale++;
  if (stale && m->options.fenced)
    {
      status = 409;
    }
  else if (o->load)
    {
      status = order_load (m, o, now);
    }
  else
    {
      status = order_unload (m, o, now);
    }
  m->token = MAX (m->token, o->token);
  json_object_set_new (fields, "status", json_integer (status));
  json_object_set_new (fields, "stale", json_boolean (stale));
  json_object_set_new (fields, "true_memory_mb",
                       json_integer (true_memory (m)));
  fake_ledger_write (m->options.ledger, "order", fields);
  return status;
}

/* Goes on with one copy; false when it is gone.  */
static bool
copy_step (fake_memory_t *m, copy_t *c, guint64 now, guint running)
{
  fake_copy_phase_t before = c->phase;

  switch (c->phase)
    {
    case FAKE_COPY_LOADING:
      if (now < c->until)
        return true;
      if (c->will_fail)
        return false;
      c->phase = FAKE_COPY_READY;
      break;
    case FAKE_COPY_READY:
      break;
    case FAKE_COPY_DRAINING:
      if (running > 0)
        return true;
      c->phase = FAKE_COPY_UNLOADING;
      c->until = now + m->options.load_ms / UNLOAD_SHARE;
      break;
    case FAKE_COPY_UNLOADING:
      return now < c->until;
    }
  if (c->phase != before)
    m->changes++;
  return true;
}

void
fake_memory_tick (fake_memory_t *m, guint64 now,
                  guint (*busy) (void *data, const char *model), void *data)
{
  for (guint i = m->copies->len; i > 0; i--)
    {
      copy_t *c = copy_at (m, i - 1);

      if (copy_step (m, c, now, busy (data, c->model)))
        continue;
      g_ptr_array_remove_index (m->copies, i - 1);
      m->changes++;
    }
}

bool
fake_memory_serves (const fake_memory_t *m, const char *model)
{
  for (guint i = 0; i < m->copies->len; i++)
    {
      const copy_t *c = copy_at (m, i);

      if (c->phase == FAKE_COPY_READY && strcmp (c->model, model) == 0)
        return true;
    }
  return false;
}

json_t *
fake_memory_copies (const fake_memory_t *m)
{
  static const char *const phases[]
      = { "loading", "ready", "draining", "unloading" };
  json_t *out = json_array ();

  for (guint i = 0; i < m->copies->len; i++)
    {
      const copy_t *c = copy_at (m, i);

      json_array_append_new (out, json_pack ("{s:s, s:s, s:i, s:s}", "model",
                                             c->model, "version", c->version,
                                             "memory_mb", (int)c->memory_mb,
                                             "phase", phases[c->phase]));
    }
  return out;
}

void
fake_memory_add_state (const fake_memory_t *m, json_t *out)
{
  json_t *state = json_pack (
      "{s:i, s:i, s:b, s:i, s:i, s:i, s:i, s:I, s:o}", "true_memory_mb",
      (int)true_memory (m), "size_mb", (int)m->options.memory_mb,
      "overcommitted", m->violations > 0, "violations", (int)m->violations,
      "loads", (int)m->loads, "unloads", (int)m->unloads, "stale_orders",
      (int)m->stale, "token", (json_int_t)m->token, "copies",
      fake_memory_copies (m));

  json_object_update (out, state);
  json_decref (state);
}

guint64
fake_memory_token (const fake_memory_t *m)
{
  return m->token;
}

guint64
fake_memory_changes (const fake_memory_t *m)
{
  return m->changes;
}
