#ifndef PU_LOG_REPLICA_DISK_H
#define PU_LOG_REPLICA_DISK_H

/* replica_disk - a simulated node of replica_sim and its simulated disk.  */

#include <deque>
#include <string>
#include <vector>

#include "log/replica.h"

namespace sim
{

struct Disk
{
  pu_log_meta meta{};
  std::vector<pu_record_t *> entries; // entries after the snapshot
  pu_snapshot_t snapshot{};
  uint64_t commit = 0;
  uint64_t
  last () const
  {
    return snapshot.index + entries.size ();
  }
  uint64_t
  last_term () const
  {
    return entries.empty () ? snapshot.term : entries.back ()->term;
  }
  const pu_record_t *
  at (uint64_t i) const
  {
    return i > snapshot.index && i <= last () ? entries[i - snapshot.index - 1]
                                              : nullptr;
  }
  void
  truncate_from (uint64_t first)
  {
    while (!entries.empty () && last () >= first)
      {
        pu_record_unref (entries.back ());
        entries.pop_back ();
      }
  }
  void
  clear ()
  {
    truncate_from (0);
    pu_snapshot_t none{};
    pu_log_config_clear (&snapshot.config);
    if (snapshot.data != nullptr)
      g_bytes_unref (snapshot.data);
    snapshot = none;
    meta = pu_log_meta{};
    commit = 0;
  }
};

struct Node
{
  pu_replica_t *r = nullptr;
  Disk disk;
  std::deque<pu_action_t> pending; // written actions (writes and snapshots)
                                   // that are not synced yet
  std::string name;
  int rate_permille = 0; // rate error of the node's clock
  uint64_t clock_offset_ms = 0;
  bool paused = false;
  bool stalled = false;
  uint64_t state_hash = 0; // the state machine: a hash of all data entries
  uint64_t applied = 0;
  std::vector<uint64_t> voters; // identities of the voters in the newest
                                // configuration of its log
  uint64_t config_index = 0;    // index of the newest configuration
  bool had_log = false;         // the node has been a member of a log
  bool surplus = false;         // more voters than the configuration's target
};

} // namespace sim

#endif
