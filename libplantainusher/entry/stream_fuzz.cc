/* However the bytes of an engine's response are split, the caller receives the
   same bytes and the same text, and the count of tokens sent grows by the
   tokens forwarded.  Reading a chunk by a template gives the same result as
   parsing it.

   The first byte of the input sets the number of tokens sent earlier (0 to 3)
   and whether the engine confirmed that it resumes the stream after them.  */
#include <stdint.h>
#include <string.h>

#include <algorithm>
#include <string>

#include "entry/chunk.h"
#include "entry/stream.h"
#include "http/sse.h"

static void
require (bool good)
{
  if (!good)
    __builtin_trap ();
}

struct stream_result
{
  std::string forwarded;
  std::string text;
  guint tokens = 0;
  int result = 0;
  bool finished = false;

  bool
  operator== (const stream_result &o) const
  {
    return forwarded == o.forwarded && text == o.text && tokens == o.tokens
           && result == o.result && finished == o.finished;
  }
};

static void
on_bytes (void *data, const char *bytes, gsize len, guint tokens)
{
  auto *o = static_cast<stream_result *> (data);

  o->forwarded.append (bytes, len);
  o->tokens += tokens;
}

static stream_result
read_all (const std::string &bytes, size_t step, guint tokens_before,
          bool confirmed)
{
  stream_result o;
  pu_delivered_t sent;
  pu_stream_result_t result = PU_STREAM_MORE;

  pu_delivered_init (&sent);
  for (; sent.tokens < tokens_before; sent.tokens++)
    g_string_append (sent.text, "ab");
  pu_stream_t *s = pu_stream_new (&sent, confirmed, on_bytes, &o);
  for (size_t i = 0; i < bytes.size () && result == PU_STREAM_MORE; i += step)
    result = pu_stream_feed (s, &bytes[i], std::min (step, bytes.size () - i));
  require (pu_stream_token_count (s) == o.tokens);
  require (sent.tokens == tokens_before + o.tokens);
  o.text.assign (sent.text->str, sent.text->len);
  o.result = result;
  o.finished = sent.finished;
  pu_stream_free (s);
  pu_delivered_clear (&sent);
  return o;
}

/* --- reading chunks with a reused and with a new reader --- */

/* Reads an event with the reader that read the events before it and with a new
   reader, and compares the results.  */
static bool
on_event (void *data, const pu_sse_event_t *ev)
{
  auto *reused = static_cast<pu_chunk_reader_t *> (data);
  pu_chunk_reader_t *fresh = pu_chunk_reader_new ();
  pu_chunk_t a{};
  pu_chunk_t b{};
  const bool good = pu_chunk_read (reused, ev->data, ev->data_len, &a);

  require (good == pu_chunk_read (fresh, ev->data, ev->data_len, &b));
  if (good)
    {
      require (strcmp (a.text, b.text) == 0 && g_strcmp0 (a.id, b.id) == 0);
      require (a.has_finish_reason == b.has_finish_reason
               && a.is_error == b.is_error);
    }
  pu_chunk_reader_free (fresh);
  return true;
}

static void
check_chunks (const std::string &bytes)
{
  pu_chunk_reader_t *reused = pu_chunk_reader_new ();
  pu_sse_t *sse = pu_sse_new (4096, on_event, reused);

  pu_sse_feed (sse, bytes.data (), bytes.size ());
  pu_sse_free (sse);
  pu_chunk_reader_free (reused);
}

extern "C" int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size == 0)
    return 0;
  const std::string bytes (reinterpret_cast<const char *> (data + 1),
                           size - 1);
  const guint tokens_before = data[0] % 4;
  const bool confirmed = (data[0] & 4) != 0;
  const stream_result unsplit
      = read_all (bytes, size, tokens_before, confirmed);

  require (read_all (bytes, 1, tokens_before, confirmed) == unsplit);
  check_chunks (bytes);
  return 0;
}
