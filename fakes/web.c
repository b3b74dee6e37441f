#include "web.h"

#include <stdlib.h>
#include <string.h>

#include "run.h"

#define CONNECTIONS_MAX 16384
#define IDLE_MS 120000

void
web_listen (uv_loop_t *loop, const char *address, web_handler_t handler,
            void *data)
{
  char **parts = g_strsplit (address, ":", 2);
  pu_http_server_options_t o = { .loop = loop,
                                 .connections_max = CONNECTIONS_MAX,
                                 .idle_ms = IDLE_MS,
                                 .handler = handler,
                                 .data = data };
  pu_error_t e = { 0 };

  if (g_strv_length (parts) != 2)
    fake_run_fail ("--listen: not host:port");
  o.host = parts[0];
  o.port = (int)g_ascii_strtoll (parts[1], NULL, 10);
  if (pu_http_server_new (&o, &e) == NULL)
    fake_run_fail (e.message);
  g_strfreev (parts);
}

void
web_answer (pu_http_request_t *r, int status, const char *outcome,
            json_t *root)
{
  const char *id = pu_http_request_header (r, "x-request-id");
  char *body = json_dumps (root, JSON_COMPACT | JSON_SORT_KEYS);
  pu_http_header_t headers[3] = { { "content-type", "application/json" } };
  gsize n = 1;

  if (id != NULL)
    headers[n++] = (pu_http_header_t){ "x-request-id", id };
  if (outcome != NULL)
    headers[n++] = (pu_http_header_t){ "x-outcome", outcome };
  pu_http_respond (r, status, headers, n, body, strlen (body));
  free (body);
  json_decref (root);
}

void
web_on_fault (pu_http_request_t *r, fake_faults_t *f)
{
  gsize len;
  const char *body = pu_http_request_body (r, &len);
  guint64 connection = pu_http_request_connection (r);
  bool good = fake_faults_set (f, body, len, connection);

  web_answer (r, good ? 200 : 400, NULL, json_object ());
}

bool
web_is_silent (const pu_http_request_t *r, const fake_faults_t *f)
{
  const fake_fault_t *one = fake_faults_on (f, FAKE_SILENT);

  return one != NULL && pu_http_request_connection (r) <= one->connection;
}

void
web_on_gone (pu_http_request_t *r, void (*cb) (void *data), void *data)
{
  pu_http_request_events_t events = { .on_gone = cb };

  pu_http_request_watch (r, &events, data);
}
