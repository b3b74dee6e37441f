#include "state/software.h"

#include <stdlib.h>
#include <string.h>

/* No model has this name: documents don't allow a colon in one.  */
#define SOFTWARE_NAME "software:"

bool
pu_copy_is_software (const pu_copy_record *c)
{
  return strcmp (c->model, SOFTWARE_NAME) == 0;
}

static pu_copy_record *
find (const pu_backend_record *b)
{
  for (u_int i = 0; i < b->copies.copies_len; i++)
    {
      if (pu_copy_is_software (&b->copies.copies_val[i]))
        return &b->copies.copies_val[i];
    }
  return NULL;
}

const char *
pu_backend_software (const pu_backend_record *b)
{
  const pu_copy_record *c = find (b);

  return c != NULL ? c->model_version : "";
}

static void
remove_copy (pu_backend_record *b, pu_copy_record *c)
{
  u_int after = b->copies.copies_len - 1 - (u_int)(c - b->copies.copies_val);

  xdr_free ((xdrproc_t)xdr_pu_copy_record, (char *)c);
  memmove (c, c + 1, after * sizeof *c);
  b->copies.copies_len--;
}

/* Appends the copy that states VERSION.  A full list is left as it is: the
   version is then not known.  */
static void
append_copy (pu_backend_record *b, const char *version)
{
  u_int n = b->copies.copies_len;

  if (n >= PU_LIST_MAX)
    return;
  /* The list is freed by XDR, with free.  */
  b->copies.copies_val
      = reallocarray (b->copies.copies_val, n + 1, sizeof (pu_copy_record));
  if (b->copies.copies_val == NULL)
    g_error ("Out of memory.");
  b->copies.copies_val[n]
      = (pu_copy_record){ .model = strdup (SOFTWARE_NAME),
                          .model_version = strdup (version),
                          .phase = PU_COPY_DRAINING };
  b->copies.copies_len = n + 1;
}

void
pu_backend_set_software (pu_backend_record *b, const char *version)
{
  pu_copy_record *c = find (b);

  if (c != NULL)
    remove_copy (b, c);
  if (*version != '\0')
    append_copy (b, version);
}
