#include "agent/agent_private.h"

#include <string.h>

#include "base/log.h"
#include "control/packed.h"

/* A command over this size is sent compressed.  */
#define PACKED_MIN_BYTES ((size_t)4 << 10)

/* Pause before an attempt is made again, with jitter.  */
#define PAUSE_MS 40

/* A proposal that took this long, or was given up, is logged: one a second at
   most.  */
#define SLOW_MS 1000
#define SLOW_LOG_PERIOD_MS 1000

typedef struct
{
  pu_agent_t *agent;
  GList node; /* in agent->proposals */
  uint64_t seq;
  pu_command_type type;
  GBytes *command;
  GBytes *packed; /* COMMAND compressed; NULL: it is short, or a voter does not
                     take compressed commands */
  uint64_t begun; /* loop time, ms */
  uint64_t due;   /* the same */
  bool unknown;   /* an attempt ended so: it may have run */
  bool under_way; /* an attempt is */
  guint attempts;
  pu_error_kind_t
      last_failure;  /* of the last attempt that did not settle it */
  uv_timer_t *timer; /* NULL until it is needed */
  pu_agent_done_fn *fn;
  void *data;
} proposal_t;

static void proposal_try (proposal_t *p);

static bool
is_given_up (const pu_error_t *e)
{
  return e->kind == PU_ERROR_TIMEOUT || e->kind == PU_ERROR_UNAVAILABLE;
}

/* Tells what P waited for, now that it ends with E.  */
static void
log_slow (const proposal_t *p, const pu_error_t *e)
{
  pu_agent_t *a = p->agent;
  uint64_t now = uv_now (a->options.loop);

  if (a->closing || (now - p->begun < SLOW_MS && !is_given_up (e))
      || !pu_log_limited (&a->slow_logged_at, now, SLOW_LOG_PERIOD_MS))
    return;
  pu_log_event (PU_AGENT_PART, "A proposal took long.",
                PU_LOG_TEXT ("command", pu_command_name (p->type)),
                PU_LOG_NUMBER ("ms", now - p->begun),
                PU_LOG_NUMBER ("attempts", p->attempts),
                PU_LOG_TEXT ("failure", pu_error_kind_name (p->last_failure)),
                PU_LOG_TEXT ("leader", a->leader),
                PU_LOG_TEXT ("outcome", pu_error_kind_name (e->kind)));
}

static void
proposal_end (proposal_t *p, const pu_reply *r, const pu_error_t *e)
{
  pu_agent_done_fn *fn = p->fn;
  void *data = p->data;

  log_slow (p, e);
  g_queue_unlink (&p->agent->proposals, &p->node);
  if (p->timer != NULL)
    pu_rpc_timer_free (p->timer);
  g_bytes_unref (p->command);
  g_clear_pointer (&p->packed, g_bytes_unref);
  g_free (p);
  fn (data, r, e);
}

static void
proposal_give_up (proposal_t *p)
{
  pu_error_t e;

  if (p->unknown)
    {
      pu_error_set (&e, PU_ERROR_TIMEOUT,
                    "No answer in time; the outcome is not known.");
    }
  else
    {
      pu_error_set (&e, PU_ERROR_UNAVAILABLE,
                    "Control cannot be reached or has no quorum; the command "
                    "was not run.");
    }
  proposal_end (p, NULL, &e);
}

static void
on_timer (uv_timer_t *t)
{
  proposal_try (t->data);
}

static void
proposal_later (proposal_t *p, guint ms)
{
  if (p->timer == NULL)
    p->timer = pu_rpc_timer_new (p->agent->options.loop, p);
  uv_timer_start (p->timer, on_timer, ms, 0);
}

/* may_repeat - whether a second copy of the command is harmless; see
   pu_agent_propose.  */
static bool
may_repeat (const proposal_t *p)
{
  return p->type != PU_COMMAND_RESERVE;
}

/* proposal_again - the last attempt did not settle it.  */
static void
proposal_again (proposal_t *p)
{
  pu_agent_t *a = p->agent;
  guint pause = PAUSE_MS / 2 + (guint)g_rand_int_range (a->rand, 0, PAUSE_MS);

  if (uv_now (a->options.loop) + pause >= p->due
      || (p->unknown && !may_repeat (p)))
    {
      proposal_give_up (p);
    }
  else
    {
      proposal_later (p, pause);
    }
}

static void
proposal_succeed (proposal_t *p, const pu_propose_reply *x)
{
  pu_reply r;
  pu_error_t e = { .kind = PU_OK };

  if (!pu_reply_decode (&r, x->reply.reply_val, x->reply.reply_len, &e))
    {
      /* It ran; only the answer is of no use.  */
      p->unknown = true;
      proposal_again (p);
      return;
    }
  e.kind = PU_OK;
  proposal_end (p, &r, &e);
  pu_reply_clear (&r);
}

static void
proposal_answered (proposal_t *p, const pu_propose_reply *x)
{
  pu_error_t e;

  if (x->leader[0] != '\0')
    pu_agent_set_leader (p->agent, x->leader);
  if (x->kind != PU_OK)
    p->last_failure = (pu_error_kind_t)x->kind;
  switch (x->kind)
    {
    case PU_OK:
      proposal_succeed (p, x);
      return;
    case PU_ERROR_TIMEOUT:
      p->unknown = true;
      proposal_again (p);
      return;
    case PU_ERROR_INVALID:
    case PU_ERROR_TOO_LARGE:
      pu_error_set (&e, (pu_error_kind_t)x->kind, "%s", x->message);
      proposal_end (p, NULL, &e);
      return;
    default:
      proposal_again (p);
      return;
    }
}

