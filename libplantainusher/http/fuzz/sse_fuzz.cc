/* Any split of the bytes gives the same events.  */
#include <string>

#include "http/sse.h"

static bool
collect (void *data, const pu_sse_event_t *ev)
{
  auto *out = static_cast<std::string *> (data);

  out->append (ev->raw, ev->raw_len).append (ev->data, ev->data_len);
  return true;
}

static std::string
events_of (const char *bytes, size_t len, size_t step)
{
  std::string out;
  pu_sse_t *s = pu_sse_new (4096, collect, &out);

  for (size_t i = 0; i < len; i += step)
    if (pu_sse_feed (s, bytes + i, std::min (step, len - i)) != PU_SSE_OK)
      {
        out += "too large";
        break;
      }
  pu_sse_free (s);
  return out;
}

extern "C" int
LLVMFuzzerTestOneInput (const unsigned char *data, size_t len)
{
  const char *bytes = reinterpret_cast<const char *> (data);

  if (events_of (bytes, len, len + 1) != events_of (bytes, len, 1))
    __builtin_trap ();
  return 0;
}
