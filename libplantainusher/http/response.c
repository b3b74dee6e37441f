#include "http/response.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

enum
{
  STATUS_INFORMATIONAL_END = 200,
  STATUS_SWITCHING = 101,
  STATUS_NO_CONTENT = 204,
  STATUS_NOT_MODIFIED = 304,
  /* Bytes of chunk lines and trailers that an answer may have, and for each
     byte of its body.  */
  FRAMING_MAX = 16384,
  FRAMING_PER_BYTE = 16,
};

/* Values of phr_chunked_decoder._state.  */
enum
{
  DECODER_SIZE,
  DECODER_EXTENSION,
  DECODER_DATA,
};

struct pu_http_reader
{
  gsize head_max;
  bool no_body;
  bool has_head;
  bool keep_alive;
  GByteArray *head; /* bytes of an unfinished head */
  gsize interim;    /* bytes of the informational heads before it */
  pu_http_response_t response;
  guint64 left;    /* of a body of stated length */
  guint64 body;    /* bytes of a body in chunks so far */
  guint64 framing; /* other bytes of the chunks, and of trailers */
  struct phr_chunked_decoder chunked;
};

pu_http_reader_t *
pu_http_reader_new (gsize head_max, bool no_body)
{
  pu_http_reader_t *rd = g_new0 (pu_http_reader_t, 1);

  rd->head_max = head_max;
  rd->no_body = no_body;
  rd->head = g_byte_array_new ();
  rd->response.headers = pu_http_headers_new ();
  rd->chunked.consume_trailer = 1;
  return rd;
}

void
pu_http_reader_free (pu_http_reader_t *rd)
{
  if (rd == NULL)
    return;
  g_byte_array_free (rd->head, TRUE);
  g_array_free (rd->response.headers, TRUE);
  g_free (rd);
}

const char *
pu_http_response_header (const pu_http_response_t *r, const char *name)
{
  for (guint i = 0; i < r->headers->len; i++)
    {
      const pu_http_header_t *h
          = &g_array_index (r->headers, pu_http_header_t, i);

      if (g_ascii_strcasecmp (h->name, name) == 0)
        return h->value;
    }
  return NULL;
}

guint
pu_http_reader_idle_s (const pu_http_reader_t *rd)
{
  return pu_http_list_number (
      pu_http_response_header (&rd->response, "keep-alive"), "timeout");
}

bool
pu_http_reader_keep_alive (const pu_http_reader_t *rd)
{
  return rd->keep_alive;
}

bool
pu_http_reader_has_head (const pu_http_reader_t *rd)
{
  return rd->has_head;
}

bool
pu_http_reader_is_within (const pu_http_reader_t *rd)
{
  const struct phr_chunked_decoder *c = &rd->chunked;

  if (!rd->has_head)
    return rd->head->len > 0;
  if (rd->response.body_kind != PU_HTTP_BODY_CHUNKED)
    return false;
  return c->_state == DECODER_SIZE ? c->_hex_count > 0
                                   : c->_state != DECODER_DATA;
}

const pu_http_response_t *
pu_http_reader_response (const pu_http_reader_t *rd)
{
  return &rd->response;
}

static bool
length_parse (const char *value, guint64 *length)
{
  return g_ascii_string_to_unsigned (value, 10, 0, G_MAXINT64, length, NULL);
}

/* Reads the lengths that the headers state; false when they contradict.  */
static bool
lengths_read (pu_http_response_t *r, bool *has_length, bool *chunked)
{
  *has_length = false;
  *chunked = false;
  for (guint i = 0; i < r->headers->len; i++)
    {
      const pu_http_header_t *h
          = &g_array_index (r->headers, pu_http_header_t, i);
      guint64 n = 0;

      if (g_ascii_strcasecmp (h->name, "transfer-encoding") == 0)
        {
          if (*chunked || g_ascii_strcasecmp (h->value, "chunked") != 0)
            return false;
          *chunked = true;
        }
      if (g_ascii_strcasecmp (h->name, "content-length") != 0)
        continue;
      if (!length_parse (h->value, &n) || (*has_length && n != r->length))
        return false;
      *has_length = true;
      r->length = n;
    }
  return !(*has_length && *chunked);
}

static bool
status_has_no_body (int status)
{
  return status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED;
}

/* Sets how the body ends and whether the connection can go on.  */
static bool
framing_set (pu_http_reader_t *rd, int minor)
{
  pu_http_response_t *r = &rd->response;
  const char *connection = pu_http_response_header (r, "connection");
  bool has_length = false;
  bool chunked = false;

  if (!lengths_read (r, &has_length, &chunked))
    return false;
  rd->keep_alive = minor >= 1;
  if (pu_http_list_has (connection, "close"))
    rd->keep_alive = false;
  if (pu_http_list_has (connection, "keep-alive"))
    rd->keep_alive = true;
  if (rd->no_body || status_has_no_body (r->status))
    {
      r->body_kind = PU_HTTP_BODY_NONE;
    }
  else if (chunked)
    {
      r->body_kind = PU_HTTP_BODY_CHUNKED;
    }
  else if (has_length)
    {
      r->body_kind = PU_HTTP_BODY_LENGTH;
    }
  else
    {
      r->body_kind = PU_HTTP_BODY_CLOSE;
    }
  rd->left = r->length;
  return true;
}