static void
on_proposed (void *data, const guint8 *body, size_t n, const pu_error_t *e)
{
  proposal_t *p = data;
  pu_propose_reply x;

  p->under_way = false;
  if (e->kind != PU_OK)
    p->last_failure = e->kind;
  if (e->kind == PU_OK
      && pu_codec_decode ((xdrproc_t)xdr_pu_propose_reply, &x, sizeof x, body,
                          n, NULL))
    {
      proposal_answered (p, &x);
      xdr_free ((xdrproc_t)xdr_pu_propose_reply, &x);
      return;
    }
  if (e->kind == PU_ERROR_NOT_FOUND && p->packed != NULL)
    {
      /* A voter of a version without compressed commands.  */
      g_clear_pointer (&p->packed, g_bytes_unref);
      proposal_try (p);
      return;
    }
  if (e->kind == PU_ERROR_DENIED || e->kind == PU_ERROR_TOO_LARGE)
    {
      proposal_end (p, NULL, e);
      return;
    }
  if (e->kind == PU_OK || e->kind == PU_ERROR_TIMEOUT)
    p->unknown = true;
  pu_agent_set_leader (p->agent, "");
  proposal_again (p);
}

/* proposal_target - the leader when it is known, the polled voter in turn with
   it when that did not settle it.  */
static pu_rpc_client_t *
proposal_target (const proposal_t *p)
{
  pu_agent_t *a = p->agent;
  const char *address = a->leader;

  if (address[0] == '\0' || p->attempts % 3 == 2)
    address = pu_agent_voter (a);
  return address == NULL ? NULL : pu_rpc_pool_get (a->pool, address);
}

/* proposals_floor - below it all proposals of this daemon are over.  */
static uint64_t
proposals_floor (const pu_agent_t *a)
{
  const GList *first = a->proposals.head;

  return first == NULL ? a->next_seq : ((const proposal_t *)first->data)->seq;
}

static void
proposal_try (proposal_t *p)
{
  pu_agent_t *a = p->agent;
  pu_rpc_client_t *client = proposal_target (p);
  uint64_t now = uv_now (a->options.loop);
  guint left = p->due > now ? (guint)(p->due - now) : 1;
  pu_propose x = { .proposer = a->self->name,
                   .incarnation = a->self->incarnation,
                   .seq = p->seq,
                   .floor = proposals_floor (a),
                   .timeout_ms = MIN (left, a->options.attempt_ms) };
  gsize size;
  GBytes *bytes;
  gconstpointer data;

  p->attempts++;
  if (client == NULL)
    {
      proposal_again (p);
      return;
    }
  x.command.command_val = (char *)g_bytes_get_data (
      p->packed != NULL ? p->packed : p->command, &size);
  x.command.command_len = (u_int)size;
  bytes = pu_codec_encode ((xdrproc_t)xdr_pu_propose, &x);
  data = g_bytes_get_data (bytes, &size);
  p->under_way = true;
  pu_rpc_client_call (client, PU_RPC_PROGRAM_CONTROL, PU_CONTROL_VERSION,
                      p->packed != NULL ? PU_CONTROL_PROPOSE_PACKED
                                        : PU_CONTROL_PROPOSE,
                      data, size, x.timeout_ms, on_proposed, p);
  g_bytes_unref (bytes);
}

/* command_bytes - C as it is sent: a document based on the one in force here
   goes as a delta, whichever daemon the operator came to.  */
static GBytes *
command_bytes (const pu_agent_t *a, const pu_command *c)
{
  GBytes *whole = pu_command_encode (c);
  GBytes *bytes;
  pu_command copy;
  pu_error_t e;
  gsize size;
  gconstpointer data = g_bytes_get_data (whole, &size);

  if (c->type != PU_COMMAND_SUBMIT
      || !pu_command_decode (&copy, data, size, &e))
    return whole;
  pu_state_delta_encode_submit (a->view, &copy.pu_command_u.submit);
  bytes = pu_command_encode (&copy);
  pu_command_clear (&copy);
  g_bytes_unref (whole);
  return bytes;
}

void
pu_agent_propose (pu_agent_t *a, const pu_command *c, guint timeout_ms,
                  pu_agent_done_fn *fn, void *data)
{
  proposal_t *p = g_new0 (proposal_t, 1);

  p->agent = a;
  p->node.data = p;
  p->seq = a->next_seq++;
  p->type = c->type;
  p->command = command_bytes (a, c);
  if (g_bytes_get_size (p->command) >= PACKED_MIN_BYTES)
    p->packed = pu_packed_new (p->command);
  /* The caller, and encoding the command, may have taken long since the loop
     read its clock.  */
  uv_update_time (a->options.loop);
  p->begun = uv_now (a->options.loop);
  p->due = p->begun + timeout_ms;
  p->fn = fn;
  p->data = data;
  g_queue_push_tail_link (&a->proposals, &p->node);
  if (!a->closing)
    proposal_later (p, 0);
}

void
pu_agent_proposals_clear (pu_agent_t *a)
{
  proposal_t *p;

  while ((p = g_queue_peek_head (&a->proposals)) != NULL)
    {
      p->unknown = p->unknown || p->under_way;
      proposal_give_up (p);
    }
}
