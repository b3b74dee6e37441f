#include "placement/planner_internal.h"

#define MS_PER_S 1000
#define PERCENT 100.0

const char *
pu_plan_reason_name (pu_plan_reason_t reason)
{
  switch (reason)
    {
    case PU_REASON_UNREACHABLE:
      return "no copy was ready";
    case PU_REASON_MINIMUM:
      return "fewer copies than declared";
    case PU_REASON_VERSION:
      return "change of version";
    case PU_REASON_ROLL_BACK:
      return "roll-back of a failed version";
    case PU_REASON_UNDECLARED:
      return "no longer declared";
    case PU_REASON_MAXIMUM:
      return "more copies than declared";
    case PU_REASON_DEMAND:
      return "forecast demand";
    case PU_REASON_SPARE:
      return "spare memory";
    case PU_REASON_MAKE_ROOM:
      return "room for another";
    case PU_REASON_PREEXISTING:
      return "found there";
    }
  return "?";
}

const char *
pu_item_state_name (pu_item_state_t s)
{
  switch (s)
    {
    case PU_ITEM_STATE_READY:
      return "ready";
    case PU_ITEM_STATE_LOADING:
      return "loading";
    case PU_ITEM_STATE_WAIT_STORE:
      return "waits for the store";
    case PU_ITEM_STATE_WAIT_BASE:
      return "waits for its base model";
    case PU_ITEM_STATE_WAIT_RETRY:
      return "waits for another try";
    case PU_ITEM_STATE_UNDECLARED:
      return "not declared";
    }
  return "?";
}

static const char *
phase_name (pu_plan_phase_t phase)
{
  switch (phase)
    {
    case PU_PLAN_ORDERED:
      return "ordered";
    case PU_PLAN_LOADING:
      return "loading";
    case PU_PLAN_READY:
      return "ready";
    case PU_PLAN_UNLOADING:
      return "leaving";
    }
  return "?";
}

static const char *
item_name (const pu_planner_t *p, guint32 item)
{
  const char *name = NULL;

  if (item < p->items->len)
    name = pu_planned_item (p, item)->i.name;
  return name != NULL ? name : "?";
}

static void
explain_copy (const pu_planner_t *p, guint32 engine,
              const pu_planned_copy_t *c, guint64 now, GString *out)
{
  const pu_planned_engine_t *e = pu_planned_engine (p, engine);

  g_string_append_printf (
      out,
      "  engine %u zone %u: version %u %s for %" G_GUINT64_FORMAT
      " s, %.1f streams, engine at %.0f%%; %s",
      engine, e->zone, c->c.version, phase_name (c->c.phase),
      (now - MIN (now, c->since)) / MS_PER_S, c->share,
      PERCENT * e->load / e->streams, pu_plan_reason_name (c->reason));
  if (c->reason == PU_REASON_DEMAND)
    {
      g_string_append_printf (out,
                              " (gain %.1f, price %.1f late stream-seconds)",
                              c->gain, c->price);
    }
  g_string_append_c (out, '\n');
}

static void
explain_state (const pu_planner_t *p, guint32 item, guint64 now, GString *out)
{
  const pu_planned_item_t *t = pu_planned_item (p, item);
  pu_item_state_t state = pu_planner_item_state (p, item, now);
  const pu_forecast_t *f = &t->forecast;

  g_string_append_printf (out, "%s: %s; %u ready, %u coming, %u..%u declared",
                          t->i.name, pu_item_state_name (state), t->ready,
                          t->pending_loads, t->i.min_copies, t->i.max_copies);
  g_string_append_printf (
      out, "; expects %.1f streams (now %.1f, usual %.1f%s)", f->expected,
      f->fast, f->slow, f->burst ? ", burst" : "");
  if (t->rolled_back)
    {
      g_string_append_printf (out, "; version %u failed: rolled back to %u",
                              t->i.version, t->i.previous_version);
    }
  else if (t->failures > 0)
    {
      g_string_append_printf (out, "; %u loads failed", t->failures);
    }
  if (t->no_room)
    g_string_append (out, "; no engine has room for one more");
  g_string_append_c (out, '\n');
}

void
pu_planner_explain_item (const pu_planner_t *p, guint32 item, guint64 now,
                         GString *out)
{
  if (item >= p->items->len || !pu_planned_item (p, item)->declared)
    {
      g_string_append_printf (out, "%s: not declared\n", item_name (p, item));
      return;
    }
  explain_state (p, item, now, out);
  for (guint32 i = 0; i < p->engines->len; i++)
    {
      const pu_planned_engine_t *e = pu_planned_engine (p, i);

      for (guint s = 0; s < e->copies->len; s++)
        {
          const pu_planned_copy_t *c = pu_planned_copy (e, s);

          if (c->c.item == item)
            explain_copy (p, i, c, now, out);
        }
    }
}

pu_plan_reason_t
pu_planner_copy_reason (const pu_planner_t *p, guint32 engine, guint32 item,
                        guint32 version)
{
  const pu_planned_engine_t *e;

  if (engine >= p->engines->len)
    return PU_REASON_PREEXISTING;
  e = pu_planned_engine (p, engine);
  for (guint s = 0; s < e->copies->len; s++)
    {
      const pu_planned_copy_t *c = pu_planned_copy (e, s);

      if (c->c.item == item && c->c.version == version)
        return c->reason;
    }
  return PU_REASON_PREEXISTING;
}

void
pu_planner_explain_move (const pu_planner_t *p, const pu_move_t *m,
                         GString *out)
{
  g_string_append_printf (out, "%s %s version %u %s engine %u: %s",
                          m->kind == PU_MOVE_LOAD ? "load" : "unload",
                          item_name (p, m->item), m->version,
                          m->kind == PU_MOVE_LOAD ? "on" : "from", m->engine,
                          pu_plan_reason_name (m->reason));
  if (m->reason == PU_REASON_MAKE_ROOM)
    g_string_append_printf (out, " (%s)", item_name (p, m->for_item));
  if (m->gain > 0)
    {
      g_string_append_printf (out,
                              " (gain %.1f, price %.1f late stream-seconds)",
                              m->gain, m->price);
    }
  g_string_append_c (out, '\n');
}
