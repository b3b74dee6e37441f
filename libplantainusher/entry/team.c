/* The team of a request: its key, its cost, and its header in relays.  */

#include "entry/team.h"

#include <string.h>

#include "base/breaks.h"
#include "base/json.h"

#define KEY_HEADER "Authorization"

/* Returns the only Authorization header of HTTP.  Two of them count as none,
   as it would not be clear which of two teams is charged.  */
static const char *
credentials (pu_http_request_t *http)
{
  const char *found = NULL;

  for (gsize i = 0; i < pu_http_request_header_count (http); i++)
    {
      pu_http_header_t h = pu_http_request_header_at (http, i);

      if (g_ascii_strcasecmp (h.name, KEY_HEADER) != 0)
        continue;
      if (found != NULL)
        return NULL;
      found = h.value;
    }
  return found;
}

static pu_team_handle_t
key_find (const pu_document_t *d, pu_http_request_t *http, const char *scheme)
{
  const char *value = credentials (http);
  gsize n = strlen (scheme);

  /* A malformed key is one that no document holds.  */
  if (value == NULL || g_ascii_strncasecmp (value, scheme, n) != 0
      || value[n] != ' ')
    return PU_HANDLE_NONE;
  return pu_document_find_key (d, value + n + 1, strlen (value + n + 1));
}

bool
pu_team_identify (pu_request_t *q, const pu_document_t *d,
                  pu_http_request_t *http, const char *scheme,
                  bool public_access)
{
  pu_team_handle_t h;

  if (q->team_checked || pu_document_teams (d) == 0)
    return true;
  q->team_checked = true;
  q->team_charged = public_access;
  h = key_find (d, http, scheme);
  if (h != PU_HANDLE_NONE)
    q->team = g_strdup (pu_document_team (d, h)->name);
  return h != PU_HANDLE_NONE || public_access
         || pu_break_active (PU_BREAK_KEY_IGNORED);
}

pu_team_handle_t
pu_team_of (const pu_request_t *q, const pu_document_t *d)
{
  return q->team != NULL ? pu_document_find_team (d, q->team) : PU_HANDLE_NONE;
}

void
pu_team_set_cost (pu_request_t *q, const pu_document_t *d, guint64 tokens)
{
  pu_team_handle_t h = pu_team_of (q, d);

  if (h == PU_HANDLE_NONE || q->team_charged)
    return;
  q->team_cost = pu_team_cost (pu_document_team (d, h), tokens);
  q->team_tokens = tokens;
}

void
pu_team_read_relay (pu_request_t *q, pu_http_request_t *http)
{
  const char *value = pu_http_request_header (http, PU_TEAM_RELAY_HEADER);
  char *team = value != NULL ? g_uri_unescape_string (value, NULL) : NULL;

  if (team == NULL || (*team != '\0' && pu_json_check_name (team) != NULL))
    {
      g_free (team);
      return;
    }
  q->team_checked = true;
  q->team_charged = true;
  if (*team != '\0')
    q->team = g_steal_pointer (&team);
  g_free (team);
}

char *
pu_team_relay_value (const pu_request_t *q)
{
  if (!q->team_checked)
    return NULL;
  return q->team != NULL ? g_uri_escape_string (q->team, NULL, FALSE)
                         : g_strdup ("");
}

bool
pu_team_is_own_header (const pu_request_t *q, const char *name,
                       const char *team)
{
  return q->team_checked
         && ((g_ascii_strcasecmp (name, KEY_HEADER) == 0
              && !pu_break_active (PU_BREAK_KEY_FORWARDED))
             || g_ascii_strcasecmp (name, team) == 0);
}
