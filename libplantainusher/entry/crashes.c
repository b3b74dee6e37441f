/* Crashes of backend servers, told from the loss of this instance's own way to
   them (routing/witnesses.h).  Used with a frontend given in the options.  */

#include "entry/entry_private.h"

#include <string.h>

#include "base/breaks.h"
#include "base/log.h"

enum
{
  /* Other backend servers that are asked before a crash is taken for a fault
     of this instance's network.  */
  CONFIRMATIONS_MAX = 8,
  WITNESSES_MAX = 8,
  WITNESSES_MS = 250, /* for the answers of all witnesses */
  WITNESS_MS = 1000,  /* for the answers of most */
  /* Of this entry at once: one that sees more backend servers crash has reason
     to doubt itself.  */
  INQUIRIES_MAX = 32,
  SIGHTINGS_MAX = 64, /* of this entry as a witness, at once */
  /* Interval of the inquiries while connections are refused and no request
     broke off.  */
  INQUIRY_INTERVAL_MS = 500,
  /* How long the log may confirm a crash of which witnesses could tell
     nothing.  */
  UNCONFIRMED_MS = 5000,
};

static guint64
loop_now (const pu_entry_t *en)
{
  return uv_now (en->o.loop);
}

/* --- what follows from a crash --- */

/* Takes the requests that were sent to S after it refused a connection out of
   those that may have crashed it.  */
static void
later_requests_clear (const pu_server_t *s)
{
  const pu_entry_t *en = s->en;

  for (GList *l = en->open.head; l != NULL; l = l->next)
    {
      pu_exchange_t *x = l->data;

      if (x->at.server != s || !x->at.suspect_tracked
          || x->at.sent_at <= s->refused_at)
        continue;
      pu_suspects_finished (en->suspects, x->number);
      pu_part_ended (x, false);
      x->at.suspect_tracked = false;
    }
}

static void
crash_record (pu_server_t *s)
{
  s->unconfirmed_until = 0;
  if (s->broke_off)
    {
      pu_log_note (PU_ENTRY_LOG_SLICE,
                   "Backend server %s broke off requests and refuses "
                   "connections: it has crashed.",
                   s->name);
      later_requests_clear (s);
      pu_server_propose_strikes (s, s->incarnation);
    }
  pu_server_refused (s);
}

/* Ends the check of S.  RECORDED: all that broke off on S is dealt with.  */
static void
check_end (pu_server_t *s, bool recorded)
{
  bool again = s->probe_again && !(recorded && s->broke_off);

  s->broke_off = false;
  if (again)
    {
      pu_server_probe_start (s);
    }
  else
    {
      pu_server_release_held (s);
    }
}

void
pu_server_crash_logged (pu_server_t *s)
{
  if (loop_now (s->en) >= s->unconfirmed_until
      && (s->inquiry == 0 || !s->broke_off))
    return;
  s->unconfirmed_until = 0;
  later_requests_clear (s);
  pu_server_propose_strikes (s, s->incarnation);
}

/* --- asking witnesses --- */

static void
candidate_add (const pu_member_record *m, void *data)
{
  GPtrArray *candidates = data;

  if (*m->caller_address != '\0' && !m->leaving)
    g_ptr_array_add (candidates, (gpointer)m);
}

static void
shuffle (GPtrArray *list, GRand *random)
{
  for (guint i = list->len; i > 1; i--)
    {
      guint j = (guint)g_rand_int_range (random, 0, (gint)i);
      gpointer kept = list->pdata[i - 1];

      list->pdata[i - 1] = list->pdata[j];
      list->pdata[j] = kept;
    }
}

/* Removes from CANDIDATES and returns the first one of the zone from which the
   fewest were taken, by TAKEN: zone -> number.  */
