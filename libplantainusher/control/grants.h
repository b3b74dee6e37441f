#ifndef PU_CONTROL_GRANTS_H
#define PU_CONTROL_GRANTS_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * grants - the requests that entries may send to backend servers which limit
 * their rate.
 *
 * Load pattern: any number of entries send requests to a backend server that
 * takes a few requests per second from all of them together.  A share of the
 * limit for each entry would be less than one request, so the leader grants
 * requests one by one, or a few at a time where the limit is high.
 *
 * A grant of N requests delays the next one by the time in which the limit
 * allows N requests.  No rate is saved up for later but that of one request,
 * so that in any time T no more than T * limit + 2 * N requests are granted.
 *
 * An entry that gets nothing, or has had a grant, is told when to ask again:
 * entries that want the same server come back one after the other, so that
 * they ask about once for each grant, and once a second each, however many
 * they are.
 *
 * Times are monotonic milliseconds.
 */

typedef struct pu_grants pu_grants_t;

/* What an entry knows of a backend server, and what it asks for.  */
typedef struct
{
  const char *server;
  guint64 incarnation;
  double limit_per_s; /* as last stated by the server; 0: it states none */
  guint64 age_ms;     /* since that statement */
  guint wanted;       /* requests that wait; 0: only the limit is reported */
} pu_grant_request_t;

typedef struct
{
  guint granted;
  guint next_ms; /* time until the entry should ask again */
  bool ended;    /* the server has stated since that there is no limit */
} pu_grant_t;

pu_grants_t *pu_grants_new (void);
void pu_grants_free (pu_grants_t *g);

/* pu_grants_take - decides on Q at NOW.  The newest statement of the server
   that any entry has reported is what counts.  */
pu_grant_t pu_grants_take (pu_grants_t *g, const pu_grant_request_t *q,
                           guint64 now);

/* pu_grant_terms_write - returns the text of the limit, the age and the wanted
   requests of Q, as daemons exchange it.  Free it with g_free.  */
char *pu_grant_terms_write (const pu_grant_request_t *q);

/* pu_grant_terms_read - sets the limit, the age and the wanted requests of Q
   from TEXT.  Returns false if TEXT is invalid.  */
bool pu_grant_terms_read (pu_grant_request_t *q, const char *text);

/* pu_grants_count - returns the number of backend servers in G.  */
guint pu_grants_count (const pu_grants_t *g);

G_END_DECLS

#endif
