/* Fuzzes the document parser: any input must yield either a document or
   findings, and parsing a canonical text must yield the same text.  */
#include <stdint.h>
#include <string.h>

#include "document/document.h"

static void
check_round_trip (const pu_document_t *d)
{
  const char *text = pu_document_text (d);
  pu_findings_t *f = pu_findings_new ();
  pu_document_t *again = pu_document_parse (text, strlen (text), f);

  if (again == NULL || strcmp (text, pu_document_text (again)) != 0)
    __builtin_trap ();
  pu_document_unref (again);
  pu_findings_free (f);
}

extern "C" int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  pu_findings_t *f = pu_findings_new ();
  pu_document_t *d = pu_document_parse ((const char *)data, size, f);

  if ((d == NULL) != (pu_findings_count (f) > 0))
    __builtin_trap ();
  json_decref (pu_findings_to_json (f));
  if (d != NULL)
    check_round_trip (d);
  pu_document_unref (d);
  pu_findings_free (f);
  return 0;
}
