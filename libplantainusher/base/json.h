#ifndef PU_BASE_JSON_H
#define PU_BASE_JSON_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/findings.h"

G_BEGIN_DECLS

/*
 * json - loading JSON text, reading it into structs by tables, differences.
 *
 * A schema is a constant table of fields: name, type, offset in a struct,
 * range, unit and default.  One reader checks a value against it, collects a
 * finding for each fault with its JSON pointer, and fills the struct; one
 * writer turns the struct back into JSON.
 */

/* At most this many findings come from one pu_json_read.  */
#define PU_JSON_FINDINGS_MAX 200

/* pu_json_load_document - parses LEN bytes of strict JSON, at most MAX long;
   a doubled key is refused.  Returns a new value or NULL with a finding that
   has line and column.  */
json_t *pu_json_load_document (const char *text, size_t len, size_t max,
                               pu_findings_t *f);

/* pu_json_load_keyed - the same, but a finding does not quote the text if it
   names SECRET, a member that holds keys.  */
json_t *pu_json_load_keyed (const char *text, size_t len, size_t max,
                            const char *secret, pu_findings_t *f);

/* pu_json_load_settings - the same for JSON with `//` and block comments and
   a comma after the last entry.  */
json_t *pu_json_load_settings (const char *text, size_t len, size_t max,
                               pu_findings_t *f);

/* pu_json_text - VALUE as text with sorted keys, an indent of two and a final
   newline; numbers with 15 significant digits.  The caller frees it.  */
char *pu_json_text (const json_t *value);

/* pu_json_line - VALUE, which is consumed, as compact text without a line
   end.  */
char *pu_json_line (json_t *value);

/* The memory of what pu_json_read fills in; freed as a whole.  */
typedef struct pu_json_arena pu_json_arena_t;

pu_json_arena_t *pu_json_arena_new (void);
void pu_json_arena_free (pu_json_arena_t *a);
/* pu_json_arena_alloc - SIZE zeroed bytes that live as long as A.  */
void *pu_json_arena_alloc (pu_json_arena_t *a, size_t size);
/* pu_json_arena_string - a copy of S, one for all equal strings.  */
const char *pu_json_arena_string (pu_json_arena_t *a, const char *s);

/* A list of strings.  */
typedef struct
{
  const char **items;
  guint n;
} pu_json_strings_t;

/* The rows of a map or a list of objects; each is a struct of the row's
   schema.  Rows of a map are sorted by their key.  */
typedef struct
{
  void *items;
  guint n;
} pu_json_rows_t;

typedef enum
{
  PU_FIELD_STRING,  /* const char *; "" when left out */
  PU_FIELD_WORD,    /* guint32: index into words */
  PU_FIELD_INT,     /* guint32 */
  PU_FIELD_NUMBER,  /* double; also from a whole number */
  PU_FIELD_BOOL,    /* bool */
  PU_FIELD_STRINGS, /* pu_json_strings_t; a doubled entry is refused */
  PU_FIELD_OBJECT,  /* a struct in the struct */
  PU_FIELD_MAP,     /* pu_json_rows_t: an object of objects, keyed by name */
  PU_FIELD_LIST     /* pu_json_rows_t: an array of objects */
} pu_field_type_t;

typedef enum
{
  PU_FIELD_REQUIRED = 1,
  PU_FIELD_SECRET = 2,    /* written as PU_JSON_HIDDEN */
  PU_FIELD_ROUND_DOWN = 4 /* PU_FIELD_INT: takes a fraction, rounded down */
} pu_field_flags_t;

#define PU_JSON_HIDDEN "(hidden)"

/* A check of a string: NULL when it is good, else what is wrong with it, as
   the end of a sentence that starts with the value's place.  */
typedef const char *(*pu_string_check_t) (const char *s);

typedef struct pu_schema pu_schema_t;

typedef struct
{
  const char *name;
  pu_field_type_t type;
  guint flags;   /* pu_field_flags_t */
  size_t offset; /* in the struct */
  double min;    /* numbers: least value; strings, lists: least length */
  double max;    /* numbers: most; strings (bytes), lists, maps: most length */
  double fallback;           /* numbers, words, bools when left out */
  const char *text_fallback; /* strings when left out; NULL: "" */
  const char *unit;          /* of a number, for messages; NULL: none */
  const char *const *words;  /* PU_FIELD_WORD: ends with NULL */
  pu_string_check_t check;   /* each string; NULL: none */
  const pu_schema_t *schema; /* objects, maps, lists */
} pu_field_t;

struct pu_schema
{
  const pu_field_t *fields;
  size_t n;
  size_t size;                 /* of the struct */
  size_t key_offset;           /* rows of a map: where the key goes */
  pu_string_check_t key_check; /* rows of a map; NULL: none */
};

/* pu_json_read - checks VALUE against SCHEMA and fills OUT, a zeroed struct
   of its size, with memory from A.  Returns whether it added no finding to F;
   OUT is whole (with defaults) in either case.  */
bool pu_json_read (const json_t *value, const pu_schema_t *schema, void *out,
                   pu_json_arena_t *a, pu_findings_t *f);

/* pu_json_write - the struct IN as a new JSON object with every field; with
   HIDE, secrets are replaced.  */
json_t *pu_json_write (const pu_schema_t *schema, const void *in, bool hide);

/* pu_json_nearest - up to MAX of the N names nearest to NAME by edit
   distance, nearest first, as "a, b"; "" when none is near.  The caller frees
   it.  */
char *pu_json_nearest (const char *name, const char *const *names, size_t n,
                       size_t max);

/* pu_json_check_name - a pu_string_check_t: 1 to PU_JSON_NAME_MAX of a-z, 0-9,
   '.', '_' and '-'.  */
#define PU_JSON_NAME_MAX ((size_t)64)
const char *pu_json_check_name (const char *s);

/* pu_json_diff - the difference of two values (NULL for none) as a new array
   of {"path","kind","old","new"}; see pu_document_diff.  */
json_t *pu_json_diff (const json_t *older, const json_t *newer);

/* pu_json_path_append - appends "/KEY" to the JSON pointer PATH, escaped; a
   very long key is cut.  */
void pu_json_path_append (GString *path, const char *key);

/* pu_json_locate - sets line and column of the findings in F that have none:
   those of the value at the path of the finding in TEXT, which is valid JSON,
   or of the nearest value that holds it.  Takes one pass over TEXT.  */
void pu_json_locate (const char *text, size_t len, pu_findings_t *f);

G_END_DECLS

#endif
