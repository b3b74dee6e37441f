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
constexpr uint64_t ORDER_TIMEOUT_MS = 300;

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
        const pu_order_turns_options_t o
            = { LEASE_MS, ORDER_TIMEOUT_MS, now, false };

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
    pu_order_turns_record (processes[k].turns, "engine", true, now);
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

/* As OrdersOfLeaders, with orders that take up to TRANSIT ms to the engine and
   back.  A leader orders once a report has come back; an order in flight when
   leadership ends is cancelled, and what was sent still arrives.  */
class OrdersInTransit
{
public:
  OrdersInTransit (unsigned seed, unsigned transit)
      : sim (3, seed, 0), rand (seed), transit (transit)
  {
  }
  unsigned returns = 0; /* A, B, A within a lease, as the engine gets them */
  unsigned late = 0;    /* an earlier term's order after a later term's */
  unsigned arrivals = 0;

  void
  run (unsigned steps)
  {
    for (unsigned i = 0; i < steps; i++)
      {
        uint64_t real = i * sim::STEP_MS;

        sim.run (sim::STEP_MS);
        for (unsigned k = 0; k < 3; k++)
          step (k, real);
        deliver (real);
        if (rand () % 60 == 0)
          fault ();
      }
  }

private:
  struct Sent
  {
    uint64_t at;
    unsigned holder;
    uint64_t term;
  };
  struct Voter
  {
    Process p;
    uint64_t term = 0;
    uint64_t may_at = 0;
    uint64_t answer_at = 0; /* 0: no order in flight */
  };
  sim::Sim sim;
  std::mt19937 rand;
  unsigned transit;
  Voter voters[3];
  std::vector<Sent> sent;
  std::vector<Order> turns;
  uint64_t highest = 0;

  void
  step (unsigned k, uint64_t real)
  {
    const sim::Node &n = sim.node (k);
    uint64_t now = sim.clock (n);
    Voter &v = voters[k];

    if (n.paused)
      return;
    if (v.p.replica != n.r)
      v.answer_at = 0;
    bool may = v.p.may_order (n, now);
    if (v.answer_at != 0 && (v.p.term != v.term || real >= v.answer_at))
      {
        pu_order_turns_record (v.p.turns, "engine", real >= v.answer_at, now);
        v.answer_at = 0;
      }
    if (v.p.term != v.term)
      {
        v.term = v.p.term;
        v.may_at = real + 2 * (1 + rand () % transit);
      }
    if (v.term == 0 || !may || v.answer_at != 0 || real < v.may_at)
      return;
    uint64_t arrives = real + 1 + rand () % transit;
    sent.push_back ({ arrives, k, v.term });
    v.answer_at = arrives + 1 + rand () % transit;
  }

  void
  deliver (uint64_t real)
  {
    std::sort (sent.begin (), sent.end (),
               [] (const Sent &a, const Sent &b) { return a.at < b.at; });
    while (!sent.empty () && sent.front ().at <= real)
      {
        Sent o = sent.front ();
        sent.erase (sent.begin ());
        arrivals++;
        late += o.term < highest;
        highest = std::max (highest, o.term);
        if (turns.empty () || turns.back ().holder != o.holder)
          {
            for (const Order &t : turns)
              returns += t.holder == o.holder && o.at < t.at + LEASE_MS;
            turns.push_back ({ o.at, o.holder });
          }
        turns.back ().at = o.at;
      }
  }

  void
  fault ()
  {
    static const sim::Kind kinds[]
        = { sim::PAUSE,    sim::CRASH,    sim::ISOLATE,
            sim::TRANSFER, sim::TRANSFER, sim::HEAL };

    sim.apply_event ({ kinds[rand () % 6], 9, 0 });
    for (unsigned i = 0; i < 3; i++)
      {
        if (rand () % 2 == 0)
          sim.start (i);
        if (rand () % 2 == 0)
          sim.apply_event ({ sim::RESUME, i, 0 });
      }
  }
};

TEST (OrdersInTransit, LateOrdersOfAnEarlierLeaderDoNotReachAnEngine)
{
  for (unsigned transit : { 10, 30, 60, 150, 300 })
    {
      unsigned late = 0;
      unsigned returns = 0;
      unsigned arrivals = 0;

      for (unsigned seed = 1; seed <= 40; seed++)
        {
          OrdersInTransit o (seed, transit);

          o.run (6000);
          late += o.late;
          returns += o.returns;
          arrivals += o.arrivals;
        }
      EXPECT_EQ (0U, late) << "one way up to " << transit << " ms, of "
                           << arrivals;
      EXPECT_EQ (0U, returns) << "one way up to " << transit << " ms";
    }
}

} // namespace
