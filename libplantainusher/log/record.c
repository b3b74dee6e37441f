#include "log/record.h"

#include <string.h>

pu_record_t *
pu_record_new (uint64_t index, uint64_t term, pu_log_type type,
               const void *data, size_t len)
{
  pu_record_t *n = g_rc_box_alloc (sizeof (pu_record_t) + len);

  n->index = index;
  n->term = term;
  n->type = type;
  n->len = (uint32_t)len;
  if (len > 0)
    memcpy (n->data, data, len);
  return n;
}

pu_record_t *
pu_record_ref (const pu_record_t *n)
{
  return g_rc_box_acquire ((pu_record_t *)n);
}

void
pu_record_unref (pu_record_t *n)
{
  g_rc_box_release (n);
}

void
pu_record_to_xdr (const pu_record_t *n, pu_log_entry *x)
{
  x->index = n->index;
  x->term = n->term;
  x->type = n->type;
  x->data.data_len = n->len;
  x->data.data_val = (char *)n->data;
}

pu_record_t *
pu_record_from_xdr (const pu_log_entry *x)
{
  return pu_record_new (x->index, x->term, x->type, x->data.data_val,
                        x->data.data_len);
}

GBytes *
pu_xdr_encode (xdrproc_t proc, const void *p)
{
  u_long n = xdr_sizeof (proc, (void *)p);
  char *buf;
  XDR x;
  bool ok;

  if (n == 0 || n > G_MAXINT)
    return NULL;
  buf = g_malloc (n);
  xdrmem_create (&x, buf, (u_int)n, XDR_ENCODE);
  ok = proc (&x, (void *)p) && xdr_getpos (&x) == n;
  xdr_destroy (&x);
  if (!ok)
    {
      g_free (buf);
      return NULL;
    }
  return g_bytes_new_take (buf, n);
}

bool
pu_xdr_decode (xdrproc_t proc, void *p, const void *bytes, size_t len)
{
  XDR x;
  bool ok;

  if (len > G_MAXINT)
    return false;
  xdrmem_create (&x, (char *)bytes, (u_int)len, XDR_DECODE);
  ok = proc (&x, p) && xdr_getpos (&x) == len;
  xdr_destroy (&x);
  if (!ok)
    xdr_free (proc, p);
  return ok;
}

GBytes *
pu_log_msg_encode (const pu_log_msg *m)
{
  return pu_xdr_encode ((xdrproc_t)xdr_pu_log_msg, m);
}

/* More than all of a message but the data of its entries.  */
#define MSG_OVERHEAD_MAX_BYTES 262144

bool
pu_log_msg_is_bulk (GBytes *msg)
{
  return g_bytes_get_size (msg) > PU_LOG_BULK_BYTES + MSG_OVERHEAD_MAX_BYTES;
}

bool
pu_log_msg_decode (pu_log_msg *m, const void *bytes, size_t len, pu_error_t *e)
{
  memset (m, 0, sizeof *m);
  if (len > PU_LOG_MSG_MAX_BYTES)
    {
      return pu_error_set (e, PU_ERROR_TOO_LARGE,
                           "a log message of %zu bytes is too large", len);
    }
  if (!pu_xdr_decode ((xdrproc_t)xdr_pu_log_msg, m, bytes, len))
    return pu_error_set (e, PU_ERROR_INVALID, "malformed log message");
  if (m->protocol != PU_LOG_PROTOCOL_VERSION)
    {
      pu_error_set (e, PU_ERROR_INVALID,
                    "log message has unsupported protocol version %u",
                    m->protocol);
      xdr_free ((xdrproc_t)xdr_pu_log_msg, (char *)m);
      return false;
    }
  return true;
}

/* Copies are allocated with malloc, as are the values that the XDR library
   decodes, so that xdr_free can free both.  */
void
pu_log_peer_copy (pu_log_peer *to, const pu_log_peer *from)
{
  to->id = from->id;
  to->name = strdup (from->name != NULL ? from->name : "");
  to->address = strdup (from->address != NULL ? from->address : "");
}

void
pu_log_peer_clear (pu_log_peer *p)
{
  free (p->name);
  free (p->address);
  memset (p, 0, sizeof *p);
}

void
pu_log_config_copy (pu_log_config *to, const pu_log_config *from)
{
  guint n = from->members.members_len;

  to->cluster = from->cluster;
  to->target = from->target;
  to->members.members_len = n;
  to->members.members_val = NULL;
  if (n > 0)
    to->members.members_val = calloc (n, sizeof (pu_log_member));
  for (guint i = 0; i < n; i++)
    {
      to->members.members_val[i].role = from->members.members_val[i].role;
      pu_log_peer_copy (&to->members.members_val[i].peer,
                        &from->members.members_val[i].peer);
    }
}

void
pu_log_config_clear (pu_log_config *c)
{
  xdr_free ((xdrproc_t)xdr_pu_log_config, (char *)c);
  memset (c, 0, sizeof *c);
}

pu_log_member *
pu_log_config_find_member (const pu_log_config *c, uint64_t id)
{
  for (guint i = 0; i < c->members.members_len; i++)
    {
      if (c->members.members_val[i].peer.id == id)
        return &c->members.members_val[i];
    }
  return NULL;
}

bool
pu_log_role_is_voting (pu_log_role role)
{
  return role == PU_LOG_VOTER || role == PU_LOG_LEAVING;
}

uint32_t
pu_log_config_count_voters (const pu_log_config *c)
{
  uint32_t n = 0;

  for (guint i = 0; i < c->members.members_len; i++)
    n += pu_log_role_is_voting (c->members.members_val[i].role);
  return n;
}
