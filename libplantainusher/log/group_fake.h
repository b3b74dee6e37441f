#ifndef PU_LOG_GROUP_FAKE_H
#define PU_LOG_GROUP_FAKE_H

/* group_fake - the groups of one log in one process, which exchange messages
   through the loop.  For tests and benchmarks.  */

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "log/group.h"

struct FakeCluster;

/* A voter whose state machine is the list of applied entries.  */
struct FakeVoter
{
  FakeCluster *cluster = nullptr;
  std::string name, folder;
  pu_group_t *group = nullptr;
  pu_journal_fs_t fs = *pu_journal_fs_system ();
  std::vector<std::string> applied;
  uint64_t restored = 0; /* number of entries restored from a snapshot */
  bool isolated = false; /* if true, the voter neither sends nor receives */
  /* Functions of another state machine.  Each one that is set is used instead
     of the list `applied`.  */
  std::function<void (uint64_t, const void *, size_t)> on_entry;
  std::function<GBytes *()> on_image;
  std::function<bool (const void *, size_t)> on_load;
};

struct FakePacket
{
  std::string to;
  GBytes *msg;
};

struct FakeCluster
{
  uv_loop_t loop;
  uv_idle_t delivery_idle;
  std::string root;
  std::vector<std::unique_ptr<FakeVoter> > voters;
  std::vector<FakePacket> in_flight;
  pu_group_options_t options;
  unsigned initial;
  uint64_t sent_bytes = 0, sent = 0;

  explicit FakeCluster (unsigned n, const std::string &folder = "")
      : initial (n)
  {
    uv_loop_init (&loop);
    uv_idle_init (&loop, &delivery_idle);
    delivery_idle.data = this;
    if (folder.empty ())
      {
        char *t = g_dir_make_tmp ("pu-group-XXXXXX", nullptr);
        root = t;
        g_free (t);
      }
    else
      {
        root = folder;
      }
    pu_group_options_init (&options);
    options.replica.election_ms = 100;
    options.replica.heartbeat_ms = 20;
    for (unsigned i = 0; i < n; i++)
      add ();
  }
  ~FakeCluster ()
  {
    for (auto &v : voters)
      stop (*v);
    uv_close ((uv_handle_t *)&delivery_idle, nullptr);
    uv_run (&loop, UV_RUN_DEFAULT);
    uv_loop_close (&loop);
    for (FakePacket &p : in_flight)
      g_bytes_unref (p.msg);
    for (auto &v : voters)
      wipe (*v);
    remove_folder (root);
  }
  FakeCluster (const FakeCluster &) = delete;
  FakeCluster &operator= (const FakeCluster &) = delete;

  FakeVoter &
  add ()
  {
    voters.push_back (std::make_unique<FakeVoter> ());
    FakeVoter &v = *voters.back ();
    v.cluster = this;
    v.name = std::string (1, (char)('a' + voters.size () - 1));
    v.folder = root + "/" + v.name;
    return v;
  }
  bool
  start (FakeVoter &v, pu_error_t *e = nullptr)
  {
    pu_group_options_t o = options;
    std::vector<pu_log_peer> peers;
    for (unsigned i = 0; i < initial; i++)
      {
        peers.push_back ({ 0, (char *)voters[i]->name.c_str (),
                           (char *)voters[i]->name.c_str () });
      }
    o.loop = &loop;
    o.folder = v.folder.c_str ();
    o.fs = &v.fs;
    o.data = &v;
    o.replica.self = { 0, (char *)v.name.c_str (), (char *)v.name.c_str () };
    o.replica.initial = peers.data ();
    o.replica.n_initial = peers.size ();
    o.send = on_send;
    o.apply = on_apply;
    o.take_snapshot = on_take_snapshot;
    o.restore = on_restore;
    v.applied.clear ();
    v.group = pu_group_new (&o, e);
    return v.group != nullptr;
  }
  void
  start_all ()
  {
    for (auto &v : voters)
      start (*v);
  }
  void
  stop (FakeVoter &v)
  {
    bool closed = false;
    if (v.group == nullptr)
      return;
    pu_group_close (
        v.group, [] (void *p) { *(bool *)p = true; }, &closed);
    v.group = nullptr;
    while (!closed)
      uv_run (&loop, UV_RUN_ONCE);
  }
  void
  wipe (FakeVoter &v)
  {
    GDir *d = g_dir_open (v.folder.c_str (), 0, nullptr);
    const char *name;
    while (d != nullptr && (name = g_dir_read_name (d)) != nullptr)
      remove ((v.folder + "/" + name).c_str ());
    if (d != nullptr)
      g_dir_close (d);
    remove_folder (v.folder);
  }
  /* Runs the loop until DONE returns true, for at most MS milliseconds.
     Returns whether DONE returned true.  */
  bool
  run (const std::function<bool ()> &done, uint64_t ms = 10000)
  {
    gint64 end = g_get_monotonic_time () + (gint64)ms * 1000;
    while (g_get_monotonic_time () < end)
      {
        if (done ())
          return true;
        uv_run (&loop, UV_RUN_ONCE);
      }
    return false;
  }
  FakeVoter *
  leader ()
  {
    for (auto &v : voters)
      {
        if (v->group != nullptr && !v->isolated
            && pu_group_holds_lease (v->group))
          return v.get ();
      }
    return nullptr;
  }

private:
  static void
  remove_folder (const std::string &path)
  {
    remove (path.c_str ());
  }
  static void
  on_send (const pu_log_peer *to, GBytes *msg, void *data)
  {
    auto *v = (FakeVoter *)data;
    FakeCluster *c = v->cluster;
    if (v->isolated)
      return;
    c->sent++;
    c->sent_bytes += g_bytes_get_size (msg);
    c->in_flight.push_back ({ to->address, g_bytes_ref (msg) });
    uv_idle_start (&c->delivery_idle, on_deliver);
  }
  static void
  on_deliver (uv_idle_t *h)
  {
    auto *c = (FakeCluster *)h->data;
    std::vector<FakePacket> in_flight;
    uv_idle_stop (h);
    in_flight.swap (c->in_flight);
    for (FakePacket &p : in_flight)
      {
        FakeVoter &v = *c->voters[p.to[0] - 'a'];
        gsize n;
        const void *bytes = g_bytes_get_data (p.msg, &n);
        if (v.group != nullptr && !v.isolated)
          pu_group_receive (v.group, bytes, n, nullptr);
        g_bytes_unref (p.msg);
      }
  }
  static void
  on_apply (uint64_t index, const void *bytes, size_t len, void *data)
  {
    auto *v = (FakeVoter *)data;
    if (v->on_entry)
      {
        v->on_entry (index, bytes, len);
      }
    else
      {
        v->applied.emplace_back ((const char *)bytes, len);
      }
  }
  static GBytes *
  on_take_snapshot (uint64_t, void *data)
  {
    auto *v = (FakeVoter *)data;
    std::string all;
    if (v->on_image)
      return v->on_image ();
    for (const std::string &s : v->applied)
      all += s + "\n";
    return g_bytes_new (all.data (), all.size ());
  }
  static bool
  on_restore (uint64_t, const void *bytes, size_t len, void *data,
              pu_error_t *)
  {
    auto *v = (FakeVoter *)data;
    std::string all ((const char *)bytes, len);
    if (v->on_load)
      return v->on_load (bytes, len);
    v->applied.clear ();
    for (size_t at = 0, end; (end = all.find ('\n', at)) != std::string::npos;
         at = end + 1)
      v->applied.push_back (all.substr (at, end - at));
    v->restored = v->applied.size ();
    return true;
  }
};

#endif
