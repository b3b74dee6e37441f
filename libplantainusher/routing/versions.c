#include "routing/versions.h"

#include <stdbool.h>
#include <string.h>

typedef struct
{
  char *service;
  char *version;
  guint serving; /* backend servers */
  guint64 gone_at;
} span_t;

struct pu_versions
{
  guint64 memory_ms;
  GPtrArray *spans; /* of span_t; few, as versions are forgotten */
};

static void
span_free (gpointer data)
{
  span_t *s = data;

  g_free (s->service);
  g_free (s->version);
  g_free (s);
}

pu_versions_t *
pu_versions_new (guint64 memory_ms)
{
  pu_versions_t *v = g_new0 (pu_versions_t, 1);

  v->memory_ms = memory_ms;
  v->spans = g_ptr_array_new_with_free_func (span_free);
  return v;
}

void
pu_versions_free (pu_versions_t *v)
{
  g_ptr_array_free (v->spans, TRUE);
  g_free (v);
}

static span_t *
span_get (pu_versions_t *v, const char *service, const char *version)
{
  span_t *s;

  for (guint i = 0; i < v->spans->len; i++)
    {
      s = g_ptr_array_index (v->spans, i);
      if (strcmp (s->service, service) == 0
          && strcmp (s->version, version) == 0)
        return s;
    }
  s = g_new0 (span_t, 1);
  s->service = g_strdup (service);
  s->version = g_strdup (version);
  g_ptr_array_add (v->spans, s);
  return s;
}

void
pu_versions_add (pu_versions_t *v, const char *service, const char *version)
{
  span_get (v, service, version)->serving++;
}

void
pu_versions_remove (pu_versions_t *v, const char *service, const char *version,
                    guint64 now)
{
  span_t *s = span_get (v, service, version);

  if (s->serving > 0)
    s->serving--;
  if (s->serving == 0)
    s->gone_at = now;
}

static void
forgotten_drop (pu_versions_t *v, guint64 now)
{
  for (guint i = v->spans->len; i-- > 0;)
    {
      const span_t *s = g_ptr_array_index (v->spans, i);

      if (s->serving == 0 && now >= s->gone_at + v->memory_ms)
        g_ptr_array_remove_index_fast (v->spans, i);
    }
}

/* Whether the version of S counts for SERVICE.  */
static bool
span_counts (const span_t *s, const char *service)
{
  return *s->service == '\0' || strcmp (s->service, service) == 0;
}

const char *
pu_versions_only (pu_versions_t *v, const char *service, guint64 now)
{
  const span_t *only = NULL;

  forgotten_drop (v, now);
  for (guint i = 0; i < v->spans->len; i++)
    {
      const span_t *s = g_ptr_array_index (v->spans, i);

      if (!span_counts (s, service))
        continue;
      if (only != NULL || *s->version == '\0')
        return NULL;
      only = s;
    }
  return only != NULL ? only->version : NULL;
}

char *
pu_versions_describe (pu_versions_t *v, const char *service, guint64 now)
{
  GString *text = g_string_new (NULL);

  forgotten_drop (v, now);
  for (guint i = 0; i < v->spans->len; i++)
    {
      const span_t *s = g_ptr_array_index (v->spans, i);

      if (!span_counts (s, service))
        continue;
      g_string_append (text, text->len > 0 ? ", " : "");
      g_string_append (text, *s->version != '\0' ? s->version : "?");
    }
  return g_string_free (text, FALSE);
}
