/* libFuzzer target: the first two bytes are the stated size of the content,
   and the rest is decoded as compressed content.  Content that decodes has the
   stated size, and is restored after it is compressed again.  */

#include <cstdint>

#include <glib.h>

extern "C"
{
#include "control/packed.h"
}

extern "C" int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  constexpr size_t max = 50000;
  pu_error_t e;

  if (size < 2)
    return 0;
  size_t stated = data[0] << 8 | data[1];
  GBytes *content = pu_packed_content (data + 2, size - 2, stated, max, &e);
  if (content == nullptr)
    return 0;
  g_assert (stated <= max && g_bytes_get_size (content) == stated);
  GBytes *packed = pu_packed_new (content);
  gsize n;
  const void *bytes = g_bytes_get_data (packed, &n);
  GBytes *again = pu_packed_content (bytes, n, stated, max, &e);
  g_assert (again != nullptr && g_bytes_equal (again, content));
  g_bytes_unref (again);
  g_bytes_unref (packed);
  g_bytes_unref (content);
  return 0;
}
