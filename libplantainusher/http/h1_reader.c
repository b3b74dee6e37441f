#include "http/h1_reader.h"

#include <string.h>

#include "http/picohttp.h"

enum
{
  HEADERS_MAX = 100,
  SPARE_MAX = 4096,     /* memory that may stay once its bytes are done with */
  CHUNK_LINE_MAX = 128, /* bytes of a chunk's size and extension */
  CHUNK_DIGITS_MAX = 8,
  TRAILER_MAX = 4096, /* bytes of all trailers */
  BAD_REQUEST = 400,
  TOO_LARGE = 413,
  HEAD_TOO_LARGE = 431,
};

typedef enum
{
  STEP_HEAD,
  STEP_LENGTH,     /* a body of stated length */
  STEP_CHUNK_SIZE, /* the line before a chunk */
  STEP_CHUNK,
  STEP_CHUNK_END, /* the line end behind it */
  STEP_TRAILER,   /* lines behind the last chunk */
  STEP_DONE,
  STEP_BAD,
} step_t;

struct pu_h1_reader
{
  gsize head_max;
  gsize body_max;
  GByteArray *in; /* bytes that are not taken yet */
  gsize looked;   /* of these, at the head's end last time */
  step_t step;
  int status;
  gsize left;    /* of a body of stated length, or of a chunk */
  gsize head;    /* bytes of the head that was read */
  gsize trailer; /* bytes of trailers so far */
  int minor;
  char *method;
  char *target;
  char *host;
  GArray *headers; /* of pu_http_header_t */
  GByteArray *body;
  bool keep_alive;
  bool expects;
};

pu_h1_reader_t *
pu_h1_reader_new (gsize head_max, gsize body_max)
{
  pu_h1_reader_t *r = g_new0 (pu_h1_reader_t, 1);

  r->head_max = head_max;
  r->body_max = body_max;
  r->in = g_byte_array_new ();
  r->body = g_byte_array_new ();
  r->headers = pu_http_headers_new ();
  return r;
}

void
pu_h1_reader_free (pu_h1_reader_t *r)
{
  if (r == NULL)
    return;
  g_byte_array_free (r->in, TRUE);
  g_byte_array_free (r->body, TRUE);
  g_array_free (r->headers, TRUE);
  g_free (r->method);
  g_free (r->target);
  g_free (r->host);
  g_free (r);
}

/* Empties B, whose memory would stay if only its length were set.  */
static void
bytes_free (GByteArray **b)
{
  g_byte_array_free (*b, TRUE);
  *b = g_byte_array_new ();
}

static pu_h1_read_t
refuse (pu_h1_reader_t *r, int status)
{
  r->step = STEP_BAD;
  r->status = status;
  return PU_H1_BAD;
}

/* The first N bytes of the input are done with.  An array never shrinks by
   itself.  */
static void
take (pu_h1_reader_t *r, gsize n)
{
  GByteArray *rest;

  if (n <= SPARE_MAX)
    {
      g_byte_array_remove_range (r->in, 0, (guint)n);
      return;
    }
  rest = g_byte_array_new ();
  g_byte_array_append (rest, r->in->data + n, r->in->len - (guint)n);
  g_byte_array_free (r->in, TRUE);
  r->in = rest;
}

/* --- heads --- */

static bool
is_token (const char *s, gsize n)
{
  for (gsize i = 0; i < n; i++)
    {
      if (!g_ascii_isalnum (s[i])
          && (s[i] == '\0' || strchr ("!#$%&'*+-.^_`|~", s[i]) == NULL))
        return false;
    }
  return n > 0;
}

/* Names have no other bytes than tokens; a line that continues another, which
   has no name, is refused too.  */
static bool
headers_take (pu_h1_reader_t *r, const struct phr_header *all, gsize n)
{
  for (gsize i = 0; i < n; i++)
    {
      pu_http_header_t h;

      if (all[i].name == NULL || !is_token (all[i].name, all[i].name_len)
          || memchr (all[i].value, '\0', all[i].value_len) != NULL)
        return false;
      h.name = g_strndup (all[i].name, all[i].name_len);
      h.value = g_strndup (all[i].value, all[i].value_len);
      g_array_append_val (r->headers, h);
    }
  return true;
}

