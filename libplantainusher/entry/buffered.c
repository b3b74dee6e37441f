/* Responses that are kept whole until they are complete.

   Load pattern: a backend server sends bodies without end to many callers at
   once, each within the bound of a single response.  All such responses
   together stay within a share of the memory limit.  The largest gives way, so
   that those of other backend servers become complete.  */

#include "entry/entry_private.h"

#include "base/log.h"

static guint
kept_bytes (const GByteArray *body)
{
  return body != NULL ? body->len : 0;
}

/* Returns the exchange with the largest response that is not complete.  */
static pu_exchange_t *
largest_find (const pu_entry_t *en)
{
  pu_exchange_t *largest = NULL;

  for (const GList *l = en->open.head; l != NULL; l = l->next)
    {
      pu_exchange_t *x = l->data;

      if (x->at.call != NULL
          && (largest == NULL
              || kept_bytes (x->at.body) > kept_bytes (largest->at.body)))
        largest = x;
    }
  return largest;
}

/* Breaks the attempts with the largest responses until MORE bytes for X fit.
   Returns false if X has the largest.  */
static bool
room_make (const pu_exchange_t *x, gsize more)
{
  pu_entry_t *en = x->en;
  uint64_t most = pu_memory_answers_max (en->o.memory);

  while (en->buffered_bytes + more > most)
    {
      pu_exchange_t *largest = largest_find (en);

      if (largest == NULL || largest == x)
        return false;
      pu_log_note (PU_ENTRY_LOG_SLICE,
                   "Drops %u bytes of the response to request %s, the largest "
                   "of all that take more memory than they may.",
                   kept_bytes (largest->at.body), largest->q.id);
      pu_http_call_cancel (g_steal_pointer (&largest->at.call));
      pu_attempt_break (largest, PU_ROUTER_FAIL_TRUNCATED);
    }
  return true;
}

bool
pu_buffered_append (pu_exchange_t *x, const char *bytes, gsize len)
{
  pu_entry_t *en = x->en;

  if (x->at.body->len + len > en->o.body_max || !room_make (x, len))
    return false;
  g_byte_array_append (x->at.body, (const guint8 *)bytes, (guint)len);
  en->buffered_bytes += len;
  return true;
}

void
pu_buffered_free (pu_entry_t *en, GByteArray *body)
{
  if (body == NULL)
    return;
  en->buffered_bytes -= body->len;
  g_byte_array_free (body, TRUE);
}
