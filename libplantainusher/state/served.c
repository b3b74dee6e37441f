#include "state/served.h"

#include <stdlib.h>
#include <string.h>

#include "state/codec.h"

/* Real backend servers have an incarnation above 0.  */
#define RECORD_NAME "software-versions:"
#define RECORD_INCARNATION 0

/* The facts of a row, in this order.  */
#define SERVICE_FACT "service:"
#define VERSION_FACT "version:"
#define TIME_FACT "position,wall:"
#define ROW_FACTS 3

struct pu_served
{
  GPtrArray *rows; /* of pu_served_row_t, by position */
};

static void
row_free (gpointer data)
{
  pu_served_row_t *r = data;

  g_free (r->service);
  g_free (r->version);
  g_free (r);
}

pu_served_t *
pu_served_new (void)
{
  pu_served_t *t = g_new0 (pu_served_t, 1);

  t->rows = g_ptr_array_new_with_free_func (row_free);
  return t;
}

void
pu_served_free (pu_served_t *t)
{
  if (t == NULL)
    return;
  g_ptr_array_free (t->rows, TRUE);
  g_free (t);
}

static const pu_served_row_t *
row_at (const pu_served_t *t, guint i)
{
  return g_ptr_array_index (t->rows, i);
}

static void
row_append (pu_served_t *t, const char *service, const char *version,
            uint64_t position, uint64_t wall)
{
  pu_served_row_t *r = g_new0 (pu_served_row_t, 1);

  r->service = g_strdup (service);
  r->version = g_strdup (version);
  r->position = position;
  r->wall = wall;
  g_ptr_array_add (t->rows, r);
}

static void
row_replace (pu_served_t *t, const char *service, const char *version,
             uint64_t position)
{
  for (guint i = 0; i < t->rows->len; i++)
    {
      const pu_served_row_t *r = row_at (t, i);

      if (strcmp (r->service, service) == 0
          && strcmp (r->version, version) == 0)
        {
          g_ptr_array_remove_index (t->rows, i);
          break;
        }
    }
  row_append (t, service, version, position, 0);
}

/* Returns the number of known versions of SERVICE, and sets *OLDEST to the
   index of the first.  */
static guint
versions_count (const pu_served_t *t, const char *service, guint *oldest)
{
  guint n = 0;

  for (guint i = t->rows->len; i-- > 0;)
    {
      const pu_served_row_t *r = row_at (t, i);

      if (strcmp (r->service, service) != 0 || *r->version == '\0')
        continue;
      n++;
      *oldest = i;
    }
  return n;
}

/* Returns the index of the oldest row that is of one service.  */
static guint
oldest_of_a_service (const pu_served_t *t)
{
  guint i = 0;

  while (*row_at (t, i)->service == '\0')
    i++;
  return i;
}

void
pu_served_add (pu_served_t *t, const char *service, const char *version,
               uint64_t position)
{
  guint oldest = 0;

  row_replace (t, service, version, position);
  if (versions_count (t, service, &oldest) > PU_SERVED_SERVICE_MAX)
    {
      g_ptr_array_remove_index (t->rows, oldest);
      row_replace (t, service, "", position);
    }
  while (t->rows->len > PU_SERVED_MAX)
    {
      g_ptr_array_remove_index (t->rows, oldest_of_a_service (t));
      pu_served_set_unknown (t, position);
    }
}

void
pu_served_set_unknown (pu_served_t *t, uint64_t position)
{
  row_replace (t, "", "", position);
}

void
pu_served_set_time (pu_served_t *t, uint64_t wall)
{
  for (guint i = t->rows->len; i-- > 0;)
    {
      pu_served_row_t *r = g_ptr_array_index (t->rows, i);

      if (r->wall == 0)
        {
          r->wall = wall;
        }
      else if (wall >= r->wall && wall - r->wall >= PU_SERVED_LIFE_MS)
        {
          g_ptr_array_remove_index (t->rows, i);
        }
    }
}

bool
pu_served_lacks_time (const pu_served_t *t)
{
  for (guint i = 0; i < t->rows->len; i++)
    {
      if (row_at (t, i)->wall == 0)
        return true;
    }
  return false;
}

void
pu_served_each (const pu_served_t *t, pu_served_fn *fn, void *data)
{
  for (guint i = 0; i < t->rows->len; i++)
    fn (row_at (t, i), data);
}

/* --- the record in an image --- */

static void
fact_set (pu_copy_record *c, const char *name, const char *value)
{
  c->model = (char *)name;
  c->model_version = (char *)value;
  c->phase = PU_COPY_DRAINING;
}

pu_backend_record *
pu_served_to_record (const pu_served_t *t, uint64_t position)
{
  guint n = t->rows->len;
  pu_copy_record *facts = g_new0 (pu_copy_record, (gsize)n * ROW_FACTS + 1);
  GPtrArray *times = g_ptr_array_new_with_free_func (g_free);
  pu_backend_record b = { .name = (char *)RECORD_NAME,
                          .incarnation = RECORD_INCARNATION,
                          .kind = PU_BACKEND_PLAIN,
                          .service = (char *)"",
                          .address = (char *)"",
                          .region = (char *)"",
                          .zone = (char *)"",
                          .leaving = TRUE,
                          .down = TRUE,
                          .seq = position };
  pu_backend_record *copy;

  for (guint i = 0; i < n; i++)
    {
      const pu_served_row_t *r = row_at (t, i);
      pu_copy_record *c = &facts[(gsize)i * ROW_FACTS];
      char *time = g_strdup_printf ("%" G_GUINT64_FORMAT ",%" G_GUINT64_FORMAT,
                                    r->position, r->wall);

      g_ptr_array_add (times, time);
      fact_set (&c[0], SERVICE_FACT, r->service);
      fact_set (&c[1], VERSION_FACT, r->version);
      fact_set (&c[2], TIME_FACT, time);
    }
  b.copies.copies_val = facts;
  b.copies.copies_len = n * ROW_FACTS;
  copy = pu_codec_clone ((xdrproc_t)xdr_pu_backend_record, &b, sizeof b);
  g_ptr_array_free (times, TRUE);
  g_free (facts);
  return copy;
}

bool
pu_served_is_record (const pu_backend_record *b)
{
  return b->incarnation == RECORD_INCARNATION && b->down
         && strcmp (b->name, RECORD_NAME) == 0;
}

/* Appends the row of the ROW_FACTS facts at C.  */
static bool
row_load (pu_served_t *t, const pu_copy_record *c)
{
  uint64_t position;
  uint64_t wall;
  char *end;

  if (strcmp (c[0].model, SERVICE_FACT) != 0
      || strcmp (c[1].model, VERSION_FACT) != 0
      || strcmp (c[2].model, TIME_FACT) != 0)
    return false;
  position = g_ascii_strtoull (c[2].model_version, &end, 10);
  if (*end != ',')
    return false;
  wall = g_ascii_strtoull (end + 1, &end, 10);
  if (*end != '\0')
    return false;
  row_append (t, c[0].model_version, c[1].model_version, position, wall);
  return true;
}

bool
pu_served_load (pu_served_t *t, const pu_backend_record *b, uint64_t position)
{
  u_int n = b->copies.copies_len;
  bool ok = b->seq == position && n % ROW_FACTS == 0
            && n / ROW_FACTS <= PU_SERVED_MAX;

  g_ptr_array_set_size (t->rows, 0);
  for (u_int i = 0; ok && i < n; i += ROW_FACTS)
    ok = row_load (t, &b->copies.copies_val[i]);
  if (!ok)
    g_ptr_array_set_size (t->rows, 0);
  return ok;
}
