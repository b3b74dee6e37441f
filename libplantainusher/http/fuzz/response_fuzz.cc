/* An answer that is whole in one split of the bytes is whole, with the same
   body, in any other.  A malformed head may be found out sooner or later.  */
#include <string>

#include "http/response.h"

static bool
on_head (void *data, const pu_http_response_t *r)
{
  static_cast<std::string *> (data)->append (std::to_string (r->status));
  return true;
}

static bool
on_body (void *data, const char *bytes, gsize len)
{
  static_cast<std::string *> (data)->append (bytes, len);
  return true;
}

static std::string
read_all (std::string bytes, size_t step)
{
  static const pu_http_response_calls_t calls = { on_head, on_body };
  pu_http_reader_t *rd = pu_http_reader_new (1024, false);
  pu_http_read_t result = PU_HTTP_READ_MORE;
  std::string out;

  for (size_t i = 0; i < bytes.size () && result == PU_HTTP_READ_MORE;
       i += step)
    result = pu_http_reader_feed (
        rd, &bytes[i], std::min (step, bytes.size () - i), &calls, &out);
  pu_http_reader_free (rd);
  return result == PU_HTTP_READ_DONE ? out : "not whole";
}

extern "C" int
LLVMFuzzerTestOneInput (const unsigned char *data, size_t len)
{
  std::string bytes (reinterpret_cast<const char *> (data), len);

  if (read_all (bytes, len + 1) != read_all (bytes, 1))
    __builtin_trap ();
  return 0;
}
