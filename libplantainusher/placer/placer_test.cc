#include "placer/names.h"
#include "placer/fixture_test.h"

#include <arpa/inet.h>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace
{
const std::string m_version_1 = model_json ("m", "1", 40);
const std::string m_version_2 = model_json ("m", "2", 40);
const std::string n_version_1 = model_json ("n", "1", 50);

json_t *
find (json_t *list, const char *key, const char *value)
{
  size_t i;
  json_t *o;

  json_array_foreach (list, i, o)
  {
    if (strcmp (json_string_value (json_object_get (o, key)), value) == 0)
      return o;
  }
  return nullptr;
}
} // namespace

/* An engine may restart under the same name while a request to it is in
   flight.  The result of the request must not be applied to the new
   process.  */
TEST (Names, EachIncarnationHasItsOwnHandle)
{
  pu_names_t n;

  pu_names_init (&n);
  const guint32 first = pu_names_intern_incarnation (&n, "i-1", 1000);
  EXPECT_NE (first, pu_names_intern_incarnation (&n, "i-1", 2000));
  EXPECT_EQ (first, pu_names_intern_incarnation (&n, "i-1", 1000));
  EXPECT_NE (first, pu_names_intern_incarnation (&n, "i-2", 1000));
  pu_names_clear (&n);
}

TEST_F (PlacerTest, ADeclaredModelWithoutACopyIsLoaded)
{
  FakeEngine &e = add_engine ("a");

  submit (document_json (m_version_1));
  run_until ([&] { return is_ready ("m/1"); });
  EXPECT_EQ (e.load_count, 1U);
  EXPECT_EQ (e.copies["m/1"].first, 50U);
}

TEST_F (PlacerTest, AnEngineThatIgnoresTokensLoadsAndItsOrderIsReleased)
{
  add_engine ("a", false);
  submit (document_json (m_version_1));
  run_until ([&] { return is_ready ("m/1"); });
  run_until ([&] { return open_order_count () == 0; });
  EXPECT_EQ (load_count (), 1U);
}

TEST_F (PlacerTest, AnOrderWhoseAnswerIsLostLoadsOneCopy)
{
  for (bool fenced : { true, false })
    {
      FakeEngine &e = add_engine (fenced ? "a" : "b", fenced);
      e.handling = OrderHandling::accept_without_answer;
    }
  submit (document_json (m_version_1 + ", " + n_version_1));
  run_until ([&] { return is_ready ("m/1") && is_ready ("n/1"); });
  run_ms (2 * order_life_ms);
  EXPECT_EQ (load_count (), 2U);
}

TEST_F (PlacerTest, AnOrderWithoutEffectIsRetriedOnAnotherEngine)
{
  add_engine ("a").handling = OrderHandling::ignore;
  add_engine ("b").handling = OrderHandling::ignore;
  submit (document_json (m_version_1));
  run_until (
      [&] { return engines[0]->order_count + engines[1]->order_count > 0; });
  FakeEngine &unresponsive = *engines[engines[0]->order_count > 0 ? 0 : 1];
  FakeEngine &second = *engines[engines[0]->order_count > 0 ? 1 : 0];
  second.handling = OrderHandling::accept;
  run_until ([&] { return second.is_ready ("m/1"); });
  EXPECT_EQ (unresponsive.load_count, 0U);
}

TEST_F (PlacerTest, ANewLeaderAdoptsTheOpenOrder)
{
  FakeEngine &e = add_engine ("a");

  e.handling = OrderHandling::ignore;
  submit (document_json (m_version_1));
  run_until ([&] { return e.order_count > 0; });
  stop_voter ();
  start_voter ();
  run_until ([&] {
    json_t *s = pu_placer_status (placer);
    json_t *o = json_array_get (json_object_get (s, "orders"), 0);
    bool adopted = json_is_true (json_object_get (o, "inherited"));
    json_decref (s);
    return adopted;
  });
  EXPECT_EQ (pu_state_committed_mb (pu_control_state (control), "a"), 50U);
  e.handling = OrderHandling::accept;
  run_until ([&] { return is_ready ("m/1"); });
  EXPECT_EQ (load_count (), 1U);
}