static const pu_member_record *
take_candidate (GPtrArray *candidates, GHashTable *taken)
{
  const pu_member_record *m;
  guint fewest = G_MAXUINT;
  guint at = 0;

  for (guint i = 0; i < candidates->len; i++)
    {
      m = g_ptr_array_index (candidates, i);
      guint n = GPOINTER_TO_UINT (g_hash_table_lookup (taken, m->zone));

      if (n >= fewest)
        continue;
      fewest = n;
      at = i;
    }
  m = g_ptr_array_remove_index (candidates, at);
  g_hash_table_insert (taken, m->zone, GUINT_TO_POINTER (fewest + 1));
  return m;
}

/* Returns random other entries, spread over the zones: a zone may have lost
   its way as a whole.  The records belong to the view.  */
static GPtrArray *
choose_witnesses (const pu_entry_t *en)
{
  GPtrArray *candidates = g_ptr_array_new ();
  GPtrArray *chosen = g_ptr_array_new ();
  GHashTable *taken = g_hash_table_new (g_str_hash, g_str_equal);

  if (en->o.hooks.ask_witness != NULL
      && !pu_break_active (PU_BREAK_WITNESSES_IGNORED))
    {
      pu_state_each_member (en->o.hooks.view (en->o.hooks.data), candidate_add,
                            candidates);
    }
  shuffle (candidates, en->random);
  while (candidates->len > 0 && chosen->len < WITNESSES_MAX)
    {
      const pu_member_record *m = take_candidate (candidates, taken);

      if (strcmp (m->name, en->name) != 0)
        g_ptr_array_add (chosen, (gpointer)m);
    }
  g_hash_table_destroy (taken);
  g_ptr_array_free (candidates, TRUE);
  return chosen;
}

static void
inquiry_begin (pu_server_t *s, const GPtrArray *witnesses)
{
  pu_entry_t *en = s->en;
  guint64 now = loop_now (en);

  s->inquiry = ++en->last_inquiry;
  s->inquiry_incarnation = s->incarnation;
  pu_witnesses_init (&s->witnesses, witnesses->len, now + WITNESSES_MS,
                     now + WITNESS_MS);
  g_hash_table_insert (en->inquiries, &s->inquiry, s);
  pu_server_watch (s);
  for (guint i = 0; i < witnesses->len; i++)
    {
      const pu_member_record *m = g_ptr_array_index (witnesses, i);

      en->o.hooks.ask_witness (en->o.hooks.data, m->peer_address, s->name,
                               s->incarnation, s->inquiry, WITNESS_MS);
    }
}

/* Leaves it to the log whether S, which requests broke off from, has
   crashed.  */
static void
wait_for_log (pu_server_t *s)
{
  if (s->broke_off)
    s->unconfirmed_until = loop_now (s->en) + UNCONFIRMED_MS;
}

static void
verdict_apply (pu_server_t *s, pu_witnesses_verdict_t verdict)
{
  switch (verdict)
    {
    case PU_WITNESSES_RUNS:
      pu_log_note (PU_ENTRY_LOG_SLICE,
                   "Backend server %s accepts no connections from this "
                   "instance, but those of another one: it runs.",
                   s->name);
      s->unconfirmed_until = 0;
      pu_server_set_lost (s);
      return;
    case PU_WITNESSES_CRASHED:
      crash_record (s);
      return;
    case PU_WITNESSES_UNKNOWN:
      wait_for_log (s);
      /* The leader may be cut off from the same backend servers, so that it is
         told only where no other entry answers, as those of an earlier
         release.  */
      if (pu_witnesses_none_answered (&s->witnesses))
        pu_server_refused (s);
      return;
    case PU_WITNESSES_AWAITED:
      return;
    }
}

/* Ends the inquiry about S if its result is known.  */
static void
inquiry_step (pu_server_t *s, guint64 now)
{
  pu_witnesses_verdict_t verdict = pu_witnesses_verdict (&s->witnesses, now);

  if (verdict == PU_WITNESSES_AWAITED)
    return;
  g_hash_table_remove (s->en->inquiries, &s->inquiry);
  s->inquiry = 0;
  if (s->inquiry_incarnation == s->incarnation)
    verdict_apply (s, verdict);
  check_end (s, verdict == PU_WITNESSES_CRASHED);
}

