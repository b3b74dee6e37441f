/* What `status` says of placement.  */

#include "print.h"

#include <stdbool.h>

static const pu_cli_column_t order_columns[] = {
  { "ORDER", "kind" },      { "MODEL", "model" },   { "VERSION", "version" },
  { "BACKEND", "backend" }, { "MB", "memory_mb" },  { "STATE", "state" },
  { "TRIES", "tries" },     { "REASON", "reason" },
};

static const pu_cli_column_t missing_columns[] = {
  { "MODEL", "model" },
  { "VERSION", "version" },
  { "REPAIRING", "repairing" },
  { "WHY", "why" },
};

static const pu_cli_column_t failure_columns[] = {
  { "MODEL", "model" },       { "VERSION", "version" },
  { "BACKEND", "backend" },   { "FAILURES", "failures" },
  { "RETRY MS", "retry_ms" },
};

static bool
names_contain (const json_t *names, const char *name)
{
  size_t at;
  json_t *one;

  json_array_foreach (names, at, one)
  {
    if (g_strcmp0 (json_string_value (one), name) == 0)
      return true;
  }
  return false;
}

/* The row of the model NAME, a new object.  */
static json_t *
missing_row (const json_t *placement, const char *name)
{
  json_t *row = json_pack ("{s:s?}", "model", name);
  bool repairing
      = names_contain (json_object_get (placement, "repairing"), name);
  size_t at;
  json_t *m;

  json_array_foreach (json_object_get (placement, "models"), at, m)
  {
    const char *other = json_string_value (json_object_get (m, "model"));

    if (g_strcmp0 (other, name) == 0)
      json_object_update (row, m);
  }
  json_object_set_new (row, "repairing", json_boolean (repairing));
  return row;
}

static json_t *
missing_rows (const json_t *placement)
{
  json_t *rows = json_array ();
  size_t at;
  json_t *name;

  json_array_foreach (json_object_get (placement, "missing"), at, name)
  {
    json_array_append_new (rows,
                           missing_row (placement, json_string_value (name)));
  }
  return rows;
}

static void
append_section (GString *out, const char *title, const json_t *list,
                const pu_cli_column_t *c, size_t n)
{
  if (json_array_size (list) == 0)
    return;
  g_string_append_printf (out, "\n%s\n", title);
  pu_cli_print_table (out, list, c, n);
}

void
pu_cli_print_placement (GString *out, const json_t *placement)
{
  const json_t *orders = json_object_get (placement, "orders");
  const json_t *failures = json_object_get (placement, "failures");
  json_t *missing;

  if (!json_is_array (orders)
      || json_is_false (json_object_get (placement, "leads")))
    return;
  missing = missing_rows (placement);
  g_string_append_printf (out,
                          "\nPlacement: %zu orders under way, %zu models "
                          "without a ready copy, %zu failing loads.\n",
                          json_array_size (orders), json_array_size (missing),
                          json_array_size (failures));
  append_section (out, "Models without a ready copy", missing, missing_columns,
                  G_N_ELEMENTS (missing_columns));
  append_section (out, "Orders under way", orders, order_columns,
                  G_N_ELEMENTS (order_columns));
  append_section (out, "Failing loads", failures, failure_columns,
                  G_N_ELEMENTS (failure_columns));
  json_decref (missing);
}
