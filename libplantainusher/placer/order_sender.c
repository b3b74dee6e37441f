#include "placer/order_sender.h"

#include <jansson.h>
#include <string.h>

#include "base/json.h"
#include "http/fetch.h"

#define ORDERS_PATH "/control/orders"
#define ANSWER_MAX_BYTES 4096
#define STATUS_OK 200
#define STATUS_ACCEPTED 202
#define STATUS_CONFLICT 409
#define STATUS_NO_MEMORY 507

struct pu_order_sender
{
  pu_order_sender_options_t o;
  pu_http_client_t *client;
  GHashTable *in_flight; /* set of in_flight_t */
};

typedef struct
{
  pu_order_sender_t *sender;
  pu_http_fetch_t *fetch;
  guint64 token;
  guint64 deadline; /* end of the transit time, ms */
} in_flight_t;

pu_order_sender_t *
pu_order_sender_new (const pu_order_sender_options_t *o)
{
  pu_order_sender_t *s = g_new0 (pu_order_sender_t, 1);
  pu_http_client_options_t c = { 0 };

  s->o = *o;
  c.loop = o->loop;
  c.connect_timeout_ms = o->connect_ms;
  c.first_byte_timeout_ms = o->transit_ms;
  c.progress_timeout_ms = o->transit_ms;
  s->client = pu_http_client_new (&c);
  s->in_flight = g_hash_table_new_full (NULL, NULL, g_free, NULL);
  return s;
}

void
pu_order_sender_cancel_all (pu_order_sender_t *s)
{
  GHashTableIter i;
  gpointer key;

  g_hash_table_iter_init (&i, s->in_flight);
  while (g_hash_table_iter_next (&i, &key, NULL))
    {
      pu_http_fetch_cancel (((in_flight_t *)key)->fetch);
      g_hash_table_iter_remove (&i);
    }
}

void
pu_order_sender_free (pu_order_sender_t *s)
{
  if (s == NULL)
    return;
  pu_order_sender_cancel_all (s);
  pu_http_client_free (s->client);
  g_hash_table_unref (s->in_flight);
  g_free (s);
}

static pu_orders_answer_t
answer_of_result (const pu_http_fetched_t *f)
{
  if (!pu_http_fetched_in_order (f))
    return PU_ORDERS_LOST;
  switch (f->response->status)
    {
    case STATUS_OK:
    case STATUS_ACCEPTED:
      return PU_ORDERS_ACCEPTED;
    case STATUS_CONFLICT:
      return PU_ORDERS_STALE_TOKEN;
    case STATUS_NO_MEMORY:
      return PU_ORDERS_NO_MEMORY;
    default:
      return PU_ORDERS_REFUSED;
    }
}

static void
on_fetched (void *data, const pu_http_fetched_t *f)
{
  in_flight_t *n = data;
  pu_order_sender_t *s = n->sender;
  guint64 token = n->token;

  g_hash_table_remove (s->in_flight, n);
  s->o.answer (s->o.data, token, answer_of_result (f));
}

static GBytes *
order_body (const pu_order_record *o)
{
  json_t *body = json_pack (
      "{s:I, s:s, s:s, s:s, s:I}", "token", (json_int_t)o->token, "kind",
      o->kind == PU_ORDER_LOAD ? "load" : "unload", "model", o->model,
      "version", o->model_version, "memory_mb", (json_int_t)o->memory_mb);
  char *text = pu_json_line (body);

  return g_bytes_new_take (text, strlen (text));
}

bool
pu_order_sender_send (pu_order_sender_t *s, const char *address,
                      const pu_order_record *o, guint64 now)
{
  static const pu_http_header_t type = { "Content-Type", "application/json" };
  pu_http_call_options_t call = { 0 };
  in_flight_t *n = g_new0 (in_flight_t, 1);

  n->sender = s;
  n->token = o->token;
  n->deadline = now + s->o.transit_ms;
  call.address = address;
  call.method = "POST";
  call.target = ORDERS_PATH;
  call.headers = &type;
  call.header_count = 1;
  call.body = order_body (o);
  call.fresh = true;
  call.reset = true;
  n->fetch = pu_http_fetch (s->client, &call, ANSWER_MAX_BYTES, on_fetched, n,
                            NULL);
  g_bytes_unref (call.body);
  if (n->fetch == NULL)
    {
      g_free (n);
      return false;
    }
  g_hash_table_add (s->in_flight, n);
  return true;
}

void
pu_order_sender_expire (pu_order_sender_t *s, guint64 now)
{
  GArray *lost = g_array_new (FALSE, FALSE, sizeof (guint64));
  GHashTableIter i;
  gpointer key;

  g_hash_table_iter_init (&i, s->in_flight);
  while (g_hash_table_iter_next (&i, &key, NULL))
    {
      const in_flight_t *n = key;

      if (now < n->deadline)
        continue;
      g_array_append_val (lost, n->token);
      pu_http_fetch_cancel (n->fetch);
      g_hash_table_iter_remove (&i);
    }
  for (guint k = 0; k < lost->len; k++)
    s->o.answer (s->o.data, g_array_index (lost, guint64, k), PU_ORDERS_LOST);
  g_array_unref (lost);
}

guint
pu_order_sender_in_flight (const pu_order_sender_t *s)
{
  return g_hash_table_size (s->in_flight);
}
