/* The events of an engine's answer, read from any split of the bytes, give
   the same bytes to the caller and the same text; what the caller has got
   grows by the tokens that were passed on.  A piece read by its frame is what
   parsing gives.

   The first byte says how much the caller has got before and whether the
   engine confirmed that it resumes there.  */
#include <stdint.h>
#include <string.h>

#include <algorithm>
#include <string>

#include "entry/piece.h"
#include "entry/stream.h"
#include "http/sse.h"

static void
require (bool good)
{
  if (!good)
    __builtin_trap ();
}

struct outcome
{
  std::string passed;
  std::string text;
  guint tokens = 0;
  int result = 0;
  bool finished = false;

  bool
  operator== (const outcome &o) const
  {
    return passed == o.passed && text == o.text && tokens == o.tokens
           && result == o.result && finished == o.finished;
  }
};

static void
on_bytes (void *data, const char *bytes, gsize len, guint tokens)
{
  auto *o = static_cast<outcome *> (data);

  o->passed.append (bytes, len);
  o->tokens += tokens;
}

static outcome
read_all (const std::string &bytes, size_t step, guint before, bool confirmed)
{
  outcome o;
  pu_delivered_t sent;
  pu_stream_result_t result = PU_STREAM_MORE;

  pu_delivered_init (&sent);
  for (; sent.tokens < before; sent.tokens++)
    g_string_append (sent.text, "ab");
  pu_stream_t *s = pu_stream_new (&sent, confirmed, on_bytes, &o);
  for (size_t i = 0; i < bytes.size () && result == PU_STREAM_MORE; i += step)
    result = pu_stream_feed (s, &bytes[i], std::min (step, bytes.size () - i));
  require (pu_stream_tokens (s) == o.tokens);
  require (sent.tokens == before + o.tokens);
  o.text.assign (sent.text->str, sent.text->len);
  o.result = result;
  o.finished = sent.finished;
  pu_stream_free (s);
  pu_delivered_clear (&sent);
  return o;
}

/* --- pieces --- */

/* Reads an event with the reader that has seen those before and with one that
   has not.  */
static bool
on_event (void *data, const pu_sse_event_t *ev)
{
  auto *known = static_cast<pu_chunk_reader_t *> (data);
  pu_chunk_reader_t *fresh = pu_chunk_reader_new ();
  pu_chunk_t a{};
  pu_chunk_t b{};
  const bool good = pu_chunk_read (known, ev->data, ev->data_len, &a);

  require (good == pu_chunk_read (fresh, ev->data, ev->data_len, &b));
  if (good)
    {
      require (strcmp (a.text, b.text) == 0 && g_strcmp0 (a.id, b.id) == 0);
      require (a.finish == b.finish && a.is_error == b.is_error);
    }
  pu_chunk_reader_free (fresh);
  return true;
}

static void
check_pieces (const std::string &bytes)
{
  pu_chunk_reader_t *known = pu_chunk_reader_new ();
  pu_sse_t *sse = pu_sse_new (4096, on_event, known);

  pu_sse_feed (sse, bytes.data (), bytes.size ());
  pu_sse_free (sse);
  pu_chunk_reader_free (known);
}

extern "C" int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size == 0)
    return 0;
  const std::string bytes (reinterpret_cast<const char *> (data + 1),
                           size - 1);
  const guint before = data[0] % 4;
  const bool confirmed = (data[0] & 4) != 0;
  const outcome whole = read_all (bytes, size, before, confirmed);

  require (read_all (bytes, 1, before, confirmed) == whole);
  check_pieces (bytes);
  return 0;
}
