/* libFuzzer target for the records of the log.  The first byte selects the
   type, the rest is decoded; a decoded record is encoded and decoded again.  A
   command is also applied to an empty state, a delta to a record and hunks to
   a text; an image is restored.  */

#include <glib.h>

extern "C"
{
#include "state/backend_delta.h"
#include "state/hunks.h"
#include "state/codec.h"
#include "state/generated/state_msg.h"
#include "state/state.h"
}

extern "C" int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

template <typename T>
static bool
check_round_trip (bool_t (*proc) (XDR *, T *), const uint8_t *data,
                  size_t size, T *record)
{
  const auto p = reinterpret_cast<xdrproc_t> (proc);
  T again;
  pu_error_t e;

  if (!pu_codec_decode (p, record, sizeof *record, data, size, &e))
    return false;
  GBytes *wire = pu_codec_encode (p, record);
  gsize len;
  const void *bytes = g_bytes_get_data (wire, &len);
  /* Shorter only when a string contains a zero byte.  */
  g_assert (len <= size);
  g_assert (pu_codec_decode (p, &again, sizeof again, bytes, len, &e));
  g_assert (pu_codec_equal (p, record, &again));
  xdr_free (p, &again);
  g_bytes_unref (wire);
  return true;
}

/* Applies D to a record of two copies that is not its base.  */
static void
fuzz_delta (const pu_backend_delta *d)
{
  char empty[] = "";
  pu_copy_record copies[] = { { empty, empty, 1, PU_COPY_READY },
                              { empty, empty, 2, PU_COPY_LOADING } };
  pu_backend_record old = {};

  old.name = old.service = old.address = old.region = old.zone = empty;
  old.copies.copies_len = 2;
  old.copies.copies_val = copies;
  pu_codec_free (reinterpret_cast<xdrproc_t> (xdr_pu_backend_record),
                 pu_backend_delta_apply (d, &old));
}

/* Applies the text of C, as hunks, to a text that is not their base.  */
static void
fuzz_hunks (const pu_submit *c)
{
  static const char base[] = "a text of some length";
  const gsize max_len = 4096;
  GString *out = g_string_new (nullptr);

  if (pu_hunks_apply (c->text, base, sizeof base - 1, max_len, out))
    g_assert (out->len <= max_len);
  g_string_free (out, TRUE);
}

static void
fuzz_command (const uint8_t *data, size_t size)
{
  pu_state_options_t o;
  pu_command c;
  pu_reply r;

  if (!check_round_trip (xdr_pu_command, data, size, &c))
    return;
  if (c.type == PU_COMMAND_BACKEND_DELTA)
    fuzz_delta (&c.pu_command_u.backend_delta);
  if (c.type == PU_COMMAND_SUBMIT)
    fuzz_hunks (&c.pu_command_u.submit);
  pu_state_options_init (&o);
  pu_state_t *s = pu_state_new (&o);
  for (uint64_t position = 1; position <= 2; position++)
    {
      pu_state_apply (s, position, &c, &r);
      pu_reply_clear (&r);
    }
  pu_state_free (s);
  pu_command_clear (&c);
}

static void
fuzz_image (const uint8_t *data, size_t size)
{
  pu_state_options_t o;
  pu_state_image m;
  pu_error_t e;

  if (!check_round_trip (xdr_pu_state_image, data, size, &m))
    return;
  pu_state_options_init (&o);
  pu_state_t *s = pu_state_new (&o);
  g_assert (pu_state_decode (s, data, size, &e));
  g_bytes_unref (pu_state_encode (s, false));
  pu_state_free (s);
  xdr_free (reinterpret_cast<xdrproc_t> (xdr_pu_state_image), &m);
}

static void
fuzz_reply (const uint8_t *data, size_t size)
{
  pu_reply r;

  if (check_round_trip (xdr_pu_reply, data, size, &r))
    pu_reply_clear (&r);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size == 0)
    return 0;
  switch (data[0] % 3)
    {
    case 0:
      fuzz_command (data + 1, size - 1);
      break;
    case 1:
      fuzz_image (data + 1, size - 1);
      break;
    default:
      fuzz_reply (data + 1, size - 1);
      break;
    }
  return 0;
}
