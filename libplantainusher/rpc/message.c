#include "rpc/message.h"

#include <string.h>

#define LAST_FRAGMENT 0x80000000u

/* A buffer that grew over this is given back.  */
#define KEPT_MAX 65536

/* An xid and the direction.  */
#define HEADER_MIN 8

/* More than the fixed part of any header with two credentials.  */
#define HEADER_MAX (2 * MAX_AUTH_BYTES + 128)

void
pu_rpc_reader_init (pu_rpc_reader_t *r, size_t max_record)
{
  r->max_record = max_record;
  r->bytes = g_byte_array_new ();
  r->consumed = 0;
  r->parts = g_byte_array_new ();
  r->fragments = 0;
}

void
pu_rpc_reader_clear (pu_rpc_reader_t *r)
{
  g_byte_array_unref (r->bytes);
  g_byte_array_unref (r->parts);
  r->bytes = NULL;
  r->parts = NULL;
}

/* reader_compact - drops what was consumed, and the memory of a large
   record.  */
static void
reader_compact (pu_rpc_reader_t *r)
{
  GByteArray *old = r->bytes;

  if (r->consumed < KEPT_MAX)
    {
      g_byte_array_remove_range (old, 0, r->consumed);
    }
  else
    {
      r->bytes = g_byte_array_new ();
      g_byte_array_append (r->bytes, old->data + r->consumed,
                           old->len - r->consumed);
      g_byte_array_unref (old);
    }
  r->consumed = 0;
}

void
pu_rpc_reader_feed (pu_rpc_reader_t *r, const void *bytes, size_t n)
{
  reader_compact (r);
  g_byte_array_append (r->bytes, bytes, (guint)n);
}

static guint32
mark_read (const guint8 *p)
{
  return (guint32)p[0] << 24 | (guint32)p[1] << 16 | (guint32)p[2] << 8 | p[3];
}

static GByteArray *
take_parts (pu_rpc_reader_t *r)
{
  GByteArray *record = r->parts;

  r->parts = g_byte_array_new ();
  r->fragments = 0;
  return record;
}

GByteArray *
pu_rpc_reader_next (pu_rpc_reader_t *r, pu_error_t *e)
{
  e->kind = PU_OK;
  while (r->bytes->len - r->consumed >= PU_RPC_MARK_SIZE)
    {
      const guint8 *p = r->bytes->data + r->consumed;
      guint32 mark = mark_read (p);
      guint32 size = mark & ~LAST_FRAGMENT;

      if (r->parts->len + (size_t)size > r->max_record)
        {
          pu_error_set (e, PU_ERROR_TOO_LARGE,
                        "A record of %u bytes or more is over the limit.",
                        r->parts->len + size);
          return NULL;
        }
      if (r->bytes->len - r->consumed - PU_RPC_MARK_SIZE < size)
        return NULL;
      if (++r->fragments > PU_RPC_FRAGMENTS_MAX)
        {
          pu_error_set (e, PU_ERROR_CORRUPT, "A record has %u fragments.",
                        r->fragments);
          return NULL;
        }
      g_byte_array_append (r->parts, p + PU_RPC_MARK_SIZE, size);
      r->consumed += PU_RPC_MARK_SIZE + size;
      if ((mark & LAST_FRAGMENT) != 0)
        return take_parts (r);
    }
  return NULL;
}

/* Results are copied beside the header, so the codec sees none.  */
static bool_t
no_results (XDR *xdrs, ...)
{
  (void)xdrs;
  return TRUE;
}

static pu_error_kind_t
kind_of_accepted (enum accept_stat s)
{
  switch (s)
    {
    case SUCCESS:
      return PU_OK;
    case PROG_UNAVAIL:
    case PROG_MISMATCH:
    case PROC_UNAVAIL:
      return PU_ERROR_NOT_FOUND;
    case GARBAGE_ARGS:
      return PU_ERROR_INVALID;
    case SYSTEM_ERR:
      break;
    }
  return PU_ERROR_UNAVAILABLE;
}

static pu_error_kind_t
kind_of_reply (const struct rpc_msg *r)
{
  if (r->rm_reply.rp_stat == MSG_ACCEPTED)
    return kind_of_accepted (r->acpted_rply.ar_stat);
  return r->rjcted_rply.rj_stat == AUTH_ERROR ? PU_ERROR_DENIED
                                              : PU_ERROR_INVALID;
}

static void
message_from_call (pu_rpc_message_t *m, const struct rpc_msg *r)
{
  m->program = (guint32)r->rm_call.cb_prog;
  m->version = (guint32)r->rm_call.cb_vers;
  m->proc = (guint32)r->rm_call.cb_proc;
  m->flavor = (guint32)r->rm_call.cb_cred.oa_flavor;
  m->auth_size = r->rm_call.cb_cred.oa_length;
}

static void
message_from_reply (pu_rpc_message_t *m, const struct rpc_msg *r)
{
  m->kind = kind_of_reply (r);
  if (r->rm_reply.rp_stat != MSG_ACCEPTED)
    return;
  m->flavor = (guint32)r->acpted_rply.ar_verf.oa_flavor;
  m->auth_size = r->acpted_rply.ar_verf.oa_length;
}

