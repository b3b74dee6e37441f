#include "base/log.h"

#include <jansson.h>
#include <string.h>

#include "base/log_out.h"

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

enum
{
  LEVEL_NOTE = 1,
  LEVEL_INFO = 2,
};

/* What is of the process and not on a context: GLib keeps its writer for the
   process too.  */
static size_t level_in_force = LEVEL_INFO;
static bool started;

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

static void
time_put (json_t *line)
{
  GDateTime *now = g_date_time_new_now_utc ();
  char *stamp = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S");
  char *full = g_strdup_printf ("%s.%03dZ", stamp,
                                g_date_time_get_microsecond (now) / 1000);

  json_object_set_new (line, "time", json_string (full));
  g_free (full);
  g_free (stamp);
  g_date_time_unref (now);
}

/* Text from outside may be no UTF-8, which a string of JSON must be.  */
static json_t *
text_new (const char *text)
{
  char *valid;
  json_t *s = json_string (text);

  if (s != NULL)
    return s;
  valid = g_utf8_make_valid (text, -1);
  s = json_string (valid);
  g_free (valid);
  return s;
}

static void
line_write (size_t level, const char *part, const char *message,
            const pu_log_field_t *fields, gsize n)
{
  json_t *line = json_object ();
  char *text;

  time_put (line);
  json_object_set_new (line, "level", json_string (levels[level].name));
  json_object_set_new (line, "part", text_new (part));
  json_object_set_new (line, "message", text_new (message));
  for (gsize i = 0; i < n; i++)
    {
      if (fields[i].text == NULL)
        {
          json_object_set_new (line, fields[i].key,
                               json_integer (fields[i].number));
        }
      else if (*fields[i].text != '\0')
        {
          json_object_set_new (line, fields[i].key, text_new (fields[i].text));
        }
    }
  text = json_dumps (line, JSON_COMPACT);
  pu_log_out_line (text, level <= LEVEL_NOTE);
  free (text);
  json_decref (line);
}

static GLogWriterOutput
writer (GLogLevelFlags flag, const GLogField *fields, gsize n, gpointer data)
{
  size_t level = level_index (flag);

  (void)data;
  if (level <= level_in_force)
    {
      line_write (level, field_value (fields, n, "GLIB_DOMAIN"),
                  field_value (fields, n, "MESSAGE"), NULL, 0);
    }
  return G_LOG_WRITER_HANDLED;
}

void
pu_log_fields (const char *part, const char *message,
               const pu_log_field_t *fields, gsize n)
{
  line_write (LEVEL_INFO, part, message, fields, n);
}

void
pu_log_init (void)
{
  if (!started)
    g_log_set_writer_func (writer, NULL, NULL);
  started = true;
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
pu_log_is_on (const char *level)
{
  for (size_t i = 0; i <= level_in_force; i++)
    {
      if (strcmp (levels[i].name, level) == 0)
        return started;
    }
  return false;
}

void
pu_log_flush (void)
{
  pu_log_out_flush ();
}

guint64
pu_log_dropped (void)
{
  return pu_log_out_dropped ();
}

bool
pu_log_limited (guint64 *last, guint64 now_ms, guint64 period_ms)
{
  if (*last != 0 && now_ms - *last < period_ms)
    return false;
  *last = now_ms;
  return true;
}
