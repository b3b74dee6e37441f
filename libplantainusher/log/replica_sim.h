#ifndef PU_LOG_REPLICA_SIM_H
#define PU_LOG_REPLICA_SIM_H

/*
 * replica_sim - simulates replicas, their disks and a network with faults, and
 * checks safety invariants.  Used only by the tests in this folder.
 */

#include <algorithm>
#include <cstring>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "log/replica_disk.h"

namespace sim
{

enum Kind
{
  RUN,
  PROPOSE,
  CRASH,
  CRASH_ALL,
  RESTART,
  PAUSE,
  RESUME,
  ISOLATE,
  BLOCK,
  ISOLATE_NEXT_LEADER, // when a leader is elected next, isolate it
  HEAL,
  LOSSY,
  RELIABLE,
  STALL_DISK,
  WIPE_DISK,
  TRANSFER,
  REMOVE,
  REPLACE,
  BEGIN_STOP,
  EVENT_KINDS
};

struct Event
{
  int kind;
  unsigned a, b;
};

/* Flag for a fault in the simulator: a wiped disk keeps its old identity.  */
constexpr unsigned REUSE_IDENTITY = 1U << 16;
constexpr uint64_t STEP_MS = 10;

struct Packet
{
  uint64_t deliver_at_ms;
  unsigned from, to;
  GBytes *msg;
};

class Sim
{
public:
  std::string violation; // the first violation
  unsigned faults = 0;
  uint64_t delivered = 0; // number of messages delivered
  uint64_t commits = 0;

  Sim (unsigned n, unsigned seed, unsigned breaks, unsigned spares = 0,
       unsigned wanted = 0, uint32_t bulk_bytes = PU_LOG_BULK_BYTES)
      : rand_ (seed), breaks_ (breaks), initial_ (n), wanted_ (wanted),
        bulk_bytes_ (bulk_bytes), nodes_ (n + spares),
        blocked_ (nodes_.size (), std::vector<bool> (nodes_.size (), false))
  {
    for (unsigned i = 0; i < nodes_.size (); i++)
      nodes_[i].name = std::string (1, (char)('a' + i));
    for (unsigned i = 0; i < nodes_.size (); i++)
      {
        nodes_[i].rate_permille = (int)(rand_ () % 21) - 10;
        nodes_[i].clock_offset_ms = rand_ () % 100000;
        reset_disk (i);
        start (i);
      }
  }
  ~Sim ()
  {
    for (unsigned i = 0; i < nodes_.size (); i++)
      {
        stop (i);
        nodes_[i].disk.clear ();
      }
    for (Packet &p : packets_)
      g_bytes_unref (p.msg);
  }
  Sim (const Sim &) = delete;
  Sim &operator= (const Sim &) = delete;

  void
  run (uint64_t ms)
  {
    for (uint64_t end = now_ + ms; now_ < end && violation.empty ();)
      step ();
  }

