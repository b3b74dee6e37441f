#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <array>

#include "base/fuzz_report.h"
#include "log/replica_sim.h"

using sim::Event;
using sim::Sim;

namespace rc
{
template <> struct Arbitrary<Event>
{
  static Gen<Event>
  arbitrary ()
  {
    return gen::build<Event> (
        gen::set (&Event::kind, gen::inRange (0, (int)sim::KINDS)),
        gen::set (&Event::a, gen::inRange (0U, 10U)),
        gen::set (&Event::b, gen::inRange (0U, 3000U)));
  }
};
} // namespace rc

namespace sim
{
void
showValue (const Event &e, std::ostream &os)
{
  os << "{" << e.kind << "," << e.a << "," << e.b << "}";
}
} // namespace sim

static std::string
violation (unsigned n, unsigned spares, unsigned seed, unsigned breaks,
           const std::vector<Event> &events, unsigned wanted = 0)
{
  Sim s (n, seed, breaks, spares, wanted);
  s.run (4000);
  for (size_t i = 0; i < events.size () && s.broken.empty (); i++)
    s.play (events[i]);
  if (s.broken.empty () && !s.heals () && s.broken.empty ())
    s.broken = "no proposal is committed after the faults";
  pu_fuzz_report::get ().steps += s.steps;
  pu_fuzz_report::get ().faults += s.faults;
  return s.broken;
}

RC_GTEST_PROP (ReplicaFuzz, KeepsItsPromises, ())
{
  const auto n = *rc::gen::inRange (3U, 6U);
  const auto spares = *rc::gen::inRange (0U, 2U);
  const auto seed = *rc::gen::arbitrary<unsigned> ();
  const auto events
      = *rc::gen::resize (200, rc::gen::arbitrary<std::vector<Event> > ());
  const std::string broken = violation (n, spares, seed, 0, events);
  if (!broken.empty ())
    RC_FAIL (broken);
}

/* The same where spares become voters by themselves.  */
RC_GTEST_PROP (ReplicaFuzz, KeepsItsPromisesAsItGrows, ())
{
  const auto seed = *rc::gen::arbitrary<unsigned> ();
  const auto spares = *rc::gen::inRange (1U, 5U);
  const auto events
      = *rc::gen::resize (200, rc::gen::arbitrary<std::vector<Event> > ());
  const std::string broken = violation (3, spares, seed, 0, events, 7);
  if (!broken.empty ())
    RC_FAIL (broken);
}

/* Voters of the configuration that the leader has.  */
static unsigned
voters (Sim &s)
{
  return pu_log_config_count_voters (pu_replica_config (s.leader ()->r));
}

/* With five disks the loss of two has to be borne.  */
TEST (Replica, SparesVoteUntilAsManyAsAreWanted)
{
  for (auto [spares, wanted, expected] : { std::array<unsigned, 3>{ 2, 0, 3 },
                                           { 2, 7, 5 },
                                           { 1, 7, 3 },
                                           { 3, 7, 5 },
                                           { 4, 7, 7 },
                                           { 4, 5, 5 } })
    {
      Sim s (3, 9, 0, spares, wanted);

      s.run (12000);
      ASSERT_NE (nullptr, s.leader ());
      EXPECT_EQ (expected, voters (s)) << spares << " spares";
      EXPECT_EQ (s.broken, "");
    }
}

TEST (Replica, TheLossOfTwoOfTheFirstThreeVotersIsBornWithTwoSpares)
{
  Sim s (3, 9, 0, 2, 7);

  s.run (12000);
  s.propose ();
  s.run (500);
  for (unsigned i : { 0U, 1U })
    {
      s.stop (i);
      s.wipe (i);
      s.stop (i);
    }
  s.run (3000);
  EXPECT_TRUE (s.heals ()) << s.broken;
}

/* A disk that lost what it had acknowledged is refused, by the leader that saw
   the acknowledgement and by the next one alike.  */
TEST (Replica, RolledBackDiskComesBackAsANewVoter)
{
  for (bool leader_dies : { false, true })
    {
      Sim s (3, 5, 0);
      s.run (4000);
      for (int i = 0; i < 10; i++)
        s.propose ();
      s.run (1000);
      unsigned l = (unsigned)(s.leader () - &s.node (0));
      unsigned f = l == 0 ? 1 : 0;
      uint64_t id = s.node (f).disk.meta.id;
      if (leader_dies)
        s.stop (l);
      s.roll_back (f, 5);
      s.run (3000);
      EXPECT_TRUE (s.heals ()) << s.broken;
      s.run (5000);
      EXPECT_NE (s.node (f).disk.meta.id, id);
      EXPECT_EQ (s.broken, "");
    }
}

/* After a power cut connections come up one after the other, later than the
   first election: the votes asked for until then are lost.  */
TEST (Replica, VotesThatWereLostAreAskedForAgain)
{
  const uint64_t election_ms = 1000;
  unsigned led = 0;

  for (unsigned seed = 1; seed <= 20; seed++)
    {
      Sim s (3, seed, 0);
      s.run (4000);
      for (unsigned i = 0; i < 3; i++)
        s.stop (i);
      for (unsigned i = 0; i < 3; i++)
        s.start (i);
      for (unsigned i = 0; i < 3; i++)
        s.play ({ sim::ISOLATE, i, 0 });
      s.run (2 * election_ms);
      s.play ({ sim::HEAL, 0, 0 });
      s.run (election_ms / 3);
      led += s.leader () != nullptr;
      EXPECT_EQ (s.broken, "");
    }
  EXPECT_GE (led, 18U);
}

/* Seeds 1 to LAST of one generator; the first that is caught, or 0.  */
static unsigned
first_caught (unsigned last, unsigned breaks, std::string *broken)
{
  for (unsigned seed = 1; seed <= last; seed++)
    {
      std::mt19937 rand (seed);
      std::vector<Event> events;
      events.reserve (80);
      for (int i = 0; i < 80; i++)
        {
          events.push_back ({ (int)(rand () % sim::KINDS),
                              (unsigned)rand () % 10,
                              (unsigned)rand () % 3000 });
        }
      *broken = violation (3 + seed % 2 * 2, seed % 3, seed, breaks, events);
      if (!broken->empty ())
        return seed;
    }
  return 0;
}

static const unsigned BREAK_SEEDS = 1000;

/* Each rule, broken on purpose, is caught by seeds that the unbroken replica
   passes.  */
TEST (ReplicaFuzz, NothingBrokenNothingCaught)
{
  std::string broken;
  EXPECT_EQ (first_caught (BREAK_SEEDS, 0, &broken), 0U) << broken;
}

class ReplicaBreaks : public ::testing::TestWithParam<unsigned>
{
};

TEST_P (ReplicaBreaks, AreCaught)
{
  std::string broken;
  unsigned seed = first_caught (BREAK_SEEDS, GetParam (), &broken);
  EXPECT_NE (seed, 0U);
  printf ("caught by seed %u: %s\n", seed, broken.c_str ());
}

INSTANTIATE_TEST_SUITE_P (
    Each, ReplicaBreaks,
    ::testing::Values (PU_BREAK_ACK_BEFORE_SYNC, PU_BREAK_VOTE_BEFORE_SYNC,
                       PU_BREAK_VOTE_IN_LEASE, PU_BREAK_COMMIT_OLD_TERM,
                       sim::KEEP_IDENTITY | PU_BREAK_NO_FLOORS));
