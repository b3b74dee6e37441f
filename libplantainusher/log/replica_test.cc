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
        gen::set (&Event::kind, gen::inRange (0, (int)sim::EVENT_KINDS)),
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
run_scenario (unsigned n, unsigned spares, unsigned seed, unsigned breaks,
              const std::vector<Event> &events, unsigned wanted = 0,
              uint32_t bulk_bytes = PU_LOG_BULK_BYTES)
{
  Sim s (n, seed, breaks, spares, wanted, bulk_bytes);
  s.run (4000);
  for (size_t i = 0; i < events.size () && s.violation.empty (); i++)
    s.apply_event (events[i]);
  if (s.violation.empty () && !s.recovers () && s.violation.empty ())
    s.violation = "no proposal is committed after all faults have ended";
  pu_fuzz_report::get ().steps += s.delivered;
  pu_fuzz_report::get ().faults += s.faults;
  return s.violation;
}

RC_GTEST_PROP (ReplicaFuzz, PreservesInvariants, ())
{
  const auto n = *rc::gen::inRange (3U, 6U);
  const auto spares = *rc::gen::inRange (0U, 2U);
  const auto seed = *rc::gen::arbitrary<unsigned> ();
  const auto events
      = *rc::gen::resize (200, rc::gen::arbitrary<std::vector<Event> > ());
  const std::string violation = run_scenario (n, spares, seed, 0, events);
  if (!violation.empty ())
    RC_FAIL (violation);
}

/* Like PreservesInvariants, with spare nodes that become voters
   automatically.  */
RC_GTEST_PROP (ReplicaFuzz, PreservesInvariantsWhileVotersAreAdded, ())
{
  const auto seed = *rc::gen::arbitrary<unsigned> ();
  const auto spares = *rc::gen::inRange (1U, 5U);
  const auto events
      = *rc::gen::resize (200, rc::gen::arbitrary<std::vector<Event> > ());
  const std::string violation = run_scenario (3, spares, seed, 0, events, 7);
  if (!violation.empty ())
    RC_FAIL (violation);
}

/* Like PreservesInvariants, where all entries but those that begin a term are
   bulk data.  */
RC_GTEST_PROP (ReplicaFuzz, PreservesInvariantsWithBulkEntries, ())
{
  const auto n = *rc::gen::inRange (3U, 6U);
  const auto spares = *rc::gen::inRange (0U, 2U);
  const auto seed = *rc::gen::arbitrary<unsigned> ();
  const auto events
      = *rc::gen::resize (200, rc::gen::arbitrary<std::vector<Event> > ());
  const std::string violation
      = run_scenario (n, spares, seed, 0, events, 0, 1);
  if (!violation.empty ())
    RC_FAIL (violation);
}

/* Returns the number of voters in the leader's configuration.  */
static unsigned
voters (Sim &s)
{
  return pu_log_config_count_voters (pu_replica_config (s.leader ()->r));
}

/* The leader must raise the number of voters when spares are available,
   because with five voters the loss of two disks must not stop the log.  */
TEST (Replica, SparesBecomeVotersUpToTheTarget)
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
      EXPECT_EQ (s.violation, "");
    }
}

TEST (Replica, SurvivesLossOfTwoInitialVotersWithTwoSpares)
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
  EXPECT_TRUE (s.recovers ()) << s.violation;
}

/* A voter whose disk lost acknowledged entries must be refused, both by the
   leader that received the acknowledgement and by the next leader.  */
TEST (Replica, RolledBackDiskRejoinsWithANewIdentity)
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
      EXPECT_TRUE (s.recovers ()) << s.violation;
      s.run (5000);
      EXPECT_NE (s.node (f).disk.meta.id, id);
      EXPECT_EQ (s.violation, "");
    }
}

/* A voter that stops hands leadership on, and serves for seconds after that.
   Leadership must not come back to it meanwhile.  */
