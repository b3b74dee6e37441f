#include "faults.h"

#include <jansson.h>
#include <string.h>

static const char *const names[FAKE_FAULTS] = {
  [FAKE_DROP_REPORTS] = "drop_reports",
  [FAKE_LAG_REPORTS] = "lag_reports",
  [FAKE_KV_GAP] = "kv_gap",
  [FAKE_SILENT] = "silent",
  [FAKE_TRUNCATE] = "truncate",
  [FAKE_FOREIGN] = "foreign",
  [FAKE_DUPLICATE] = "duplicate_tokens",
  [FAKE_REORDER] = "reorder_tokens",
  [FAKE_REJECT] = "reject",
  [FAKE_LOSE_ORDERS] = "lose_orders",
  [FAKE_FORGET_ORDERS] = "forget_orders",
  [FAKE_LATE_ORDERS] = "late_orders",
  [FAKE_LOAD_FAIL] = "load_fail",
  [FAKE_CRASH_ON] = "crash_on",
  [FAKE_SLOW] = "slow",
  [FAKE_DIE_BEFORE] = "die_before",
  [FAKE_DIE_AFTER] = "die_after",
};

void
fake_faults_clear (fake_faults_t *f)
{
  for (int i = 0; i < FAKE_FAULTS; i++)
    g_free (f->table[i].text);
  memset (f, 0, sizeof (*f));
}

static fake_fault_t *
find (fake_faults_t *f, const char *kind)
{
  for (int i = 0; i < FAKE_FAULTS; i++)
    {
      if (g_strcmp0 (kind, names[i]) == 0)
        return &f->table[i];
    }
  return NULL;
}

static void
fault_fill (fake_fault_t *one, json_t *root, guint64 connection)
{
  json_t *count = json_object_get (root, "count");
  json_t *text = json_object_get (root, "text");

  g_free (one->text);
  one->left = count == NULL ? G_MAXUINT : (guint)json_integer_value (count);
  one->n = (guint)json_integer_value (json_object_get (root, "n"));
  one->ms = (guint)json_integer_value (json_object_get (root, "ms"));
  one->text = g_strdup (json_string_value (text));
  one->connection = connection;
}

bool
fake_faults_set (fake_faults_t *f, const char *body, size_t len,
                 guint64 connection)
{
  json_t *root = json_loadb (body, len, 0, NULL);
  const char *kind = json_string_value (json_object_get (root, "kind"));
  fake_fault_t *one = find (f, kind);
  bool clear = g_strcmp0 (kind, "clear") == 0;

  if (clear)
    {
      fake_faults_clear (f);
    }
  else if (one != NULL)
    {
      fault_fill (one, root, connection);
    }
  json_decref (root);
  return clear || one != NULL;
}

void
fake_faults_switch (fake_faults_t *f, fake_fault_kind_t kind, const char *text)
{
  g_free (f->table[kind].text);
  f->table[kind].text = g_strdup (text);
  f->table[kind].left = G_MAXUINT;
}

const fake_fault_t *
fake_faults_on (const fake_faults_t *f, fake_fault_kind_t kind)
{
  return f->table[kind].left == 0 ? NULL : &f->table[kind];
}

const fake_fault_t *
fake_faults_take (fake_faults_t *f, fake_fault_kind_t kind)
{
  fake_fault_t *one = &f->table[kind];

  if (one->left == 0)
    return NULL;
  if (one->left != G_MAXUINT)
    one->left--;
  return one;
}
