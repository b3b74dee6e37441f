#include <gtest/gtest.h>

#include <random>

#include "log/replica_sim.h"
#include "placement/order_turns.h"

/* Leaders of a simulated log that order one engine whenever they may, under
   random faults: an order of A, of B and of A again never fall within one
   lease.  */

namespace
{

constexpr uint64_t LEASE_MS = 3000;

struct Order
{
  uint64_t at;
  unsigned holder;
};

/* The process of one voter; a restart makes a new one.  */
struct Process
{
  const pu_replica_t *replica = nullptr;
  pu_order_turns_t *turns = nullptr;
  uint64_t term = 0; /* of the present leadership; 0: does not lead */

  ~Process () { pu_order_turns_free (turns); }

  bool
  may_order (const sim::Node &n, uint64_t now)
  {
    if (replica != n.r)
      {
        const pu_order_turns_options_t o = { LEASE_MS, now, true };

        pu_order_turns_free (turns);
        turns = pu_order_turns_new (&o);
        replica = n.r;
        term = 0;
      }
    if (n.paused || n.r == nullptr || !pu_replica_holds_lease (n.r, now))
      {
        term = 0;
        return false;
      }
    if (term != pu_replica_term (n.r))
      pu_order_turns_begin (turns, pu_replica_term (n.r), now);
    term = pu_replica_term (n.r);
    return pu_order_turns_allows (turns, "engine", now);
  }
};

class OrdersOfLeaders
{
public:
  explicit OrdersOfLeaders (unsigned seed, bool guarded)
      : sim (3, seed, 0), rand (seed), guarded (guarded)
  {
  }

  /* Runs for STEPS steps and returns the number of A, B, A within a lease.  */
  unsigned
  run (unsigned steps)
  {
    for (unsigned i = 0; i < steps; i++)
      {
        sim.run (sim::STEP_MS);
        for (unsigned k = 0; k < 3; k++)
          order (k, i * sim::STEP_MS);
        if (rand () % 60 == 0)
          fault ();
      }
    return returns;
  }

  sim::Sim sim;
  size_t changes = 0;

private:
  std::mt19937 rand;
  bool guarded;
  Process processes[3];
  std::vector<Order> last_of_turns;
  unsigned returns = 0;

  void
  order (unsigned k, uint64_t real_now)
  {
    const sim::Node &n = sim.node (k);
    uint64_t now = sim.clock (n);
    bool leads
        = n.r != nullptr && !n.paused && pu_replica_holds_lease (n.r, now);
    bool may = processes[k].may_order (n, now);

    if (!leads || (guarded && !may))
      return;
    pu_order_turns_record (processes[k].turns, "engine", now);
    if (last_of_turns.empty () || last_of_turns.back ().holder != k)
      {
        changes++;
        for (const Order &o : last_of_turns)
          returns += o.holder == k && real_now < o.at + LEASE_MS;
        last_of_turns.push_back ({ real_now, k });
      }
    last_of_turns.back ().at = real_now;
  }

  void
  fault ()
  {
    unsigned k = rand () % 3;

    switch (rand () % 6)
      {
      case 0:
        sim.apply_event ({ sim::PAUSE, 9, 0 });
        break;
      case 1:
        sim.apply_event ({ sim::RESUME, k, 0 });
        break;
      case 2:
        sim.apply_event ({ sim::CRASH, 9, 0 });
        break;
      case 3:
        sim.apply_event ({ sim::ISOLATE, 9, 0 });
        break;
      case 4:
        sim.apply_event ({ sim::TRANSFER, 9, 0 });
        break;
      default:
        sim.apply_event ({ sim::HEAL, 0, 0 });
        break;
      }
    for (unsigned i = 0; i < 3; i++)
      {
        if (rand () % 2 == 0)
          sim.start (i);
        if (rand () % 2 == 0)
          sim.apply_event ({ sim::RESUME, i, 0 });
      }
  }
};

TEST (OrdersOfLeaders, OneThatLeadsAgainWaitsForALease)
{
  size_t changes = 0;

  for (unsigned seed = 1; seed <= 40; seed++)
    {
      OrdersOfLeaders o (seed, true);

      EXPECT_EQ (0U, o.run (6000)) << "seed " << seed;
      EXPECT_EQ ("", o.sim.violation) << "seed " << seed;
      changes += o.changes;
    }
  EXPECT_GT (changes, 400U);
}

TEST (OrdersOfLeaders, ReturnsAreSeenWithoutTheWait)
{
  OrdersOfLeaders o (1, false);

  EXPECT_GT (o.run (6000), 0U);
}

} // namespace
