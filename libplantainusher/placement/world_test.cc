#include "placement/world_test.h"

#include <algorithm>
#include <cstdarg>
#include <cstdio>
#include <set>

namespace
{
constexpr guint64 kTick = 200, kReportEvery = 1000, kTransit = 2000;
constexpr guint64 kReportLag = 3000;
/* A load that is planned may be refused, and another place found.  */
constexpr unsigned kIdleChecks = 5;
const guint32 kMemory[World::kItems] = { 40, 35, 30, 30, 25, 3, 3 };
const guint32 kBase[World::kItems] = {
  PU_PLAN_NONE, PU_PLAN_NONE, PU_PLAN_NONE, PU_PLAN_NONE, PU_PLAN_NONE, 0, 1
};

guint64
Committed (void *data, guint32 backend)
{
  return pu_ledger_committed_mb ((pu_ledger_t *)data, backend);
}
} // namespace

World::World (unsigned seed, const Breaks &b) : rng (seed)
{
  pu_ledger_options_t lo = { b.ledger };

  ledger = pu_ledger_new (&lo);
  options = {};
  pu_planner_options_init (&options.planner);
  pu_orders_options_init (&options.orders);
  options.planner.moves_weight = 0;
  options.planner.move_price = 0.1;
  options.planner.min_stay_s = 3;
  options.planner.watch_s = 2;
  options.planner.max_concurrent_loads = 3;
  options.planner.test_breaks = b.planner;
  options.orders.lease_ms = 2000;
  options.orders.send_ms = 3000;
  options.orders.transit_ms = kTransit;
  options.orders.report_ms = kReportLag + kTick;
  options.orders.retry_ms = 600;
  options.orders.load_ms = 20000;
  options.orders.unload_ms = 20000;
  options.orders.backoff_ms = 1000;
  options.orders.backoff_max_ms = 8000;
  options.orders.test_breaks = b.orders;
  options.committed = Committed;
  options.data = ledger;
  for (guint i = 0; i < kEngines; i++)
    engines[i].fenced = i % 2 == 0;
  for (auto &v : version)
    v = 0;
  TakeOver ();
}

World::~World () { pu_ledger_free (ledger); }

void
World::Later (guint64 ms, std::function<void ()> f)
{
  events.push_back ({ now + ms, std::move (f) });
}

void
World::Fault (const std::string &what)
{
  if (fault.empty ())
    fault = what + " at " + std::to_string (now);
}

void
World::Trace (const char *format, ...)
{
  va_list args;

  if (!verbose)
    return;
  va_start (args, format);
  printf ("%7lu ", (unsigned long)now);
  vprintf (format, args);
  printf ("\n");
  va_end (args);
}

void
World::Declare (guint32 item)
{
  pu_plan_item_t i = {};
  std::string name = "item" + std::to_string (item);

  i.name = name.c_str ();
  i.base = kBase[item];
  i.version = version[item];
  i.previous_version = PU_PLAN_NONE;
  i.memory_mb = kMemory[item];
  i.min_copies = 1;
  i.max_copies = 3;
  i.importance = 5;
  pu_planner_set_item (pu_placement_planner (leader.get ()), item, &i);
}

void
World::Tell (guint32 engine)
{
  pu_ledger_report_t r;
  bool down;

  if (pu_ledger_get_backend (ledger, engine, &r, &down))
    pu_placement_update_backend (leader.get (), &r, down, engine % 2, 4.0,
                                 now);
}

/* The old leader goes on sending while its lease could last.  */
void
World::TakeOver ()
{
  GArray *open = pu_ledger_orders (ledger);

  Trace ("new leader");
  zombie = leader;
  zombie_until = now + options.orders.lease_ms;
  leader = Leader (pu_placement_new (&options, now), pu_placement_free);
  for (guint32 i = 0; i < kItems; i++)
    {
      for (guint32 v = 0; v < kVersions; v++)
        pu_placement_map_copy (leader.get (), Copy (i, v), i, v);
      Declare (i);
    }
  for (guint32 i = 0; i < kEngines; i++)
    Tell (i);
  for (guint i = 0; i < open->len; i++)
    pu_placement_adopt (leader.get (),
                        &g_array_index (open, pu_ledger_order_t, i), now);
  g_array_unref (open);
}

