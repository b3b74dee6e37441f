#ifndef PU_BASE_ERROR_H
#define PU_BASE_ERROR_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * error - what went wrong, passed down by the caller and filled by the callee.
 *
 * A function that can fail takes a `pu_error_t *e` as its last argument,
 * returns false (or NULL) and fills it.  `e` may be NULL when the caller does
 * not care.  The message is one short sentence without a final newline.
 */

typedef enum
{
  PU_OK,
  PU_ERROR_INVALID,     /* input that breaks a rule */
  PU_ERROR_NOT_FOUND,   /* a name that is not declared */
  PU_ERROR_CONFLICT,    /* another change was first */
  PU_ERROR_UNAVAILABLE, /* no quorum, no connection, not the leader */
  PU_ERROR_TIMEOUT,     /* no answer in time; the outcome is not known */
  PU_ERROR_TOO_LARGE,   /* over a size limit */
  PU_ERROR_DENIED,      /* a missing or wrong key */
  PU_ERROR_IO,          /* the operating system refused */
  PU_ERROR_CORRUPT,     /* a checksum or a format does not hold */
} pu_error_kind_t;

#define PU_ERROR_MESSAGE_MAX 256

typedef struct
{
  pu_error_kind_t kind;
  char message[PU_ERROR_MESSAGE_MAX];
} pu_error_t;

/* pu_error_set - fills E with KIND and a printf-style message.  Always
   returns false, so that a function can end in `return pu_error_set (...)`. */
bool pu_error_set (pu_error_t *e, pu_error_kind_t kind, const char *format,
                   ...) G_GNUC_PRINTF (3, 4);

/* pu_error_kind_name - the lower-case name of KIND, such as "conflict".  */
const char *pu_error_kind_name (pu_error_kind_t kind);

G_END_DECLS

#endif
