/* libFuzzer target: bytes of a stream through the record reader and the
   header decoder; what decodes is encoded and decoded again.  */

#include <glib.h>

extern "C"
{
#include "rpc/message.h"
}

#define MAX_RECORD 4096

extern "C" int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
check_again (const pu_rpc_message_t *m)
{
  GByteArray *wire = m->reply ? pu_rpc_message_encode_reply (m)
                              : pu_rpc_message_encode_call (m);
  pu_rpc_message_t again;
  pu_error_t e;

  g_assert (pu_rpc_message_decode (&again, wire->data + PU_RPC_MARK_SIZE,
                                   wire->len - PU_RPC_MARK_SIZE, &e));
  g_assert (again.xid == m->xid);
  g_assert (again.reply == m->reply);
  g_assert (again.body_size == m->body_size);
  g_byte_array_unref (wire);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  pu_rpc_reader_t r;
  pu_rpc_message_t m;
  GByteArray *record;
  pu_error_t e;

  pu_rpc_reader_init (&r, MAX_RECORD);
  pu_rpc_reader_feed (&r, data, size);
  while ((record = pu_rpc_reader_next (&r, &e)) != NULL)
    {
      if (pu_rpc_message_decode (&m, record->data, record->len, &e))
        check_again (&m);
      g_byte_array_unref (record);
    }
  pu_rpc_reader_clear (&r);
  return 0;
}
