/* Forwards load reports ("loads") of backend servers to the other entries of
   their services.  Also forwards withdrawals: notices that a copy of a model
   is about to be unloaded and must get no more requests.  */

#include "entry/entry_private.h"

#include <string.h>
#include <xxhash.h>

enum
{
  RECOUNT_INTERVAL_MS = 5000,
  INTERVAL_MIN_MS = PU_ENTRY_LOADS_INTERVAL_MIN_MS,
  /* Factor of the interval between two messages to a receiver: an entry that
     receives the loads of N backend servers gets each of them every N times
     this interval.  A message with a single load has 80 bytes, so an entry
     receives at most 1.1 KB/s in total.  */
  INTERVAL_PER_BACKEND_MS = 72,
  LIFETIME_MIN_MS = 5000,
  /* A load report is valid for this many intervals, which tolerates the loss
     of two messages in a row.  */
  LIFETIME_INTERVALS = 3,
  /* Duration of a withdrawal.  An unload waits for the streams in progress,
     and the withdrawal must last until a report of the backend server shows
     that the unload is complete.  */
  WITHDRAWAL_MS = 3000,
};

/* Another entry, to which this entry sends loads.  */
typedef struct
{
  guint n_backends;   /* number of backend servers whose loads the receiver
                         gets, from all entries together */
  guint64 next_at;    /* loop time of the next message to the receiver */
  GHashTable *queued; /* backend server name -> pu_entry_load_t; loads not yet
                         sent */
} load_receiver_t;

guint
pu_load_forward_interval_ms (guint n_backends)
{
  return MAX (n_backends * INTERVAL_PER_BACKEND_MS, INTERVAL_MIN_MS);
}

guint
pu_load_forward_lifetime_ms (guint interval_ms)
{
  return MAX (interval_ms * LIFETIME_INTERVALS, LIFETIME_MIN_MS);
}

guint64
pu_entry_load_id (const char *backend, guint64 incarnation)
{
  return XXH3_64bits_withSeed (backend, strlen (backend), incarnation);
}

void
pu_load_receiver_free (gpointer receiver)
{
  load_receiver_t *l = receiver;

  g_hash_table_destroy (l->queued);
  g_free (l);
}

static load_receiver_t *
receiver_get_or_add (pu_entry_t *en, const char *address)
{
  load_receiver_t *l = g_hash_table_lookup (en->load_receivers, address);

  if (l != NULL)
    return l;
  l = g_new0 (load_receiver_t, 1);
  l->queued = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert (en->load_receivers, g_strdup (address), l);
  return l;
}

/* --- receivers of a backend server's loads --- */

static void
add_unique (GPtrArray *list, const char *s)
{
  if (!g_ptr_array_find_with_equal_func (list, s, g_str_equal, NULL))
    g_ptr_array_add (list, (char *)s);
}

/* Returns the names of the services whose requests can be sent to the backend
   server B.  */
static GPtrArray *
services_of (const pu_entry_t *en, const pu_backend_record *b)
{
  const pu_document_t *d = en->document;
  GPtrArray *services = g_ptr_array_new ();

  if (b->kind == PU_BACKEND_PLAIN)
    add_unique (services, b->service);
  for (guint i = 0; i < b->copies.copies_len; i++)
    {
      pu_model_handle_t m
          = pu_document_find_model (d, b->copies.copies_val[i].model);
      pu_service_handle_t s = m != PU_HANDLE_NONE
                                  ? pu_document_default_service (d, m)
                                  : PU_HANDLE_NONE;

      if (s != PU_HANDLE_NONE)
        add_unique (services, pu_document_service (d, s)->name);
    }
  return services;
}

/* Adds the peer addresses of the other entries that serve SERVICE.  */
static void
add_service_entries (pu_entry_t *en, const char *service, GPtrArray *addresses)
{
  const pu_state_t *view = en->o.hooks.view (en->o.hooks.data);
  GArray *found = g_array_new (FALSE, FALSE, sizeof (pu_directory_entry_t));

  pu_directory_entries (en->directory, service,
                        pu_service_entry_count (en, service), NULL, NULL,
                        found);
  for (guint i = 0; i < found->len; i++)
    {
      const char *name = g_array_index (found, pu_directory_entry_t, i).name;
      const pu_member_record *m = pu_state_member (view, name);

      if (m != NULL && strcmp (name, en->name) != 0)
        add_unique (addresses, m->peer_address);
    }
  g_array_free (found, TRUE);
}

typedef struct
{
  const pu_entry_t *en;
  GHashTable *seen; /* peer addresses that are already in the list */
} entry_list_t;

static void
add_other_entry (const pu_member_record *m, void *data)
{
  const entry_list_t *o = data;

  if (*m->caller_address != '\0' && strcmp (m->name, o->en->name) != 0
      && g_hash_table_add (o->seen, m->peer_address))
    g_ptr_array_add (o->en->other_addresses, g_strdup (m->peer_address));
}

