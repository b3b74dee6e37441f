#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <string>
#include <vector>

extern "C"
{
#include "document/internal.h"
}

namespace
{

struct model
{
  guint32 mb;
  guint32 width;
  guint32 copies;
  std::vector<guint32> adapters; /* memory of each adapter in MB */
};

std::string
name_of (size_t i)
{
  return "m" + std::to_string (i);
}

pu_document_t *
document_of (const std::vector<model> &models)
{
  json_t *bases = json_object ();
  json_t *adapters = json_object ();
  json_t *listed = json_array ();

  for (size_t i = 0; i < models.size (); i++)
    {
      const model &m = models[i];
      std::string name = name_of (i);

      json_object_set_new (bases, name.c_str (),
                           json_pack ("{sssisisisi}", "version", "1",
                                      "memory_mb", (int)m.mb, "kv_cache_mb", 0,
                                      "accelerators", (int)m.width,
                                      "min_copies", (int)m.copies));
      json_array_append_new (listed, json_string (name.c_str ()));
      for (size_t j = 0; j < m.adapters.size (); j++)
        {
          std::string own = name + "-" + std::to_string (j);

          json_object_set_new (adapters, own.c_str (),
                               json_pack ("{sssssi}", "version", "1", "base",
                                          name.c_str (), "memory_mb",
                                          (int)m.adapters[j]));
          json_array_append_new (listed, json_string (own.c_str ()));
        }
    }
  json_t *value = json_pack ("{s{s{so}}soso}", "services", "s", "models",
                             listed, "models", bases, "adapters", adapters);
  char *text = pu_json_text (value);
  pu_findings_t *f = pu_findings_new ();
  pu_document_t *d = pu_document_parse (text, strlen (text), f);

  EXPECT_EQ (0u, pu_findings_count (f));
  pu_findings_free (f);
  g_free (text);
  json_decref (value);
  return d;
}

/* Decides by exhaustive search whether the models fit: tries every set of
   servers for each model and then, for each adapter of the model, every server
   of that set.  */
struct oracle
{
  const std::vector<model> &models;
  const std::vector<pu_capacity_t> &servers;
  std::vector<guint32> free_mb;

  bool
  adapters_fit (size_t i, unsigned set, size_t j)
  {
    if (j == models[i].adapters.size ())
      return fits (i + 1);
    for (size_t s = 0; s < servers.size (); s++)
      {
        guint32 mb = models[i].adapters[j];

        if ((set >> s & 1) == 0 || free_mb[s] < mb)
          continue;
        free_mb[s] -= mb;
        bool good = adapters_fit (i, set, j + 1);
        free_mb[s] += mb;
        if (good)
          return true;
      }
    return false;
  }

  bool
  set_fits (size_t i, unsigned set)
  {
    for (size_t s = 0; s < servers.size (); s++)
      {
        if ((set >> s & 1) != 0
            && (free_mb[s] < models[i].mb
                || servers[s].accelerators < models[i].width))
          return false;
      }
    return (guint32)__builtin_popcount (set) >= models[i].copies;
  }

  void
  take (size_t i, unsigned set, int sign)
  {
    for (size_t s = 0; s < servers.size (); s++)
      {
        if ((set >> s & 1) != 0)
          free_mb[s] -= sign * (int)models[i].mb;
      }
  }