static void
headers_copy (pu_http_response_t *r, const struct phr_header *h, gsize n)
{
  g_array_set_size (r->headers, 0);
  for (gsize i = 0; i < n; i++)
    {
      pu_http_header_t one = {
        g_strndup (h[i].name == NULL ? "" : h[i].name, h[i].name_len),
        g_strndup (h[i].value, h[i].value_len),
      };

      g_array_append_val (r->headers, one);
    }
}

/* Parses the head that is gathered so far, from its byte AT on.  *USED is its
   size once whole.  */
static pu_http_read_t
head_parse (pu_http_reader_t *rd, gsize at, gsize last_len, gsize *used)
{
  gsize gathered = rd->head->len - at;
  struct phr_header headers[PU_HTTP_HEADERS_MAX];
  size_t n = PU_HTTP_HEADERS_MAX;
  const char *msg = NULL;
  size_t msg_len = 0;
  int minor = 0;
  int size = phr_parse_response ((const char *)rd->head->data + at, gathered,
                                 &minor, &rd->response.status, &msg, &msg_len,
                                 headers, &n, last_len);

  if (size == -2)
    {
      return rd->interim + gathered > rd->head_max ? PU_HTTP_READ_TOO_LARGE
                                                   : PU_HTTP_READ_MORE;
    }
  if (size < 0 || rd->response.status == STATUS_SWITCHING)
    return PU_HTTP_READ_MALFORMED;
  if (rd->interim + (gsize)size > rd->head_max)
    return PU_HTTP_READ_TOO_LARGE;
  *used = (gsize)size;
  headers_copy (&rd->response, headers, n);
  return framing_set (rd, minor) ? PU_HTTP_READ_DONE : PU_HTTP_READ_MALFORMED;
}

/* Gathers and parses heads until the final one; *BYTES and *LEN become what
   follows it.  PU_HTTP_READ_DONE: the head is whole.  */
static pu_http_read_t
head_feed (pu_http_reader_t *rd, char **bytes, gsize *len)
{
  gsize last_len = rd->head->len;
  gsize at = 0;
  gsize used = 0;
  pu_http_read_t result;

  g_byte_array_append (rd->head, (const guint8 *)*bytes, (guint)*len);
  for (;;)
    {
      result = head_parse (rd, at, last_len, &used);
      if (result != PU_HTTP_READ_DONE
          || rd->response.status >= STATUS_INFORMATIONAL_END)
        break;
      at += used;
      rd->interim += used;
      last_len = 0;
    }
  if (at > 0)
    g_byte_array_remove_range (rd->head, 0, (guint)at);
  if (result != PU_HTTP_READ_DONE)
    return result;
  *bytes += *len - (rd->head->len - used);
  *len = rd->head->len - used;
  g_byte_array_set_size (rd->head, 0);
  return result;
}

static pu_http_read_t
length_feed (pu_http_reader_t *rd, char *bytes, gsize len,
             const pu_http_response_calls_t *calls, void *data)
{
  gsize n = len > rd->left ? (gsize)rd->left : len;
  bool done = n == rd->left;

  rd->left -= n;
  if (n < len)
    rd->keep_alive = false;
  if (n > 0 && !calls->on_body (data, bytes, n))
    return PU_HTTP_READ_STOPPED;
  return done ? PU_HTTP_READ_DONE : PU_HTTP_READ_MORE;
}

static pu_http_read_t
chunked_feed (pu_http_reader_t *rd, char *bytes, gsize len,
              const pu_http_response_calls_t *calls, void *data)
{
  size_t n = len;
  ssize_t after = phr_decode_chunked (&rd->chunked, bytes, &n);

  if (after > 0)
    rd->keep_alive = false;
  rd->body += n;
  rd->framing += len - n - (after > 0 ? (gsize)after : 0);
  /* What came before a malformed chunk is part of the answer.  */
  if (n > 0 && !calls->on_body (data, bytes, n))
    return PU_HTTP_READ_STOPPED;
  if (after == -1)
    return PU_HTTP_READ_MALFORMED;
  if (after >= 0)
    return PU_HTTP_READ_DONE;
  return rd->framing > FRAMING_MAX + FRAMING_PER_BYTE * rd->body
             ? PU_HTTP_READ_TOO_LARGE
             : PU_HTTP_READ_MORE;
}

static pu_http_read_t
body_feed (pu_http_reader_t *rd, char *bytes, gsize len,
           const pu_http_response_calls_t *calls, void *data)
{
  switch (rd->response.body_kind)
    {
    case PU_HTTP_BODY_NONE:
      if (len > 0)
        rd->keep_alive = false;
      return PU_HTTP_READ_DONE;
    case PU_HTTP_BODY_LENGTH:
      return length_feed (rd, bytes, len, calls, data);
    case PU_HTTP_BODY_CHUNKED:
      return chunked_feed (rd, bytes, len, calls, data);
    case PU_HTTP_BODY_CLOSE:
      rd->keep_alive = false;
      if (len > 0 && !calls->on_body (data, bytes, len))
        return PU_HTTP_READ_STOPPED;
      return PU_HTTP_READ_MORE;
    }
  return PU_HTTP_READ_MALFORMED;
}

pu_http_read_t
pu_http_reader_feed (pu_http_reader_t *rd, char *bytes, gsize len,
                     const pu_http_response_calls_t *calls, void *data)
{
  if (!rd->has_head)
    {
      pu_http_read_t result = head_feed (rd, &bytes, &len);

      if (result != PU_HTTP_READ_DONE)
        return result;
      rd->has_head = true;
      if (!calls->on_head (data, &rd->response))
        return PU_HTTP_READ_STOPPED;
    }
  return body_feed (rd, bytes, len, calls, data);
}
