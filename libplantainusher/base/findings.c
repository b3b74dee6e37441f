#include "base/findings.h"

#include <stdarg.h>

struct pu_findings
{
  GPtrArray *list;
};

static void
finding_free (gpointer data)
{
  pu_finding_t *f = data;

  g_free (f->path);
  g_free (f->message);
  g_free (f->name);
  g_free (f);
}

static pu_finding_t *
add (pu_findings_t *f, const char *path, int line, int column,
     const char *format, va_list ap)
{
  pu_finding_t *one = g_new0 (pu_finding_t, 1);

  one->path = g_strdup (path);
  one->line = line;
  one->column = column;
  one->message = g_strdup_vprintf (format, ap);
  g_ptr_array_add (f->list, one);
  return one;
}

pu_findings_t *
pu_findings_new (void)
{
  pu_findings_t *f = g_new0 (pu_findings_t, 1);

  f->list = g_ptr_array_new_with_free_func (finding_free);
  return f;
}

void
pu_findings_free (pu_findings_t *f)
{
  if (f == NULL)
    return;
  g_ptr_array_free (f->list, TRUE);
  g_free (f);
}

void
pu_findings_add (pu_findings_t *f, const char *path, const char *format, ...)
{
  va_list ap;

  va_start (ap, format);
  add (f, path, 0, 0, format, ap);
  va_end (ap);
}

void
pu_findings_add_at (pu_findings_t *f, int line, int column, const char *format,
                    ...)
{
  va_list ap;

  va_start (ap, format);
  add (f, "", line, column, format, ap);
  va_end (ap);
}

void
pu_findings_add_named (pu_findings_t *f, const char *name, const char *path,
                       const char *format, ...)
{
  va_list ap;

  va_start (ap, format);
  add (f, path, 0, 0, format, ap)->name = g_strdup (name);
  va_end (ap);
}

void
pu_findings_set_place (pu_findings_t *f, size_t i, int line, int column)
{
  pu_finding_t *one = g_ptr_array_index (f->list, i);

  one->line = line;
  one->column = column;
}

size_t
pu_findings_count (const pu_findings_t *f)
{
  return f->list->len;
}

const pu_finding_t *
pu_findings_get (const pu_findings_t *f, size_t i)
{
  return g_ptr_array_index (f->list, i);
}

json_t *
pu_findings_to_json (const pu_findings_t *f)
{
  json_t *array = json_array ();

  for (size_t i = 0; i < f->list->len; i++)
    {
      const pu_finding_t *one = pu_findings_get (f, i);
      json_t *o = json_object ();

      json_object_set_new (o, "path", json_string (one->path));
      if (one->line > 0)
        json_object_set_new (o, "line", json_integer (one->line));
      if (one->column > 0)
        json_object_set_new (o, "column", json_integer (one->column));
      json_object_set_new (o, "message", json_string (one->message));
      if (one->name != NULL)
        json_object_set_new (o, "name", json_string (one->name));
      json_array_append_new (array, o);
    }
  return array;
}
