#include "agent/agent_private.h"

/*
 * A new document is kept on the disk before it is in force here, so that a
 * daemon that restarts while no voter answers has none older than before.  The
 * answer that brings it is held back until then; no poll is under way
 * meanwhile.  A disk that refuses holds nothing back.  The next poll asks for
 * news at once, as the answer's age has grown by what the disk took.
 */

static bool
is_new_document (const pu_agent_t *a, const pu_public_entry *x)
{
  pu_command c;
  bool is;

  if (x->position <= pu_state_position (a->view)
      || !pu_command_decode (&c, x->command.command_val,
                             x->command.command_len, NULL))
    return false;
  is = c.type == PU_COMMAND_SUBMIT;
  pu_command_clear (&c);
  return is;
}

static bool
may_bring_document (const pu_agent_t *a, const pu_poll_reply *r)
{
  if (r->image.image_len > 0)
    return !a->ready || r->position > pu_state_position (a->view);
  for (u_int i = 0; i < r->entries.entries_len && a->ready; i++)
    {
      if (is_new_document (a, &r->entries.entries_val[i]))
        return true;
    }
  return false;
}

/* state_after - a state of its own as the view will be with R; NULL when R
   cannot be taken.  */
static pu_state_t *
state_after (const pu_agent_t *a, const pu_poll_reply *r)
{
  pu_state_t *s = pu_state_new (&a->options.state);
  GBytes *image = r->image.image_len > 0
                      ? g_bytes_new (r->image.image_val, r->image.image_len)
                      : pu_state_encode (a->view, true);
  gsize size;
  gconstpointer data = g_bytes_get_data (image, &size);

  if (!pu_state_decode (s, data, size, NULL))
    {
      pu_state_free (s);
      s = NULL;
    }
  g_bytes_unref (image);
  if (s == NULL)
    return NULL;
  pu_agent_apply_entries (s, r);
  pu_state_skip_to (s, r->position);
  return s;
}

static void
on_kept (void *data)
{
  pu_agent_t *a = data;
  GBytes *held = a->held;
  gsize size;
  gconstpointer body = g_bytes_get_data (held, &size);
  pu_poll_reply r;

  a->held = NULL;
  a->at_once = true;
  if (pu_codec_decode ((xdrproc_t)xdr_pu_poll_reply, &r, sizeof r, body, size,
                       NULL))
    {
      pu_agent_poll_answered (a, &r);
      xdr_free ((xdrproc_t)xdr_pu_poll_reply, &r);
    }
  g_bytes_unref (held);
}

bool
pu_agent_hold (pu_agent_t *a, const pu_poll_reply *r)
{
  bool ours = r->cluster != 0 && (a->cluster == 0 || a->cluster == r->cluster);
  const pu_doc_record *d;
  pu_state_t *s;

  if (a->keep == NULL || !ours || !may_bring_document (a, r))
    return false;
  s = state_after (a, r);
  if (s == NULL)
    return false;
  d = pu_state_document (s);
  a->held = pu_codec_encode ((xdrproc_t)xdr_pu_poll_reply, r);
  a->kept_version = d == NULL ? 0 : d->doc_version;
  uv_timer_stop (a->keep_timer);
  pu_keep_save (a->keep, r->cluster, pu_state_encode (s, true), on_kept, a);
  pu_state_free (s);
  return true;
}

void
pu_agent_hold_clear (pu_agent_t *a)
{
  if (a->held != NULL)
    g_bytes_unref (a->held);
  a->held = NULL;
}