TEST (Replica, LeadershipDoesNotReturnToAStoppingVoter)
{
  for (unsigned seed = 1; seed <= 20; seed++)
    {
      Sim s (3, seed, 0);
      std::set<std::string> stopping;

      s.run (4000);
      for (int i = 0; i < 2; i++)
        {
          sim::Node *l = s.leader ();

          ASSERT_NE (nullptr, l) << "seed " << seed;
          stopping.insert (l->name);
          pu_replica_begin_stop (l->r, s.clock (*l));
          s.propose ();
          s.run (500);
        }
      ASSERT_NE (nullptr, s.leader ()) << "seed " << seed;
      EXPECT_EQ (0U, stopping.count (s.leader ()->name)) << "seed " << seed;
      EXPECT_EQ (s.violation, "") << "seed " << seed;
    }
}

TEST (Replica, LogIsWrittenToWhileAllVotersAreStopping)
{
  Sim s (3, 5, 0);

  s.run (4000);
  for (unsigned i = 0; i < 3; i++)
    pu_replica_begin_stop (s.node (i).r, s.clock (s.node (i)));
  s.run (500);
  ASSERT_NE (nullptr, s.leader ());
  s.stop ((unsigned)(s.leader ()->name[0] - 'a'));
  s.run (6000);
  ASSERT_NE (nullptr, s.leader ());
  uint64_t index = s.propose ();
  s.run (500);
  EXPECT_NE (0U, index);
  EXPECT_LE (index, pu_replica_commit_index (s.leader ()->r));
}

/* The leader that stops has nobody to hand over to until one of the others
   has restarted.  */
TEST (Replica, StoppingLeaderHandsOverToAVoterThatHasRestarted)
{
  Sim s (3, 5, 0);

  s.run (4000);
  for (unsigned i = 0; i < 3; i++)
    pu_replica_begin_stop (s.node (i).r, s.clock (s.node (i)));
  s.run (500);
  std::string old = s.leader ()->name;
  unsigned other = old == "a" ? 1 : 0;
  s.stop (other);
  s.start (other);
  s.run (3000);
  ASSERT_NE (nullptr, s.leader ());
  EXPECT_EQ (s.node (other).name, s.leader ()->name);
}

/* A voter that is cut off together with the leader hears it until it steps
   down.  It must not call its state current meanwhile.  */
TEST (Replica, VoterCutOffWithItsLeaderIsNotToldThatItLeads)
{
  for (unsigned seed = 1; seed <= 20; seed++)
    {
      Sim s (5, seed, 0);
      auto silent = [&] (unsigned i) {
        return pu_replica_leader_silent_ms (s.node (i).r,
                                            s.clock (s.node (i)));
      };
      auto in_minority = [&] (unsigned i, unsigned companion) {
        return i == companion || &s.node (i) == s.leader ();
      };

      s.run (4000);
      ASSERT_NE (nullptr, s.leader ()) << "seed " << seed;
      unsigned companion = &s.node (0) == s.leader () ? 1 : 0;
      std::set<unsigned> minority;
      for (unsigned i = 0; i < 5; i++)
        {
          EXPECT_LE (silent (i), 600U) << "seed " << seed;
          if (in_minority (i, companion))
            minority.insert (i);
        }
      for (unsigned a : minority)
        {
          for (unsigned b = 0; b < 5; b++)
            {
              if (minority.count (b) == 0)
                s.cut_link (a, b);
            }
        }
      s.run (1900);
      for (unsigned i : minority)
        EXPECT_GE (silent (i), 500U) << "seed " << seed;
      s.run (4000);
      for (unsigned i = 0; i < 5; i++)
        {
          if (minority.count (i) == 0)
            {
              EXPECT_LE (silent (i), 600U) << "seed " << seed;
            }
          else
            {
              EXPECT_GE (silent (i), 4000U) << "seed " << seed;
            }
        }
    }
}

TEST (Replica, TransferRightAfterAnElectionIsCarriedOut)
{
  for (unsigned seed = 1; seed <= 20; seed++)
    {
      Sim s (3, seed, 0);

      while (s.leader () == nullptr)
        s.run (sim::STEP_MS);
      sim::Node *old = s.leader ();
      pu_replica_transfer_leadership (old->r, s.clock (*old));
      s.run (400);
      ASSERT_NE (nullptr, s.leader ()) << "seed " << seed;
      EXPECT_NE (old, s.leader ()) << "seed " << seed;
    }
}

