#ifndef PU_PLACER_RIG_TEST_H
#define PU_PLACER_RIG_TEST_H

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C"
{
#include "http/server.h"
#include "placer/placer.h"
#include "placer/send.h"
}

/* How an engine treats the orders that come.  */
enum class Takes
{
  all,
  silently, /* carries out and does not answer */
  nothing,  /* neither */
  failing,  /* accepts, and the load never ends well */
};

struct Rig;

/* An engine behind a real HTTP server, with its true memory.  */
struct Engine
{
  std::string name, address;
  bool fenced, leaving = false, alive = true;
  uint64_t incarnation = 1, token = 0;
  unsigned size_mb = 100, loads = 0, orders = 0;
  std::map<std::string, std::pair<unsigned, pu_copy_phase> > copies;
  Takes takes = Takes::all;
  bool overcommitted = false;
  std::string reported;
  std::vector<std::string> history; /* "load m/1" */
  std::vector<pu_http_request_t *> unanswered;
  pu_http_server_t *server = nullptr;
  Rig *rig = nullptr;

  unsigned used () const;
  bool ready (const std::string &copy) const;
  int order (const json_t *body);
  void step ();
  void report ();
};

/* One voter with a placer on a loop, and engines that report to it.  */
struct Rig : public ::testing::Test
{
  uv_loop_t loop;
  std::string root;
  pu_rpc_server_t *server = nullptr;
  std::string address;
  pu_control_t *control = nullptr;
  pu_placer_t *placer = nullptr;
  pu_counters_t *counters = nullptr;
  std::vector<std::unique_ptr<Engine> > engines;
  unsigned order_life_ms = 900;
  uint64_t version = 0;
  uv_timer_t *clock = nullptr;
  /* Checked at each tick: copies of a model, once it was reachable.  */
  std::string always_ready;
  bool was_ready = false, was_lost = false;

  void SetUp () override;
  void TearDown () override;
  void open ();
  void close ();
  Engine &engine (const std::string &name, bool fenced = true);
  void run_until (const std::function<bool ()> &done);
  void run_ms (unsigned ms);
  std::string told () const;
  void propose (const pu_command &c);
  void submit (const std::string &text);
  bool ready (const std::string &copy) const;
  unsigned loads () const;
  unsigned open_orders () const;
  void tick ();
};

/* A model of at most one copy, which takes MB and 10 of cache.  */
std::string model (const std::string &name, const std::string &version,
                   unsigned mb);

/* A document that declares MODELS and ADAPTERS.  */
std::string document (const std::string &models,
                      const std::string &adapters = "");

#endif