/* The list is rebuilt only when the members change, since rebuilding it for
   each load would be slow with hundreds of entries and thousands of backend
   servers.  */
const GPtrArray *
pu_load_forward_entries (pu_entry_t *en)
{
  const pu_state_t *view = en->o.hooks.view (en->o.hooks.data);
  entry_list_t o = { .en = en };

  if (en->other_addresses_version == pu_state_membership_version (view))
    return en->other_addresses;
  o.seen = g_hash_table_new (g_str_hash, g_str_equal);
  g_ptr_array_set_size (en->other_addresses, 0);
  pu_state_each_member (view, add_other_entry, &o);
  g_hash_table_destroy (o.seen);
  en->other_addresses_version = pu_state_membership_version (view);
  return en->other_addresses;
}

/* Returns the peer addresses of the other entries that receive the loads of B.
   The strings belong to the replicated state or to this entry.  */
static GPtrArray *
receivers_of (pu_entry_t *en, const pu_backend_record *b)
{
  GPtrArray *services = services_of (en, b);
  GPtrArray *addresses = g_ptr_array_new ();

  for (guint i = 0; i < services->len; i++)
    add_service_entries (en, g_ptr_array_index (services, i), addresses);
  g_ptr_array_free (services, TRUE);
  return addresses;
}

/* --- number of backend servers per receiver --- */

static void
receiver_reset (gpointer address, gpointer receiver, gpointer data)
{
  (void)address;
  (void)data;
  ((load_receiver_t *)receiver)->n_backends = 0;
}

static void
receivers_count_backend (const pu_backend_record *b, void *data)
{
  pu_entry_t *en = data;
  GPtrArray *addresses;

  if (b->down)
    return;
  addresses = receivers_of (en, b);
  for (guint i = 0; i < addresses->len; i++)
    receiver_get_or_add (en, g_ptr_array_index (addresses, i))->n_backends++;
  g_ptr_array_free (addresses, TRUE);
}

static void
add_if_up (const pu_backend_record *b, void *data)
{
  *(guint *)data += b->down ? 0 : 1;
}

/* Sets the number of backend servers of each receiver when
   loads_to_all_entries is set: each receiver gets the loads of all backend
   servers that are up.  */
static void
receivers_count_all (pu_entry_t *en)
{
  const GPtrArray *others = pu_load_forward_entries (en);
  guint up = 0;

  pu_state_each_backend (en->o.hooks.view (en->o.hooks.data), add_if_up, &up);
  for (guint i = 0; i < others->len; i++)
    receiver_get_or_add (en, g_ptr_array_index (others, i))->n_backends = up;
}

static gboolean
has_no_backends (gpointer address, gpointer receiver, gpointer data)
{
  (void)address;
  (void)data;
  return ((load_receiver_t *)receiver)->n_backends == 0;
}

static void
receivers_recount (pu_entry_t *en)
{
  g_hash_table_foreach (en->load_receivers, receiver_reset, NULL);
  if (en->o.loads_to_all_entries)
    {
      receivers_count_all (en);
    }
  else
    {
      pu_state_each_backend (en->o.hooks.view (en->o.hooks.data),
                             receivers_count_backend, en);
    }
  g_hash_table_foreach_remove (en->load_receivers, has_no_backends, NULL);
}

/* --- sending loads and withdrawals --- */

static void
load_queue (pu_entry_t *en, const GPtrArray *addresses, const char *name,
            const pu_entry_load_t *load)
{
  for (guint i = 0; i < addresses->len; i++)
    {
      load_receiver_t *l
          = receiver_get_or_add (en, g_ptr_array_index (addresses, i));

      g_hash_table_replace (l->queued, g_strdup (name),
                            g_memdup2 (load, sizeof *load));
    }
}

void
pu_load_forward_queue (pu_entry_t *en, const char *name, guint64 incarnation,
                       const pu_router_report_t *r)
{
  const pu_backend_record *b
      = pu_state_backend (en->o.hooks.view (en->o.hooks.data), name);
  guint64 now = uv_now (en->o.loop);
  pu_entry_load_t load = { .id = pu_entry_load_id (name, incarnation),
                           .seq = r->seq,
                           .running = r->running,
                           .waiting = r->waiting,
                           .at = now - MIN (now, r->age_ms) };
  GPtrArray *addresses;

  if (b == NULL || en->document == NULL || en->o.hooks.loads == NULL)
    return;
  if (en->o.loads_to_all_entries)
    {
      load_queue (en, pu_load_forward_entries (en), b->name, &load);
      return;
    }
  addresses = receivers_of (en, b);
  load_queue (en, addresses, b->name, &load);
  g_ptr_array_free (addresses, TRUE);
}