/* Faults and stops of the others are no reason to change the leader.  */
TEST (Replica, LeaderStaysWhileOtherMembersStopAndRestart)
{
  for (unsigned seed = 1; seed <= 20; seed++)
    {
      Sim s (3, seed, 0, 2, 5);

      s.run (12000);
      sim::Node *l = s.leader ();
      ASSERT_NE (nullptr, l) << "seed " << seed;
      uint64_t term = pu_replica_term (l->r);
      for (unsigned i = 0; i < 40; i++)
        {
          unsigned other = i % 5;

          if (&s.node (other) == l)
            continue;
          if (i % 3 == 0)
            pu_replica_begin_stop (s.node (other).r, s.clock (s.node (other)));
          s.run (700);
          s.stop (other);
          s.run (300);
          s.start (other);
          s.propose ();
          s.run (500);
        }
      ASSERT_EQ (l, s.leader ()) << "seed " << seed;
      EXPECT_EQ (term, pu_replica_term (l->r)) << "seed " << seed;
      EXPECT_EQ (s.violation, "") << "seed " << seed;
    }
}

/* Runs S, of three voters, until one voter is stopping, another one lags and
   the leader, which is returned, begins its stop.  NULL: no leader.  */
static sim::Node *
stop_leader_beside_lagging_voter (Sim &s)
{
  s.run (4000);
  sim::Node *l = s.leader ();
  if (l == nullptr)
    return nullptr;
  unsigned a = (unsigned)(l->name[0] - 'a');
  sim::Node &stopping = s.node ((a + 2) % 3);
  s.node ((a + 1) % 3).stalled = true;
  pu_replica_begin_stop (stopping.r, s.clock (stopping));
  for (int i = 0; i < 10; i++)
    {
      s.propose ();
      s.run (100);
    }
  pu_replica_begin_stop (l->r, s.clock (*l));
  return l;
}

/* The only voter that stays holds old entries: the last step of a stop hands
   over to the voter that has them all, although that one is stopping too.  */
TEST (Replica, LastStepOfAStopHandsOverThoughTheVoterThatStaysLags)
{
  for (unsigned seed = 1; seed <= 20; seed++)
    {
      Sim s (3, seed, 0);
      sim::Node *l = stop_leader_beside_lagging_voter (s);

      ASSERT_NE (nullptr, l) << "seed " << seed;
      for (int i = 0; i < 40; i++)
        {
          s.propose ();
          s.run (100);
        }
      pu_replica_transfer_leadership (l->r, s.clock (*l));
      s.run (2000);
      EXPECT_FALSE (pu_replica_is_leader (l->r)) << "seed " << seed;
      EXPECT_EQ (s.violation, "") << "seed " << seed;
    }
}

/* As above, for what is written meanwhile.  */
TEST (Replica, LeaderThatStopsTakesProposalsWhileTheVoterThatStaysLags)
{
  unsigned refused = 0;

  for (unsigned seed = 1; seed <= 20; seed++)
    {
      Sim s (3, seed, 0);
      sim::Node *l = stop_leader_beside_lagging_voter (s);

      ASSERT_NE (nullptr, l) << "seed " << seed;
      for (int i = 0; i < 60; i++)
        {
          refused += s.propose () == 0;
          s.run (100);
        }
    }
  EXPECT_EQ (0U, refused) << "of 1200";
}

TEST (Replica, VoterIsNotRemovedForALearnerThatIsStopping)
{
  for (unsigned seed = 1; seed <= 20; seed++)
    {
      Sim s (3, seed, 0, 1, 3);

      s.run (8000);
      ASSERT_NE (nullptr, s.leader ()) << "seed " << seed;
      pu_replica_begin_stop (s.node (3).r, s.clock (s.node (3)));
      unsigned a = (unsigned)(s.leader ()->name[0] - 'a');
      s.stop ((a + 1) % 3);
      s.run (30000);
      ASSERT_NE (nullptr, s.leader ()) << "seed " << seed;
      const pu_log_config *c = pu_replica_config (s.leader ()->r);
      unsigned voters = 0;
      for (unsigned i = 0; i < c->members.members_len; i++)
        voters += c->members.members_val[i].role == PU_LOG_VOTER;
      EXPECT_EQ (3U, voters) << "seed " << seed;
    }
}