void
pu_server_inquiry_tick (pu_server_t *s, guint64 now)
{
  if (s->inquiry != 0)
    inquiry_step (s, now);
}

void
pu_entry_receive_sight (pu_entry_t *en, guint64 inquiry, pu_sight_t sight)
{
  pu_server_t *s = g_hash_table_lookup (en->inquiries, &inquiry);

  if (s == NULL || en->freed)
    return;
  pu_witnesses_add (&s->witnesses, sight);
  inquiry_step (s, loop_now (en));
}

/* --- own evidence, where no other entry can be asked --- */

static bool another_connect (pu_server_t *s);

/* Handles the result of a connection to another backend server than S, which
   refuses connections.  That one may have crashed too; if none that is asked
   accepts a connection, it is this instance that may be cut off.  */
static void
on_another_connected (void *data, pu_http_call_t *call,
                      const pu_http_result_t *result)
{
  pu_server_t *s = data;

  (void)call;
  s->probe = NULL;
  if (result->kind == PU_HTTP_END_COMPLETE)
    {
      pu_reach_connected (&s->en->reach);
      crash_record (s);
      check_end (s, true);
    }
  else if (!result->refused || ++s->crash_confirmations >= CONFIRMATIONS_MAX
           || !another_connect (s))
    {
      check_end (s, false);
    }
}

/* Connects to another backend server than S, if there is one.  */
static bool
another_connect (pu_server_t *s)
{
  const pu_server_t *other = pu_entry_reach_random_server (s->en, s);
  pu_http_call_options_t o = { .method = "GET",
                               .target = "/",
                               .fresh = true,
                               .connect_only = true,
                               .events = { .on_end = on_another_connected },
                               .data = s };

  if (other == NULL)
    return false;
  o.address = other->address;
  s->probe = pu_http_client_start (s->en->client, &o, NULL);
  return s->probe != NULL;
}

/* --- the beginning of a check --- */

static void
check_begin (pu_server_t *s, const GPtrArray *witnesses)
{
  s->refused_at = loop_now (s->en);
  s->next_inquiry_at = s->refused_at + INQUIRY_INTERVAL_MS;
  s->crash_confirmations = 0;
  if (witnesses->len > 0
      && g_hash_table_size (s->en->inquiries) < INQUIRIES_MAX)
    {
      inquiry_begin (s, witnesses);
    }
  else if (witnesses->len > 0)
    {
      wait_for_log (s);
      check_end (s, false);
    }
  else if (!another_connect (s))
    {
      crash_record (s);
      check_end (s, true);
    }
}

void
pu_server_crash_probed (pu_server_t *s, const pu_http_result_t *result)
{
  bool refused = result->kind == PU_HTTP_END_CONNECT_FAILED;
  GPtrArray *witnesses;

  if (result->kind == PU_HTTP_END_COMPLETE)
    pu_part_server_alive (s, s->probe_began_at);
  if (refused)
    pu_reach_failed (&s->en->reach, s->number, loop_now (s->en));
  if (!refused
      || pu_suspects_has_open (s->en->suspects, s->number, s->incarnation))
    {
      check_end (s, false);
      return;
    }
  s->broke_off = true;
  witnesses = choose_witnesses (s->en);
  check_begin (s, witnesses);
  g_ptr_array_free (witnesses, TRUE);
}

/* Whether a refused connection of S alone lets this entry, which can ask no
   other, suspect a crash.  */
static bool
suspects_alone (const pu_server_t *s, bool refused)
{
  const pu_entry_t *en = s->en;

  return refused && !s->plain && en->o.hooks.report_refusal != NULL
         && !pu_entry_reach_is_doubtful (en);
}

