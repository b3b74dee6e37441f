/* Streams and the software versions of backend servers.  */

#include "entry/entry_private.h"

#include <string.h>

/* The version of backend servers that state none to the built-in frontend,
   where that is optional: they are taken to be alike.  */
#define UNSTATED_VERSION "unstated"

const char *
pu_server_software (const pu_server_t *s)
{
  if (*s->software == '\0' && !s->software_disputed
      && pu_entry_uses_builtin_frontend (s->en))
    return UNSTATED_VERSION;
  return s->software;
}

char *
pu_software_encode (const char *version)
{
  return g_uri_escape_string (version, NULL, FALSE);
}

char *
pu_software_decode (const char *value)
{
  return value != NULL ? g_uri_unescape_string (value, NULL) : NULL;
}

/* Returns the software version of the backend server of X's attempt, or "" if
   it is not known.  */
static const char *
attempt_software (const pu_exchange_t *x)
{
  const pu_server_t *s = x->at.server;

  if (s == NULL || x->at.software != NULL)
    return x->at.software != NULL ? x->at.software : "";
  return s->incarnation == x->at.incarnation ? pu_server_software (s) : "";
}

void
pu_software_begin (pu_exchange_t *x)
{
  if (x->software != NULL)
    return;
  x->software = g_strdup (attempt_software (x));
  pu_origin_note_begin (x);
  if (x->ticket != 0)
    pu_router_set_software (x->en->router, x->ticket, x->software);
}

bool
pu_software_fits (const pu_exchange_t *x)
{
  return x->software == NULL
         || strcmp (x->software, attempt_software (x)) == 0;
}
