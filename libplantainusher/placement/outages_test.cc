#include <gtest/gtest.h>

extern "C"
{
#include "placement/outages.h"
}

namespace
{

constexpr guint32 kEngine = 3;
constexpr guint32 kOther = 4;
constexpr guint64 kEvidenceMs = 2000;

struct Outages : ::testing::Test
{
  pu_outages_t *o = pu_outages_new (kEvidenceMs);
  guint64 now = 1000;

  ~Outages () override { pu_outages_free (o); }
};

TEST_F (Outages, EngineThatRefusesTheLeaderAndAnotherInstanceIsOut)
{
  guint32 engine = 0;

  pu_outages_add_report (o, kEngine, now);
  pu_outages_add_refusal (o, kEngine, now + 1);
  EXPECT_FALSE (pu_outages_confirm_next (o, now + 1, &engine));
  pu_outages_add_connection (o, now + 1);
  EXPECT_TRUE (pu_outages_confirm_next (o, now + 1, &engine));
  EXPECT_EQ (engine, kEngine);
  EXPECT_FALSE (pu_outages_confirm (o, kEngine, false, now + 1))
      << "told already";
}

/* The leader and other instances are cut off from all engines: all of them
   were recorded as down.  */
TEST_F (Outages, LeaderThatNoEngineAnswersConfirmsNothing)
{
  pu_outages_add_connection (o, now - 1);
  for (guint32 engine : { kEngine, kOther })
    {
      pu_outages_add_report (o, engine, now);
      pu_outages_add_refusal (o, engine, now);
    }
  for (guint32 engine : { kEngine, kOther })
    EXPECT_FALSE (pu_outages_confirm (o, engine, false, now + 1));
}

/* Open connections live on when a leader is cut off.  */
TEST_F (Outages, AnswerOfAnotherEngineOnAnOpenConnectionConfirmsNothing)
{
  pu_outages_add_report (o, kEngine, now);
  pu_outages_add_refusal (o, kEngine, now);
  pu_outages_add_answer (o, kOther, now + 1);
  EXPECT_FALSE (pu_outages_confirm (o, kEngine, false, now + 1));
  EXPECT_TRUE (pu_outages_is_suspected (o, kEngine, now + 1));
}

TEST_F (Outages, OnlyEngineNeedsNoAnswerOfAnother)
{
  pu_outages_add_report (o, kEngine, now);
  pu_outages_add_refusal (o, kEngine, now);
  EXPECT_TRUE (pu_outages_confirm (o, kEngine, true, now));
}

/* Guards against an instance that is itself the fault: everything refuses its
   connections.  */
TEST_F (Outages, NoInstanceIsBelievedAlone)
{
  pu_outages_add_report (o, kEngine, now);
  EXPECT_FALSE (pu_outages_confirm (o, kEngine, false, now));
  pu_outages_add_refusal (o, kEngine + 1, now);
  EXPECT_FALSE (pu_outages_confirm (o, kEngine + 1, false, now));
}

TEST_F (Outages, AnswerRefutesWhatWasSeenBefore)
{
  pu_outages_add_report (o, kEngine, now);
  pu_outages_add_answer (o, kEngine, now + 1);
  pu_outages_add_refusal (o, kEngine, now + 2);
  EXPECT_FALSE (pu_outages_confirm (o, kEngine, false, now + 2));
}

TEST_F (Outages, AnswerFromBeforeTheCrashRefutesNothing)
{
  pu_outages_add_report (o, kEngine, now);
  pu_outages_add_answer (o, kEngine, now - 1);
  pu_outages_add_refusal (o, kEngine, now + 2);
  pu_outages_add_connection (o, now + 2);
  EXPECT_TRUE (pu_outages_confirm (o, kEngine, false, now + 2));
}

TEST_F (Outages, LeadersOwnRefusalStopsItsOrdersUntilAnAnswer)
{
  EXPECT_FALSE (pu_outages_refuses (o, kEngine, now));
  pu_outages_add_refusal (o, kEngine, now);
  EXPECT_TRUE (pu_outages_refuses (o, kEngine, now + 1));
  pu_outages_add_answer (o, kEngine, now + 1);
  EXPECT_FALSE (pu_outages_refuses (o, kEngine, now + 2));
}

TEST_F (Outages, OldEvidenceDoesNotCount)
{
  pu_outages_add_report (o, kEngine, now);
  pu_outages_add_refusal (o, kEngine, now + kEvidenceMs);
  EXPECT_FALSE (pu_outages_confirm (o, kEngine, false, now + kEvidenceMs));
}

} // namespace