TEST_F (PlacerTest, ANewLeaderLoadsOnEnginesWithoutOpenOrders)
{
  FakeEngine &a = add_engine ("a", false);

  order_life_ms = 600000; /* the wait for the order to A outlasts the test */
  a.handling = OrderHandling::ignore;
  submit (document_json (m_version_1));
  run_until ([&] { return open_order_count () == 1; });
  stop_voter ();
  start_voter ();
  FakeEngine &b = add_engine ("b", false);
  submit (document_json (m_version_1 + ", " + n_version_1));
  run_until ([&] { return b.is_ready ("n/1"); });
  json_t *s = pu_placer_status (placer);
  EXPECT_TRUE (json_is_true (json_object_get (s, "quiet")));
  json_decref (s);
  EXPECT_EQ (a.load_count, 0U);
}

TEST_F (PlacerTest, ANewVersionIsReadyBeforeTheOldOneIsUnloaded)
{
  for (bool fenced : { true, false })
    add_engine (fenced ? "a" : "b", fenced);
  must_stay_ready = "m";
  submit (document_json (m_version_1));
  run_until ([&] { return is_ready ("m/1"); });
  submit (document_json (m_version_2));
  run_until ([&] { return is_ready ("m/2") && !is_ready ("m/1"); });
}

TEST_F (PlacerTest, AVersionThatFailsIsRolledBack)
{
  for (const char *name : { "a", "b", "c" })
    add_engine (name);
  must_stay_ready = "m";
  submit (document_json (m_version_1));
  run_until ([&] { return is_ready ("m/1"); });
  for (auto &e : engines)
    e->handling = OrderHandling::accept_then_fail;
  submit (document_json (m_version_2));
  run_until ([&] {
    json_t *s = pu_placer_status (placer);
    json_t *m = find (json_object_get (s, "models"), "model", "m");
    bool back = json_is_true (json_object_get (m, "rolled_back"));
    json_decref (s);
    return back;
  });
}

TEST_F (PlacerTest, TheCopiesOfALeavingEngineAreLoadedElsewhere)
{
  add_engine ("a");
  add_engine ("b");
  must_stay_ready = "m";
  submit (document_json (m_version_1));
  run_until ([&] { return is_ready ("m/1"); });
  FakeEngine &from = *engines[engines[0]->is_ready ("m/1") ? 0 : 1];
  FakeEngine &to = *engines[engines[0]->is_ready ("m/1") ? 1 : 0];
  from.leaving = true;
  run_until ([&] { return to.is_ready ("m/1"); });
  EXPECT_TRUE (from.is_ready ("m/1"))
      << "unloaded before the other copy was ready";
}

TEST_F (PlacerTest, TheCopiesOfALostEngineAreLoadedElsewhere)
{
  add_engine ("a");
  add_engine ("b");
  submit (document_json (m_version_1));
  run_until ([&] { return is_ready ("m/1"); });
  FakeEngine &from = *engines[engines[0]->is_ready ("m/1") ? 0 : 1];
  pu_command c = {};
  from.alive = false;
  c.type = PU_COMMAND_BACKEND_DOWN;
  c.pu_command_u.backend_down = { from.name.data (), 1 };
  propose (c);
  run_until ([&] { return is_ready ("m/1"); });
  EXPECT_EQ (load_count (), 2U);
}

TEST_F (PlacerTest, AModelThatIsNoLongerDeclaredIsUnloaded)
{
  add_engine ("a");
  submit (document_json (m_version_1));
  run_until ([&] { return is_ready ("m/1"); });
  submit (document_json (n_version_1));
  run_until ([&] { return is_ready ("n/1") && !is_ready ("m/1"); });
}

TEST_F (PlacerTest, AnAdapterIsLoadedOnTheEngineOfItsBase)
{
  add_engine ("a");
  add_engine ("b");
  submit (document_json (
      m_version_1, "'x': {'base': 'm', 'version': '1', 'memory_mb': 5}"));
  run_until ([&] { return is_ready ("m/1") && is_ready ("x/1"); });
  EXPECT_EQ (engines[0]->is_ready ("m/1"), engines[0]->is_ready ("x/1"));
}