/* After a power failure, connections come up one by one, after the first
   election has started, so vote requests sent before a connection is up are
   lost.  */
TEST (Replica, LostVoteRequestsAreRepeated)
{
  const uint64_t election_ms = 1000;
  unsigned elected = 0;

  for (unsigned seed = 1; seed <= 20; seed++)
    {
      Sim s (3, seed, 0);
      s.run (4000);
      for (unsigned i = 0; i < 3; i++)
        s.stop (i);
      for (unsigned i = 0; i < 3; i++)
        s.start (i);
      for (unsigned i = 0; i < 3; i++)
        s.apply_event ({ sim::ISOLATE, i, 0 });
      s.run (2 * election_ms);
      s.apply_event ({ sim::HEAL, 0, 0 });
      s.run (election_ms / 3);
      elected += s.leader () != nullptr;
      EXPECT_EQ (s.violation, "");
    }
  EXPECT_GE (elected, 18U);
}

/* Three of seven voters are gone, so the other four need each other's votes:
   two candidates at once elect nobody.  */
TEST (Replica, AllRemainingVotersElectALeaderSoonAfterTheirRestart)
{
  const uint64_t election_ms = 1000;
  unsigned late = 0;
  std::string times;

  for (unsigned seed = 1; seed <= 100; seed++)
    {
      Sim s (7, seed, 0);
      uint64_t taken = 0;

      s.run (4000);
      for (unsigned i = 0; i < 7; i++)
        s.stop (i);
      for (unsigned i = 0; i < 4; i++)
        s.start (i);
      while (s.leader () == nullptr && taken < 20 * election_ms)
        {
          s.run (sim::STEP_MS);
          taken += sim::STEP_MS;
        }
      late += taken > 2 * election_ms;
      times += " " + std::to_string (taken);
      EXPECT_EQ (s.violation, "");
    }
  EXPECT_EQ (0U, late) << times;
}

/* Runs scenarios with seeds 1 to LAST.  Returns the first seed that violates
   an invariant, or 0.  */
static unsigned
first_detected_seed (unsigned last, unsigned breaks, std::string *violation)
{
  for (unsigned seed = 1; seed <= last; seed++)
    {
      std::mt19937 rand (seed);
      std::vector<Event> events;
      events.reserve (80);
      for (int i = 0; i < 80; i++)
        {
          events.push_back ({ (int)(rand () % sim::EVENT_KINDS),
                              (unsigned)rand () % 10,
                              (unsigned)rand () % 3000 });
        }
      *violation
          = run_scenario (3 + seed % 2 * 2, seed % 3, seed, breaks, events);
      if (!violation->empty ())
        return seed;
    }
  return 0;
}

static const unsigned BREAK_SEEDS = 1000;

/* ReplicaBreaks breaks one rule at a time.  The same seeds must pass when no
   rule is broken, so that each violation is due to the broken rule.  */
TEST (ReplicaFuzz, PassesWithNoRuleBroken)
{
  std::string violation;
  EXPECT_EQ (first_detected_seed (BREAK_SEEDS, 0, &violation), 0U)
      << violation;
}

class ReplicaBreaks : public ::testing::TestWithParam<unsigned>
{
};

TEST_P (ReplicaBreaks, AreDetected)
{
  std::string violation;
  unsigned seed = first_detected_seed (BREAK_SEEDS, GetParam (), &violation);
  EXPECT_NE (seed, 0U);
  printf ("detected with seed %u: %s\n", seed, violation.c_str ());
}

INSTANTIATE_TEST_SUITE_P (
    Each, ReplicaBreaks,
    ::testing::Values (PU_BREAK_ACK_BEFORE_SYNC, PU_BREAK_VOTE_BEFORE_SYNC,
                       PU_BREAK_VOTE_IN_LEASE, PU_BREAK_COMMIT_OLD_TERM,
                       sim::REUSE_IDENTITY | PU_BREAK_NO_FLOORS));
