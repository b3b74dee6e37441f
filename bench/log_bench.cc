/* Benchmarks of the replicated log, on real files in the current folder's
   disk: all voters in one process, the loop as the network.

   Usage: log_bench [--json] [--quick] [--only PREFIX]  */

#include <benchmark/benchmark.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

#include "log/group_fake.h"
#include "state/state.h"

namespace
{

struct
{
  bool json = false, quick = false;
  std::string only;
} settings;

constexpr size_t DOCUMENT_BYTES = 4096;
constexpr int AT_ONCE = 64;
constexpr double US_A_S = 1e6, US_A_MS = 1e3;

bool
wanted (const char *name)
{
  return strncmp (name, settings.only.c_str (), settings.only.size ()) == 0
         || strncmp (settings.only.c_str (), name, strlen (name)) == 0;
}

void
report (const std::string &name, double value, const char *unit,
        double ratio = 0)
{
  if (settings.json && ratio > 0)
    {
      printf ("{\"name\": \"%s\", \"value\": %.4g, \"unit\": \"%s\", "
              "\"ratio\": %.3g}\n",
              name.c_str (), value, unit, ratio);
    }
  else if (settings.json)
    {
      printf ("{\"name\": \"%s\", \"value\": %.4g, \"unit\": \"%s\"}\n",
              name.c_str (), value, unit);
    }
  else
    {
      printf ("%-40s %12.4g %-10s %s\n", name.c_str (), value, unit,
              ratio > 0 ? ("ratio " + std::to_string (ratio)).c_str () : "");
    }
  fflush (stdout);
}

double
percentile (std::vector<double> v, double p)
{
  if (v.empty ())
    return 0;
  std::sort (v.begin (), v.end ());
  return v[std::min (v.size () - 1, (size_t)((double)v.size () * p))];
}

/* A change of the document, as an operator submits it.  */
GBytes *
change (uint64_t version)
{
  static const std::string text (DOCUMENT_BYTES, 'x');
  std::string id = "change-" + std::to_string (version);
  pu_command c{};
  c.type = PU_COMMAND_SUBMIT;
  c.pu_command_u.submit.base_version = version - 1;
  c.pu_command_u.submit.wall = version;
  c.pu_command_u.submit.change_id = (char *)id.c_str ();
  c.pu_command_u.submit.author = (char *)"operator";
  c.pu_command_u.submit.text = (char *)text.c_str ();
  return pu_xdr_encode ((xdrproc_t)xdr_pu_command, &c);
}

/* A voter's state machine: the product's own.  */
struct Machine
{
  pu_state_t *state = nullptr;
  double apply_us = 0;
  uint64_t applied = 0, loads = 0;
  size_t padding = 0; /* bytes that an image has beside the state's */

  Machine () { reset (); }
  ~Machine () { pu_state_free (state); }
  Machine (const Machine &) = delete;
  Machine &operator= (const Machine &) = delete;

  void
  reset ()
  {
    pu_state_options_t o;
    pu_state_options_init (&o);
    pu_state_free (state);
    state = pu_state_new (&o);
  }
  void
  apply (uint64_t index, const void *p, size_t n)
  {
    gint64 start = g_get_monotonic_time ();
    pu_command c{};
    if (pu_xdr_decode ((xdrproc_t)xdr_pu_command, &c, p, n))
      {
        pu_state_apply (state, index, &c, nullptr);
        xdr_free ((xdrproc_t)xdr_pu_command, (char *)&c);
      }
    apply_us += (double)(g_get_monotonic_time () - start);
    applied++;
  }
  GBytes *
  image ()
  {
    GBytes *b = pu_state_encode (state, false);
    gsize n;
    const char *p = (const char *)g_bytes_get_data (b, &n);
    std::string s (p, n);
    g_bytes_unref (b);
    s.resize (n + padding);
    s.append ((const char *)&n, sizeof n);
    return g_bytes_new (s.data (), s.size ());
  }
  bool
  load (const void *p, size_t n)
  {
    gsize len;
    loads++;
    memcpy (&len, (const char *)p + n - sizeof len, sizeof len);
    return pu_state_decode (state, p, len, nullptr);
  }
};

struct Cluster : FakeCluster
{
  std::vector<std::unique_ptr<Machine> > machines;