/* header_read - decodes into buffers of ours, so that nothing is allocated. */
static bool
header_read (pu_rpc_message_t *m, XDR *xdrs, bool reply)
{
  struct rpc_msg r;
  char verifier[MAX_AUTH_BYTES];

  memset (&r, 0, sizeof r);
  if (reply)
    {
      r.acpted_rply.ar_verf.oa_base = (caddr_t)m->auth;
      r.acpted_rply.ar_results.proc = (xdrproc_t)no_results;
      if (!xdr_replymsg (xdrs, &r))
        return false;
      message_from_reply (m, &r);
    }
  else
    {
      r.rm_call.cb_cred.oa_base = (caddr_t)m->auth;
      r.rm_call.cb_verf.oa_base = verifier;
      if (!xdr_callmsg (xdrs, &r))
        return false;
      message_from_call (m, &r);
    }
  m->xid = r.rm_xid;
  return true;
}

bool
pu_rpc_message_decode (pu_rpc_message_t *m, const guint8 *record, size_t n,
                       pu_error_t *e)
{
  XDR xdrs;
  bool good;

  memset (m, 0, sizeof *m);
  if (n < HEADER_MIN || n % BYTES_PER_XDR_UNIT != 0)
    return pu_error_set (e, PU_ERROR_CORRUPT, "A record has %zu bytes.", n);
  m->reply = mark_read (record + BYTES_PER_XDR_UNIT) == REPLY;
  xdrmem_create (&xdrs, (char *)record, (u_int)n, XDR_DECODE);
  good = header_read (m, &xdrs, m->reply);
  if (good)
    {
      m->body = record + xdr_getpos (&xdrs);
      m->body_size = n - xdr_getpos (&xdrs);
    }
  xdr_destroy (&xdrs);
  if (!good)
    {
      return pu_error_set (e, PU_ERROR_CORRUPT,
                           "A record has no header of a call or reply.");
    }
  return true;
}

static GByteArray *
record_encode (struct rpc_msg *r, const pu_rpc_message_t *m)
{
  char header[HEADER_MAX];
  GByteArray *record;
  guint32 mark;
  guint size;
  XDR xdrs;
  bool good;

  xdrmem_create (&xdrs, header, sizeof header, XDR_ENCODE);
  good = r->rm_direction == CALL ? xdr_callmsg (&xdrs, r)
                                 : xdr_replymsg (&xdrs, r);
  g_assert (good);
  size = xdr_getpos (&xdrs);
  xdr_destroy (&xdrs);
  mark = GUINT32_TO_BE (LAST_FRAGMENT | (guint32)(size + m->body_size));
  record = g_byte_array_sized_new ((guint)(sizeof mark + size + m->body_size));
  g_byte_array_append (record, (const guint8 *)&mark, sizeof mark);
  g_byte_array_append (record, (const guint8 *)header, size);
  if (m->body_size > 0)
    g_byte_array_append (record, m->body, (guint)m->body_size);
  return record;
}

static void
auth_fill (struct opaque_auth *a, const pu_rpc_message_t *m)
{
  a->oa_flavor = (enum_t)m->flavor;
  a->oa_base = (caddr_t)m->auth;
  a->oa_length = m->auth_size;
}

GByteArray *
pu_rpc_message_encode_call (const pu_rpc_message_t *m)
{
  struct rpc_msg r;

  memset (&r, 0, sizeof r);
  r.rm_xid = m->xid;
  r.rm_direction = CALL;
  r.rm_call.cb_rpcvers = RPC_MSG_VERSION;
  r.rm_call.cb_prog = m->program;
  r.rm_call.cb_vers = m->version;
  r.rm_call.cb_proc = m->proc;
  auth_fill (&r.rm_call.cb_cred, m);
  return record_encode (&r, m);
}

static enum accept_stat
accepted_of_kind (pu_error_kind_t kind)
{
  switch (kind)
    {
    case PU_OK:
      return SUCCESS;
    case PU_ERROR_NOT_FOUND:
      return PROC_UNAVAIL;
    case PU_ERROR_INVALID:
      return GARBAGE_ARGS;
    default:
      return SYSTEM_ERR;
    }
}

GByteArray *
pu_rpc_message_encode_reply (const pu_rpc_message_t *m)
{
  struct rpc_msg r;

  memset (&r, 0, sizeof r);
  r.rm_xid = m->xid;
  r.rm_direction = REPLY;
  if (m->kind == PU_ERROR_DENIED)
    {
      r.rm_reply.rp_stat = MSG_DENIED;
      r.rjcted_rply.rj_stat = AUTH_ERROR;
      r.rjcted_rply.rj_why = AUTH_BADCRED;
      return record_encode (&r, m);
    }
  r.rm_reply.rp_stat = MSG_ACCEPTED;
  auth_fill (&r.acpted_rply.ar_verf, m);
  r.acpted_rply.ar_stat = accepted_of_kind (m->kind);
  r.acpted_rply.ar_results.proc = (xdrproc_t)no_results;
  return record_encode (&r, m);
}
