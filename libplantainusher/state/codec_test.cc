#include <gtest/gtest.h>

#include <cstring>

extern "C"
{
#include "state/codec.h"
#include "state/generated/state_msg.h"
}

namespace
{

constexpr uint32_t kOversizedCount = 1000000;

/* An image of an empty state.  The strings of the document are set, as a NULL
   string cannot be encoded.  */
pu_state_image
empty_image ()
{
  pu_state_image m = {};

  m.document.change_id = const_cast<char *> ("");
  m.document.author = const_cast<char *> ("");
  m.document.text = const_cast<char *> ("");
  return m;
}

/* Decodes an empty image whose count at OFFSET is kOversizedCount into M, with
   what is allocated until the decoder fails; free M.  */
bool
decode_with_count (size_t offset, pu_state_image *m)
{
  pu_state_image empty = empty_image ();
  GBytes *bytes = pu_codec_encode ((xdrproc_t)xdr_pu_state_image, &empty);
  gsize len;
  auto *data = static_cast<char *> (g_bytes_unref_to_data (bytes, &len));
  const uint32_t count = htonl (kOversizedCount);
  XDR x;

  memcpy (data + offset, &count, sizeof count);
  xdrmem_create (&x, data, static_cast<u_int> (len), XDR_DECODE);
  const bool decoded = xdr_pu_state_image (&x, m);
  g_free (data);
  return decoded;
}

TEST (Codec, CountsOverTheMessageSizeAllocateNothing)
{
  struct
  {
    size_t offset; /* of the list's count in an empty image */
    void *(*list_of) (const pu_state_image &m);
  } rows[] = {
    { 52,
      [] (const pu_state_image &m) -> void * {
        return m.history.history_val;
      } },
    { 68,
      [] (const pu_state_image &m) -> void * { return m.claims.claims_val; } },
  };

  for (const auto &row : rows)
    {
      pu_state_image m = {};

      EXPECT_FALSE (decode_with_count (row.offset, &m)) << row.offset;
      EXPECT_EQ (row.list_of (m), nullptr) << row.offset;
      xdr_free ((xdrproc_t)xdr_pu_state_image, &m);
    }
}

} // namespace