/* The one value of NAME; COUNT is set to how many there are.  */
static const char *
header_one (const pu_h1_reader_t *r, const char *name, guint *count)
{
  const char *found = NULL;

  *count = 0;
  for (guint i = 0; i < r->headers->len; i++)
    {
      const pu_http_header_t *h
          = &g_array_index (r->headers, pu_http_header_t, i);

      if (g_ascii_strcasecmp (h->name, name) != 0)
        continue;
      found = h->value;
      (*count)++;
    }
  return found;
}

static bool
is_digits (const char *s)
{
  if (*s == '\0')
    return false;
  for (; *s != '\0'; s++)
    {
      if (!g_ascii_isdigit (*s))
        return false;
    }
  return true;
}

/* How the body is told; false when that is not told in one plain way.  */
static bool
framing_read (pu_h1_reader_t *r)
{
  guint lengths;
  guint codings;
  const char *length = header_one (r, "content-length", &lengths);
  const char *coding = header_one (r, "transfer-encoding", &codings);
  guint64 n = 0;

  if (lengths + codings > 1)
    return false;
  if (codings == 1)
    {
      r->step = STEP_CHUNK_SIZE;
      return r->minor == 1 && g_ascii_strcasecmp (coding, "chunked") == 0;
    }
  if (lengths == 1
      && (!is_digits (length)
          || !g_ascii_string_to_unsigned (length, 10, 0, G_MAXINT64, &n,
                                          NULL)))
    return false;
  r->left = (gsize)n;
  r->step = n > 0 ? STEP_LENGTH : STEP_DONE;
  return true;
}

static bool
host_read (pu_h1_reader_t *r)
{
  guint count;
  const char *host = header_one (r, "host", &count);

  r->host = g_strdup (host != NULL ? host : "");
  return count == 1 || (count == 0 && r->minor == 0);
}

static bool
is_target (const char *s, gsize n)
{
  for (gsize i = 0; i < n; i++)
    {
      if (!g_ascii_isgraph (s[i]))
        return false;
    }
  return n > 0 && s[0] == '/';
}

static pu_h1_read_t
head_take (pu_h1_reader_t *r, const char *method, gsize method_len,
           const char *target, gsize target_len,
           const struct phr_header *headers, gsize n)
{
  guint count;
  const char *connection;

  if (!is_token (method, method_len) || !is_target (target, target_len)
      || !headers_take (r, headers, n) || !host_read (r))
    return refuse (r, BAD_REQUEST);
  r->method = g_strndup (method, method_len);
  r->target = g_strndup (target, target_len);
  if (!framing_read (r))
    return refuse (r, BAD_REQUEST);
  connection = header_one (r, "connection", &count);
  r->keep_alive = r->minor == 1 ? !pu_http_list_has (connection, "close")
                                : pu_http_list_has (connection, "keep-alive");
  r->expects
      = r->step != STEP_DONE
        && pu_http_list_has (header_one (r, "expect", &count), "100-continue");
  return r->left > r->body_max ? refuse (r, TOO_LARGE) : PU_H1_MORE;
}

static pu_h1_read_t
head_read (pu_h1_reader_t *r)
{
  struct phr_header headers[HEADERS_MAX];
  size_t n = HEADERS_MAX;
  const char *method;
  const char *target;
  size_t method_len;
  size_t target_len;
  int size;
  pu_h1_read_t read;

  /* An empty line before a request is no request.  */
  while (r->in->len >= 2 && memcmp (r->in->data, "\r\n", 2) == 0)
    take (r, 2);
  size = phr_parse_request ((const char *)r->in->data, r->in->len, &method,
                            &method_len, &target, &target_len, &r->minor,
                            headers, &n, r->looked);
  r->looked = r->in->len;
  if (size == -1)
    return refuse (r, n >= HEADERS_MAX ? HEAD_TOO_LARGE : BAD_REQUEST);
  if (size < 0)
    {
      return r->in->len > r->head_max ? refuse (r, HEAD_TOO_LARGE)
                                      : PU_H1_MORE;
    }
  if ((gsize)size > r->head_max)
    return refuse (r, HEAD_TOO_LARGE);
  read = head_take (r, method, method_len, target, target_len, headers, n);
  take (r, (gsize)size);
  r->head = (gsize)size;
  r->looked = 0;
  return read;
}

