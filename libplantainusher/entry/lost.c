/* Backend servers that this entry does not reach, though they run
   (routing/lost.h): requests that need them go to other entries.  */

#include "entry/entry_private.h"

#include "base/log.h"

static void
lost_apply (const pu_server_t *s, bool lost)
{
  if (s->handle == PU_ROUTER_NONE)
    return;
  pu_router_set_lost (s->en->router, s->handle, lost);
  pu_entry_schedule_router (s->en);
}

void
pu_server_set_lost (pu_server_t *s)
{
  if (s->down || !pu_lost_add (s->en->lost, s))
    return;
  pu_log_event (PU_ENTRY_LOG_SLICE, "Backend server is out of reach.",
                PU_LOG_TEXT ("server", s->name),
                PU_LOG_NUMBER ("lost", pu_lost_count (s->en->lost)));
  lost_apply (s, true);
}

void
pu_server_set_reached (pu_server_t *s)
{
  if (!pu_lost_remove (s->en->lost, s))
    return;
  pu_log_event (PU_ENTRY_LOG_SLICE, "Backend server is reached again.",
                PU_LOG_TEXT ("server", s->name),
                PU_LOG_NUMBER ("lost", pu_lost_count (s->en->lost)));
  lost_apply (s, false);
}

void
pu_server_lost_reapply (const pu_server_t *s)
{
  pu_router_set_lost (s->en->router, s->handle,
                      pu_lost_contains (s->en->lost, s));
}

/* --- probes --- */

typedef struct
{
  pu_entry_t *en;
  char *server;
} probe_t;

static void
on_probe_end (void *data, pu_http_call_t *call, const pu_http_result_t *result)
{
  probe_t *p = data;
  pu_entry_t *en = p->en;
  pu_server_t *s = pu_server_find (en, p->server);
  bool good = result->kind == PU_HTTP_END_COMPLETE;

  (void)call;
  en->pending--;
  if (good && s != NULL && !en->freed)
    {
      pu_reach_connected (&en->reach);
      pu_server_set_reached (s);
    }
  pu_lost_probe_ended (en->lost, good);
  g_free (p->server);
  g_free (p);
  pu_entry_check_stopped (en);
}

static bool
probe_start (pu_server_t *s)
{
  probe_t *p = g_new0 (probe_t, 1);
  pu_http_call_options_t o = { .address = s->address,
                               .method = "GET",
                               .target = "/",
                               .fresh = true,
                               .connect_only = true,
                               .events = { .on_end = on_probe_end },
                               .data = p };

  p->en = s->en;
  p->server = g_strdup (s->name);
  if (pu_http_client_start (s->en->client, &o, NULL) != NULL)
    {
      s->en->pending++;
      return true;
    }
  g_free (p->server);
  g_free (p);
  return false;
}

void
pu_entry_lost_tick (pu_entry_t *en, guint64 now)
{
  GPtrArray *due = g_ptr_array_new ();

  pu_lost_probes_due (en->lost, now, due);
  for (guint i = 0; i < due->len; i++)
    {
      if (!probe_start (g_ptr_array_index (due, i)))
        pu_lost_probe_ended (en->lost, false);
    }
  g_ptr_array_free (due, TRUE);
}

/* --- requests --- */

bool
pu_entry_lost_all (const pu_exchange_t *x)
{
  const pu_entry_t *en = x->en;
  char *model;
  bool lost;

  if (!x->q.any_entry || pu_lost_count (en->lost) == 0)
    return false;
  /* An owner may not try, and so not miss, the other servers.  */
  if (x->only_server != NULL)
    return pu_lost_contains (en->lost, pu_server_find (x->en, x->only_server));
  model = x->q.plain ? g_strconcat ("service:", x->q.service, NULL)
                     : g_strdup (x->q.model);
  lost = pu_router_all_lost (
      en->router, pu_router_find_model (en->router, model), x->software);
  g_free (model);
  return lost;
}