  explicit Cluster (unsigned n) : FakeCluster (n, fresh_folder ())
  {
    pu_group_options_init (&options);
    for (auto &v : voters)
      equip (*v);
  }
  ~Cluster ()
  {
    for (auto &v : voters)
      stop (*v);
  }
  Cluster (const Cluster &) = delete;
  Cluster &operator= (const Cluster &) = delete;

  void
  equip (FakeVoter &v)
  {
    machines.push_back (std::make_unique<Machine> ());
    Machine *m = machines.back ().get ();
    v.on_entry
        = [m] (uint64_t i, const void *p, size_t n) { m->apply (i, p, n); };
    v.on_image = [m] { return m->image (); };
    v.on_load = [m] (const void *p, size_t n) { return m->load (p, n); };
  }
  static std::string
  fresh_folder ()
  {
    char name[] = "log-bench-XXXXXX";
    return g_mkdtemp (name);
  }
  bool
  ready ()
  {
    return run ([this] { return leader () != nullptr; }, 20000);
  }
};

/* Keeps WIDTH proposals under way.  */
struct Submitter
{
  Cluster &c;
  uint64_t version, end;
  int under_way = 0, failed = 0;
  std::vector<double> ms;

  struct One
  {
    Submitter *s;
    gint64 start;
  };