  void
  apply_event (const Event &ev)
  {
    unsigned a = pick_node (ev.a), b = ev.b % nodes_.size ();
    Node &n = nodes_[a];

    faults += is_fault (ev.kind);
    switch (ev.kind)
      {
      case PROPOSE:
        for (unsigned i = 0; i <= ev.b % 8; i++)
          propose ();
        break;
      case CRASH:
        stop (a);
        break;
      case CRASH_ALL:
        for (unsigned i = 0; i < nodes_.size (); i++)
          stop (i);
        for (unsigned i = 0; i < nodes_.size (); i++)
          start (i);
        break;
      case RESTART:
        start (a);
        break;
      case PAUSE:
        n.paused = true;
        break;
      case RESUME:
        n.paused = false;
        break;
      case ISOLATE:
        isolate (a);
        break;
      case ISOLATE_NEXT_LEADER:
        isolate_next_leader_ = true;
        break;
      case BLOCK:
        blocked_[a][b] = a != b;
        blocked_[b][a] = a != b && ev.b % 3 != 0;
        break;
      case HEAL:
        heal_links ();
        break;
      case LOSSY:
        lossy_ = true;
        break;
      case RELIABLE:
        lossy_ = false;
        break;
      case STALL_DISK:
        n.stalled = !n.stalled;
        break;
      case WIPE_DISK:
        if (can_wipe (n.disk.meta.id))
          wipe (a);
        break;
      case TRANSFER:
        if (leader () != nullptr)
          pu_replica_transfer_leadership (leader ()->r, clock (*leader ()));
        break;
      case REMOVE:
        if (leader () != nullptr)
          {
            pu_replica_change_voters (leader ()->r, clock (*leader ()),
                                      PU_VOTERS_REMOVE, n.name.c_str (), "",
                                      nullptr);
          }
        break;
      case REPLACE:
        if (leader () != nullptr)
          {
            pu_replica_change_voters (leader ()->r, clock (*leader ()),
                                      PU_VOTERS_REPLACE, n.name.c_str (),
                                      nodes_[b].name.c_str (), nullptr);
          }
        break;
      case BEGIN_STOP:
        if (n.r != nullptr)
          pu_replica_begin_stop (n.r, clock (n));
        break;
      default:
        break;
      }
    run (ev.kind == RUN ? 50 + ev.b % 3000 : ev.b % 200);
  }

  /* Ends all faults.  Returns true if the leader commits a new proposal after
     that.  */
  bool
  recovers ()
  {
    lossy_ = isolate_next_leader_ = false;
    heal_links ();
    for (unsigned i = 0; i < nodes_.size (); i++)
      {
        nodes_[i].paused = nodes_[i].stalled = false;
        start (i);
      }
    for (int round = 0; round < 60 && violation.empty (); round++)
      {
        run (1000);
        uint64_t index = propose ();
        if (index == 0)
          continue;
        run (1500);
        if (leader () != nullptr
            && pu_replica_commit_index (leader ()->r) >= index)
          return true;
      }
    return false;
  }

  Node *
  leader ()
  {
    Node *best = nullptr;
    for (Node &n : nodes_)
      {
        if (n.r != nullptr && !n.paused && pu_replica_is_leader (n.r)
            && (best == nullptr
                || pu_replica_term (n.r) > pu_replica_term (best->r)))
          best = &n;
      }
    return best;
  }

  uint64_t
  propose ()
  {
    Node *l = leader ();
    uint64_t index = 0;
    uint64_t value = ++proposed_;
    if (l == nullptr)
      return 0;
    pu_replica_propose (l->r, clock (*l), &value, sizeof value, &index,
                        nullptr);
    return index;
  }

