#include "state/delta.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

char *
pu_delta_text (const pu_state_t *s, const pu_submit *c)
{
  const pu_doc_record *d = pu_state_document (s);
  size_t old = d == NULL ? 0 : strlen (d->text);
  GString *text;

  if (!c->delta)
    return g_strdup (c->text);
  if ((uint64_t)c->prefix + c->suffix > old)
    return NULL;
  text = g_string_new (NULL);
  if (d != NULL)
    g_string_append_len (text, d->text, c->prefix);
  g_string_append (text, c->text);
  if (d != NULL)
    g_string_append (text, d->text + old - c->suffix);
  if (XXH3_64bits (text->str, text->len) == c->hash)
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

void
pu_state_shrink_submit (const pu_state_t *s, pu_submit *c)
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
}