TEST_F (PlacerTest, APlanListsTheMovesAndSendsNoOrders)
{
  pu_findings_t *f = pu_findings_new ();
  std::string text = document_json (m_version_1);
  pu_document_t *d = pu_document_parse (text.data (), text.size (), f);

  ASSERT_NE (d, nullptr);
  add_engine ("a", false);
  run_until ([&] {
    return pu_state_backend (pu_control_state (control), "a") != nullptr;
  });
  for (json_t *plan : { pu_placer_plan (placer, d),
                        pu_placer_plan_state (pu_control_state (control), d) })
    {
      json_t *moves = json_object_get (plan, "moves");
      json_t *m = json_array_get (moves, 0);
      EXPECT_EQ (json_array_size (moves), 1U);
      EXPECT_STREQ (json_string_value (json_object_get (m, "kind")), "load");
      EXPECT_STREQ (json_string_value (json_object_get (m, "model")), "m");
      EXPECT_STREQ (json_string_value (json_object_get (m, "backend")), "a");
      EXPECT_EQ (json_integer_value (json_object_get (m, "memory_mb")), 50);
      json_decref (plan);
    }
  EXPECT_EQ (load_count (), 0U);
  pu_document_unref (d);
  pu_findings_free (f);
}

TEST_F (PlacerTest, WithoutADocumentNothingIsUnloaded)
{
  FakeEngine &e = add_engine ("a");

  e.copies["old/1"] = { 30, PU_COPY_READY };
  run_until ([&] { return pu_control_is_leader (control); });
  run_ms (300);
  EXPECT_EQ (e.order_count, 0U);
}

TEST_F (PlacerTest, TheStatusGivesTheReasonOfACopy)
{
  add_engine ("a");
  submit (document_json (m_version_1));
  run_until ([&] {
    json_t *s = pu_placer_status (placer);
    json_t *m = json_array_get (json_object_get (s, "models"), 0);
    json_t *c = json_array_get (json_object_get (m, "copies"), 0);
    const char *reason = json_string_value (json_object_get (c, "reason"));
    bool found = g_strcmp0 (reason, "no copy was ready") == 0;
    json_decref (s);
    return found;
  });
}

TEST_F (PlacerTest, TheStatusListsModelsWithoutAReadyCopy)
{
  add_engine ("a");
  submit (document_json (model_json ("big", "1", 500)));
  run_until ([&] {
    json_t *s = pu_placer_dump (placer);
    json_t *missing = json_object_get (s, "missing");
    bool found = json_array_size (missing) == 1
                 && json_array_size (json_object_get (s, "repairing")) == 0;
    json_decref (s);
    return found;
  });
}

TEST_F (PlacerTest, AnUnansweredOrderIsResetAndReportedLost)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0), got;
  struct sockaddr_in a = {};
  socklen_t n = sizeof a;
  std::vector<pu_orders_answer_t> answers;
  pu_order_sender_options_t o = {};
  pu_order_record order = {};
  char name[] = "m", buffer[1024];

  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ASSERT_EQ (bind (fd, reinterpret_cast<sockaddr *> (&a), n), 0);
  ASSERT_EQ (listen (fd, 1), 0);
  getsockname (fd, reinterpret_cast<sockaddr *> (&a), &n);
  o.loop = &loop;
  o.transit_ms = 600000;
  o.data = &answers;
  o.answer = [] (void *d, guint64, pu_orders_answer_t answer) {
    static_cast<std::vector<pu_orders_answer_t> *> (d)->push_back (answer);
  };
  pu_order_sender_t *s = pu_order_sender_new (&o);
  std::string to = "127.0.0.1:" + std::to_string (ntohs (a.sin_port));
  order.model = order.model_version = name;
  ASSERT_TRUE (pu_order_sender_send (s, to.c_str (), &order, 0));
  run_ms (50);
  got = accept (fd, nullptr, nullptr);
  pu_order_sender_expire (s, o.transit_ms - 1);
  EXPECT_TRUE (answers.empty ());
  pu_order_sender_expire (s, o.transit_ms);
  EXPECT_EQ (answers, std::vector<pu_orders_answer_t>{ PU_ORDERS_LOST });
  run_ms (50);
  while (recv (got, buffer, sizeof buffer, 0) > 0)
    ;
  EXPECT_EQ (errno, ECONNRESET);
  pu_order_sender_free (s);
  ::close (got);
  ::close (fd);
}