void
World::Restart (guint32 engine)
{
  Engine &e = engines[engine];

  Trace ("engine %u restarts", engine);
  e.held.clear ();
  e.incarnation++;
  e.token = 0;
  e.seq = 0;
  e.alive = true;
}

void
World::RunEngines ()
{
  for (auto &e : engines)
    {
      for (auto h = e.held.begin (); h != e.held.end ();)
        {
          bool due = now >= h->second.until;

          if (h->second.phase == PU_LEDGER_LOADING && due)
            h->second.phase = PU_LEDGER_READY;
          /* A load may fail, and version 3 always does.  */
          bool bad = h->second.phase == PU_LEDGER_READY && due
                     && (h->first % kVersions == 3 || Chance (1));
          if ((h->second.phase == PU_LEDGER_DRAINING && due) || bad)
            h = e.held.erase (h);
          else
            ++h;
        }
    }
}

void
World::SendReports ()
{
  for (guint32 i = 0; i < kEngines; i++)
    {
      Engine &e = engines[i];
      pu_ledger_report_t r = {};
      std::vector<pu_ledger_copy_t> held;

      if (!e.alive)
        continue;
      r.backend = i;
      r.incarnation = e.incarnation;
      r.seq = ++e.seq;
      r.token = e.token;
      r.accelerators = 1;
      r.memory_mb = kSize;
      r.fenced = e.fenced;
      for (auto &h : e.held)
        {
          bool part = h.second.phase == PU_LEDGER_LOADING;

          held.push_back ({ h.first, h.second.memory_mb / (part ? 2 : 1),
                            h.second.phase });
        }
      pu_ledger_report_t known;
      bool same = pu_ledger_get_backend (ledger, i, &known, nullptr)
                  && known.incarnation == r.incarnation && known.token > 0;
      if (same && Chance (3)) /* contradicts what it said before */
        {
          faults++;
          r.token = known.token - 1;
          held = { { Random (kModels) * kVersions, 5, PU_LEDGER_READY } };
        }
      if (Chance (20))
        {
          faults++;
          continue;
        }
      guint64 made = now;
      Later (calm ? 0 : Random (kReportLag - kReportEvery),
             [=] { ApplyReport (i, r, held, made); });
    }
}

void
World::ApplyReport (guint32 engine, pu_ledger_report_t r,
                    std::vector<pu_ledger_copy_t> held, guint64 made)
{
  GArray *closed = g_array_new (FALSE, FALSE, sizeof (guint64));

  r.held = held.data ();
  r.n_held = held.size ();
  position++;
  Trace ("report of engine %u: seq %lu token %lu held %u", engine,
         (unsigned long)r.seq, (unsigned long)r.token, r.n_held);
  if (pu_ledger_backend_up (ledger, &r, closed) != PU_LEDGER_STALE)
    applied_at[engine] = made;
  for (guint i = 0; i < closed->len; i++)
    {
      guint64 token = g_array_index (closed, guint64, i);

      Trace ("closed %lu", (unsigned long)token);
      pu_placement_handle_closed (leader.get (), token, now);
    }
  Tell (engine);
  g_array_unref (closed);
}

/* Without a fresh report a backend server is down.  */
void
World::DropLeases ()
{
  for (guint32 i = 0; i < kEngines; i++)
    {
      pu_ledger_report_t r;
      bool down;

      if (!pu_ledger_get_backend (ledger, i, &r, &down) || down
          || now - applied_at[i] < kReportLag)
        continue;
      Trace ("engine %u down", i);
      pu_ledger_backend_down (ledger, i, r.incarnation);
      Tell (i);
    }
}

pu_orders_answer_t
World::Arrive (const pu_orders_order_t &o)
{
  Engine &e = engines[o.spec.backend];
  auto h = e.held.find (o.spec.copy);

  if (!e.alive)
    return PU_ORDERS_LOST;
  Trace ("arrives %lu %s copy %u at engine %u (token %lu)",
         (unsigned long)o.token, o.spec.kind == 0 ? "load" : "unload",
         o.spec.copy, o.spec.backend, (unsigned long)e.token);
  if (e.fenced && o.token < e.token)
    return PU_ORDERS_STALE_TOKEN;
  e.token = std::max (e.token, o.token);
  if (o.spec.kind == PU_LEDGER_UNLOAD)
    {
      if (h != e.held.end ())
        h->second = { h->second.memory_mb, PU_LEDGER_DRAINING,
                      now + 500 + Random (2000) };
      return PU_ORDERS_ACCEPTED;
    }
  if (h != e.held.end ())
    return h->second.phase == PU_LEDGER_DRAINING ? PU_ORDERS_NO_MEMORY
                                                 : PU_ORDERS_ACCEPTED;
  /* It believes the order: it looks at no sum of its own.  */
  e.held[o.spec.copy]
      = { o.spec.memory_mb, PU_LEDGER_LOADING, now + 1000 + Random (3000) };
  return PU_ORDERS_ACCEPTED;
}