  Node &
  node (unsigned i)
  {
    return nodes_[i];
  }
  void
  cut_link (unsigned a, unsigned b)
  {
    blocked_[a][b] = blocked_[b][a] = true;
  }
  uint64_t
  clock (const Node &n) const
  {
    return n.clock_offset_ms + now_
           + now_ * (uint64_t)(1000 + n.rate_permille) / 1000 - now_;
  }
  void
  stop (unsigned i)
  {
    Node &n = nodes_[i];
    if (n.r == nullptr)
      return;
    /* A prefix of the unsynced writes may have reached the disk.  */
    size_t keep = rand_ () % 4 == 0 ? rand_ () % (n.pending.size () + 1) : 0;
    for (; keep > 0; keep--)
      sync_oldest (n, false);
    for (pu_action_t &a : n.pending)
      pu_action_clear (&a);
    n.pending.clear ();
    pu_replica_free (n.r);
    n.r = nullptr;
  }
  void
  start (unsigned i)
  {
    Node &n = nodes_[i];
    pu_replica_options_t o;
    pu_log_peer peers[16];
    pu_disk_image_t d;

    if (n.r != nullptr)
      return;
    pu_replica_options_init (&o);
    for (unsigned k = 0; k < initial_; k++)
      {
        peers[k] = { 0, (char *)nodes_[k].name.c_str (),
                     (char *)nodes_[k].name.c_str () };
      }
    o.self = { 0, (char *)n.name.c_str (), (char *)n.name.c_str () };
    o.initial = peers;
    o.n_initial = initial_;
    o.seed = rand_ ();
    o.breaks = breaks_ & 0xffff;
    o.had_log = n.had_log;
    o.replace_after_ms = 5000;
    o.voters_wanted = wanted_;
    o.snapshot_entries = 40;
    o.keep_entries = 10;
    o.batch_bytes = 1;
    o.bulk_bytes = bulk_bytes_;
    pu_disk_image_init (&d);
    d.meta = n.disk.meta;
    d.snapshot = n.disk.snapshot;
    for (pu_record_t *e : n.disk.entries)
      g_ptr_array_add (d.entries, pu_record_ref (e));
    d.commit = n.disk.commit;
    n.state_hash
        = n.disk.snapshot.index ? read_state_hash (n.disk.snapshot.data) : 0;
    n.applied = n.disk.snapshot.index;
    n.r = pu_replica_new (&o, &d, clock (n));
    d.snapshot = pu_snapshot_t{};
    pu_disk_image_clear (&d);
  }
  void
  wipe (unsigned i)
  {
    uint64_t id = nodes_[i].disk.meta.id;
    stop (i);
    lost_ids_.insert (id);
    reset_disk (i);
    if (breaks_ & REUSE_IDENTITY)
      nodes_[i].disk.meta.id = id;
    start (i);
  }
  /* Removes the last N entries from the disk of node I and restarts it.  */
  void
  roll_back (unsigned i, uint64_t n)
  {
    Disk &d = nodes_[i].disk;
    stop (i);
    d.truncate_from (d.last () + 1 - n);
    d.commit = std::min (d.commit, d.last ());
    start (i);
  }
  /* Returns whether the log of N lacks the newest committed configuration.
     If so, N cannot elect a leader.  */
  bool
  is_superseded (const Node &n) const
  {
    const pu_record_t *e = n.r != nullptr
                               ? pu_replica_entry (n.r, committed_config_)
                               : n.disk.at (committed_config_);
    auto it = committed_.find (committed_config_);
    return n.config_index < committed_config_
           || (e != nullptr && it != committed_.end ()
               && e->term != it->second.first);
  }
  /* Returns whether every configuration that can still elect a leader has a
     quorum of intact disks without that of identity ID.  */
  bool
  can_wipe (uint64_t id) const
  {
    for (const Node &n : nodes_)
      {
        size_t live = 0;
        if (is_superseded (n)
            || std::count (n.voters.begin (), n.voters.end (), id) == 0)
          continue;
        if (n.surplus)
          return false; // a voter may be about to be removed
        for (uint64_t v : n.voters)
          live += v != id && lost_ids_.count (v) == 0;
        if (live < n.voters.size () / 2 + 1)
          return false;
      }
    return true;
  }

private:
  std::mt19937 rand_;
  unsigned breaks_;
  unsigned initial_;
  unsigned wanted_;
  uint32_t bulk_bytes_;
  std::vector<Node> nodes_;
  std::vector<std::vector<bool> > blocked_;
  std::vector<Packet> packets_;
  std::set<uint64_t> lost_ids_;
  // index -> term of the entry, hash of the state after it
  std::map<uint64_t, std::pair<uint64_t, uint64_t> > committed_;
  // index -> term in which the entry was committed
  std::map<uint64_t, uint64_t> commit_term_;
  std::map<uint64_t, uint64_t> leader_by_term_;
  // (identity, term) -> identity voted for
  std::map<std::pair<uint64_t, uint64_t>, uint64_t> votes_;
  uint64_t now_ = 0;
  uint64_t proposed_ = 0;
  // index of the newest committed configuration
  uint64_t committed_config_ = 0;
  bool lossy_ = false;
  bool isolate_next_leader_ = false;