  static void
  done (uint64_t, pu_error_kind_t kind, void *data)
  {
    auto *one = (One *)data;
    Submitter *s = one->s;
    s->under_way--;
    s->failed += kind != PU_OK;
    s->ms.push_back ((double)(g_get_monotonic_time () - one->start) / US_A_MS);
    delete one;
  }
  /* Submits N changes; returns changes a second.  */
  double
  submit (uint64_t n, int width)
  {
    gint64 start = g_get_monotonic_time ();
    end = version + n;
    c.run (
        [&] {
          FakeVoter *l = c.leader ();
          while (l != nullptr && under_way < width && version < end)
            {
              GBytes *b = change (++version);
              gsize len;
              const void *p = g_bytes_get_data (b, &len);
              auto *one = new One{ this, g_get_monotonic_time () };
              if (pu_group_propose (l->group, p, len, done, one, nullptr))
                {
                  under_way++;
                }
              else
                {
                  delete one;
                }
              g_bytes_unref (b);
            }
          return version >= end && under_way == 0;
        },
        120000);
    return (double)n * US_A_S / (double)(g_get_monotonic_time () - start);
  }
};

double
json_number (json_t *s, const char *part, const char *name)
{
  return (double)json_integer_value (
      json_object_get (json_object_get (s, part), name));
}

/* ---- log.submits: changes a second, group sync against one an entry ---- */

double
submits (unsigned voters, bool each, uint64_t n, bool describe)
{
  Cluster c (voters);
  Submitter s{ c, 0, 0, 0, 0, {} };
  std::string tail = ".v" + std::to_string (voters);
  c.options.sync_each_entry = each;
  c.start_all ();
  if (!c.ready ())
    return 0;
  double rate = s.submit (n, AT_ONCE);
  if (describe)
    {
      json_t *status = pu_group_status (c.leader ()->group);
      report ("log.submit_ms.c64.p50" + tail, percentile (s.ms, 0.5), "ms");
      report ("log.submit_ms.c64.p99" + tail, percentile (s.ms, 0.99), "ms");
      report ("log.entries_a_sync" + tail,
              json_number (status, "journal", "entries")
                  / json_number (status, "journal", "batches"),
              "entries");
      report ("log.sync_us" + tail, json_number (status, "journal", "sync_us"),
              "us");
      report ("log.apply_us" + tail,
              c.machines[0]->apply_us / (double)c.machines[0]->applied, "us");
      json_decref (status);
      s.ms.clear ();
      s.submit (200, 1);
      report ("log.submit_ms.c1.p50" + tail, percentile (s.ms, 0.5), "ms");
      report ("log.submit_ms.c1.p99" + tail, percentile (s.ms, 0.99), "ms");
    }
  return rate;
}

void
submits_all ()
{
  uint64_t n = settings.quick ? 2000 : 8000;
  for (unsigned voters : { 3U, 1U, 5U, 7U })
    {
      std::string name = "log.submits.c64";
      double grouped = submits (voters, false, n, true);
      double each = submits (voters, true, n / 8, false);
      if (voters != 3)
        name += ".v" + std::to_string (voters);
      report (name, grouped, "submits/s", grouped / each);
      report (name + ".sync_each", each, "submits/s");
    }
}

/* ---- log.restart_ms: opening the folder until the state is served ---- */

void
restarts ()
{
  for (uint64_t n : { 100U, 1000U, 10000U })
    {
      Cluster c (3);
      Submitter s{ c, 0, 0, 0, 0, {} };
      std::string tail = "." + std::to_string (n);
      c.start_all ();
      if (!c.ready ())
        return;
      s.submit (n, AT_ONCE);
      FakeVoter &v = *c.voters[0];
      json_t *status = pu_group_status (v.group);
      report ("log.journal_kb" + tail,
              json_number (status, "journal", "bytes") / 1024, "KiB");
      json_decref (status);
      for (auto &other : c.voters)
        c.stop (*other);
      c.machines[0]->reset ();
      gint64 start = g_get_monotonic_time ();
      c.start (v);
      double took = (double)(g_get_monotonic_time () - start) / US_A_MS;
      report ("log.restart_ms" + tail, took, "ms");
      report (
          "log.restart_behind" + tail,
          (double)(n - pu_state_document (c.machines[0]->state)->doc_version),
          "changes");
    }
}

/* ---- log.elect_ms: a leader falls silent until the next takes a change */

void
elections ()
{
  int trials = settings.quick ? 6 : 30;
  Cluster c (3);
  Submitter s{ c, 0, 0, 0, 0, {} };
  std::vector<double> ms;
  c.start_all ();
  c.ready ();
  s.submit (10, 1);
  for (int i = 0; i < trials; i++)
    {
      FakeVoter *old = c.leader ();
      /* At any point between two heartbeats.  */
      c.run ([] { return false; }, (uint64_t)(i * 37 % 250) + 1);
      gint64 start = g_get_monotonic_time ();
      old->isolated = true;
      c.run ([&] { return c.leader () != nullptr; }, 20000);
      s.version = pu_state_document (c.machines[0]->state)->doc_version;
      s.submit (1, 1);
      ms.push_back ((double)(g_get_monotonic_time () - start) / US_A_MS);
      old->isolated = false;
      c.run ([] { return false; }, 600);
    }
  report ("log.elect_ms.p50", percentile (ms, 0.5), "ms");
  report ("log.elect_ms", percentile (ms, 0.99), "ms");
}

/* ---- the paper's checkpoints: at the same point or staggered ---- */

double
worst_ms (bool together, size_t image)
{
  Cluster c (3);
  Submitter s{ c, 0, 0, 0, 0, {} };
  c.options.replica.snapshot_entries = 512;
  c.options.replica.snapshot_unstaggered = together;
  for (auto &m : c.machines)
    m->padding = image;
  c.start_all ();
  if (!c.ready ())
    return 0;
  s.submit (settings.quick ? 2000 : 6000, AT_ONCE);
  return percentile (s.ms, 0.99);
}

void
checkpoints ()
{
  for (size_t mib : { 1U, 16U })
    {
      std::string tail = "." + std::to_string (mib) + "mib";
      double same = worst_ms (true, mib << 20);
      double apart = worst_ms (false, mib << 20);
      report ("log.snapshot_p99_ms.together" + tail, same, "ms");
      report ("log.snapshot_p99_ms.staggered" + tail, apart, "ms",
              apart / same);
    }
}

/* ---- the paper's state transfer: time of one image from one seeder ---- */

void
transfers ()
{
  for (size_t mib : { 1U, 16U, 48U })
    {
      Cluster c (3);
      Submitter s{ c, 0, 0, 0, 0, {} };
      c.options.replica.snapshot_entries = 64;
      c.options.replica.keep_entries = 0;
      for (auto &m : c.machines)
        m->padding = mib << 20;
      c.start_all ();
      if (!c.ready ())
        return;
      FakeVoter &v = *c.voters[c.leader () == c.voters[0].get () ? 1 : 0];
      c.stop (v);
      s.submit (200, AT_ONCE);
      /* Until no log reaches back to where V stands.  */
      c.run (
          [&] {
            bool done = true;
            for (auto &other : c.voters)
              {
                if (other->group == nullptr)
                  continue;
                json_t *status = pu_group_status (other->group);
                done
                    = done
                      && json_integer_value (json_object_get (status, "first"))
                             > 64;
                json_decref (status);
              }
            return done;
          },
          20000);
      Machine &m = *c.machines[&v == c.voters[0].get () ? 0 : 1];
      gint64 start = g_get_monotonic_time ();
      c.start (v);
      c.run (
          [&] {
            json_t *status = pu_group_status (v.group);
            bool done
                = m.loads > 0
                  && json_integer_value (json_object_get (status, "synced"))
                         >= 200;
            json_decref (status);
            return done;
          },
          60000);
      double took = (double)(g_get_monotonic_time () - start) / US_A_MS;
      std::string tail = std::to_string (mib) + "mib";
      report ("log.transfer_ms." + tail, took, "ms");
    }
}

/* ---- the core alone ---- */

void
core_encode (benchmark::State &state)
{
  GBytes *b = change (1);
  gsize n;
  const void *p = g_bytes_get_data (b, &n);
  pu_record_t *e = pu_record_new (1, 1, PU_LOG_DATA, p, n);
  pu_log_entry x;
  pu_record_to_xdr (e, &x);
  for (auto _ : state)
    {
      GBytes *out = pu_xdr_encode ((xdrproc_t)xdr_pu_log_entry, &x);
      benchmark::DoNotOptimize (out);
      g_bytes_unref (out);
    }
  pu_record_unref (e);
  g_bytes_unref (b);
}

class Keeper : public benchmark::BenchmarkReporter
{
public:
  bool
  ReportContext (const Context &) override
  {
    return true;
  }
  void
  ReportRuns (const std::vector<Run> &runs) override
  {
    for (const Run &r : runs)
      report (r.benchmark_name (), r.GetAdjustedRealTime (), "us");
  }
};

void
cores ()
{
  Keeper keeper;
  benchmark::RegisterBenchmark ("log.encode_us", core_encode)
      ->Unit (benchmark::kMicrosecond);
  benchmark::RunSpecifiedBenchmarks (&keeper);
}

} // namespace

int
main (int argc, char **argv)
{
  for (int i = 1; i < argc; i++)
    {
      if (!strcmp (argv[i], "--json"))
        {
          settings.json = true;
        }
      else if (!strcmp (argv[i], "--quick"))
        {
          settings.quick = true;
        }
      else if (!strcmp (argv[i], "--only") && i + 1 < argc)
        {
          settings.only = argv[++i];
        }
      else
        {
          fprintf (stderr,
                   "usage: log_bench [--json] [--quick] [--only PREFIX]\n");
          return 2;
        }
    }
  /* One thread for each voter's disk: a daemon has one voter.  */
  setenv ("UV_THREADPOOL_SIZE", "16", 0);
  g_log_set_default_handler (
      [] (const gchar *, GLogLevelFlags, const gchar *, gpointer) {}, nullptr);
  if (wanted ("log.submit"))
    submits_all ();
  if (wanted ("log.restart"))
    restarts ();
  if (wanted ("log.elect"))
    elections ();
  if (wanted ("log.snapshot"))
    checkpoints ();
  if (wanted ("log.transfer"))
    transfers ();
  if (wanted ("log.encode"))
    cores ();
  return 0;
}