  bool
  fits (size_t i)
  {
    if (i == models.size ())
      return true;
    for (unsigned set = 1; set < 1u << servers.size (); set++)
      {
        if (!set_fits (i, set))
          continue;
        take (i, set, 1);
        bool good = adapters_fit (i, set, 0);
        take (i, set, -1);
        if (good)
          return true;
      }
    return false;
  }
};

bool
exhaustively_fits (const std::vector<model> &models,
                   const std::vector<pu_capacity_t> &servers)
{
  oracle o = { models, servers, {} };

  for (const pu_capacity_t &c : servers)
    o.free_mb.push_back (c.memory_mb);
  return o.fits (0);
}

/* Whether the result of pu_document_check_fit_with_break agrees with the
   exhaustive search.  */
bool
agrees (const std::vector<model> &models,
        const std::vector<pu_capacity_t> &servers,
        pu_document_break_t test_break)
{
  pu_document_t *d = document_of (models);
  pu_findings_t *f = pu_findings_new ();
  pu_fit_t fit = pu_document_check_fit_with_break (
      d, servers.data (), servers.size (), test_break, f);
  bool found = pu_findings_count (f) > 0;
  bool good = found == (fit == PU_FIT_IMPOSSIBLE);

  if (fit != PU_FIT_UNPROVED)
    good = good
           && exhaustively_fits (models, servers) == (fit == PU_FIT_PACKED);
  pu_findings_free (f);
  pu_document_unref (d);
  return good;
}

/* Whether the result of pu_document_check_fit_with_break agrees with the
   exhaustive search for a small random case generated from SEED.  */
bool
agrees_on (guint32 seed, pu_document_break_t test_break)
{
  GRand *r = g_rand_new_with_seed (seed);
  std::vector<model> models (g_rand_int_range (r, 1, 5));
  std::vector<pu_capacity_t> servers (g_rand_int_range (r, 1, 5));

  for (model &m : models)
    {
      m.mb = g_rand_int_range (r, 1, 12);
      m.width = g_rand_int_range (r, 1, 3);
      m.copies = g_rand_int_range (r, 1, 3);
      m.adapters.resize (g_rand_int_range (r, 0, 3));
      for (guint32 &mb : m.adapters)
        mb = g_rand_int_range (r, 1, 4);
    }
  for (pu_capacity_t &c : servers)
    {
      c.name = "s";
      c.accelerators = g_rand_int_range (r, 1, 3);
      c.memory_mb = g_rand_int_range (r, 4, 24);
    }
  g_rand_free (r);
  return agrees (models, servers, test_break);
}

RC_GTEST_PROP (Fit, AgreesWithExhaustiveSearch, (guint32 base))
{
  for (guint32 i = 0; i < 20; i++)
    RC_ASSERT (agrees_on (base + i, PU_DOCUMENT_BREAK_NONE));
}

/* The comparison with the exhaustive search must fail when a fault is injected
   into the total memory or into the packing.  */
TEST (Fit, OracleDetectsInjectedFaults)
{
  for (pu_document_break_t test_break :
       { PU_DOCUMENT_BREAK_TOTAL_MEMORY, PU_DOCUMENT_BREAK_ACCELERATORS })
    {
      guint32 seed = 0;

      while (seed < 1000 && agrees_on (seed, test_break))
        seed++;
      EXPECT_LT (seed, 1000u) << test_break;
    }
}

std::string
findings_of (const std::vector<model> &models,
             const std::vector<pu_capacity_t> &servers)
{
  pu_document_t *d = document_of (models);
  pu_findings_t *f = pu_findings_new ();
  std::string out;

  pu_document_check_fit (d, servers.data (), servers.size (), f);
  for (size_t i = 0; i < pu_findings_count (f); i++)
    {
      out += std::string (pu_findings_get (f, i)->path) + ": "
             + pu_findings_get (f, i)->message + "\n";
    }
  pu_findings_free (f);
  pu_document_unref (d);
  return out;
}

TEST (Fit, ReportsRequiredAndAvailableMemory)
{
  const pu_capacity_t one = { "a", 1, 10 };
  const pu_capacity_t two = { "b", 2, 8 };
  const struct
  {
    std::vector<model> models;
    std::vector<pu_capacity_t> servers;
    const char *findings;
  } cases[] = {
    { { { 10, 1, 1, {} } }, { one }, "" },
    { { { 11, 1, 1, {} } },
      { one },
      "/models/m0: needs 11 MB (weights 11, cache 0) on each of 1 "
      "accelerators; the largest backend server has 10 MB\n"
      "/models: the models need 11 MB (m0 1 x 11 MB) and their adapters 0 "
      "MB, 11 MB in total; the 1 backend servers with at least 1 "
      "accelerators have 10 MB per accelerator in total\n" },
    { { { 1, 2, 1, {} } },
      { one },
      "/models/m0: needs 2 accelerators; no backend server has so many\n"
      "/models: the models need 1 MB (m0 1 x 1 MB) and their adapters 0 MB, "
      "1 MB in total; the 0 backend servers with at least 2 accelerators "
      "have 0 MB per accelerator in total\n" },
    { { { 4, 1, 2, {} } },
      { one },
      "/models/m0: needs 2 copies of 4 MB (weights 4, cache 0) on different "
      "backend servers; only 1 can hold one\n" },
    { { { 7, 1, 1, { 4 } } },
      { one, two },
      "/adapters/m0-0: needs 11 MB (4 and its base m0, 7) on each of 1 "
      "accelerators; the largest backend server has 10 MB\n" },
    { { { 6, 1, 1, {} }, { 6, 1, 1, {} }, { 6, 1, 1, {} } },
      { one, two },
      "/models: 3 models need 3 copies of at least 6 MB each; the backend "
      "servers with at least 1 accelerators have room for 2\n" },
  };

  for (const auto &c : cases)
    EXPECT_EQ (c.findings, findings_of (c.models, c.servers));
}

TEST (Fit, IsUnprovedWithoutServers)
{
  pu_document_t *d = document_of ({ { 10, 1, 1, {} } });
  pu_findings_t *f = pu_findings_new ();

  EXPECT_EQ (PU_FIT_UNPROVED, pu_document_check_fit (d, NULL, 0, f));
  EXPECT_EQ (0u, pu_findings_count (f));
  pu_findings_free (f);
  pu_document_unref (d);
}

} // namespace
