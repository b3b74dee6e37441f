#include "state/slots.h"

#include "state/software.h"

#define SLOTS_NAME "slots:"

guint
pu_backend_slots (const pu_backend_record *b)
{
  guint64 n = 0;

  g_ascii_string_to_unsigned (pu_backend_fact (b, SLOTS_NAME), 10, 1,
                              G_MAXUINT32, &n, NULL);
  return (guint)n;
}

void
pu_backend_set_slots (pu_backend_record *b, guint slots)
{
  char *text = slots > 0 ? g_strdup_printf ("%u", slots) : g_strdup ("");

  pu_backend_set_fact (b, SLOTS_NAME, text);
  g_free (text);
}
