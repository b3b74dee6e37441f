#include "agent/agent_private.h"

#include "base/log.h"
#include "control/blobs.h"
#include "control/packed.h"

/*
 * Fetches the blob that a voter's answer to a poll describes, a chunk at a
 * time.  What was received is kept when a voter fails: the transfer goes on
 * where it stopped, at any voter that has the same blob.
 */

static void chunk_request (pu_agent_t *a);

static const pu_blob *
blob_of (const pu_agent_t *a)
{
  return &a->fetching->blobs.blobs_val[0];
}

static size_t
content_max (const pu_blob *blob)
{
  return blob->image ? PU_CONTROL_IMAGE_MAX : PU_CONTROL_COMMAND_MAX;
}

/* blob_is_valid - whether the sizes that BLOB states are possible.  */
static bool
blob_is_valid (const pu_blob *blob)
{
  return blob->content_size <= content_max (blob) && blob->size > 0
         && blob->size <= pu_packed_size_max (blob->content_size);
}

static void
fetching_free (pu_agent_t *a)
{
  if (a->fetching == NULL)
    return;
  xdr_free ((xdrproc_t)xdr_pu_blob_reply, a->fetching);
  g_clear_pointer (&a->fetching, g_free);
}

static void
received_clear (pu_agent_t *a)
{
  if (a->received != NULL)
    g_byte_array_unref (a->received);
  a->received = NULL;
}

/* entries_append - appends an entry at POSITION with CONTENT to R.  */
static void
entries_append (pu_poll_reply *r, uint64_t position, GBytes *content)
{
  u_int n = r->entries.entries_len;
  gsize size;
  gconstpointer data = g_bytes_get_data (content, &size);
  pu_public_entry *x;

  r->entries.entries_val
      = g_realloc_n (r->entries.entries_val, n + 1, sizeof *x);
  x = &r->entries.entries_val[n];
  x->position = position;
  x->command.command_len = (u_int)size;
  x->command.command_val = g_memdup2 (data, size);
  r->entries.entries_len = n + 1;
}

/* fetch_finish - the answer is whole: it goes the way of one that came in one
   piece.  */
static void
fetch_finish (pu_agent_t *a)
{
  pu_blob blob = *blob_of (a);
  pu_poll_reply *r = &a->fetching->reply;
  GBytes *content = NULL;
  pu_error_t e;
  gsize size;
  gconstpointer data;

  if (pu_blob_id (a->received->data, a->received->len) == blob.id)
    {
      content = pu_packed_content (a->received->data, a->received->len,
                                   blob.content_size, content_max (&blob), &e);
    }
  else
    {
      pu_error_set (&e, PU_ERROR_CORRUPT,
                    "Its chunks are not those of the blob.");
    }
  received_clear (a);
  if (content == NULL)
    {
      pu_log_warn (PU_AGENT_PART, "A transfer from voter %s failed: %s",
                   pu_agent_voter (a), e.message);
      fetching_free (a);
      pu_agent_poll_failed (a, e.message);
      return;
    }
  if (blob.image)
    {
      data = g_bytes_get_data (content, &size);
      r->image.image_val = g_memdup2 (data, size);
      r->image.image_len = (u_int)size;
    }
  else
    {
      entries_append (r, blob.position, content);
    }
  g_bytes_unref (content);
  pu_agent_poll_received (a, r);
  fetching_free (a);
}

/* poll_is_due - whether a poll must carry renewals before the next chunk is
   asked for.  The voter then describes the same entry again; an image may have
   changed, and what was received of it would be worth nothing.  */
static bool
poll_is_due (const pu_agent_t *a)
{
  return !blob_of (a)->image
         && uv_now (a->options.loop) - a->poll_sent_at
                >= a->options.poll_wait_ms;
}

static void
chunk_received (pu_agent_t *a, const pu_chunk *chunk)
{
  const pu_blob *blob = blob_of (a);

  if (a->fetching->reply.leader[0] != '\0')
    a->answered_at = MAX (uv_now (a->options.loop), 1);
  if (!chunk->known)
    {
      received_clear (a);
      fetching_free (a);
      pu_agent_poll_again (a);
      return;
    }
  if (chunk->bytes.bytes_len > blob->size - a->received->len)
    {
      received_clear (a);
      fetching_free (a);
      pu_agent_poll_failed (a, "its chunk is longer than the blob.");
      return;
    }
  g_byte_array_append (a->received, (const guint8 *)chunk->bytes.bytes_val,
                       chunk->bytes.bytes_len);
  if (a->received->len == blob->size)
    {
      fetch_finish (a);
    }
  else if (poll_is_due (a))
    {
      fetching_free (a);
      pu_agent_poll_again (a);
    }
  else
    {
      chunk_request (a);
    }
}

static void
on_chunk (void *data, const guint8 *body, size_t n, const pu_error_t *e)
{
  pu_agent_t *a = data;
  pu_chunk chunk;

  a->poll_handle = 0;
  if (e->kind != PU_OK
      || !pu_codec_decode ((xdrproc_t)xdr_pu_chunk, &chunk, sizeof chunk, body,
                           n, NULL))
    {
      fetching_free (a);
      pu_agent_poll_failed (
          a, e->kind != PU_OK ? e->message : "its chunk does not decode.");
      return;
    }
  chunk_received (a, &chunk);
  xdr_free ((xdrproc_t)xdr_pu_chunk, &chunk);
}

static void
chunk_request (pu_agent_t *a)
{
  pu_chunk_request r = { .name = a->self->name,
                         .incarnation = a->self->incarnation,
                         .position = pu_state_position (a->view),
                         .id = blob_of (a)->id,
                         .offset = a->received->len,
                         .wait_ms = a->options.poll_wait_ms };
  GBytes *bytes = pu_codec_encode ((xdrproc_t)xdr_pu_chunk_request, &r);

  pu_agent_call_voter (a, PU_CONTROL_CHUNK, bytes, on_chunk);
  g_bytes_unref (bytes);
}

void
pu_agent_fetch (pu_agent_t *a, const pu_blob_reply *r)
{
  const pu_blob *blob = &r->blobs.blobs_val[0];

  if (!blob_is_valid (blob))
    {
      pu_agent_poll_failed (a, "its blob has an impossible size.");
      return;
    }
  fetching_free (a);
  a->fetching = pu_codec_clone ((xdrproc_t)xdr_pu_blob_reply, r, sizeof *r);
  if (a->received == NULL || a->received_id != blob->id)
    {
      received_clear (a);
      a->received = g_byte_array_new ();
      a->received_id = blob->id;
    }
  chunk_request (a);
}

void
pu_agent_fetch_clear (pu_agent_t *a)
{
  fetching_free (a);
  received_clear (a);
}
