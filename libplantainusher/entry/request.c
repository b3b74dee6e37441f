#include "entry/request.h"

void
pu_request_add_header (pu_request_t *q, const char *name, const char *value)
{
  g_ptr_array_add (q->headers, g_strdup (name));
  g_ptr_array_add (q->headers, g_strdup (value));
}

bool
pu_header_is_of_relay (const char *name)
{
  static const char prefix[] = "X-Relay-";

  return g_ascii_strncasecmp (name, prefix, sizeof prefix - 1) == 0;
}

void
pu_request_init (pu_request_t *q)
{
  *q = (pu_request_t){ .headers = g_ptr_array_new_with_free_func (g_free) };
}

void
pu_request_clear (pu_request_t *q)
{
  g_free (q->id);
  g_free (q->method);
  g_free (q->target);
  g_free (q->service);
  g_free (q->route);
  g_free (q->model);
  g_free (q->resumes);
  g_free (q->team);
  g_ptr_array_free (q->headers, TRUE);
  g_clear_pointer (&q->body, g_bytes_unref);
}
