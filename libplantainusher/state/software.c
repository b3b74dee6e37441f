#include "state/software.h"

#include <stdlib.h>
#include <string.h>

/* Documents don't allow a colon in the name of a model.  */
#define FACT_MARK ':'
#define SOFTWARE_NAME "software:"

bool
pu_copy_is_fact (const pu_copy_record *c)
{
  return strchr (c->model, FACT_MARK) != NULL;
}

static pu_copy_record *
find (const pu_backend_record *b, const char *name)
{
  for (u_int i = 0; i < b->copies.copies_len; i++)
    {
      if (strcmp (b->copies.copies_val[i].model, name) == 0)
        return &b->copies.copies_val[i];
    }
  return NULL;
}

const char *
pu_backend_fact (const pu_backend_record *b, const char *name)
{
  const pu_copy_record *c = find (b, name);

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

/* Appends the copy that states VALUE.  A full list is left as it is: the value
   is then not known.  */
static void
append_copy (pu_backend_record *b, const char *name, const char *value)
{
  u_int n = b->copies.copies_len;

  if (n >= PU_LIST_MAX)
    return;
  /* The list is freed by XDR, with free.  */
  b->copies.copies_val
      = reallocarray (b->copies.copies_val, n + 1, sizeof (pu_copy_record));
  if (b->copies.copies_val == NULL)
    g_error ("Out of memory.");
  b->copies.copies_val[n] = (pu_copy_record){ .model = strdup (name),
                                              .model_version = strdup (value),
                                              .phase = PU_COPY_DRAINING };
  b->copies.copies_len = n + 1;
}

void
pu_backend_set_fact (pu_backend_record *b, const char *name, const char *value)
{
  pu_copy_record *c = find (b, name);

  if (c != NULL)
    remove_copy (b, c);
  if (*value != '\0')
    append_copy (b, name, value);
}

const char *
pu_backend_software (const pu_backend_record *b)
{
  return pu_backend_fact (b, SOFTWARE_NAME);
}

void
pu_backend_set_software (pu_backend_record *b, const char *version)
{
  pu_backend_set_fact (b, SOFTWARE_NAME, version);
}
