#include <gtest/gtest.h>

#include "base/log.h"
#include "log/journal_fake.h"

namespace
{

/* These tests make the journal fail on purpose, so its log lines are
   suppressed.  */
[[maybe_unused]] const auto QUIET = g_log_set_default_handler (
    [] (const gchar *, GLogLevelFlags, const gchar *, gpointer) {}, nullptr);

const uint64_t ID = 77;

/* The contents of a journal: the terms of all entries, and the metadata.  */
struct JournalState
{
  std::vector<uint64_t> terms;
  uint64_t snapshot = 0;
  uint64_t term = 0;
  uint64_t commit = 0;
};

bool
operator== (const JournalState &a, const JournalState &b)
{
  std::vector<uint64_t> x (a.terms.begin () + (long)a.snapshot,
                           a.terms.end ());
  std::vector<uint64_t> y (b.terms.begin () + (long)b.snapshot,
                           b.terms.end ());
  return x == y && a.snapshot == b.snapshot && a.term == b.term;
}

struct OpenJournal
{
  pu_journal_t *j = nullptr;
  pu_error_t e{};
  JournalState contents;
  uint64_t synced = 0;
  uint64_t saved = 0;
  int failures = 0;

  explicit OpenJournal (FakeDisk &d, const char *folder = "f")
  {
    pu_journal_options_t o;
    pu_disk_image_t image;
    pu_journal_options_init (&o);
    pu_disk_image_init (&image);
    o.folder = folder;
    o.fs = &d.fs;
    o.segment_bytes = 300;
    o.data = this;
    o.synced = [] (uint64_t t, void *p) { ((OpenJournal *)p)->synced = t; };
    o.saved = [] (uint64_t i, void *p) { ((OpenJournal *)p)->saved = i; };
    o.failed
        = [] (const pu_error_t *, void *p) { ((OpenJournal *)p)->failures++; };
    j = pu_journal_open (&o, &image, &e);
    if (j != nullptr)
      read (image);
    if (j != nullptr && image.meta.id == 0 && !pu_journal_create (j, ID, &e))
      {
        pu_journal_free (j);
        j = nullptr;
      }
    pu_disk_image_clear (&image);
  }
  ~OpenJournal () { pu_journal_free (j); }
  OpenJournal (const OpenJournal &) = delete;
  OpenJournal &operator= (const OpenJournal &) = delete;

