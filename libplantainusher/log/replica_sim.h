#ifndef PU_LOG_REPLICA_SIM_H
#define PU_LOG_REPLICA_SIM_H

/*
 * replica_sim - replicas over a bag of messages, with faults, and the oracle.
 * For the tests of this slice alone.
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
  CUT_NEXT, // isolates the next leader as it is elected
  HEAL,
  LOSSY,
  CALM,
  STALL_DISK,
  WIPE,
  TRANSFER,
  REMOVE,
  REPLACE,
  KINDS
};

struct Event
{
  int kind;
  unsigned a, b;
};

/* Broken by the harness itself: a wiped disk comes back under its old name. */
constexpr unsigned KEEP_IDENTITY = 1U << 16;
constexpr uint64_t STEP_MS = 10;

struct Packet
{
  uint64_t at;
  unsigned from, to;
  GBytes *msg;
};

class Sim
{
public:
  std::string broken; // the first violation
  unsigned faults = 0;
  uint64_t steps = 0; // delivered messages
  uint64_t commits = 0;

  Sim (unsigned n, unsigned seed, unsigned breaks, unsigned spares = 0,
       unsigned wanted = 0)
      : rand_ (seed), breaks_ (breaks), initial_ (n), wanted_ (wanted),
        nodes_ (n + spares),
        blocked_ (nodes_.size (), std::vector<bool> (nodes_.size (), false))
  {
    for (unsigned i = 0; i < nodes_.size (); i++)
      nodes_[i].name = std::string (1, (char)('a' + i));
    for (unsigned i = 0; i < nodes_.size (); i++)
      {
        nodes_[i].rate = (int)(rand_ () % 21) - 10;
        nodes_[i].offset = rand_ () % 100000;
        fresh (i);
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
    for (Packet &p : bag_)
      g_bytes_unref (p.msg);
  }
  Sim (const Sim &) = delete;
  Sim &operator= (const Sim &) = delete;

  void
  run (uint64_t ms)
  {
    for (uint64_t end = now_ + ms; now_ < end && broken.empty ();)
      step ();
  }

  void
  play (const Event &ev)
  {
    unsigned a = pick (ev.a), b = ev.b % nodes_.size ();
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
      case CUT_NEXT:
        cut_next_ = true;
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
      case CALM:
        lossy_ = false;
        break;
      case STALL_DISK:
        n.stalled = !n.stalled;
        break;
      case WIPE:
        if (may_wipe (n.disk.meta.id))
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
      default:
        break;
      }
    run (ev.kind == RUN ? 50 + ev.b % 3000 : ev.b % 200);
  }

  /* Ends all faults; true when a proposal is then committed everywhere.  */
  bool
  heals ()
  {
    lossy_ = cut_next_ = false;
    heal_links ();
    for (unsigned i = 0; i < nodes_.size (); i++)
      {
        nodes_[i].paused = nodes_[i].stalled = false;
        start (i);
      }
    for (int round = 0; round < 60 && broken.empty (); round++)
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
  uint64_t
  clock (const Node &n) const
  {
    return n.offset + now_ + now_ * (uint64_t)(1000 + n.rate) / 1000 - now_;
  }
  void
  stop (unsigned i)
  {
    Node &n = nodes_[i];
    if (n.r == nullptr)
      return;
    /* Of what was not synced, a part from the front may have got there.  */
    size_t keep = rand_ () % 4 == 0 ? rand_ () % (n.pending.size () + 1) : 0;
    for (; keep > 0; keep--)
      sync_one (n, false);
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
    pu_disk_image_init (&d);
    d.meta = n.disk.meta;
    d.snapshot = n.disk.snapshot;
    for (pu_record_t *e : n.disk.entries)
      g_ptr_array_add (d.entries, pu_record_ref (e));
    d.commit = n.disk.commit;
    n.state_hash = n.disk.snapshot.index ? image (n.disk.snapshot.data) : 0;
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
    dead_.insert (id);
    fresh (i);
    if (breaks_ & KEEP_IDENTITY)
      nodes_[i].disk.meta.id = id;
    start (i);
  }
  /* The disk of node I goes back to before its last N entries.  */
  void
  roll_back (unsigned i, uint64_t n)
  {
    Disk &d = nodes_[i].disk;
    stop (i);
    d.cut (d.last () + 1 - n);
    d.commit = std::min (d.commit, d.last ());
    start (i);
  }
  /* Whether the log of N lacks the newest committed configuration: then it
     elects nobody.  */
  bool
  superseded (const Node &n) const
  {
    const pu_record_t *e = n.r != nullptr ? pu_replica_entry (n.r, config_)
                                          : n.disk.at (config_);
    auto it = committed_.find (config_);
    return n.config < config_
           || (e != nullptr && it != committed_.end ()
               && e->term != it->second.first);
  }
  /* Whether, without ID, every configuration that can still elect has a living
     quorum.  */
  bool
  may_wipe (uint64_t id) const
  {
    for (const Node &n : nodes_)
      {
        size_t live = 0;
        if (superseded (n)
            || std::count (n.voters.begin (), n.voters.end (), id) == 0)
          continue;
        if (n.surplus)
          return false; // a removal may be on its way
        for (uint64_t v : n.voters)
          live += v != id && dead_.count (v) == 0;
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
  std::vector<Node> nodes_;
  std::vector<std::vector<bool> > blocked_;
  std::vector<Packet> bag_;
  std::set<uint64_t> dead_;
  std::map<uint64_t, std::pair<uint64_t, uint64_t> > committed_; // term, chain
  std::map<uint64_t, uint64_t> committed_in_; // term of its leader
  std::map<uint64_t, uint64_t> leaders_;      // by term
  std::map<std::pair<uint64_t, uint64_t>, uint64_t> votes_; // identity, term
  uint64_t now_ = 0;
  uint64_t proposed_ = 0;
  uint64_t config_ = 0; // newest committed configuration
  bool lossy_ = false;
  bool cut_next_ = false;

  void
  fail (const std::string &what)
  {
    if (broken.empty ())
      broken = what;
  }
  void
  fresh (unsigned i)
  {
    nodes_[i].disk.clear ();
    nodes_[i].disk.meta.id = ((uint64_t)rand_ () << 32 | rand_ ()) | 1;
    nodes_[i].voters.clear ();
    nodes_[i].config = 0;
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
  image (GBytes *b)
  {
    uint64_t state_hash;
    memcpy (&state_hash, g_bytes_get_data (b, nullptr), sizeof state_hash);
    return state_hash;
  }

  /* Disk.  */
  void
  sync_one (Node &n, bool tell)
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
            n.disk.cut (e->index);
            if (e->index != n.disk.last () + 1)
              fail ("a gap in the journal");
            n.disk.entries.push_back (pu_record_ref (e));
          }
        n.disk.commit = std::max (n.disk.commit, a.write.commit);
        break;
      default:
        save (n, a.save.snapshot, a.save.installed);
        break;
      }
    if (tell && a.kind == PU_ACTION_SAVE_SNAPSHOT)
      {
        pu_replica_snapshot_saved (n.r, clock (n), index);
      }
    else if (tell)
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
      case CUT_NEXT:
      case STALL_DISK:
      case WIPE:
        return true;
      default:
        return false;
      }
  }

