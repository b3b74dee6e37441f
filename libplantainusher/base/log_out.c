#include "base/log_out.h"

#include <errno.h>
#include <limits.h>
#include <poll.h>
#include <unistd.h>

/* Kept while the reader takes nothing: some thousand lines.  */
#define KEPT_MAX ((gsize)256 * 1024)
/* Lines of one call to write.  */
#define BATCH 2048
/* In a second: twenty for each of fifty requests, which is more than a daemon
   gets at its largest size.  */
#define LINES_PER_S 1000
/* A pipe that poll calls writable takes so much without waiting.  */
#define CHUNK PIPE_BUF

static struct
{
  int fd;
  GString *kept;
  guint64 dropped; /* since the start */
  guint64 told;    /* of them, in a line of the log */
  gint64 second;   /* of the monotonic clock */
  guint lines;     /* taken in it */
} out = { .fd = STDOUT_FILENO };

static bool
takes_bytes (void)
{
  struct pollfd p = { .fd = out.fd, .events = POLLOUT };

  return poll (&p, 1, 0) == 1 && (p.revents & POLLOUT) != 0;
}

void
pu_log_out_flush (void)
{
  gsize done = 0;

  if (out.kept == NULL)
    return;
  while (done < out.kept->len && takes_bytes ())
    {
      gsize n = MIN (out.kept->len - done, CHUNK);
      ssize_t written = write (out.fd, out.kept->str + done, n);

      if (written < 0 && errno == EINTR)
        continue;
      /* Nothing reads it any more, or will for now: there is no better place
         to say so.  */
      if (written <= 0)
        break;
      done += (gsize)written;
    }
  g_string_erase (out.kept, 0, (gssize)done);
}

static void
keep (const char *line)
{
  g_string_append (out.kept, line);
  g_string_append_c (out.kept, '\n');
}

/* One line for all that were dropped since the last such line.  */
static void
drops_tell (void)
{
  char *line;

  if (out.dropped == out.told)
    return;
  line = g_strdup_printf (
      "{\"level\":\"warn\",\"part\":\"log\",\"message\":\"Dropped lines.\","
      "\"lines\":%" G_GUINT64_FORMAT ",\"since_start\":%" G_GUINT64_FORMAT "}",
      out.dropped - out.told, out.dropped);
  out.told = out.dropped;
  keep (line);
  g_free (line);
}

/* Whether this second's lines are used up.  Those that must not wait count,
   but are not held back.  */
static bool
is_too_many (bool urgent)
{
  gint64 second = g_get_monotonic_time () / G_USEC_PER_SEC;

  if (second != out.second)
    {
      out.second = second;
      out.lines = 0;
    }
  out.lines++;
  return !urgent && out.lines > LINES_PER_S;
}

void
pu_log_out_line (const char *line, bool now)
{
  if (out.kept == NULL)
    out.kept = g_string_new (NULL);
  if (is_too_many (now) || out.kept->len > KEPT_MAX)
    {
      out.dropped++;
      pu_log_out_flush ();
      return;
    }
  drops_tell ();
  keep (line);
  if (now || out.kept->len >= BATCH)
    pu_log_out_flush ();
}

guint64
pu_log_out_dropped (void)
{
  return out.dropped;
}

void
pu_log_out_to (int fd)
{
  out.fd = fd;
}
