#ifndef PU_ENTRY_TEAM_H
#define PU_ENTRY_TEAM_H

#include "document/document.h"
#include "entry/request.h"
#include "http/server.h"

G_BEGIN_DECLS

/*
 * team - the team of a request: its key, its priority and what the request
 * counts as towards its allowance.  Frontends call this while they read a
 * request.
 */

/* pu_team_identify - finds the team of Q by the key that HTTP states in one
   Authorization header of the scheme SCHEME (any case, then one space), and
   sets q->team and q->team_checked.  Does nothing where D has no teams, and
   where q->team_checked is set, because another entry has done this.  Returns
   false if Q must be refused for its key; a request to a route with
   PUBLIC_ACCESS is never refused, and costs no allowance.  */
bool pu_team_identify (pu_request_t *q, const pu_document_t *d,
                       pu_http_request_t *http, const char *scheme,
                       bool public_access);

/* pu_team_of - returns the team of Q in D, or PU_HANDLE_NONE if Q has none or
   D does not declare it.  */
pu_team_handle_t pu_team_of (const pu_request_t *q, const pu_document_t *d);

/* pu_team_set_cost - sets q->team_cost and q->team_tokens for a request that
   states TOKENS (0: none); both are 0 if nothing is to be taken from an
   allowance.  */
void pu_team_set_cost (pu_request_t *q, const pu_document_t *d,
                       guint64 tokens);

/* pu_team_read_relay - reads the team of Q from the header
   PU_TEAM_RELAY_HEADER of HTTP, which another entry relayed.  A relay without
   that header, or with an invalid one, leaves Q as it is: its key is checked
   as that of a caller.  */
#define PU_TEAM_RELAY_HEADER "X-Relay-Team"
void pu_team_read_relay (pu_request_t *q, pu_http_request_t *http);

/* pu_team_relay_value - returns the value of PU_TEAM_RELAY_HEADER for Q, ""
   for a request of no team, or NULL if Q must be relayed without it.  Free it
   with g_free.  */
char *pu_team_relay_value (const pu_request_t *q);

/* pu_team_is_own_header - whether callers' headers called NAME are not
   forwarded, because Q was checked for its team: the one with the key, and
   TEAM, which tells backend servers the team.  */
bool pu_team_is_own_header (const pu_request_t *q, const char *name,
                            const char *team);

G_END_DECLS

#endif
