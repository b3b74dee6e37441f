#include "base/memory_budget.h"

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

/* Shares of the limit at which the levels begin, in percent.  The rest covers
   what arrives between two updates.  */
#define HOLD_BULK_PCT 70
#define REFUSE_REQUESTS_PCT 85

/* Shares of the limit for requests that are not whole yet: for all, and for
   those that are large.  */
#define ARRIVING_PCT 25
#define ARRIVING_LARGE_PCT 20

/* Share of the limit for the bytes of responses that are not complete.  The
   memory that holds them is up to twice as much.  */
#define ANSWERS_PCT 20

/* Share of the limit for the large bodies of requests in progress.  The memory
   that holds them is twice as much: the connection and the request have a copy
   each.  */
#define BODIES_PCT 25

/* Share of the limit for large complete responses that callers read.  */
#define UNREAD_PCT 20

/* A level ends this much below the share at which it began.  */
#define HYSTERESIS_PCT 5

/* Seven numbers of at most 20 digits.  */
#define STATM_MAX_BYTES 160

#define CGROUP_ROOT "/sys/fs/cgroup"

static uint64_t
share_of (const pu_memory_budget_t *m, unsigned pct)
{
  return m->limit / 100 * pct;
}

static pu_memory_level_t
level_above (const pu_memory_budget_t *m, unsigned margin_pct)
{
  if (m->used >= share_of (m, REFUSE_REQUESTS_PCT - margin_pct))
    return PU_MEMORY_REFUSE_REQUESTS;
  if (m->used >= share_of (m, HOLD_BULK_PCT - margin_pct))
    return PU_MEMORY_HOLD_BULK;
  return PU_MEMORY_NORMAL;
}

bool
pu_memory_budget_update (pu_memory_budget_t *m, uint64_t used)
{
  pu_memory_level_t before = m->level;
  pu_memory_level_t begins;
  pu_memory_level_t lasts;

  m->used = used;
  if (m->limit == 0)
    return false;
  begins = level_above (m, 0);
  lasts = level_above (m, HYSTERESIS_PCT);
  m->level = MAX (begins, MIN (before, lasts));
  return m->level != before;
}

bool
pu_memory_budget_reached (const pu_memory_budget_t *m, pu_memory_level_t level)
{
  return m != NULL && m->level >= level;
}

uint64_t
pu_memory_arriving_max (const pu_memory_budget_t *m)
{
  return m == NULL || m->limit == 0 ? UINT64_MAX
                                    : share_of (m, ARRIVING_LARGE_PCT);
}

uint64_t
pu_memory_answers_max (const pu_memory_budget_t *m)
{
  return m == NULL || m->limit == 0 ? UINT64_MAX : share_of (m, ANSWERS_PCT);
}

uint64_t
pu_memory_bodies_max (const pu_memory_budget_t *m)
{
  return m == NULL || m->limit == 0 ? UINT64_MAX : share_of (m, BODIES_PCT);
}

uint64_t
pu_memory_unread_max (const pu_memory_budget_t *m)
{
  return m == NULL || m->limit == 0 ? UINT64_MAX : share_of (m, UNREAD_PCT);
}

bool
pu_memory_arriving_fits (const pu_memory_budget_t *m, uint64_t held,
                         uint64_t more)
{
  bool large = held + more > PU_MEMORY_SMALL_REQUEST;

  if (m == NULL || m->limit == 0)
    return true;
  return m->arriving + more
         <= share_of (m, large ? ARRIVING_LARGE_PCT : ARRIVING_PCT);
}

void
pu_memory_arriving_move (pu_memory_budget_t *m, uint64_t before,
                         uint64_t after)
{
  if (m != NULL)
    m->arriving = m->arriving - before + after;
}

const char *
pu_memory_level_name (pu_memory_level_t level)
{
  switch (level)
    {
    case PU_MEMORY_NORMAL:
      return "normal";
    case PU_MEMORY_HOLD_BULK:
      return "hold bulk transfers";
    case PU_MEMORY_REFUSE_REQUESTS:
      return "refuse requests";
    }
  return "normal";
}

uint64_t
pu_memory_parse_resident (const char *statm, uint64_t page)
{
  const char *resident = strchr (statm, ' ');

  return resident == NULL ? 0
                          : g_ascii_strtoull (resident + 1, NULL, 10) * page;
}

uint64_t
pu_memory_parse_limit (const char *text)
{
  return g_ascii_strtoull (text, NULL, 10);
}

int
pu_memory_open_resident (void)
{
  return open ("/proc/self/statm", O_RDONLY | O_CLOEXEC);
}

uint64_t
pu_memory_read_resident (int fd)
{
  char statm[STATM_MAX_BYTES + 1];
  ssize_t n = fd < 0 ? -1 : pread (fd, statm, STATM_MAX_BYTES, 0);

  if (n <= 0)
    return 0;
  statm[n] = '\0';
  return pu_memory_parse_resident (statm, (uint64_t)sysconf (_SC_PAGESIZE));
}

/* cgroup_path - returns the path of this process's cgroup below the root, or
   NULL.  */
static char *
cgroup_path (void)
{
  char *text;
  char *path = NULL;
  char **lines;

  if (!g_file_get_contents ("/proc/self/cgroup", &text, NULL, NULL))
    return NULL;
  lines = g_strsplit (text, "\n", -1);
  for (char **l = lines; *l != NULL && path == NULL; l++)
    {
      if (g_str_has_prefix (*l, "0::"))
        path = g_strdup (*l + strlen ("0::"));
    }
  g_strfreev (lines);
  g_free (text);
  return path;
}

uint64_t
pu_memory_cgroup_limit (void)
{
  char *path = cgroup_path ();
  char *file;
  char *text;
  uint64_t limit = 0;

  if (path == NULL)
    return 0;
  file = g_build_filename (CGROUP_ROOT, path, "memory.max", NULL);
  if (g_file_get_contents (file, &text, NULL, NULL))
    {
      limit = pu_memory_parse_limit (text);
      g_free (text);
    }
  g_free (file);
  g_free (path);
  return limit;
}