void
World::Send (const Leader &who, const pu_orders_order_t &o)
{
  guint64 to = engines[o.spec.backend].incarnation;
  unsigned copies = Chance (15) ? 0 : Chance (15) ? 2 : 1;
  auto heard = std::make_shared<bool> (false);

  faults += copies != 1;
  if (copies == 0)
    Later (500, [=] {
      pu_placement_handle_answer (who.get (), o.token, PU_ORDERS_LOST, now);
    });
  for (unsigned i = 0; i < copies; i++)
    {
      /* What has reached a process that checks tokens may wait there for any
         time; with its end it is gone.  */
      bool waits = o.spec.fenced && Random (10) == 0;

      Later (calm ? 10 : Random (waits ? 60000 : kTransit), [=] {
        bool gone = waits && to != engines[o.spec.backend].incarnation;
        pu_orders_answer_t a = gone ? PU_ORDERS_LOST : Arrive (o);

        if (Chance (20))
          {
            faults++;
            a = PU_ORDERS_LOST;
          }
        if (!*heard)
          pu_placement_handle_answer (who.get (), o.token, a, now);
        *heard = true;
      });
    }
}

void
World::Act (const Leader &who, const pu_orders_action_t &a)
{
  const pu_orders_order_t &o = a.order;

  Trace ("%s: %s %lu %s copy %u engine %u: %s",
         who == leader ? "leader" : "old leader",
         a.what == PU_ORDERS_ACTION_RESERVE   ? "reserve"
         : a.what == PU_ORDERS_ACTION_SEND    ? "send"
         : a.what == PU_ORDERS_ACTION_RELEASE ? "release"
                                              : "fail",
         (unsigned long)o.token, o.spec.kind == 0 ? "load" : "unload",
         o.spec.copy, o.spec.backend, o.spec.reason);
  if (a.what == PU_ORDERS_ACTION_SEND)
    {
      loads += o.spec.kind == PU_LEDGER_LOAD;
      unloads += o.spec.kind == PU_LEDGER_UNLOAD;
      if (o.spec.kind == PU_LEDGER_UNLOAD && who == leader && o.tries == 1)
        CheckUnload (o);
      Send (who, o);
    }
  if (who != leader)
    return; /* it cannot reach a quorum */
  if (a.what == PU_ORDERS_ACTION_RESERVE)
    {
      pu_ledger_order_t l
          = { ++position,         o.spec.kind, o.spec.backend,
              o.spec.incarnation, o.spec.copy, o.spec.memory_mb };
      bool accepted = pu_ledger_reserve (ledger, &l, nullptr);

      pu_placement_handle_reserved (who.get (), o.id, accepted, l.token, now);
    }
  if (a.what == PU_ORDERS_ACTION_RELEASE
      && pu_ledger_release (ledger, o.token))
    pu_placement_handle_closed (who.get (), o.token, now);
}

void
World::Tick ()
{
  bool second = now % kReportEvery == 0;
  GArray *todo = g_array_new (FALSE, FALSE, sizeof (pu_orders_action_t));

  RunEngines ();
  if (second)
    SendReports ();
  for (size_t i = 0; i < events.size (); i++)
    {
      if (events[i].at > now || !events[i].run)
        continue;
      std::function<void ()> run = std::move (events[i].run);
      events[i].run = nullptr;
      run ();
      steps++;
      CheckMemory ();
    }
  events.erase (std::remove_if (events.begin (), events.end (),
                                [] (const Event &e) { return !e.run; }),
                events.end ());
  DropLeases ();
  if (zombie && now >= zombie_until)
    zombie.reset ();
  if (zombie)
    pu_placement_step (zombie.get (), false, now, todo);
  for (guint i = 0; i < todo->len; i++)
    Act (zombie, g_array_index (todo, pu_orders_action_t, i));
  g_array_set_size (todo, 0);
  pu_placement_step (leader.get (), second, now, todo);
  if (second)
    CheckStanding ();
  for (guint i = 0; i < todo->len; i++)
    Act (leader, g_array_index (todo, pu_orders_action_t, i));
  g_array_unref (todo);
  CheckMemory ();
  now += kTick;
}

