#include "state/delta.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "state/hunks.h"

/* Appends what C puts between the PREFIX and the SUFFIX of OLD, of N bytes. */
static bool
append_middle (const pu_submit *c, const char *old, size_t n, size_t suffix,
               GString *text)
{
  if ((c->suffix & PU_DELTA_HUNKS) != 0)
    {
      return pu_hunks_apply (c->text, old + c->prefix, n - c->prefix - suffix,
                             PU_DOCUMENT_MAX, text);
    }
  g_string_append (text, c->text);
  return true;
}

char *
pu_delta_text (const pu_state_t *s, const pu_submit *c)
{
  const pu_doc_record *d = pu_state_document (s);
  const char *old = d == NULL ? "" : d->text;
  size_t n = strlen (old);
  size_t suffix = c->suffix & ~PU_DELTA_HUNKS;
  GString *text;
  bool good;

  if (!c->delta)
    return g_strdup (c->text);
  if ((uint64_t)c->prefix + suffix > n)
    return NULL;
  text = g_string_new (NULL);
  g_string_append_len (text, old, c->prefix);
  good = append_middle (c, old, n, suffix, text);
  g_string_append (text, old + n - suffix);
  if (good && XXH3_64bits (text->str, text->len) == c->hash)
    return g_string_free (text, FALSE);
  g_string_free (text, TRUE);
  return NULL;
}

uint64_t
pu_delta_hash (const pu_submit *c)
{
  return c->delta ? c->hash : XXH3_64bits (c->text, strlen (c->text));
}

static size_t
common_prefix (const char *a, const char *b, size_t most)
{
  size_t n = 0;

  while (n < most && a[n] == b[n])
    n++;
  return n;
}

static size_t
common_suffix (const char *a_end, const char *b_end, size_t most)
{
  size_t n = 0;

  while (n < most && a_end[-(gssize)n - 1] == b_end[-(gssize)n - 1])
    n++;
  return n;
}

/* Puts hunks of OLD, of N bytes, in place of C's text where they are
   shorter.  */
static void
shrink_middle (pu_submit *c, const char *old, size_t n)
{
  size_t len = strlen (c->text);
  char *hunks = pu_hunks_make (old, n, c->text, len);
  size_t size = strlen (hunks);

  if (size < len)
    {
      memcpy (c->text, hunks, size + 1);
      c->suffix |= PU_DELTA_HUNKS;
    }
  g_free (hunks);
}

void
pu_state_delta_encode_submit (const pu_state_t *s, pu_submit *c)
{
  const pu_doc_record *d = pu_state_document (s);
  size_t old;
  size_t new;
  size_t most;

  if (d == NULL || c->delta || c->base_version != d->doc_version)
    return;
  old = strlen (d->text);
  new = strlen (c->text);
  most = MIN (old, new);
  c->hash = XXH3_64bits (c->text, new);
  c->prefix = (u_int)common_prefix (d->text, c->text, most);
  c->suffix
      = (u_int)common_suffix (d->text + old, c->text + new, most - c->prefix);
  c->delta = TRUE;
  /* What both share at the start and the end is cut away.  */
  memmove (c->text, c->text + c->prefix, new - c->prefix - c->suffix);
  c->text[new - c->prefix - c->suffix] = '\0';
  shrink_middle (c, d->text + c->prefix, old - c->prefix - c->suffix);
}
