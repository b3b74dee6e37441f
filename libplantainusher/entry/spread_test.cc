#include <gtest/gtest.h>

#include "entry/entry_private.h"
#include "entry/rig_test.h"

namespace
{

constexpr guint LOAD_BYTES = 80; /* a message with one load */
constexpr guint BYTES_S = 1200;

TEST (Spread, BytesDoNotGrowWithTheBackendServersHeard)
{
  for (guint heard : { 1u, 13u, 14u, 104u, 770u, 10000u })
    {
      guint interval = pu_load_forward_interval_ms (heard);

      EXPECT_GE (interval, 1000u);
      EXPECT_LE (heard * LOAD_BYTES * 1000 / interval, BYTES_S) << heard;
      EXPECT_GE (pu_load_forward_lifetime_ms (interval), 3 * interval);
    }
}

TEST (Spread, IdTellsIncarnationsApart)
{
  EXPECT_EQ (pu_entry_load_id ("e1", 1), pu_entry_load_id ("e1", 1));
  EXPECT_NE (pu_entry_load_id ("e1", 1), pu_entry_load_id ("e1", 2));
  EXPECT_NE (pu_entry_load_id ("e1", 1), pu_entry_load_id ("e2", 1));
}

/* The number of the last report about e1 that N has heard.  */
json_int_t
heard_seq (const node &n)
{
  json_t *dump = pu_entry_dump (n.entry);
  const json_t *backends
      = json_object_get (json_object_get (dump, "router"), "backends");
  json_int_t seq = json_integer_value (
      json_object_get (json_array_get (backends, 0), "report_seq"));

  json_decref (dump);
  return seq;
}

struct Told : testing::Test
{
  rig r;
  std::vector<node *> nodes;
  backend *engine = nullptr;
  const std::string load = ",\"load\":{\"running\":3,\"waiting\":0,"
                           "\"kv_used_mb\":0,\"tokens_per_s\":0}";

  void
  SetUp () override
  {
    for (int i = 0; i < 4; i++)
      nodes.push_back (&r.add_node ("n" + std::to_string (i)));
    engine = &r.add_backend ("e1", "", *nodes[0]);
    for (node *n : nodes)
      pu_entry_view_changed (n->entry);
  }

  /* How many entries other than the home have heard report SEQ.  */
  guint
  others_at (json_int_t seq) const
  {
    guint n = 0;

    for (size_t i = 1; i < nodes.size (); i++)
      n += heard_seq (*nodes[i]) == seq;
    return n;
  }
};

TEST_F (Told, OnlyTheEntriesOfTheServiceHearALoad)
{
  r.announce (*engine, *nodes[0], load);
  r.until ([this] {
    return others_at (static_cast<json_int_t> (engine->seq)) > 0;
  });
  EXPECT_LE (others_at (static_cast<json_int_t> (engine->seq)), 2u);
  EXPECT_GT (others_at (0), 0u);
}

TEST_F (Told, NewerLoadTakesThePlaceOfOneNotYetSent)
{
  r.announce (*engine, *nodes[0], load);
  r.until ([this] {
    return others_at (static_cast<json_int_t> (engine->seq)) > 0;
  });
  const guint first = r.loads_told;
  for (int i = 0; i < 5; i++)
    r.announce (*engine, *nodes[0], load);
  r.until ([this] {
    return others_at (static_cast<json_int_t> (engine->seq)) > 0;
  });
  /* Each entry was told once more, or twice when the reports fell into two
     intervals: not five times.  */
  EXPECT_LE (r.loads_told, 3 * first);
}

/* All other entries hear, also one that came after the first load, and none
   is told of what it reported itself.  */
TEST (ToldToAll, EveryOtherEntryHearsAlsoALaterOne)
{
  const std::string load = ",\"load\":{\"running\":3,\"waiting\":0,"
                           "\"kv_used_mb\":0,\"tokens_per_s\":0}";
  rig r;
  std::vector<node *> nodes;
  const auto all_know = [&nodes] (const backend &b) {
    for (size_t i = 1; i < nodes.size (); i++)
      if (heard_seq (*nodes[i]) != static_cast<json_int_t> (b.seq))
        return false;
    return true;
  };

  r.loads_to_all_entries = true;
  for (int i = 0; i < 4; i++)
    nodes.push_back (&r.add_node ("n" + std::to_string (i)));
  backend &engine = r.add_backend ("e1", "", *nodes[0]);
  for (node *n : nodes)
    pu_entry_view_changed (n->entry);
  r.announce (engine, *nodes[0], load);
  r.until ([&] { return all_know (engine); });
  nodes.push_back (&r.add_node ("n4"));
  for (node *n : nodes)
    pu_entry_view_changed (n->entry);
  r.announce (engine, *nodes[0], load);
  r.until ([&] { return all_know (engine); });
  EXPECT_EQ (7u, r.loads_told) << "three, then four";
}

/* A copy that is about to be unloaded: no entry has to find that out by a
   refusal.  Reports that list it yet bring it back after a while.  */
TEST_F (Told, CopyThatIsWithdrawnGetsNothingMoreAnywhere)
{
  const auto ready = [] (const node &n) {
    return pu_router_ready_copies (
        n.entry->router, pu_router_find_model (n.entry->router, "m"));
  };
  const auto all_ready = [&] (guint copies) {
    for (const node *n : nodes)
      if (ready (*n) != copies)
        return false;
    return true;
  };

  ASSERT_TRUE (all_ready (1));
  for (int sent = 0; sent < 3; sent++)
    pu_entry_withdraw_copy (nodes[0]->entry, "e1", "m");
  EXPECT_EQ (nodes.size () - 1, r.withdrawals_told) << "once to each";
  EXPECT_TRUE (all_ready (0));
  r.announce (*engine, *nodes[0], load);
  EXPECT_TRUE (all_ready (0));
  r.until ([&] { return all_ready (1); });
}

TEST_F (Told, LoadOfAnOldIncarnationSaysNothing)
{
  const pu_entry_load_t old = { pu_entry_load_id ("e1", 2), 900, 3, 0, 0, 0 };

  pu_entry_receive_loads (nodes[1]->entry, &old, 1, 5000);
  EXPECT_NE (900, heard_seq (*nodes[1]));
}

} // namespace
