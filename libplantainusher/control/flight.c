#include "control/flight.h"

typedef struct
{
  size_t bytes;
  uint64_t sent_at; /* ms */
} sent_t;

struct pu_flight
{
  GHashTable *readers; /* name -> sent_t */
  size_t bytes_max;
  uint64_t expiry_ms;
  size_t bytes;
};

pu_flight_t *
pu_flight_new (size_t bytes_max, uint64_t expiry_ms)
{
  pu_flight_t *f = g_new0 (pu_flight_t, 1);

  f->readers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  f->bytes_max = bytes_max;
  f->expiry_ms = expiry_ms;
  return f;
}

void
pu_flight_free (pu_flight_t *f)
{
  if (f == NULL)
    return;
  g_hash_table_unref (f->readers);
  g_free (f);
}

bool
pu_flight_admit (pu_flight_t *f, const char *reader, size_t n, uint64_t now)
{
  sent_t *s;

  if (f->bytes > 0 && f->bytes + n > f->bytes_max)
    return false;
  s = g_hash_table_lookup (f->readers, reader);
  if (s == NULL)
    {
      s = g_new0 (sent_t, 1);
      g_hash_table_insert (f->readers, g_strdup (reader), s);
    }
  s->bytes += n;
  s->sent_at = now;
  f->bytes += n;
  return true;
}

bool
pu_flight_receive (pu_flight_t *f, const char *reader)
{
  const sent_t *s = g_hash_table_lookup (f->readers, reader);

  if (s == NULL)
    return false;
  f->bytes -= s->bytes;
  g_hash_table_remove (f->readers, reader);
  return true;
}

bool
pu_flight_expire (pu_flight_t *f, uint64_t now)
{
  GHashTableIter iter;
  gpointer value;
  bool any = false;

  g_hash_table_iter_init (&iter, f->readers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const sent_t *s = value;

      if (now - s->sent_at < f->expiry_ms)
        continue;
      f->bytes -= s->bytes;
      g_hash_table_iter_remove (&iter);
      any = true;
    }
  return any;
}

size_t
pu_flight_bytes (const pu_flight_t *f)
{
  return f->bytes;
}
