#include "entry/entry_private.h"

#include <math.h>
#include <string.h>

#include "base/json.h"

#define MS_PER_S 1000

const pu_refusal_t pu_refusal_denied
    = { 401, "unauthorized", PU_RUN_OUTCOME_NOT_RUN, 0 };

static const char *const outcome_names[] = {
  [PU_RUN_OUTCOME_NOT_RUN] = "not-run",
  [PU_RUN_OUTCOME_RAN] = "ran",
  [PU_RUN_OUTCOME_UNKNOWN] = "unknown",
};

const char *
pu_run_outcome_name (pu_run_outcome_t o)
{
  return outcome_names[o];
}

char *
pu_error_json_text (const pu_refusal_t *r, const char *message)
{
  /* The message may quote the caller's input, which may be invalid UTF-8.  */
  char *valid = g_utf8_make_valid (message, -1);
  char *text = pu_json_line (
      json_pack ("{s:{s:s, s:s, s:s}}", "error", "message", valid, "type",
                 r->type, "outcome", pu_run_outcome_name (r->outcome)));

  g_free (valid);
  return text;
}

void
pu_respond_json (pu_http_request_t *http, int status, json_t *v)
{
  static const pu_http_header_t headers[]
      = { { "content-type", "application/json" },
          { "cache-control", "no-store" } };
  char *text = pu_json_line (v);

  pu_http_respond (http, status, headers, G_N_ELEMENTS (headers), text,
                   strlen (text));
  g_free (text);
}

void
pu_respond_error (pu_http_request_t *http, const char *id,
                  const pu_refusal_t *r, const char *message)
{
  pu_http_header_t headers[6]
      = { { "content-type", "application/json" },
          { "cache-control", "no-store" },
          { "x-outcome", pu_run_outcome_name (r->outcome) } };
  gsize n = 3;
  char seconds[16];
  char milliseconds[16];
  char *text = pu_error_json_text (r, message);

  if (id != NULL)
    headers[n++] = (pu_http_header_t){ "x-request-id", id };
  if (r->retry_after_ms > 0)
    {
      g_snprintf (seconds, sizeof seconds, "%u",
                  (r->retry_after_ms + MS_PER_S - 1) / MS_PER_S);
      headers[n++] = (pu_http_header_t){ "retry-after", seconds };
      g_snprintf (milliseconds, sizeof milliseconds, "%u", r->retry_after_ms);
      headers[n++] = (pu_http_header_t){ "x-retry-after-ms", milliseconds };
    }
  pu_http_respond (http, r->status, headers, n, text, strlen (text));
  g_free (text);
}
