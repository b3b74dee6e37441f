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

/* pu_http_headers_new - an array of pu_http_header_t that owns their strings,
   which are GLib's.  */
GArray *pu_http_headers_new (void);

/* pu_http_list_has - whether VALUE, a list separated by commas, has WORD, in
   letters of either case; a VALUE of NULL has none.  */
bool pu_http_list_has (const char *value, const char *word);

/* pu_http_list_number - the number N of the member "NAME=N" of VALUE, a list
   separated by commas; 0 when there is none, or no whole number from 1 to
   2^31 - 1.  */
guint pu_http_list_number (const char *value, const char *name);

/* pu_http_header_is_passed - whether a relay passes the header NAME on: false
   for those that concern one connection, or the framing of one message.  */
bool pu_http_header_is_passed (const char *name);

/* pu_http_header_is_ours - whether our server sets the header NAME of an
   answer by itself.  */
bool pu_http_header_is_ours (const char *name);

G_END_DECLS

#endif