/* --- bodies --- */

/* Moves what there is of the present stretch into the body.  */
static void
stretch_take (pu_h1_reader_t *r)
{
  gsize n = MIN (r->left, r->in->len);

  g_byte_array_append (r->body, r->in->data, (guint)n);
  take (r, n);
  r->left -= n;
}

/* The length of the line at the start of the input, its end not counted;
   MORE is set when it is not whole.  A line end is CRLF and nothing else.  */
static gssize
line_length (const pu_h1_reader_t *r, gsize max, bool *more)
{
  const guint8 *feed = memchr (r->in->data, '\n', r->in->len);
  gsize n;

  *more = feed == NULL && r->in->len <= max;
  if (feed == NULL)
    return -1;
  n = (gsize)(feed - r->in->data);
  if (n == 0 || r->in->data[n - 1] != '\r' || n - 1 > max)
    return -1;
  return (gssize)n - 1;
}

/* Reads "SIZE" or "SIZE;EXTENSION", the size in hex digits alone.  */
static bool
size_parse (const char *line, gsize len, gsize *size)
{
  gsize digits = 0;

  *size = 0;
  while (digits < len && g_ascii_isxdigit (line[digits]))
    {
      *size = *size * 16 + (gsize)g_ascii_xdigit_value (line[digits]);
      digits++;
    }
  if (digits == 0 || digits > CHUNK_DIGITS_MAX)
    return false;
  for (gsize i = digits; i < len; i++)
    {
      if (!g_ascii_isprint (line[i]) && line[i] != '\t')
        return false;
    }
  return digits == len || line[digits] == ';';
}

static pu_h1_read_t
chunk_size_read (pu_h1_reader_t *r)
{
  bool more;
  gssize n = line_length (r, CHUNK_LINE_MAX, &more);

  if (more)
    return PU_H1_MORE;
  if (n < 0 || !size_parse ((const char *)r->in->data, (gsize)n, &r->left))
    return refuse (r, BAD_REQUEST);
  take (r, (gsize)n + 2);
  if (r->left > r->body_max - r->body->len)
    return refuse (r, TOO_LARGE);
  r->step = r->left > 0 ? STEP_CHUNK : STEP_TRAILER;
  return PU_H1_MORE;
}

static pu_h1_read_t
chunk_end_read (pu_h1_reader_t *r)
{
  if (r->in->len < 2)
    return PU_H1_MORE;
  if (memcmp (r->in->data, "\r\n", 2) != 0)
    return refuse (r, BAD_REQUEST);
  take (r, 2);
  r->step = STEP_CHUNK_SIZE;
  return PU_H1_MORE;
}

/* Trailers are read and dropped, up to an empty line.  */
static pu_h1_read_t
trailer_read (pu_h1_reader_t *r)
{
  bool more;
  gssize n = line_length (r, TRAILER_MAX, &more);

  if (more)
    return PU_H1_MORE;
  r->trailer += n > 0 ? (gsize)n : 0;
  if (n < 0 || r->trailer > TRAILER_MAX)
    return refuse (r, BAD_REQUEST);
  take (r, (gsize)n + 2);
  if (n == 0)
    r->step = STEP_DONE;
  return PU_H1_MORE;
}

/* One step; PU_H1_MORE with no change of step and input: it wants bytes.  */
static pu_h1_read_t
step_on (pu_h1_reader_t *r)
{
  switch (r->step)
    {
    case STEP_HEAD:
      return head_read (r);
    case STEP_LENGTH:
      stretch_take (r);
      r->step = r->left > 0 ? STEP_LENGTH : STEP_DONE;
      return PU_H1_MORE;
    case STEP_CHUNK_SIZE:
      return chunk_size_read (r);
    case STEP_CHUNK:
      stretch_take (r);
      r->step = r->left > 0 ? STEP_CHUNK : STEP_CHUNK_END;
      return PU_H1_MORE;
    case STEP_CHUNK_END:
      return chunk_end_read (r);
    case STEP_TRAILER:
      return trailer_read (r);
    case STEP_DONE:
      return PU_H1_DONE;
    case STEP_BAD:
      return PU_H1_BAD;
    }
  return PU_H1_BAD;
}