void
pu_server_note_unconnected (pu_server_t *s, bool refused)
{
  const pu_entry_t *en = s->en;
  GPtrArray *witnesses;

  if (s->down || pu_server_is_checked (s) || loop_now (en) < s->next_inquiry_at
      || en->reach.state == PU_REACH_CUT_OFF)
    return;
  witnesses = choose_witnesses (en);
  if (witnesses->len > 0 || suspects_alone (s, refused))
    check_begin (s, witnesses);
  g_ptr_array_free (witnesses, TRUE);
}

/* --- being a witness --- */

/* A question of another entry: what this one sees of a backend server.  */
typedef struct
{
  pu_entry_t *en;
  char *server;
  guint refused; /* connections to other backend servers */
  pu_entry_sight_fn *fn;
  void *data;
} sighting_t;

static void
sighting_end (sighting_t *g, pu_sight_t sight)
{
  pu_entry_t *en = g->en;

  en->pending--;
  en->sightings--;
  g->fn (g->data, sight);
  g_free (g->server);
  g_free (g);
  pu_entry_check_stopped (en);
}

static bool
sighting_connect (sighting_t *g, const pu_server_t *to,
                  void (*on_end) (void *data, pu_http_call_t *call,
                                  const pu_http_result_t *result))
{
  pu_http_call_options_t o = { .address = to->address,
                               .method = "GET",
                               .target = "/",
                               .fresh = true,
                               .connect_only = true,
                               .events = { .on_end = on_end },
                               .data = g };

  return !g->en->freed
         && pu_http_client_start (g->en->client, &o, NULL) != NULL;
}

static void on_control_connected (void *data, pu_http_call_t *call,
                                  const pu_http_result_t *result);

/* The backend server refuses this entry: whether another one accepts it.  */
static void
control_connect (sighting_t *g)
{
  const pu_server_t *s = pu_server_find (g->en, g->server);
  const pu_server_t *other = pu_entry_reach_random_server (g->en, s);

  if (other == NULL)
    {
      sighting_end (g, PU_SIGHT_REFUSES);
    }
  else if (!sighting_connect (g, other, on_control_connected))
    {
      sighting_end (g, PU_SIGHT_NONE);
    }
}

static void
on_control_connected (void *data, pu_http_call_t *call,
                      const pu_http_result_t *result)
{
  sighting_t *g = data;

  (void)call;
  if (result->kind == PU_HTTP_END_COMPLETE)
    {
      sighting_end (g, PU_SIGHT_REFUSES);
    }
  else if (result->refused && ++g->refused < CONFIRMATIONS_MAX)
    {
      control_connect (g);
    }
  else
    {
      sighting_end (g, PU_SIGHT_NONE);
    }
}

static void
on_seen (void *data, pu_http_call_t *call, const pu_http_result_t *result)
{
  sighting_t *g = data;

  (void)call;
  if (result->kind == PU_HTTP_END_COMPLETE)
    {
      sighting_end (g, PU_SIGHT_ACCEPTS);
    }
  else if (result->refused)
    {
      control_connect (g);
    }
  else
    {
      sighting_end (g, PU_SIGHT_NONE);
    }
}

void
pu_entry_see_backend (pu_entry_t *en, const char *name, guint64 incarnation,
                      pu_entry_sight_fn *fn, void *data)
{
  const pu_server_t *s = pu_server_find (en, name);
  sighting_t *g;

  if (s == NULL || s->incarnation != incarnation || s->down || en->freed
      || en->sightings >= SIGHTINGS_MAX)
    {
      fn (data, PU_SIGHT_NONE);
      return;
    }
  g = g_new0 (sighting_t, 1);
  g->en = en;
  g->server = g_strdup (name);
  g->fn = fn;
  g->data = data;
  en->pending++;
  en->sightings++;
  if (!sighting_connect (g, s, on_seen))
    sighting_end (g, PU_SIGHT_NONE);
}