void
World::Op (unsigned op)
{
  guint32 item = op / 16 % kItems;
  guint32 engine = op / 16 % kEngines;

  steps++;
  switch (op % 16)
    {
    case 0:
      Restart (engine);
      faults++;
      break;
    case 1:
      engines[engine].alive = !engines[engine].alive;
      if (engines[engine].alive)
        Restart (engine);
      faults++;
      break;
    case 2:
    case 3:
      TakeOver ();
      faults++;
      break;
    case 4:
      version[item] = (version[item] + 1) % kVersions;
      Declare (item);
      break;
    default:
      pu_planner_add_demand (pu_placement_planner (leader.get ()), item,
                             op / 128 % 32, (op / 128 % 32) * 1000.0);
    }
  for (unsigned n = 1 + op / 4096 % 8; n > 0; n--)
    Tick ();
}

void
World::Calm ()
{
  calm = true;
  for (guint32 i = 0; i < kEngines; i++)
    {
      if (!engines[i].alive)
        Restart (i);
    }
  for (guint32 i = 0; i < kItems; i++)
    {
      if (version[i] == 3)
        version[i] = 0;
      Declare (i);
    }
  for (guint64 end = now + 300000; now < end && fault.empty ();)
    Tick ();
  for (guint32 i = 0; i < kItems; i++)
    {
      if (pu_planner_ready_copies (pu_placement_planner (leader.get ()), i)
          == 0)
        Fault ("item " + std::to_string (i) + " is not reachable");
    }
}

void
World::CheckMemory ()
{
  for (auto &e : engines)
    {
      if (e.Memory () > kSize)
        Fault ("memory of an engine is over its size");
    }
}

/* By the ledger alone: another copy must be ready on an engine that is up.  */
void
World::CheckUnload (const pu_orders_order_t &o)
{
  guint32 item = o.spec.copy / kVersions;
  unsigned others = 0;
  bool here = false;

  for (guint32 i = 0; i < kEngines; i++)
    {
      pu_ledger_report_t r;
      bool down;

      if (!pu_ledger_get_backend (ledger, i, &r, &down) || down)
        continue;
      for (guint k = 0; k < r.n_held; k++)
        {
          bool ready = r.held[k].copy / kVersions == item
                       && r.held[k].phase == PU_LEDGER_READY;

          if (i == o.spec.backend && r.held[k].copy == o.spec.copy)
            here = ready;
          else
            others += ready;
        }
    }
  if (here && others == 0)
    Fault ("the last ready copy is unloaded");
}

/* What no caller can reach has a load under way, or the store is busy, or the
   base comes first, or a try that failed is made again.  */
void
World::CheckStanding ()
{
  pu_planner_t *p = pu_placement_planner (leader.get ());
  const pu_orders_t *o = pu_placement_orders (leader.get ());
  std::set<std::pair<guint32, guint32> > under_way;

  for (guint i = 0; i < pu_orders_count (o); i++)
    {
      const pu_orders_order_t *r = pu_orders_get (o, i);
      if (r->spec.kind == PU_LEDGER_LOAD && r->state <= PU_ORDERS_ACKED)
        under_way.insert ({ r->spec.backend, r->spec.copy });
    }
  for (guint32 i = 0; i < kEngines; i++)
    {
      pu_ledger_report_t r;
      bool known = pu_ledger_get_backend (ledger, i, &r, nullptr);
      for (guint k = 0; known && k < r.n_held; k++)
        if (r.held[k].phase == PU_LEDGER_LOADING)
          under_way.insert ({ i, r.held[k].copy });
    }
  for (guint32 i = 0; i < kItems; i++)
    {
      if (pu_planner_item_state (p, i, now) == PU_ITEM_STATE_WAIT_STORE
          && under_way.size () < options.planner.max_concurrent_loads)
        idle[i]++;
      else
        idle[i] = 0;
      if (idle[i] > kIdleChecks)
        Fault ("item " + std::to_string (i) + " waits for nothing");
    }
}