static pu_h1_read_t
advance (pu_h1_reader_t *r)
{
  for (;;)
    {
      step_t step = r->step;
      gsize len = r->in->len;
      pu_h1_read_t read = step_on (r);

      if (read != PU_H1_MORE)
        return read;
      if (r->step == step && r->in->len == len)
        break;
    }
  if (r->expects && r->step != STEP_HEAD)
    {
      r->expects = false;
      return PU_H1_EXPECTS;
    }
  return PU_H1_MORE;
}

pu_h1_read_t
pu_h1_reader_feed (pu_h1_reader_t *r, const char *bytes, gsize len)
{
  /* What belongs to the body makes no stop in the input, whose memory would
     grow to that of the largest read.  */
  if (r->in->len == 0 && (r->step == STEP_LENGTH || r->step == STEP_CHUNK))
    {
      gsize n = MIN (r->left, len);

      g_byte_array_append (r->body, (const guint8 *)bytes, (guint)n);
      r->left -= n;
      bytes += n;
      len -= n;
    }
  if (len > 0)
    g_byte_array_append (r->in, (const guint8 *)bytes, (guint)len);
  return advance (r);
}

pu_h1_read_t
pu_h1_reader_next (pu_h1_reader_t *r)
{
  g_clear_pointer (&r->method, g_free);
  g_clear_pointer (&r->target, g_free);
  g_clear_pointer (&r->host, g_free);
  g_array_set_size (r->headers, 0);
  if (r->body->len > SPARE_MAX)
    {
      bytes_free (&r->body);
    }
  else
    {
      g_byte_array_set_size (r->body, 0);
    }
  r->step = STEP_HEAD;
  r->looked = 0;
  r->head = 0;
  r->trailer = 0;
  r->left = 0;
  r->expects = false;
  return advance (r);
}

bool
pu_h1_reader_begun (const pu_h1_reader_t *r)
{
  return r->step != STEP_HEAD || r->in->len > 0;
}

bool
pu_h1_reader_has_head (const pu_h1_reader_t *r)
{
  return r->step != STEP_HEAD;
}

gsize
pu_h1_reader_held (const pu_h1_reader_t *r)
{
  return r->in->len + (r->step == STEP_DONE ? 0 : r->head + r->body->len);
}

gsize
pu_h1_reader_left (const pu_h1_reader_t *r)
{
  return r->left;
}

void
pu_h1_reader_drop_behind (pu_h1_reader_t *r)
{
  bytes_free (&r->in);
}

void
pu_h1_reader_drop (pu_h1_reader_t *r)
{
  r->step = STEP_BAD;
  bytes_free (&r->in);
  bytes_free (&r->body);
}

int
pu_h1_reader_status (const pu_h1_reader_t *r)
{
  return r->status;
}

const char *
pu_h1_reader_method (const pu_h1_reader_t *r)
{
  return r->method;
}

const char *
pu_h1_reader_target (const pu_h1_reader_t *r)
{
  return r->target;
}

const char *
pu_h1_reader_host (const pu_h1_reader_t *r)
{
  return r->host;
}

const GArray *
pu_h1_reader_headers (const pu_h1_reader_t *r)
{
  return r->headers;
}

const char *
pu_h1_reader_body (const pu_h1_reader_t *r, gsize *len)
{
  *len = r->body->len;
  return r->body->len > 0 ? (const char *)r->body->data : "";
}

bool
pu_h1_reader_keep_alive (const pu_h1_reader_t *r)
{
  return r->keep_alive;
}

bool
pu_h1_reader_old (const pu_h1_reader_t *r)
{
  return r->minor == 0;
}
