/* Parts of prompts that crash backend servers (suspects/parts.h), and their
   records in the replicated log.

   A record is that of a suspect: its fingerprint is the hash of the part, its
   model is PART_MODEL, and each strike names the backend server and the
   request.  Only entries tell such a record from that of a request.  */

#include "entry/entry_private.h"

#include <string.h>

#include "base/breaks.h"
#include "base/log.h"

/* No model has this name.  */
#define PART_MODEL "(part of prompts)"

/* Separates the backend server from the hash of the request.  */
#define REQUEST_MARK '#'

enum
{
  HEX_DIGITS = 16,
  HEX_BASE = 16
};

static guint64
now_of (const pu_exchange_t *x)
{
  return uv_now (x->en->o.loop);
}

static guint64
server_hash (const char *name, gsize len)
{
  return pu_parts_hash (name, len);
}

/* Returns a hash that tells the request of X from others: those that differ in
   nothing but their prompts are different too.  */
static guint64
request_hash (const pu_exchange_t *x)
{
  const pu_request_t *q = &x->q;
  guint64 both[]
      = { q->fingerprint, q->n_prefix > 0 ? q->prefix[q->n_prefix - 1] : 0 };

  return pu_parts_hash (both, sizeof both);
}

static bool
is_tracked (const pu_exchange_t *x)
{
  return x->q.n_parts > 0 && x->at.suspect_tracked;
}

/* --- runs --- */

/* Asks the log to lift the accusations of parts that a run has cleared.  */
static void
cleared_lift (pu_entry_t *en)
{
  GArray *parts = g_array_new (FALSE, FALSE, sizeof (guint64));

  pu_parts_take_lifts (en->parts, parts);
  for (guint i = 0; i < parts->len; i++)
    {
      guint64 part = g_array_index (parts, guint64, i);

      if (pu_state_suspect (en->o.hooks.view (en->o.hooks.data), part) == NULL)
        continue;
      pu_log_note (PU_ENTRY_LOG_SLICE,
                   "A run with part %016" G_GINT64_MODIFIER
                   "x of its prompt got on; lifting its accusations.",
                   part);
      pu_strikes_lift (en, part);
    }
  g_array_free (parts, TRUE);
}

void
pu_part_sent (const pu_exchange_t *x)
{
  const pu_server_t *s = x->at.server;

  if (!is_tracked (x))
    return;
  pu_parts_started (x->en->parts, x->number, request_hash (x), x->q.parts,
                    x->q.n_parts, server_hash (s->name, strlen (s->name)),
                    x->at.incarnation, now_of (x));
}

void
pu_part_wrote (const pu_exchange_t *x, guint events)
{
  if (!is_tracked (x))
    return;
  pu_parts_wrote (x->en->parts, x->number, events, now_of (x));
  cleared_lift (x->en);
}

static bool
has_cleared_parts_only (const pu_exchange_t *x)
{
  for (guint i = 0; i < x->q.n_parts; i++)
    {
      if (!pu_parts_is_cleared (x->en->parts, x->q.parts[i], now_of (x)))
        return false;
    }
  return true;
}

void
pu_part_completed (const pu_exchange_t *x)
{
  bool proven = x->at.complete || x->at.done;

  if (!is_tracked (x))
    return;
  pu_parts_completed (x->en->parts, x->number, proven, now_of (x));
  cleared_lift (x->en);
  /* A crash between two events looks like the end of a response, so that a
     connection must show that the backend server lives.  */
  if (!proven && !has_cleared_parts_only (x))
    pu_server_check_crash (x->at.server);
}

void
pu_part_ended (const pu_exchange_t *x, bool cut)
{
  if (is_tracked (x))
    pu_parts_ended (x->en->parts, x->number, cut, now_of (x));
}

void
pu_parts_entry_tick (pu_entry_t *en, guint64 now)
{
  pu_parts_tick (en->parts, now);
  cleared_lift (en);
}

void
pu_part_server_alive (const pu_server_t *s, guint64 since)
{
  pu_parts_backend_alive (s->en->parts,
                          server_hash (s->name, strlen (s->name)),
                          s->incarnation, since);
}

/* --- accusations --- */

static void
accusation_propose (const pu_server_t *s, guint64 incarnation,
                    const pu_parts_accusation_t *one)
{
  char *crash = g_strdup_printf ("%s%c%016" G_GINT64_MODIFIER "x", s->name,
                                 REQUEST_MARK, one->request);

  pu_log_note (PU_ENTRY_LOG_SLICE,
               "Accusing part %016" G_GINT64_MODIFIER
               "x of a prompt of the crash of backend server %s.",
               one->part, s->name);
  if (strlen (crash) <= PU_NAME_MAX)
    {
      pu_strike_propose (s->en, one->part, PART_MODEL, crash, incarnation,
                         false);
    }
  g_free (crash);
}

/* Tells the other entries, which learn of the accusations by the log later, or
   not at all while it accepts nothing.  */
static void
accusations_tell (const pu_server_t *s, const GArray *accused)
{
  pu_entry_t *en = s->en;
  GArray *list = g_array_new (FALSE, FALSE, sizeof (pu_entry_accusation_t));
  const GPtrArray *others;

  if (en->o.hooks.tell_accusations != NULL && accused->len > 0)
    {
      for (guint i = 0; i < accused->len; i++)
        {
          const pu_parts_accusation_t *a
              = &g_array_index (accused, pu_parts_accusation_t, i);
          pu_entry_accusation_t one
              = { a->part, server_hash (s->name, strlen (s->name)),
                  a->request };

          g_array_append_val (list, one);
        }
      others = pu_load_forward_entries (en);
      for (guint i = 0; i < others->len; i++)
        {
          en->o.hooks.tell_accusations (
              en->o.hooks.data, g_ptr_array_index (others, i),
              (const pu_entry_accusation_t *)(void *)list->data, list->len);
        }
    }
  g_array_free (list, TRUE);
}

