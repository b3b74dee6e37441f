#include "routing/router_int.h"

void
pu_router_set_others (pu_router_t *r, pu_router_backend_t b,
                      const pu_router_others_t *others, guint64 now)
{
  backend_t *s = backend_at (r, b);

  if (s == NULL || !s->in_use || s->removed)
    return;
  speed_note_others (s, others, now);
  s->others = *others;
  s->others_until = now + others->life_ms;
  backend_mark_dirty (r, b);
}

double
pu_router_slowness (const pu_router_t *r, pu_router_backend_t b)
{
  const backend_t *s = backend_at (r, b);

  return s != NULL && s->in_use && !s->removed ? s->others.slowness : 0;
}

const pu_router_others_t *
backend_others (const backend_t *s, guint64 now)
{
  return now < s->others_until ? &s->others : NULL;
}

bool
pu_router_get_others (pu_router_t *r, pu_router_backend_t b, guint64 now,
                      pu_router_others_t *others)
{
  const backend_t *s = backend_at (r, b);

  if (s == NULL || !s->in_use || backend_others (s, now) == NULL)
    return false;
  *others = s->others;
  others->life_ms = (guint)(s->others_until - now);
  return true;
}

static bool
is_unused (const backend_t *s)
{
  return s->in_flight == 0 && s->ratio_count == 0;
}

void
pu_router_take_uses (pu_router_t *r, bool all, GArray *out)
{
  for (guint i = 0; i < r->backends->len; i++)
    {
      backend_t *s = backend_at (r, i);
      pu_router_use_t use = { .backend = i,
                              .running = s->in_flight,
                              .prefilling = s->prefilling,
                              .streams = s->streams,
                              .prefill_tokens = s->pending_tokens,
                              .ratio_sum = s->ratio_sum,
                              .ratio_count = s->ratio_count };

      if (!s->in_use || s->kind != PU_ROUTER_ENGINE)
        continue;
      if (all ? !is_unused (s) : s->use_changed)
        g_array_append_val (out, use);
      s->use_changed = false;
      s->ratio_sum = 0;
      s->ratio_count = 0;
    }
}