  void
  read (const pu_disk_image_t &image)
  {
    contents.snapshot = image.snapshot.index;
    contents.terms.resize (contents.snapshot);
    for (guint i = 0; i < image.entries->len; i++)
      {
        contents.terms.push_back (
            ((pu_record_t *)g_ptr_array_index (image.entries, i))->term);
      }
    contents.term = image.meta.term;
    contents.commit = image.commit;
  }
  /* Queues entries FIRST to FIRST + N - 1 of TERM, and adds them to the
     expected state M.  */
  void
  write (JournalState &m, uint64_t ticket, uint64_t first, unsigned n,
         uint64_t term)
  {
    GPtrArray *a
        = g_ptr_array_new_with_free_func ((GDestroyNotify)pu_record_unref);
    m.terms.resize (first - 1);
    for (unsigned i = 0; i < n; i++)
      {
        g_ptr_array_add (a, pu_record_new (first + i, term, PU_LOG_DATA,
                                           "some bytes of data", 18));
        m.terms.push_back (term);
      }
    pu_journal_queue_entries (j, ticket, a, m.commit);
    g_ptr_array_unref (a);
  }
  void
  meta (JournalState &m, uint64_t ticket)
  {
    pu_log_meta x{};
    x.term = ++m.term;
    pu_journal_queue_meta (j, ticket, &x);
  }
  void
  save (JournalState &m, uint64_t index, bool installed)
  {
    pu_snapshot_t s{};
    s.index = index;
    s.data = g_bytes_new ("image", 5);
    if (installed)
      m.terms.assign (index, 0);
    m.snapshot = index;
    m.commit = std::max (m.commit, index);
    pu_journal_queue_snapshot (j, &s, installed);
    g_bytes_unref (s.data);
  }
};

/* Queues one random operation; the caller flushes the journal after each.  */
void
queue_random_operation (OpenJournal &o, JournalState &m, uint64_t ticket,
                        std::mt19937 &rand)
{
  uint64_t last = m.terms.size ();
  m.commit = std::max (m.commit, last > 2 ? last - 2 : 0);
  switch (rand () % 8)
    {
    case 0:
      o.meta (m, ticket);
      break;
    case 1:
      if (m.commit > m.snapshot)
        {
          o.save (m, m.commit, false);
          break;
        }
      [[fallthrough]];
    case 2:
      o.write (m, ticket, m.commit + 1, 2, m.term);
      break;
    case 3:
      if (rand () % 3 == 0)
        {
          o.save (m, last + 5, true);
          break;
        }
      [[fallthrough]];
    default:
      o.write (m, ticket, last + 1, 1 + rand () % 3, m.term);
      break;
    }
}

/* Runs random operations, crashes at disk operation CRASH_AT and opens the
   journal again.  KEPT is set to whether the journal then holds everything
   that was reported durable and nothing that was never written.  Returns
   false when the operations ended before the crash.  */
bool
crash_and_reopen (unsigned seed, int crash_at, bool sync_is_noop, bool *kept)
{
  std::mt19937 rand (seed);
  FakeDisk d;
  std::vector<JournalState> expected (1);
  size_t durable = 0;
  bool crashed = false;
  d.sync_is_noop = sync_is_noop;
  {
    OpenJournal o (d);
    if (o.j == nullptr)
      return false;
    d.operations = 0;
    d.crash_at = crash_at;
    for (uint64_t i = 1; i <= 25 && !crashed; i++)
      {
        JournalState m = expected.back ();
        queue_random_operation (o, m, i, rand);
        expected.push_back (m);
        crashed = !pu_journal_flush (o.j, nullptr);
        durable = crashed ? durable : expected.size () - 1;
        EXPECT_EQ (o.failures, crashed ? 1 : 0);
      }
  }
  d.crash (rand);
  OpenJournal again (d);
  *kept = false;
  for (size_t i = durable; again.j != nullptr && i < expected.size (); i++)
    *kept = *kept || again.contents == expected[i];
  return crashed;
}

TEST (Journal, ReportedWritesSurviveACrashAtEachOperation)
{
  for (unsigned seed = 1; seed <= 30; seed++)
    {
      bool kept = true;
      for (int at = 1; crash_and_reopen (seed, at, false, &kept) && kept; at++)
        ;
      ASSERT_TRUE (kept) << "seed " << seed;
    }
}

/* Shows that the check of ReportedWritesSurviveACrashAtEachOperation can
   fail: with a sync that does nothing, the check must find lost writes.  */
TEST (Journal, CrashTestDetectsASyncThatDoesNothing)
{
  bool kept = true;
  for (int at = 10; kept && crash_and_reopen (1, at, true, &kept); at++)
    ;
  EXPECT_FALSE (kept);
}

/* Writes six batches of one entry each, in two segments, and the metadata.  */
void
fill (FakeDisk &d)
{
  OpenJournal o (d);
  JournalState m;
  for (uint64_t i = 1; i <= 6; i++)
    {
      m.commit = i - 1;
      o.write (m, i, i, 1, 1);
      ASSERT_TRUE (pu_journal_flush (o.j, nullptr));
    }
  o.meta (m, 7);
  ASSERT_TRUE (pu_journal_flush (o.j, nullptr));
}

struct Damage
{
  const char *name;
  void (*act) (FakeDisk &d);
  pu_error_kind_t kind; /* PU_OK: the journal opens */
  uint64_t entries;     /* number of entries that the opened journal holds */
};

std::string &
nth_log (FakeDisk &d, int n)
{
  auto it = d.live.lower_bound ("f/log-");
  std::advance (it, n);
  return it->second->live;
}

const Damage DAMAGES[] = {
  { "none", [] (FakeDisk &) {}, PU_OK, 6 },
  { "first batch", [] (FakeDisk &d) { nth_log (d, 0)[40] ^= 1; },
    PU_ERROR_CORRUPT, 0 },
  { "length of the first batch", [] (FakeDisk &d) { nth_log (d, 0)[4] ^= 64; },
    PU_ERROR_CORRUPT, 0 },
  { "last segment lost",
    [] (FakeDisk &d) { d.live.erase (--d.live.lower_bound ("f/meta")); },
    PU_ERROR_CORRUPT, 0 },
  { "first segment lost",
    [] (FakeDisk &d) { d.live.erase (d.live.lower_bound ("f/log-")); },
    PU_ERROR_CORRUPT, 0 },
  { "last batch torn, not known to be committed",
    [] (FakeDisk &d) { nth_log (d, 1).pop_back (); }, PU_OK, 5 },
  { "one slot of the metadata",
    [] (FakeDisk &d) { d.live["f/meta"]->live[40] ^= 1; }, PU_OK, 6 },
  { "both slots of the metadata",
    [] (FakeDisk &d) {
      d.live["f/meta"]->live[40] ^= 1;
      d.live["f/meta"]->live[4096 + 40] ^= 1;
    },
    PU_ERROR_CORRUPT, 0 },
  { "metadata lost", [] (FakeDisk &d) { d.live.erase ("f/meta"); },
    PU_ERROR_CORRUPT, 0 },
};

TEST (Journal, DistinguishesDamageFromATornTail)
{
  for (const Damage &damage : DAMAGES)
    {
      FakeDisk d;
      fill (d);
      damage.act (d);
      OpenJournal o (d);
      EXPECT_EQ (o.e.kind, damage.kind) << damage.name << o.e.message;
      EXPECT_EQ (o.contents.terms.size (), damage.entries) << damage.name;
    }
}

TEST (Journal, SetAsideOpensAsEmpty)
{
  FakeDisk d;
  fill (d);
  ASSERT_TRUE (pu_journal_set_aside ("f", &d.fs, nullptr));
  OpenJournal o (d);
  ASSERT_NE (o.j, nullptr);
  EXPECT_TRUE (o.contents.terms.empty ());
}

/* The disk operations of the first write: 1 truncates the segment, 2 syncs
   the folder, 3 writes the batch, 4 syncs the batch; 5 to 8 write and sync
   each slot of the metadata, if the metadata is also written.  */
bool
is_sync (int operation)
{
  return operation % 2 == 0;
}

constexpr int FIRST_WRITE_OPERATIONS = 8;

/* A journal whose disk operation AT failed with ERROR while the journal wrote
   an entry and the metadata.  One more entry is queued after the error.  */
struct JournalWithError
{
  FakeDisk d;
  OpenJournal o{ d };
  JournalState m;

