/* Any JSON text yields either an announcement or findings.  Each announcement
   is read a second time with its own record as the base, as the next report of
   that backend server would be.  The resulting record can be encoded for the
   log.  */
#include <stdint.h>

#include "entry/entry_private.h"
#include "state/codec.h"

static void
check_announcement (const json_t *root, const pu_backend_record *base)
{
  pu_findings_t *f = pu_findings_new ();
  pu_announcement_t a = {};
  const bool read = pu_announcement_read (&a, root, base, f);

  if (read != (pu_findings_count (f) == 0))
    __builtin_trap ();
  if (read)
    {
      if (base == nullptr)
        check_announcement (root, a.record);
      g_bytes_unref (
          pu_codec_encode ((xdrproc_t)xdr_pu_backend_record, a.record));
    }
  pu_announcement_clear (&a);
  pu_findings_free (f);
}

extern "C" int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  json_t *root
      = json_loadb ((const char *)data, size, JSON_REJECT_DUPLICATES, nullptr);

  if (root != nullptr)
    check_announcement (root, nullptr);
  json_decref (root);
  return 0;
}
