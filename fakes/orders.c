#include "orders.h"

#include <string.h>

#include "web.h"

struct fake_orders
{
  uv_loop_t *loop;
  fake_memory_t *memory;
  fake_faults_t *faults;
};

typedef struct
{
  fake_orders_t *orders;
  uv_timer_t timer;
  pu_http_request_t *request; /* NULL when the sender has gone */
  json_t *body;
} late_t;

fake_orders_t *
fake_orders_new (uv_loop_t *loop, fake_memory_t *memory, fake_faults_t *faults)
{
  fake_orders_t *s = g_new0 (fake_orders_t, 1);

  s->loop = loop;
  s->memory = memory;
  s->faults = faults;
  return s;
}

static int
carry_out (fake_orders_t *s, json_t *body)
{
  const char *kind = "";
  const char *model = NULL;
  const char *version = "1";
  json_int_t token = 0;
  json_int_t memory = 0;
  fake_order_t o = { 0 };

  if (json_unpack (body, "{s:I, s:s, s:s, s?s, s?I}", "token", &token, "kind",
                   &kind, "model", &model, "version", &version, "memory_mb",
                   &memory)
      != 0)
    return 400;
  o.token = (guint64)token;
  o.load = strcmp (kind, "load") == 0;
  o.model = model;
  o.version = version;
  o.memory_mb = (guint)memory;
  if (fake_faults_take (s->faults, FAKE_FORGET_ORDERS) != NULL)
    return 202;
  o.will_fail = o.load && fake_faults_take (s->faults, FAKE_LOAD_FAIL) != NULL;
  return fake_memory_order (s->memory, &o, uv_now (s->loop));
}

static void
answer (fake_orders_t *s, pu_http_request_t *r, int status)
{
  json_int_t token = (json_int_t)fake_memory_token (s->memory);

  web_answer (r, status, NULL, json_pack ("{s:I}", "token", token));
}

static void
on_late_gone (void *data)
{
  ((late_t *)data)->request = NULL;
}

static void
on_late_close (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
on_late (uv_timer_t *timer)
{
  late_t *late = timer->data;
  int status = carry_out (late->orders, late->body);

  if (late->request != NULL)
    answer (late->orders, late->request, status);
  json_decref (late->body);
  uv_close ((uv_handle_t *)timer, on_late_close);
}

static void
take_later (fake_orders_t *s, pu_http_request_t *r, json_t *body, guint ms)
{
  late_t *late = g_new0 (late_t, 1);

  late->orders = s;
  late->request = r;
  late->body = json_incref (body);
  web_on_gone (r, on_late_gone, late);
  uv_timer_init (s->loop, &late->timer);
  late->timer.data = late;
  uv_timer_start (&late->timer, on_late, ms, 0);
}

void
fake_orders_take (fake_orders_t *s, pu_http_request_t *r)
{
  gsize len;
  const char *text = pu_http_request_body (r, &len);
  json_t *body;
  const fake_fault_t *late;

  if (fake_faults_take (s->faults, FAKE_LOSE_ORDERS) != NULL)
    return;
  body = json_loadb (text, len, 0, NULL);
  late = fake_faults_take (s->faults, FAKE_LATE_ORDERS);
  if (late != NULL)
    {
      take_later (s, r, body, late->ms);
    }
  else
    {
      answer (s, r, carry_out (s, body));
    }
  json_decref (body);
}
