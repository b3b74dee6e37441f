#ifndef PU_HTTP_KHASH_H
#define PU_HTTP_KHASH_H

#include <stdint.h>

/*
 * khash - what h2o/http2_internal.h needs of a header that Debian's libh2o-dev
 * lacks, so that the header compiles.
 *
 * The table of streams stays opaque: h2o itself walks it (foreach_request).
 * The one function of the header that looks into it must not be used.
 */

#define KHASH_MAP_INIT_INT64(name, type)                                      \
  typedef struct kh_##name kh_##name##_t;
#define khash_t(name) kh_##name##_t
#define kh_get(name, table, key) ((void)(table), (void)(key), 0)
#define kh_end(table) 0
#define kh_val(table, i) NULL

typedef uint32_t khiter_t;

#endif