void
pu_entry_receive_accusations (pu_entry_t *en,
                              const pu_entry_accusation_t *list, guint n)
{
  guint64 now = uv_now (en->o.loop);

  for (guint i = 0; i < n; i++)
    {
      const pu_parts_crash_t crash = { list[i].backend, list[i].request };

      pu_parts_heard (en->parts, list[i].part, &crash, now);
    }
  pu_log_event (PU_ENTRY_LOG_SLICE,
                "Another entry accuses parts of prompts of a crash.",
                PU_LOG_NUMBER ("parts", n));
}

void
pu_part_accuse (const pu_server_t *s, guint64 incarnation)
{
  pu_entry_t *en = s->en;
  GArray *accused = g_array_new (FALSE, FALSE, sizeof (pu_parts_accusation_t));

  if (!pu_entry_reach_is_doubtful (en) && !pu_server_may_have_fallen (s))
    {
      pu_parts_backend_died (en->parts,
                             server_hash (s->name, strlen (s->name)),
                             incarnation, accused, uv_now (en->o.loop));
    }
  for (guint i = 0; i < accused->len; i++)
    {
      accusation_propose (s, incarnation,
                          &g_array_index (accused, pu_parts_accusation_t, i));
    }
  accusations_tell (s, accused);
  g_array_free (accused, TRUE);
}

pu_parts_verdict_t
pu_part_verdict (const pu_exchange_t *x, guint64 *which)
{
  if (x->q.n_parts == 0 || !x->q.crash_tracked
      || pu_break_active (PU_BREAK_PARTS_IGNORED))
    return PU_PARTS_UNKNOWN;
  return pu_parts_check (x->en->parts, x->q.parts, x->q.n_parts, now_of (x),
                         which);
}

bool
pu_part_forbids_repeat (const pu_exchange_t *x, pu_router_failure_t failure)
{
  return (failure == PU_ROUTER_FAIL_DIED
          || failure == PU_ROUTER_FAIL_TRUNCATED)
         && pu_part_verdict (x, NULL) >= PU_PARTS_SUSPECTED;
}

/* --- records of the log --- */

bool
pu_part_is_record (const pu_suspect_record *s)
{
  return strcmp (s->model, PART_MODEL) == 0;
}

/* Reads LOST, one of the lost backend servers of a record, which is
   SERVER#REQUEST@INCARNATION.  */
static bool
crash_read (const char *lost, pu_parts_crash_t *crash)
{
  const char *mark = strrchr (lost, REQUEST_MARK);
  char *end;

  if (mark == NULL)
    return false;
  crash->backend = server_hash (lost, (gsize)(mark - lost));
  crash->request = g_ascii_strtoull (mark + 1, &end, HEX_BASE);
  return end == mark + 1 + HEX_DIGITS;
}

/* Logs the verdict on a request that has PART alone.  A single crash accuses
   many parts and is not worth a line for each.  */
static void
standing_log (pu_entry_t *en, guint64 part, pu_parts_verdict_t verdict,
              guint strikes)
{
  static const char *const names[] = {
    [PU_PARTS_UNKNOWN] = "cleared",
    [PU_PARTS_SUSPECTED] = "suspected",
    [PU_PARTS_CONVICTED] = "convicted",
  };
  pu_parts_verdict_t before = (pu_parts_verdict_t)GPOINTER_TO_INT (
      g_hash_table_lookup (en->part_standings, &part));
  pu_parts_verdict_t now
      = verdict == PU_PARTS_ACCUSED ? PU_PARTS_UNKNOWN : verdict;
  char hex[sizeof "0123456789abcdef"];

  if (before == now)
    return;
  g_snprintf (hex, sizeof hex, "%016" G_GINT64_MODIFIER "x", part);
  pu_log_event (
      PU_ENTRY_LOG_SLICE, "A part of prompts changed its standing.",
      PU_LOG_TEXT ("part", hex), PU_LOG_TEXT ("before", names[before]),
      PU_LOG_TEXT ("now", names[now]), PU_LOG_NUMBER ("strikes", strikes));
  if (now == PU_PARTS_UNKNOWN)
    {
      g_hash_table_remove (en->part_standings, &part);
    }
  else
    {
      g_hash_table_insert (en->part_standings, g_memdup2 (&part, sizeof part),
                           GINT_TO_POINTER (now));
    }
}

void
pu_part_apply (pu_entry_t *en, const pu_suspect_record *s)
{
  guint64 part = s->fingerprint;
  guint64 now = uv_now (en->o.loop);
  pu_parts_crash_t crashes[PU_LOST_MAX];
  guint n = 0;

  for (u_int i = 0; i < s->lost.lost_len && n < PU_LOST_MAX; i++)
    n += crash_read (s->lost.lost_val[i], &crashes[n]);
  pu_parts_put (en->parts, part, crashes, n, now);
  standing_log (en, part, pu_parts_check (en->parts, &part, 1, now, NULL),
                s->strikes);
}

void
pu_part_remove (pu_entry_t *en, guint64 part)
{
  pu_parts_remove (en->parts, part);
  standing_log (en, part, PU_PARTS_UNKNOWN, 0);
}
