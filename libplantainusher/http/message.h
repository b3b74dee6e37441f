#ifndef PU_HTTP_MESSAGE_H
#define PU_HTTP_MESSAGE_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * message - what the server and the client share: a header of a message.
 *
 * Names are compared without regard to case.  Both strings end in NUL and
 * belong to whoever made the header.
 */

typedef struct
{
  const char *name;
  const char *value;
} pu_http_header_t;

G_END_DECLS

#endif
