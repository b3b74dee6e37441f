#ifndef PU_PLACER_FIXTURE_TEST_H
#define PU_PLACER_FIXTURE_TEST_H

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
#include "placer/order_sender.h"
}

/* How an engine handles the orders that it receives.  */
enum class OrderHandling
{
  accept,
  accept_without_answer, /* executes the order */
  ignore,                /* neither executes nor answers */
  accept_then_fail,      /* accepts orders, but each load fails */
};

struct PlacerTest;

/* An engine behind a real HTTP server, which accounts for the memory that its
   copies use.  */
struct FakeEngine
{
  std::string name, address;
  bool fenced, leaving = false, alive = true;
  uint64_t incarnation = 1, token = 0;
  unsigned accelerator_mb = 100, load_count = 0, order_count = 0;
  std::map<std::string, std::pair<unsigned, pu_copy_phase> > copies;
  OrderHandling handling = OrderHandling::accept;
  bool overcommitted = false;
  std::string last_report;
  std::vector<std::string> history; /* orders handled, such as "load m/1" */
  std::vector<pu_http_request_t *> unanswered;
  pu_http_server_t *server = nullptr;
  PlacerTest *test = nullptr;

  unsigned used () const;
  bool is_ready (const std::string &copy) const;
  int handle_order (const json_t *body);
  void finish_loads ();
  void report ();
};

/* One voter with a placer on a libuv loop, and engines that report to the
   voter.  TearDown checks that no engine was overcommitted.  */
struct PlacerTest : public ::testing::Test
{
  uv_loop_t loop;
  std::string root;
  pu_rpc_server_t *server = nullptr;
  std::string address;
  pu_control_t *control = nullptr;
  pu_placer_t *placer = nullptr;
  pu_counters_t *counters = nullptr;
  std::vector<std::unique_ptr<FakeEngine> > engines;
  unsigned order_life_ms = 900;
  uint64_t version = 0;
  uv_timer_t *tick_timer = nullptr;
  /* A model that must always have a ready copy from its first one on; checked
     at each tick.  */
  std::string must_stay_ready;
  bool had_ready_copy = false, lost_ready_copy = false;

  void SetUp () override;
  void TearDown () override;
  void start_voter ();
  void stop_voter ();
  FakeEngine &add_engine (const std::string &name, bool fenced = true);
  void run_until (const std::function<bool ()> &done);
  void run_ms (unsigned ms);
  std::string dump_text () const;
  void propose (const pu_command &c);
  void submit (const std::string &text);
  bool is_ready (const std::string &copy) const;
  unsigned load_count () const;
  unsigned open_order_count () const;
  void tick ();
};

/* Returns the document entry of a model with at most one copy, which takes MB
   megabytes for its weights and 10 MB for its cache.  */
std::string model_json (const std::string &name, const std::string &version,
                        unsigned mb);

/* Returns a document that declares MODELS and ADAPTERS.  */
std::string document_json (const std::string &models,
                           const std::string &adapters = "");

#endif
