#include <gtest/gtest.h>

#include "entry/entry_private.h"
#include "entry/rig_test.h"

namespace
{

constexpr guint LOAD_MESSAGE_BYTES = 80; /* size with one load report */
constexpr guint MAX_BYTES_PER_S = 1200;

TEST (LoadReports, TrafficIsBoundedForAnyNumberOfBackendServers)
{
  for (guint backends : { 1u, 13u, 14u, 104u, 770u, 10000u })
    {
      guint interval = pu_load_forward_interval_ms (backends);

      EXPECT_GE (interval, 1000u);
      EXPECT_LE (backends * LOAD_MESSAGE_BYTES * 1000 / interval,
                 MAX_BYTES_PER_S)
          << backends;
      EXPECT_GE (pu_load_forward_lifetime_ms (interval), 3 * interval);
    }
}

TEST (LoadReports, IdDiffersByNameAndIncarnation)
{
  EXPECT_EQ (pu_entry_load_id ("e1", 1), pu_entry_load_id ("e1", 1));
  EXPECT_NE (pu_entry_load_id ("e1", 1), pu_entry_load_id ("e1", 2));
  EXPECT_NE (pu_entry_load_id ("e1", 1), pu_entry_load_id ("e2", 1));
}

/* The sequence number of the last report about e1 that N received.  */
json_int_t
last_report_seq (const node &n)
{
  json_t *dump = pu_entry_dump (n.entry);
  const json_t *backends
      = json_object_get (json_object_get (dump, "router"), "backends");
  json_int_t seq = json_integer_value (
      json_object_get (json_array_get (backends, 0), "report_seq"));

  json_decref (dump);
  return seq;
}

struct LoadExchange : testing::Test
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

  /* Number of entries, not counting the one that e1 reports to, whose last
     report about e1 has the sequence number SEQ.  */
  guint
  other_entries_at (json_int_t seq) const
  {
    guint n = 0;

    for (size_t i = 1; i < nodes.size (); i++)
      n += last_report_seq (*nodes[i]) == seq;
    return n;
  }
};

TEST_F (LoadExchange, OnlyEntriesOfTheServiceReceiveReports)
{
  r.announce (*engine, *nodes[0], load);
  r.run_until ([this] {
    return other_entries_at (static_cast<json_int_t> (engine->seq)) > 0;
  });
  EXPECT_LE (other_entries_at (static_cast<json_int_t> (engine->seq)), 2u);
  EXPECT_GT (other_entries_at (0), 0u);
}

TEST_F (LoadExchange, NewerReportReplacesOneNotYetSent)
{
  r.announce (*engine, *nodes[0], load);
  r.run_until ([this] {
    return other_entries_at (static_cast<json_int_t> (engine->seq)) > 0;
  });
  const guint first = r.load_reports_sent;
  for (int i = 0; i < 5; i++)
    r.announce (*engine, *nodes[0], load);
  r.run_until ([this] {
    return other_entries_at (static_cast<json_int_t> (engine->seq)) > 0;
  });
  /* A newer report replaces one that is still queued, so each entry received
     one more report, or two if the reports fell into two intervals, but not
     five.  */
  EXPECT_LE (r.load_reports_sent, 3 * first);
}

/* Load reports go to all other entries, also to one that was added after the
   first report, and never back to the entry that sent them.  */
TEST (LoadExchangeToAll, EveryOtherEntryReceivesReportsAlsoIfAddedLater)
{
  const std::string load = ",\"load\":{\"running\":3,\"waiting\":0,"
                           "\"kv_used_mb\":0,\"tokens_per_s\":0}";
  rig r;
  std::vector<node *> nodes;
  const auto all_received = [&nodes] (const backend &b) {
    for (size_t i = 1; i < nodes.size (); i++)
      if (last_report_seq (*nodes[i]) != static_cast<json_int_t> (b.seq))
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
  r.run_until ([&] { return all_received (engine); });
  nodes.push_back (&r.add_node ("n4"));
  for (node *n : nodes)
    pu_entry_view_changed (n->entry);
  r.announce (engine, *nodes[0], load);
  r.run_until ([&] { return all_received (engine); });
  EXPECT_EQ (7u, r.load_reports_sent) << "three entries, then four";
}

/* All entries stop using a copy that is about to be unloaded, so that none
   learns of the unload through a rejected request.  If announcements still
   list the copy when the withdrawal expires, the copy is used again.  */
TEST_F (LoadExchange, WithdrawnCopyIsNotUsedByAnyEntry)
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
  for (int i = 0; i < 3; i++)
    pu_entry_withdraw_copy (nodes[0]->entry, "e1", "m");
  EXPECT_EQ (nodes.size () - 1, r.withdrawals_sent)
      << "one to each other entry";
  EXPECT_TRUE (all_ready (0));
  r.announce (*engine, *nodes[0], load);
  EXPECT_TRUE (all_ready (0));
  r.run_until ([&] { return all_ready (1); });
}

TEST_F (LoadExchange, ReportOfAnotherIncarnationIsIgnored)
{
  const pu_entry_load_t other
      = { pu_entry_load_id ("e1", 2), 900, 3, 0, 0, 0 };

  pu_entry_receive_loads (nodes[1]->entry, &other, 1, 5000);
  EXPECT_NE (900, last_report_seq (*nodes[1]));
}

} // namespace
