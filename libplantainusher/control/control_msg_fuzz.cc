/* libFuzzer target: the first byte selects the type of a message between
   daemons, and the rest is decoded as that type.  A message that decodes must
   be unchanged after it is encoded and decoded again.  */

#include <glib.h>

extern "C"
{
#include "control/generated/control_msg.h"
#include "state/codec.h"
}

extern "C" int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

namespace
{

template <typename T> struct round_trip
{
  static void
  check (bool_t (*proc) (XDR *, T *), const uint8_t *data, size_t size)
  {
    const auto p = reinterpret_cast<xdrproc_t> (proc);
    T decoded;
    T again;
    pu_error_t e;

    if (!pu_codec_decode (p, &decoded, sizeof decoded, data, size, &e))
      return;
    GBytes *wire = pu_codec_encode (p, &decoded);
    gsize len;
    const void *bytes = g_bytes_get_data (wire, &len);
    /* The encoding is shorter if a string contains a zero byte.  */
    g_assert (len <= size);
    g_assert (pu_codec_decode (p, &again, sizeof again, bytes, len, &e));
    g_assert (pu_codec_equal (p, &decoded, &again));
    xdr_free (p, &again);
    xdr_free (p, &decoded);
    g_bytes_unref (wire);
  }
};

} // namespace

#define CHECK(type) round_trip<type>::check (xdr_##type, data + 1, size - 1)

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size == 0)
    return 0;
  switch (data[0] % 21)
    {
    case 0:
      CHECK (pu_poll);
      break;
    case 1:
      CHECK (pu_poll_reply);
      break;
    case 2:
      CHECK (pu_propose);
      break;
    case 3:
      CHECK (pu_propose_reply);
      break;
    case 4:
      CHECK (pu_sessions);
      break;
    case 5:
      CHECK (pu_loads);
      break;
    case 6:
      CHECK (pu_query);
      break;
    case 7:
      CHECK (pu_withdrawal);
      break;
    case 8:
      CHECK (pu_query_reply);
      break;
    case 9:
      CHECK (pu_blob_reply);
      break;
    case 10:
      CHECK (pu_chunk_request);
      break;
    case 11:
      CHECK (pu_chunk);
      break;
    case 12:
      CHECK (pu_find);
      break;
    case 13:
      CHECK (pu_witness_query);
      break;
    case 14:
      CHECK (pu_accusations);
      break;
    case 15:
      CHECK (pu_statements);
      break;
    case 16:
      CHECK (pu_allowance_call);
      break;
    case 17:
      CHECK (pu_allowance_result);
      break;
    case 18:
      CHECK (pu_load_exchange_call);
      break;
    case 19:
      CHECK (pu_load_exchange_result);
      break;
    default:
      CHECK (pu_witness_reply);
      break;
    }
  return 0;
}
