#include "agent/agent_private.h"

#include <string.h>

#include "base/breaks.h"
#include "base/log.h"

/* How long an announcement may take before it is made again.  */
#define ANNOUNCE_MS 5000

/* --- the public copy --- */

static bool
is_ignored (const pu_state_t *s, const pu_command *c)
{
  return pu_break_active (PU_BREAK_DOCUMENT_IGNORED)
         && c->type == PU_COMMAND_SUBMIT && pu_state_document (s) != NULL;
}

/* apply_one - false when C is a delta that does not fit.  */
static bool
apply_one (pu_state_t *s, uint64_t position, const pu_command *c)
{
  pu_reply reply;
  bool fits;

  if (!pu_state_apply (s, position, c, &reply))
    return true;
  fits = c->type != PU_COMMAND_BACKEND_DELTA
         || reply.outcome == PU_OUTCOME_DONE;
  if (!fits)
    pu_log_info (PU_AGENT_PART, "An image is asked for: %s", reply.detail);
  pu_reply_clear (&reply);
  return fits;
}

bool
pu_agent_apply_entries (pu_state_t *s, const pu_poll_reply *r)
{
  bool fit = true;

  for (u_int i = 0; i < r->entries.entries_len; i++)
    {
      const pu_public_entry *x = &r->entries.entries_val[i];
      pu_command c;
      pu_error_t e;

      if (!pu_command_decode (&c, x->command.command_val,
                              x->command.command_len, &e))
        {
          pu_log_warn (PU_AGENT_PART, "Skipped an entry: %s", e.message);
          continue;
        }
      if (!is_ignored (s, &c))
        fit = apply_one (s, x->position, &c) && fit;
      pu_command_clear (&c);
    }
  return fit;
}

/* take_image - only forwards.  */
static bool
take_image (pu_agent_t *a, const pu_poll_reply *r)
{
  pu_error_t e;

  if (a->gap && r->position < pu_state_position (a->view))
    {
      pu_log_info (PU_AGENT_PART, "The image of voter %s is too old.",
                   pu_agent_voter (a));
      return false;
    }
  if (a->ready && !a->gap && r->position <= pu_state_position (a->view))
    return true;
  if (!pu_state_decode (a->view, r->image.image_val, r->image.image_len, &e))
    {
      pu_log_warn (PU_AGENT_PART, "An image does not decode: %s", e.message);
      return false;
    }
  a->ready = true;
  a->gap = false;
  return true;
}

bool
pu_agent_take (pu_agent_t *a, const pu_poll_reply *r)
{
  if (r->cluster == 0)
    return true;
  if (a->cluster != 0 && a->cluster != r->cluster)
    {
      pu_log_warn (PU_AGENT_PART,
                   "Voter %s has another log; its state is not taken.",
                   pu_agent_voter (a));
      return false;
    }
  if (r->image.image_len > 0 && !take_image (a, r))
    return false;
  if (a->ready)
    a->gap = !pu_agent_apply_entries (a->view, r) || a->gap;
  if (a->ready)
    {
      a->cluster = r->cluster;
      a->confirmed = true;
      pu_state_skip_to (a->view, r->position);
    }
  return true;
}

static uint64_t
document_version (const pu_agent_t *a)
{
  const pu_doc_record *d = pu_state_document (a->view);

  return d == NULL ? 0 : d->doc_version;
}

static void
on_keep (uv_timer_t *t)
{
  pu_agent_t *a = t->data;

  a->kept_version = document_version (a);
  pu_keep_save (a->keep, a->cluster, pu_state_encode (a->view, true), NULL,
                NULL);
}

/* keep_later - a document that was not kept is kept at once, the rest now and
   then; nothing older over what is held back (hold.c).  */
static void
keep_later (pu_agent_t *a)
{
  if (a->keep == NULL || a->held != NULL || a->gap)
    return;
  if (document_version (a) != a->kept_version)
    {
      uv_timer_stop (a->keep_timer);
      on_keep (a->keep_timer);
    }
  else if (!uv_is_active ((uv_handle_t *)a->keep_timer))
    {
      uv_timer_start (a->keep_timer, on_keep, a->options.keep_ms, 0);
    }
}

void
pu_agent_tell (pu_agent_t *a)
{
  uint64_t changes = pu_state_change_count (a->view);

  if (!pu_agent_ready (a) || changes + 1 == a->told)
    return;
  /* One more than the count, so that 0 says "never".  */
  a->told = changes + 1;
  keep_later (a);
  if (a->options.on_change != NULL)
    a->options.on_change (a->options.data);
}

/* --- this daemon as a member --- */

static void
on_announced (void *data, const pu_reply *r, const pu_error_t *e)
{
  pu_agent_t *a = data;

  a->announcing = false;
  if (e->kind != PU_OK)
    return;
  a->announced_at = r->position;
  if (r->outcome == PU_OUTCOME_REFUSED)
    pu_log_info (PU_AGENT_PART, "The announcement was refused: %s", r->detail);
}

static void
announce (pu_agent_t *a)
{
  pu_command c = { .type = PU_COMMAND_MEMBER_UP };

  c.pu_command_u.member_up = *a->self;
  a->announcing = true;
  pu_agent_propose (a, &c, ANNOUNCE_MS, on_announced, a);
}

static void
supersede (pu_agent_t *a)
{
  pu_log_warn (PU_AGENT_PART,
               "Another daemon runs under the name %s; this one stops.",
               a->self->name);
  a->superseded = true;
  if (a->options.on_superseded != NULL)
    a->options.on_superseded (a->options.data);
}

/* is_announced - whether the view shows this daemon as it is.  */
static bool
is_announced (const pu_agent_t *a, const pu_member_record *m)
{
  pu_member_record shown;

  if (m == NULL)
    return false;
  shown = *m;
  shown.leaving = a->self->leaving;
  return pu_codec_equal ((xdrproc_t)xdr_pu_member_record, &shown, a->self);
}

void
pu_agent_announce (pu_agent_t *a)
{
  const pu_member_record *m = pu_state_member (a->view, a->self->name);

  if (a->departed || a->superseded || a->leader[0] == '\0')
    return;
  if (m != NULL && m->incarnation > a->self->incarnation)
    {
      if (a->joined)
        {
          supersede (a);
          return;
        }
      a->self->incarnation = m->incarnation + 1;
    }
  if (is_announced (a, m))
    {
      a->joined = true;
      return;
    }
  /* What was announced may not have come back yet.  */
  if (a->announcing || pu_state_position (a->view) < a->announced_at)
    return;
  announce (a);
}

void
pu_agent_leave (pu_agent_t *a, guint timeout_ms, pu_agent_done_fn *fn,
                void *data)
{
  pu_command c = { .type = PU_COMMAND_MEMBER_LEAVING };

  c.pu_command_u.member_leaving.name = a->self->name;
  c.pu_command_u.member_leaving.incarnation = a->self->incarnation;
  a->self->leaving = TRUE;
  pu_agent_propose (a, &c, timeout_ms, fn, data);
}

void
pu_agent_depart (pu_agent_t *a, guint timeout_ms, pu_agent_done_fn *fn,
                 void *data)
{
  pu_command c = { .type = PU_COMMAND_MEMBER_DOWN };

  c.pu_command_u.member_down.name = a->self->name;
  c.pu_command_u.member_down.incarnation = a->self->incarnation;
  a->departed = true;
  pu_agent_propose (a, &c, timeout_ms, fn, data);
}