  /* The leader half of the time: faults matter most there.  */
  unsigned
  pick (unsigned a)
  {
    Node *l = a >= nodes_.size () ? leader () : nullptr;
    return l != nullptr ? (unsigned)(l - nodes_.data ())
                        : a % (unsigned)nodes_.size ();
  }

  /* Actions of node I.  */
  void
  check_vote (GBytes *bytes)
  {
    gsize len;
    const void *p = g_bytes_get_data (bytes, &len);
    pu_log_msg m;
    uint64_t vote = 0;
    if (!pu_log_msg_decode (&m, p, len, nullptr))
      {
        fail ("a malformed message was sent");
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
    faults += copies != 1; // lost or doubled
    for (; copies > 0; copies--)
      {
        uint64_t late = lossy_ && rand_ () % 20 == 0 ? rand_ () % 4000 : 0;
        faults += late > 0;
        bag_.push_back (
            { now_ + rand_ () % 15 + late, i, to, g_bytes_ref (a.send.msg) });
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
        committed_in_[i] = term;
        commits++;
        if (e->type == PU_LOG_CONFIG)
          config_ = std::max (config_, i);
        check_safe (i, e->term);
      }
    else if (it->second.second != state_hash)
      fail ("a committed entry changed at " + std::to_string (i));
  }
  /* A committed entry must be in every log that could still win a vote of the
     disks as they are.  */
  void
  check_safe (uint64_t i, uint64_t term)
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
            bool counts = std::count (n.voters.begin (), n.voters.end (),
                                      m.disk.meta.id)
                          > 0;
            votes += counts
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
    if (leaders_.count (term) != 0)
      fail ("two leaders of term " + std::to_string (term));
    leaders_[term] = id;
    for (auto &c : committed_)
      {
        const pu_record_t *e = pu_replica_entry (n.r, c.first);
        /* A late election of an earlier term may lack it: it commits
           nothing.  */
        if (c.first >= pu_replica_first_index (n.r)
            && committed_in_[c.first] < term
            && (e == nullptr || e->term != c.second.first))
          {
            fail ("a leader without committed entry "
                  + std::to_string (c.first));
          }
      }
  }
  bool
  act (unsigned i, pu_action_t &a)
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
            n.state_hash = image (a.save.snapshot.data);
            n.applied = a.save.snapshot.index;
            if (committed_[n.applied].second != n.state_hash)
              fail ("a wrong snapshot");
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
            if (cut_next_)
              isolate (i);
            cut_next_ = false;
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
    if (!may_wipe (nodes_[i].disk.meta.id))
      fail ("told to rejoin while its disk is needed");
    wipe (i);
  }
  void
  drain (unsigned i)
  {
    pu_action_t a;
    while (nodes_[i].r != nullptr
           && pu_replica_next_action (nodes_[i].r, clock (nodes_[i]), &a))
      {
        if (!act (i, a))
          break;
      }
    note_voters (nodes_[i]);
  }
  static void
  note_voters (Node &n)
  {
    const pu_log_config *c = pu_replica_config (n.r);
    n.voters.clear ();
    n.config = pu_replica_config_index (n.r);
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
    for (Packet &p : bag_)
      (p.at <= now_ && !nodes_[p.to].paused ? due : later).push_back (p);
    bag_.swap (later);
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
            steps++;
            xdr_free ((xdrproc_t)xdr_pu_log_msg, (char *)&m);
            drain (p.to);
          }
        g_bytes_unref (p.msg);
      }
  }
  void
  step ()
  {
    int holders = 0;
    now_ += STEP_MS;
    deliver ();
    for (unsigned i = 0; i < nodes_.size (); i++)
      {
        Node &n = nodes_[i];
        if (n.r == nullptr)
          continue;
        holders += pu_replica_holds_lease (n.r, clock (n));
        if (n.paused)
          continue;
        if (!n.stalled && rand_ () % 2 == 0)
          {
            while (!n.pending.empty ())
              sync_one (n, true);
          }
        pu_replica_tick (n.r, clock (n));
        drain (i);
      }
    if (holders > 1)
      fail ("two leases at a time");
  }
};

} // namespace sim

#endif