  void
  fail (const std::string &what)
  {
    if (violation.empty ())
      violation = what;
  }
  void
  reset_disk (unsigned i)
  {
    nodes_[i].disk.clear ();
    nodes_[i].disk.meta.id = ((uint64_t)rand_ () << 32 | rand_ ()) | 1;
    nodes_[i].voters.clear ();
    nodes_[i].config_index = 0;
    nodes_[i].surplus = false;
  }
  void
  isolate (unsigned a)
  {
    for (unsigned i = 0; i < nodes_.size (); i++)
      blocked_[a][i] = blocked_[i][a] = i != a;
  }
  void
  heal_links ()
  {
    for (auto &row : blocked_)
      row.assign (row.size (), false);
  }
  static uint64_t
  read_state_hash (GBytes *b)
  {
    uint64_t state_hash;
    memcpy (&state_hash, g_bytes_get_data (b, nullptr), sizeof state_hash);
    return state_hash;
  }

  /* The simulated disks.  */
  void
  sync_oldest (Node &n, bool notify)
  {
    pu_action_t a = n.pending.front ();
    uint64_t index
        = a.kind == PU_ACTION_SAVE_SNAPSHOT ? a.save.snapshot.index : 0;
    n.pending.pop_front ();
    switch (a.kind)
      {
      case PU_ACTION_WRITE_META:
        n.disk.meta = a.meta.meta;
        break;
      case PU_ACTION_WRITE:
        for (guint i = 0; i < a.write.entries->len; i++)
          {
            auto *e = (pu_record_t *)g_ptr_array_index (a.write.entries, i);
            n.disk.truncate_from (e->index);
            if (e->index != n.disk.last () + 1)
              fail ("entry written to the journal is not contiguous");
            n.disk.entries.push_back (pu_record_ref (e));
          }
        n.disk.commit = std::max (n.disk.commit, a.write.commit);
        break;
      default:
        save (n, a.save.snapshot, a.save.installed);
        break;
      }
    if (notify && a.kind == PU_ACTION_SAVE_SNAPSHOT)
      {
        pu_replica_snapshot_saved (n.r, clock (n), index);
      }
    else if (notify)
      {
        pu_replica_synced (n.r, clock (n), a.ticket);
      }
    pu_action_clear (&a);
  }
  static void
  save (Node &n, pu_snapshot_t &s, bool installed)
  {
    std::vector<pu_record_t *> rest;
    if (!installed)
      {
        for (uint64_t i = s.index + 1; i <= n.disk.last (); i++)
          rest.push_back (pu_record_ref (n.disk.at (i)));
      }
    pu_log_meta meta = n.disk.meta;
    n.disk.clear ();
    n.disk.meta = meta;
    n.disk.snapshot = s;
    n.disk.commit = s.index;
    n.disk.entries = rest;
    s = pu_snapshot_t{};
  }

  static bool
  is_fault (int kind)
  {
    switch (kind)
      {
      case CRASH:
      case CRASH_ALL:
      case PAUSE:
      case ISOLATE:
      case BLOCK:
      case ISOLATE_NEXT_LEADER:
      case STALL_DISK:
      case WIPE_DISK:
        return true;
      default:
        return false;
      }
  }

  /* Returns the number of the node that an event affects: the leader, if
     there is one, unless A is the number of a node.  Faults of the leader
     matter most, so events choose it about half of the time.  */
  unsigned
  pick_node (unsigned a)
  {
    Node *l = a >= nodes_.size () ? leader () : nullptr;
    return l != nullptr ? (unsigned)(l - nodes_.data ())
                        : a % (unsigned)nodes_.size ();
  }

