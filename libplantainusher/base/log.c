#include "base/log.h"

#include <stdio.h>
#include <string.h>

static const struct
{
  const char *name;
  GLogLevelFlags flag;
} levels[] = {
  { "warn", G_LOG_LEVEL_WARNING },
  { "note", G_LOG_LEVEL_MESSAGE },
  { "info", G_LOG_LEVEL_INFO },
  { "debug", G_LOG_LEVEL_DEBUG },
};

/* The one setting of the process that is not on a context: GLib keeps its
   writer for the process too.  */
static size_t level_in_force = 2;

static const char *
field_value (const GLogField *fields, gsize n, const char *key)
{
  for (gsize i = 0; i < n; i++)
    {
      if (strcmp (fields[i].key, key) == 0)
        return fields[i].value;
    }
  return "";
}

static size_t
level_index (GLogLevelFlags flag)
{
  for (size_t i = 0; i < G_N_ELEMENTS (levels); i++)
    {
      if ((flag & levels[i].flag) != 0)
        return i;
    }
  return 0;
}

static GLogWriterOutput
write_line (GLogLevelFlags flag, const GLogField *fields, gsize n,
            gpointer data)
{
  size_t level = level_index (flag);
  GDateTime *now;
  char *stamp;

  (void)data;
  if (level > level_in_force)
    return G_LOG_WRITER_HANDLED;
  now = g_date_time_new_now_utc ();
  stamp = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S");
  fprintf (stderr, "%s.%03dZ %s %s: %s\n", stamp,
           g_date_time_get_microsecond (now) / 1000, levels[level].name,
           field_value (fields, n, "GLIB_DOMAIN"),
           field_value (fields, n, "MESSAGE"));
  g_free (stamp);
  g_date_time_unref (now);
  return G_LOG_WRITER_HANDLED;
}

void
pu_log_init (void)
{
  g_log_set_writer_func (write_line, NULL, NULL);
}

bool
pu_log_set_level (const char *level)
{
  for (size_t i = 0; i < G_N_ELEMENTS (levels); i++)
    {
      if (strcmp (levels[i].name, level) == 0)
        {
          level_in_force = i;
          return true;
        }
    }
  return false;
}

const char *
pu_log_level (void)
{
  return levels[level_in_force].name;
}

bool
pu_log_limited (guint64 *last, guint64 now_ms, guint64 period_ms)
{
  if (*last != 0 && now_ms - *last < period_ms)
    return false;
  *last = now_ms;
  return true;
}
