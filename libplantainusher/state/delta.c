#include "state/delta.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "state/hunks.h"

/* Appends to TEXT what C has between the common prefix and the common suffix
   with BASE, of BASE_LEN bytes.  */
static bool
append_middle (const pu_submit *c, const char *base, size_t base_len,
               size_t suffix, GString *text)
{
  if ((c->suffix & PU_DELTA_SUFFIX_HUNKS_FLAG) != 0)
    {
      return pu_hunks_apply (c->text, base + c->prefix,
                             base_len - c->prefix - suffix, PU_DOCUMENT_MAX,
                             text);
    }
  g_string_append (text, c->text);
  return true;
}

char *
pu_delta_apply (const pu_state_t *s, const pu_submit *c)
{
  const pu_doc_record *d = pu_state_document (s);
  const char *base = d == NULL ? "" : d->text;
  size_t base_len = strlen (base);
  size_t suffix = c->suffix & ~PU_DELTA_SUFFIX_HUNKS_FLAG;
  GString *text;
  bool ok;

  if (!c->delta)
    return g_strdup (c->text);
  if ((uint64_t)c->prefix + suffix > base_len)
    return NULL;
  text = g_string_new (NULL);
  g_string_append_len (text, base, c->prefix);
  ok = append_middle (c, base, base_len, suffix, text);
  g_string_append (text, base + base_len - suffix);
  if (ok && XXH3_64bits (text->str, text->len) == c->hash)
    return g_string_free (text, FALSE);
  g_string_free (text, TRUE);
  return NULL;
}

uint64_t
pu_delta_target_hash (const pu_submit *c)
{
  return c->delta ? c->hash : XXH3_64bits (c->text, strlen (c->text));
}

static size_t
common_prefix (const char *a, const char *b, size_t max)
{
  size_t n = 0;

  while (n < max && a[n] == b[n])
    n++;
  return n;
}

static size_t
common_suffix (const char *a_end, const char *b_end, size_t max)
{
  size_t n = 0;

  while (n < max && a_end[-(gssize)n - 1] == b_end[-(gssize)n - 1])
    n++;
  return n;
}

/* Replaces C's text by the hunks that make it from BASE, of BASE_LEN bytes,
   when they are shorter.  */
static void
hunks_use_if_shorter (pu_submit *c, const char *base, size_t base_len)
{
  size_t len = strlen (c->text);
  char *hunks = pu_hunks_diff (base, base_len, c->text, len);
  size_t size = strlen (hunks);

  if (size < len)
    {
      memcpy (c->text, hunks, size + 1);
      c->suffix |= PU_DELTA_SUFFIX_HUNKS_FLAG;
    }
  g_free (hunks);
}

void
pu_state_delta_encode_submit (const pu_state_t *s, pu_submit *c)
{
  const pu_doc_record *d = pu_state_document (s);
  size_t base_len;
  size_t new_len;
  size_t max;

  if (d == NULL || c->delta || c->base_version != d->doc_version)
    return;
  base_len = strlen (d->text);
  new_len = strlen (c->text);
  max = MIN (base_len, new_len);
  c->hash = XXH3_64bits (c->text, new_len);
  c->prefix = (u_int)common_prefix (d->text, c->text, max);
  c->suffix = (u_int)common_suffix (d->text + base_len, c->text + new_len,
                                    max - c->prefix);
  c->delta = TRUE;
  /* Removes the common prefix and suffix from the text.  */
  memmove (c->text, c->text + c->prefix, new_len - c->prefix - c->suffix);
  c->text[new_len - c->prefix - c->suffix] = '\0';
  hunks_use_if_shorter (c, d->text + c->prefix,
                        base_len - c->prefix - c->suffix);
}
