/* Fuzzes the check of documents: any input must yield either a document or
   errors, as parsing it does; parsing a canonical text must yield the same
   text; and a document differs in nothing from itself.  */
#include <stdint.h>
#include <string.h>

#include "document/changes.h"
#include "document/warnings.h"

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

static void
check_changes (const pu_document_t *a, const pu_document_t *b)
{
  const pu_change_options_t o = {};
  json_t *none = pu_document_changes (a, b, &o);
  json_t *all = pu_document_changes (NULL, b, &o);

  if (json_array_size (none) != 0)
    __builtin_trap ();
  json_decref (none);
  json_decref (all);
}

extern "C" int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  const char *text = (const char *)data;
  const pu_known_server_t servers[] = { { "", 1, 10 }, { "v", 0, 0 } };
  const pu_warning_options_t o = { size, servers, 2 };
  pu_findings_t *errors = pu_findings_new ();
  pu_findings_t *warnings = pu_findings_new ();
  pu_findings_t *refused = pu_findings_new ();
  pu_document_t *d = pu_document_check_text (text, size, &o, errors, warnings);
  pu_document_t *submitted = pu_document_parse (text, size, refused);

  if ((d == NULL) != (pu_findings_count (errors) > 0)
      || (d == NULL) != (submitted == NULL)
      || pu_findings_count (errors) != pu_findings_count (refused))
    __builtin_trap ();
  json_decref (pu_findings_to_json (errors));
  json_decref (pu_findings_to_json (warnings));
  if (d != NULL)
    {
      check_round_trip (d);
      check_changes (d, submitted);
    }
  pu_document_unref (d);
  pu_document_unref (submitted);
  pu_findings_free (errors);
  pu_findings_free (warnings);
  pu_findings_free (refused);
  return 0;
}