  JournalWithError (int error, int at)
  {
    d.operations = 0;
    d.error_at = at;
    d.error = error;
    o.write (m, 1, 1, 1, 1);
    o.meta (m, 2);
    EXPECT_FALSE (pu_journal_flush (o.j, nullptr)) << error << " at " << at;
    EXPECT_EQ (o.synced, 0U) << error << " at " << at;
    o.write (m, 3, 2, 1, 1);
  }
};

TEST (Journal, FailedWriteOrSyncFailsTheJournalPermanently)
{
  for (int error : { EIO, ENOSPC })
    {
      for (int at = 1; at <= FIRST_WRITE_OPERATIONS; at++)
        {
          if (error == ENOSPC && !is_sync (at))
            continue;
          JournalWithError t (error, at);
          EXPECT_FALSE (pu_journal_flush (t.o.j, nullptr));
          EXPECT_EQ (t.o.synced, 0U);
          EXPECT_EQ (t.o.failures, 1);
        }
    }
}

/* Guards against a voter that acknowledges nothing after its disk was full:
   three voters whose disks were full one after the other, each for four
   seconds, left the log without a leader.  */
TEST (Journal, WriteToAFullDiskIsRetriedUntilItSucceeds)
{
  for (int at = 1; at <= FIRST_WRITE_OPERATIONS; at++)
    {
      if (is_sync (at))
        continue;
      JournalWithError t (ENOSPC, at);
      EXPECT_TRUE (pu_journal_flush (t.o.j, nullptr)) << at;
      EXPECT_EQ (t.o.synced, 3U) << at;
      EXPECT_EQ (t.o.failures, 0) << at;
      OpenJournal again (t.d);
      EXPECT_TRUE (again.contents == t.m) << at;
    }
}

TEST (Journal, SnapshotToAFullDiskIsRetried)
{
  FakeDisk d;
  OpenJournal o (d);
  JournalState m;
  o.write (m, 1, 1, 3, 1);
  m.commit = 3;
  ASSERT_TRUE (pu_journal_flush (o.j, nullptr));
  d.operations = 0;
  /* operation 2 is the write of the snapshot, after the truncate */
  d.error_at = 2;
  d.error = ENOSPC;
  o.save (m, 2, false);
  EXPECT_FALSE (pu_journal_flush (o.j, nullptr));
  EXPECT_EQ (o.saved, 0U);
  EXPECT_TRUE (pu_journal_flush (o.j, nullptr));
  EXPECT_EQ (o.saved, 2U);
  EXPECT_EQ (o.failures, 0);
  OpenJournal again (d);
  EXPECT_TRUE (again.contents == m);
}

TEST (Journal, ContinuesAfterShortWrites)
{
  FakeDisk d;
  d.short_writes = true;
  fill (d);
  OpenJournal o (d);
  EXPECT_EQ (o.contents.terms.size (), 6U);
}

TEST (Journal, SecondOpenOfTheSameFolderIsRefused)
{
  g_autofree char *folder = g_dir_make_tmp ("pu-journal-XXXXXX", nullptr);
  FakeDisk d;
  d.fs = *pu_journal_fs_system ();
  {
    OpenJournal one (d, folder);
    OpenJournal two (d, folder);
    EXPECT_NE (one.j, nullptr);
    EXPECT_EQ (two.e.kind, PU_ERROR_IO);
  }
  std::string meta = std::string (folder) + "/meta";
  remove (meta.c_str ());
  remove (folder);
}

} // namespace
