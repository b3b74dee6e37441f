#include "print.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define GAP 2
#define INDENT 2

static char *
clean (const char *text)
{
  char *s = g_strdup (text);

  for (char *c = s; *c != '\0'; c++)
    {
      if (g_ascii_iscntrl (*c))
        *c = '?';
    }
  return s;
}

/* A cell: strings as they are, nothing for what is absent.  */
static char *
cell (const json_t *value)
{
  char *dumped;
  char *s;

  if (value == NULL || json_is_null (value))
    return g_strdup ("-");
  if (json_is_boolean (value))
    return g_strdup (json_is_true (value) ? "yes" : "no");
  if (json_is_string (value))
    {
      const char *text = json_string_value (value);

      return *text != '\0' ? clean (text) : g_strdup ("-");
    }
  dumped = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);
  s = clean (dumped);
  free (dumped);
  return s;
}

static void
append_row (GString *out, char *const *cells, const glong *widths, size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      glong width = g_utf8_strlen (cells[i], -1);

      g_string_append (out, cells[i]);
      if (i + 1 == n)
        break;
      for (; width < widths[i] + GAP; width++)
        g_string_append_c (out, ' ');
    }
  g_string_append_c (out, '\n');
}

static char **
title_row (const pu_cli_column_t *c, size_t n)
{
  char **cells = g_new0 (char *, n + 1);

  for (size_t i = 0; i < n; i++)
    cells[i] = g_strdup (c[i].title);
  return cells;
}

static char **
value_row (const json_t *o, const pu_cli_column_t *c, size_t n)
{
  char **cells = g_new0 (char *, n + 1);

  for (size_t i = 0; i < n; i++)
    cells[i] = cell (json_object_get (o, c[i].key));
  return cells;
}

static void
free_row (gpointer cells)
{
  g_strfreev (cells);
}

void
pu_cli_print_table (GString *out, const json_t *list, const pu_cli_column_t *c,
                    size_t n)
{
  GPtrArray *rows = g_ptr_array_new_with_free_func (free_row);
  glong *widths = g_new0 (glong, n);
  size_t at;
  json_t *o;

  g_ptr_array_add (rows, title_row (c, n));
  json_array_foreach (list, at, o) g_ptr_array_add (rows, value_row (o, c, n));
  for (guint r = 0; r < rows->len; r++)
    {
      char **cells = g_ptr_array_index (rows, r);

      for (size_t i = 0; i < n; i++)
        widths[i] = MAX (widths[i], g_utf8_strlen (cells[i], -1));
    }
  for (guint r = 0; r < rows->len; r++)
    append_row (out, g_ptr_array_index (rows, r), widths, n);
  g_free (widths);
  g_ptr_array_free (rows, TRUE);
}

static void
append_text (GString *out, const json_t *value)
{
  char *s = cell (value);

  g_string_append (out, s);
  g_free (s);
}

void
pu_cli_print_findings (GString *out, const char *file, const json_t *list)
{
  size_t at;
  json_t *f;

  json_array_foreach (list, at, f)
  {
    json_int_t line = json_integer_value (json_object_get (f, "line"));
    json_int_t column = json_integer_value (json_object_get (f, "column"));
    const char *path = json_string_value (json_object_get (f, "path"));

    g_string_append (out, file);
    if (line > 0)
      g_string_append_printf (out, ":%" JSON_INTEGER_FORMAT, line);
    if (column > 0)
      g_string_append_printf (out, ":%" JSON_INTEGER_FORMAT, column);
    g_string_append (out, ": ");
    if (path != NULL && *path != '\0')
      {
        append_text (out, json_object_get (f, "path"));
        g_string_append (out, ": ");
      }
    append_text (out, json_object_get (f, "message"));
    if (json_object_get (f, "name") != NULL)
      {
        g_string_append (out, " [");
        append_text (out, json_object_get (f, "name"));
        g_string_append_c (out, ']');
      }
    g_string_append_c (out, '\n');
  }
}

static void
append_value (GString *out, const json_t *value)
{
  char *dumped = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);
  char *s;

  if (dumped == NULL)
    return;
  s = clean (dumped);
  g_string_append (out, s);
  g_free (s);
  free (dumped);
}

void
pu_cli_print_differs (GString *out, const json_t *list)
{
  size_t at;
  json_t *d;

  json_array_foreach (list, at, d)
  {
    const json_t *older = json_object_get (d, "old");
    const json_t *newer = json_object_get (d, "new");
    const char *mark = older == NULL ? "+" : newer == NULL ? "-" : "~";

    g_string_append_printf (out, "%s ", mark);
    append_text (out, json_object_get (d, "path"));
    g_string_append (out, ": ");
    if (older != NULL)
      append_value (out, older);
    if (older != NULL && newer != NULL)
      g_string_append (out, " -> ");
    if (newer != NULL)
      append_value (out, newer);
    g_string_append_c (out, '\n');
    if (json_object_get (d, "effect") != NULL)
      {
        g_string_append (out, "    ");
        append_text (out, json_object_get (d, "effect"));
        g_string_append_c (out, '\n');
      }
  }
}

void
pu_cli_print_json (const json_t *j)
{
  char *text = json_dumps (j, JSON_INDENT (INDENT) | JSON_ENCODE_ANY);

  puts (text);
  free (text);
}

void
pu_cli_print (GString *out)
{
  fputs (out->str, stdout);
  g_string_free (out, TRUE);
}