  /* Execution of a replica's actions.  */
  void
  check_vote (GBytes *bytes)
  {
    gsize len;
    const void *p = g_bytes_get_data (bytes, &len);
    pu_log_msg m;
    uint64_t vote = 0;
    if (!pu_log_msg_decode (&m, p, len, nullptr))
      {
        fail ("replica sent a malformed message");
        return;
      }
    if (m.body.kind == PU_LOG_VOTE && !m.body.pu_log_body_u.vote.pre)
      vote = m.from.id;
    if (m.body.kind == PU_LOG_VOTE_REPLY
        && !m.body.pu_log_body_u.vote_reply.pre
        && m.body.pu_log_body_u.vote_reply.granted)
      vote = m.to;
    if (vote != 0)
      {
        uint64_t &old = votes_[{ m.from.id, m.term }];
        if (old != 0 && old != vote)
          fail ("voted twice in term " + std::to_string (m.term));
        old = vote;
      }
    xdr_free ((xdrproc_t)xdr_pu_log_msg, (char *)&m);
  }
  void
  send (unsigned i, const pu_action_t &a)
  {
    check_vote (a.send.msg);
    unsigned to = (unsigned)(a.send.to.address[0] - 'a');
    unsigned copies
        = lossy_ ? (rand_ () % 10 < 2 ? 0 : 1 + (rand_ () % 10 < 2)) : 1;
    if (to >= nodes_.size () || blocked_[i][to])
      return;
    faults += copies != 1; // the message is lost or duplicated
    for (; copies > 0; copies--)
      {
        uint64_t delay_ms = lossy_ && rand_ () % 20 == 0 ? rand_ () % 4000 : 0;
        faults += delay_ms > 0;
        packets_.push_back ({ now_ + rand_ () % 15 + delay_ms, i, to,
                              g_bytes_ref (a.send.msg) });
      }
  }
  void
  apply (Node &n, uint64_t first, uint64_t last)
  {
    for (uint64_t i = first; i <= last; i++)
      {
        const pu_record_t *e = pu_replica_entry (n.r, i);
        uint64_t value = 0;
        if (e == nullptr || i != n.applied + 1)
          {
            fail ("applied out of order");
            return;
          }
        if (e->type == PU_LOG_DATA)
          memcpy (&value, e->data, sizeof value);
        n.state_hash
            = (n.state_hash ^ (value + e->term)) * 0x9E3779B97F4A7C15ULL + i;
        n.applied = i;
        check_commit (i, e, n.state_hash, pu_replica_term (n.r));
      }
  }
  void
  check_commit (uint64_t i, const pu_record_t *e, uint64_t state_hash,
                uint64_t term)
  {
    auto it = committed_.find (i);
    if (it == committed_.end ())
      {
        committed_[i] = { e->term, state_hash };
        commit_term_[i] = term;
        commits++;
        if (e->type == PU_LOG_CONFIG)
          committed_config_ = std::max (committed_config_, i);
        check_electability (i, e->term);
      }
    else if (it->second.second != state_hash)
      fail ("committed entry changed at " + std::to_string (i));
  }
  /* Checks that every log that could win an election, given what is on the
     disks now, holds the entry committed at I with TERM.  */
  void
  check_electability (uint64_t i, uint64_t term)
  {
    for (const Node &n : nodes_)
      {
        const Disk &d = n.disk;
        const pu_record_t *e = d.at (i);
        size_t votes = 0;
        if (i <= d.snapshot.index || (e != nullptr && e->term == term)
            || std::count (n.voters.begin (), n.voters.end (), d.meta.id) == 0)
          continue;
        for (const Node &m : nodes_)
          {
            bool is_voter = std::count (n.voters.begin (), n.voters.end (),
                                        m.disk.meta.id)
                            > 0;
            votes += is_voter
                     && std::make_pair (m.disk.last_term (), m.disk.last ())
                            <= std::make_pair (d.last_term (), d.last ());
          }
        if (votes >= n.voters.size () / 2 + 1)
          {
            fail ("an election could lose committed entry "
                  + std::to_string (i));
          }
      }
  }
  void
  check_leader (Node &n, uint64_t term)
  {
    uint64_t id = n.disk.meta.id;
    if (leader_by_term_.count (term) != 0)
      fail ("two leaders of term " + std::to_string (term));
    leader_by_term_[term] = id;
    for (auto &c : committed_)
      {
        const pu_record_t *e = pu_replica_entry (n.r, c.first);
        /* A leader may lack an entry that was committed in a later term than
           its own, but such a leader cannot commit anything.  */
        if (c.first >= pu_replica_first_index (n.r)
            && commit_term_[c.first] < term
            && (e == nullptr || e->term != c.second.first))
          {
            fail ("leader lacks committed entry " + std::to_string (c.first));
          }
      }
  }
  bool
  execute (unsigned i, pu_action_t &a)
  {
    Node &n = nodes_[i];
    switch (a.kind)
      {
      case PU_ACTION_SEND:
        send (i, a);
        break;
      case PU_ACTION_SAVE_SNAPSHOT:
        if (a.save.installed)
          {
            n.state_hash = read_state_hash (a.save.snapshot.data);
            n.applied = a.save.snapshot.index;
            if (committed_[n.applied].second != n.state_hash)
              fail ("installed snapshot does not match the committed state");
          }
        n.pending.push_back (a);
        return true;
      case PU_ACTION_WRITE:
      case PU_ACTION_WRITE_META:
        n.pending.push_back (a);
        return true;
      case PU_ACTION_APPLY:
        apply (n, a.apply.first, a.apply.last);
        break;
      case PU_ACTION_TAKE_SNAPSHOT:
        {
          GBytes *b = g_bytes_new (&n.state_hash, sizeof n.state_hash);
          pu_replica_snapshot_taken (n.r, a.take.index, b);
          g_bytes_unref (b);
          break;
        }
      case PU_ACTION_ROLE_CHANGED:
        if (a.role.leader)
          {
            check_leader (n, a.role.term);
            if (isolate_next_leader_)
              isolate (i);
            isolate_next_leader_ = false;
          }
        break;
      case PU_ACTION_REJOIN:
        pu_action_clear (&a);
        rejoin (i);
        return false;
      }
    pu_action_clear (&a);
    return true;
  }
  void
  rejoin (unsigned i)
  {
    if (!can_wipe (nodes_[i].disk.meta.id))
      fail ("replica told to rejoin while a quorum needs its disk");
    wipe (i);
  }
  void
  run_actions (unsigned i)
  {
    pu_action_t a;
    while (nodes_[i].r != nullptr
           && pu_replica_next_action (nodes_[i].r, clock (nodes_[i]), &a))
      {
        if (!execute (i, a))
          break;
      }
    update_voters (nodes_[i]);
  }
  static void
  update_voters (Node &n)
  {
    const pu_log_config *c = pu_replica_config (n.r);
    n.voters.clear ();
    n.config_index = pu_replica_config_index (n.r);
    n.surplus = pu_log_config_count_voters (c) > c->target;
    n.had_log = n.had_log || c->members.members_len > 0;
    for (guint k = 0; k < c->members.members_len; k++)
      {
        if (pu_log_role_is_voting (c->members.members_val[k].role))
          n.voters.push_back (c->members.members_val[k].peer.id);
      }
  }
  void
  deliver ()
  {
    std::vector<Packet> due, later;
    for (Packet &p : packets_)
      (p.deliver_at_ms <= now_ && !nodes_[p.to].paused ? due : later)
          .push_back (p);
    packets_.swap (later);
    std::shuffle (due.begin (), due.end (), rand_);
    for (Packet &p : due)
      {
        Node &n = nodes_[p.to];
        gsize len;
        const void *bytes = g_bytes_get_data (p.msg, &len);
        pu_log_msg m;
        if (n.r != nullptr && pu_log_msg_decode (&m, bytes, len, nullptr))
          {
            pu_replica_receive (n.r, clock (n), &m);
            delivered++;
            xdr_free ((xdrproc_t)xdr_pu_log_msg, (char *)&m);
            run_actions (p.to);
          }
        g_bytes_unref (p.msg);
      }
  }
  void
  step ()
  {
    int lease_holders = 0;
    now_ += STEP_MS;
    deliver ();
    for (unsigned i = 0; i < nodes_.size (); i++)
      {
        Node &n = nodes_[i];
        if (n.r == nullptr)
          continue;
        lease_holders += pu_replica_holds_lease (n.r, clock (n));
        if (n.paused)
          continue;
        if (!n.stalled && rand_ () % 2 == 0)
          {
            while (!n.pending.empty ())
              sync_oldest (n, true);
          }
        pu_replica_tick (n.r, clock (n));
        run_actions (i);
      }
    if (lease_holders > 1)
      fail ("two replicas hold the lease at the same time");
  }
};

} // namespace sim

#endif
