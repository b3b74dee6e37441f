/* Arbitrary text must yield either settings or findings, and the JSON form of
   settings must hide the peers' key.  */
#include <stdint.h>
#include <string.h>

#include "settings/settings.h"

static bool
peers_key_is_hidden (const json_t *shown)
{
  const json_t *keys = json_object_get (shown, "keys");
  const char *peers = json_string_value (json_object_get (keys, "peers"));

  return strcmp (peers, PU_JSON_HIDDEN) == 0;
}

extern "C" int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  pu_findings_t *f = pu_findings_new ();
  pu_settings_t *s = pu_settings_parse ((const char *)data, size, f);

  if ((s == NULL) != (pu_findings_count (f) > 0))
    __builtin_trap ();
  json_decref (pu_findings_to_json (f));
  if (s != NULL)
    {
      json_t *shown = pu_settings_to_json (s);

      if (!peers_key_is_hidden (shown))
        __builtin_trap ();
      json_decref (shown);
    }
  pu_settings_free (s);
  pu_findings_free (f);
  return 0;
}
