/* libFuzzer target: whatever decodes is encoded again and given to a
   replica.  */

#include <string.h>

#include "log/replica.h"

int LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t len);

static pu_replica_t *
make_replica (void)
{
  pu_log_peer names[] = { { 0, "a", "a" }, { 0, "b", "b" } };
  pu_replica_options_t o;
  pu_disk_image_t image;
  pu_replica_t *r;

  pu_replica_options_init (&o);
  pu_disk_image_init (&image);
  o.self = names[0];
  o.initial = names;
  o.n_initial = G_N_ELEMENTS (names);
  image.meta.id = 1;
  r = pu_replica_new (&o, &image, 0);
  pu_disk_image_clear (&image);
  return r;
}

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t len)
{
  pu_replica_t *r;
  pu_action_t a;
  pu_log_msg m;
  GBytes *again;

  if (!pu_log_msg_decode (&m, bytes, len, NULL))
    return 0;
  again = pu_log_msg_encode (&m);
  /* Shorter only where a string holds a zero byte.  */
  g_assert (again != NULL && g_bytes_get_size (again) <= len);
  g_bytes_unref (again);
  r = make_replica ();
  m.to = 1;
  m.group = 0;
  pu_replica_receive (r, 5, &m);
  pu_replica_tick (r, 5000);
  while (pu_replica_next_action (r, 5000, &a))
    pu_action_clear (&a);
  pu_replica_free (r);
  xdr_free ((xdrproc_t)xdr_pu_log_msg, (char *)&m);
  return 0;
}
