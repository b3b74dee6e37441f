#include "daemon/metrics.h"

#include <string.h>

#include "http/server.h"
#include "settings/settings.h"

enum
{
  CONNECTIONS = 8, /* of those that gather, one each */
  STATUS_OK = 200,
  STATUS_NOT_FOUND = 404,
};

struct pu_metrics
{
  pu_http_server_t *server;
  pu_metrics_print_fn *print;
  void *data;
};

static void
on_request (void *data, pu_http_request_t *r)
{
  static const pu_http_header_t headers[]
      = { { "Content-Type", "text/plain; version=0.0.4" } };
  const pu_metrics_t *m = data;
  GString *out = g_string_new (NULL);
  bool known = strcmp (pu_http_request_path (r), "/metrics") == 0
               && strcmp (pu_http_request_method (r), "GET") == 0;

  if (known)
    m->print (out, m->data);
  pu_http_respond (r, known ? STATUS_OK : STATUS_NOT_FOUND, headers,
                   G_N_ELEMENTS (headers), out->str, out->len);
  g_string_free (out, TRUE);
}

pu_metrics_t *
pu_metrics_new (uv_loop_t *loop, const char *address,
                pu_metrics_print_fn *print, void *data, pu_error_t *e)
{
  pu_metrics_t *m = g_new0 (pu_metrics_t, 1);
  char host[PU_SETTINGS_HOST_MAX];
  guint16 port = 0;
  pu_http_server_options_t o = { .loop = loop,
                                 .host = host,
                                 .connections_max = CONNECTIONS,
                                 .handler = on_request,
                                 .data = m };

  m->print = print;
  m->data = data;
  if (pu_settings_split_address (address, host, &port))
    {
      o.port = port;
      m->server = pu_http_server_new (&o, e);
    }
  else
    {
      pu_error_set (e, PU_ERROR_INVALID, "Address %s cannot be read.",
                    address);
    }
  if (m->server != NULL)
    return m;
  g_free (m);
  return NULL;
}

static void
on_stopped (void *data)
{
  pu_metrics_t *m = data;

  pu_http_server_free (m->server);
  g_free (m);
}

void
pu_metrics_free (pu_metrics_t *m)
{
  if (m == NULL)
    return;
  pu_http_server_stop (m->server, on_stopped, m);
  pu_http_server_abort (m->server);
}
