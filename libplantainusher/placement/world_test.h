#ifndef PU_PLACEMENT_WORLD_TEST_H
#define PU_PLACEMENT_WORLD_TEST_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

extern "C"
{
#include "placement/placement.h"
}

/* A few small engines, a network that loses, delays and doubles, the ledger of
   the replicated state, and leaders that come and go: what the stateful fuzz
   drives.  Checks add to `fault`, the first violation found.  */

/* What an engine truly holds.  */
struct Held
{
  guint32 memory_mb;
  pu_ledger_phase_t phase;
  guint64 until; /* of loading or draining */
};

struct Engine
{
  guint64 incarnation = 1;
  guint64 token = 0;
  guint64 seq = 0;
  bool fenced = false;
  bool alive = true;
  std::map<guint32, Held> held;

  guint64
  Memory () const
  {
    guint64 sum = 0;
    for (auto &h : held)
      sum += h.second.memory_mb;
    return sum;
  }
};

struct Breaks
{
  guint ledger = 0;
  guint planner = 0;
  guint orders = 0;
};

class World
{
public:
  static constexpr guint kEngines = 4, kModels = 5, kItems = 7;
  static constexpr guint kSize = 100, kVersions = 4;

  World (unsigned seed, const Breaks &b);
  ~World ();
  void Op (unsigned op); /* one random event, then time goes on */
  void Calm ();          /* no more faults until all is settled */
  std::string fault;
  bool verbose = false; /* print what happens, to look into a found seed */
  unsigned loads = 0, unloads = 0, faults = 0;
  unsigned steps = 0; /* operations, reports, orders and answers */

private:
  using Leader = std::shared_ptr<pu_placement_t>;
  struct Event
  {
    guint64 at;
    std::function<void ()> run;
  };

  guint64 now = 1000, position = 0, zombie_until = 0;
  bool calm = false;
  std::mt19937 rng;
  pu_placement_options_t options;
  pu_ledger_t *ledger;
  Engine engines[kEngines];
  guint64 applied_at[kEngines] = {}; /* when the applied report was made */
  guint32 version[kItems];
  unsigned idle[kItems] = {}; /* checks for which it waited in vain */
  Leader leader, zombie;
  std::vector<Event> events;

  unsigned
  Random (unsigned n)
  {
    return rng () % n;
  }
  bool
  Chance (unsigned percent)
  {
    return !calm && Random (100) < percent;
  }
  static guint32
  Copy (guint32 item, guint32 v)
  {
    return item * kVersions + v;
  }
  void Later (guint64 ms, std::function<void ()> f);
  void Fault (const std::string &what);
  void Trace (const char *format, ...) G_GNUC_PRINTF (2, 3);

  void Declare (guint32 item);
  void TakeOver ();
  void Tell (guint32 engine);
  void Tick ();
  void RunEngines ();
  void SendReports ();
  void ApplyReport (guint32 engine, pu_ledger_report_t r,
                    std::vector<pu_ledger_copy_t> held, guint64 made);
  void DropLeases ();
  void Act (const Leader &who, const pu_orders_action_t &a);
  void Send (const Leader &who, const pu_orders_order_t &o);
  pu_orders_answer_t Arrive (const pu_orders_order_t &o);
  void Restart (guint32 engine);
  void CheckMemory ();
  void CheckUnload (const pu_orders_order_t &o);
  void CheckStanding ();
};

#endif
