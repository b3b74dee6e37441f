#ifndef PU_LOG_JOURNAL_FAKE_H
#define PU_LOG_JOURNAL_FAKE_H

/* journal_fake - a disk in memory that loses unsynced writes in a crash, and
   fails chosen operations.  */

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "log/journal.h"

struct FakeDisk
{
  struct File
  {
    std::string live, durable;
  };
  using Folder = std::map<std::string, std::shared_ptr<File> >;

  Folder live, durable;
  std::vector<std::shared_ptr<File> > open_files;
  int operations = 0;
  int crash_at = -1; // number of the operation that fails, together with all
                     // later ones; -1: none
  // number of the only operation that fails, with ERROR; -1: none
  int error_at = -1;
  int error = 0;
  bool short_writes = false;
  bool sync_is_noop = false; // fs.sync reports success but saves nothing
  pu_journal_fs_t fs{};

  FakeDisk ()
  {
    fs.data = this;
    fs.open = [] (void *d, const char *p, int flags) {
      auto &f = self (d)->live[p];
      if (f == nullptr && (flags & O_CREAT) == 0)
        return -ENOENT;
      if (f == nullptr)
        f = std::make_shared<File> ();
      self (d)->open_files.push_back (f);
      return (int)self (d)->open_files.size () - 1;
    };
    fs.write = [] (void *d, int fd, const void *p, size_t n,
                   int64_t at) -> int64_t {
      if (int rc = self (d)->begin_operation ())
        return rc;
      if (self (d)->short_writes && n > 7)
        n = 7;
      std::string &s = self (d)->open_files[fd]->live;
      s.resize (std::max (s.size (), (size_t)at + n));
      s.replace (at, n, (const char *)p, n);
      return (int64_t)n;
    };
    fs.sync = [] (void *d, int fd) {
      int rc = self (d)->begin_operation ();
      auto &f = self (d)->open_files[fd];
      if (rc == 0 && !self (d)->sync_is_noop)
        f->durable = f->live;
      return rc;
    };
    fs.truncate = [] (void *d, int fd, int64_t size) {
      if (int rc = self (d)->begin_operation ())
        return rc;
      self (d)->open_files[fd]->live.resize (size);
      return 0;
    };
    fs.lock = [] (void *, int) { return 0; };
    fs.close = [] (void *, int) { return 0; };
    fs.rename = [] (void *d, const char *from, const char *to) {
      if (int rc = self (d)->begin_operation ())
        return rc;
      self (d)->live[to] = self (d)->live[from];
      self (d)->live.erase (from);
      return 0;
    };
    fs.unlink = [] (void *d, const char *p) {
      if (int rc = self (d)->begin_operation ())
        return rc;
      self (d)->live.erase (p);
      return 0;
    };
    fs.mkdir = [] (void *, const char *) { return 0; };
    fs.sync_folder = [] (void *d, const char *) {
      int rc = self (d)->begin_operation ();
      if (rc == 0)
        self (d)->durable = self (d)->live;
      return rc;
    };
    fs.read = [] (void *d, const char *p, GBytes **out) {
      auto it = self (d)->live.find (p);
      if (it == self (d)->live.end ())
        return -ENOENT;
      *out = g_bytes_new (it->second->live.data (), it->second->live.size ());
      return 0;
    };
    fs.list = [] (void *d, const char *, GPtrArray *names) {
      for (auto &f : self (d)->live)
        g_ptr_array_add (names, g_path_get_basename (f.first.c_str ()));
      return 0;
    };
  }

  /* Simulates a power failure: each file keeps its synced contents and
     perhaps a prefix of its unsynced contents.  The folder gets the list of
     files of its last sync or its latest one.  */
  void
  crash (std::mt19937 &rand)
  {
    if (rand () % 2 == 0)
      live = durable;
    for (auto &f : live)
      {
        File &file = *f.second;
        std::string s = file.durable;
        size_t n = file.live.empty () ? 0 : rand () % (file.live.size () + 1);
        if (rand () % 2 == 0 && n > 0)
          {
            s.resize (std::max (s.size (), n));
            s.replace (0, n, file.live, 0, n);
          }
        file.live = file.durable = s;
      }
    durable = live;
    open_files.clear ();
    crash_at = error_at = -1;
    operations = 0;
  }

private:
  static FakeDisk *
  self (void *d)
  {
    return static_cast<FakeDisk *> (d);
  }
  int
  begin_operation ()
  {
    operations++;
    if (crash_at >= 0 && operations >= crash_at)
      return -EIO;
    return operations == error_at ? -error : 0;
  }
};

#endif