static void
receiver_send (pu_entry_t *en, const char *address, load_receiver_t *l,
               guint64 now)
{
  guint interval = pu_load_forward_interval_ms (l->n_backends) * en->o.loads_ms
                   / INTERVAL_MIN_MS;
  GArray *loads = g_array_new (FALSE, FALSE, sizeof (pu_entry_load_t));
  GHashTableIter it;
  gpointer load;

  g_hash_table_iter_init (&it, l->queued);
  while (g_hash_table_iter_next (&it, NULL, &load))
    {
      ((pu_entry_load_t *)load)->age_ms
          = (guint)(now - ((pu_entry_load_t *)load)->at);
      g_array_append_vals (loads, load, 1);
    }
  en->o.hooks.loads (en->o.hooks.data, address,
                     (const pu_entry_load_t *)(void *)loads->data, loads->len,
                     pu_load_forward_lifetime_ms (interval));
  g_array_free (loads, TRUE);
  g_hash_table_remove_all (l->queued);
  l->next_at = now + interval;
}

void
pu_load_forward_tick (pu_entry_t *en, guint64 now)
{
  GHashTableIter it;
  gpointer address;
  gpointer receiver;

  if (en->document == NULL || en->o.hooks.loads == NULL)
    return;
  if (now - en->receivers_counted_at >= RECOUNT_INTERVAL_MS)
    {
      en->receivers_counted_at = now;
      receivers_recount (en);
    }
  g_hash_table_iter_init (&it, en->load_receivers);
  while (g_hash_table_iter_next (&it, &address, &receiver))
    {
      load_receiver_t *l = receiver;

      if (g_hash_table_size (l->queued) > 0 && now >= l->next_at)
        receiver_send (en, address, l, now);
    }
}

void
pu_entry_add_load (pu_entry_t *en, const char *name,
                   const pu_router_report_t *load)
{
  const pu_server_t *s = pu_server_find (en, name);

  if (s == NULL || s->handle == PU_ROUTER_NONE)
    return;
  pu_router_report (en->router, s->handle, load, uv_now (en->o.loop));
  pu_entry_schedule_router (en);
  pu_load_forward_queue (en, name, s->incarnation, load);
}

double
pu_entry_slowness (const pu_entry_t *en, const char *name)
{
  pu_router_backend_t b = pu_router_find_backend (en->router, name);

  return b != PU_ROUTER_NONE ? pu_router_slowness (en->router, b) : 0;
}

void
pu_entry_withdraw_copy (pu_entry_t *en, const char *name, const char *model)
{
  pu_server_t *s = pu_server_find (en, name);
  guint64 now = uv_now (en->o.loop);
  const GPtrArray *others;

  if (s == NULL || s->handle == PU_ROUTER_NONE || en->document == NULL)
    return;
  /* The unload order is sent repeatedly while the engine executes another
     order.  A withdrawal that still lasts for more than half of WITHDRAWAL_MS
     is not renewed.  */
  if (pu_server_is_withdrawn (s, model, now + WITHDRAWAL_MS / 2 + 1))
    return;
  pu_server_withdraw (s, model, now + WITHDRAWAL_MS);
  if (en->o.hooks.withdraw == NULL)
    return;
  others = pu_load_forward_entries (en);
  for (guint i = 0; i < others->len; i++)
    {
      en->o.hooks.withdraw (en->o.hooks.data, g_ptr_array_index (others, i),
                            s->load_id, model, WITHDRAWAL_MS);
    }
}

/* --- receiving loads and withdrawals --- */

void
pu_entry_receive_withdrawal (pu_entry_t *en, guint64 id, const char *model,
                             guint life_ms)
{
  pu_server_t *s = g_hash_table_lookup (en->load_ids, &id);

  if (s != NULL && s->handle != PU_ROUTER_NONE && en->document != NULL)
    {
      pu_server_withdraw (s, model,
                          uv_now (en->o.loop) + MIN (life_ms, WITHDRAWAL_MS));
    }
}

void
pu_entry_receive_loads (pu_entry_t *en, const pu_entry_load_t *loads, guint n,
                        guint life_ms)
{
  for (guint i = 0; i < n; i++)
    {
      const pu_entry_load_t *one = &loads[i];
      const pu_server_t *s = g_hash_table_lookup (en->load_ids, &one->id);
      pu_router_report_t report = { .seq = one->seq,
                                    .running = one->running,
                                    .waiting = one->waiting,
                                    .age_ms = one->age_ms,
                                    .life_ms = life_ms };

      if (s != NULL && s->handle != PU_ROUTER_NONE)
        pu_router_report (en->router, s->handle, &report, uv_now (en->o.loop));
    }
  pu_entry_schedule_router (en);
}
