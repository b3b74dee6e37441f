#include "placer/names.h"
#include "placer/rig_test.h"

#include <arpa/inet.h>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace
{
const std::string one = model ("m", "1", 40);
const std::string two = model ("m", "2", 40);
const std::string other = model ("n", "1", 50);

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

/* An engine that starts again under its name is another engine to whoever
   waits for the answer of the one before.  */
TEST (Names, EachIncarnationHasAHandle)
{
  pu_names_t n;

  pu_names_init (&n);
  const guint32 first = pu_names_intern_incarnation (&n, "i-1", 1000);
  EXPECT_NE (first, pu_names_intern_incarnation (&n, "i-1", 2000));
  EXPECT_EQ (first, pu_names_intern_incarnation (&n, "i-1", 1000));
  EXPECT_NE (first, pu_names_intern_incarnation (&n, "i-2", 1000));
  pu_names_clear (&n);
}

TEST_F (Rig, ADeclaredModelThatIsNowhereIsLoaded)
{
  Engine &e = engine ("a");

  submit (document (one));
  run_until ([&] { return ready ("m/1"); });
  EXPECT_EQ (e.loads, 1U);
  EXPECT_EQ (e.copies["m/1"].first, 50U);
}

TEST_F (Rig, EnginesThatIgnoreTokensGetTheirLoadsAfterTheWait)
{
  engine ("a", false);
  submit (document (one));
  run_until ([&] { return ready ("m/1"); });
  run_until ([&] { return open_orders () == 0; });
  EXPECT_EQ (loads (), 1U);
}

TEST_F (Rig, AnOrderWhoseAnswerIsLostIsNotDoubledInMemory)
{
  for (bool fenced : { true, false })
    {
      Engine &e = engine (fenced ? "a" : "b", fenced);
      e.takes = Takes::silently;
    }
  submit (document (one + ", " + other));
  run_until ([&] { return ready ("m/1") && ready ("n/1"); });
  run_ms (2 * order_life_ms);
  EXPECT_EQ (loads (), 2U);
}

TEST_F (Rig, AnOrderThatNeverArrivesIsTriedElsewhere)
{
  engine ("a").takes = Takes::nothing;
  engine ("b").takes = Takes::nothing;
  submit (document (one));
  run_until ([&] { return engines[0]->orders + engines[1]->orders > 0; });
  Engine &deaf = *engines[engines[0]->orders > 0 ? 0 : 1];
  Engine &second = *engines[engines[0]->orders > 0 ? 1 : 0];
  second.takes = Takes::all;
  run_until ([&] { return second.ready ("m/1"); });
  EXPECT_EQ (deaf.loads, 0U);
}

TEST_F (Rig, ALeaderChangeAdoptsTheOpenOrder)
{
  Engine &e = engine ("a");

  e.takes = Takes::nothing;
  submit (document (one));
  run_until ([&] { return e.orders > 0; });
  close ();
  open ();
  run_until ([&] {
    json_t *s = pu_placer_status (placer);
    json_t *o = json_array_get (json_object_get (s, "orders"), 0);
    bool adopted = json_is_true (json_object_get (o, "inherited"));
    json_decref (s);
    return adopted;
  });
  EXPECT_EQ (pu_state_committed_mb (pu_control_state (control), "a"), 50U);
  e.takes = Takes::all;
  run_until ([&] { return ready ("m/1"); });
  EXPECT_EQ (loads (), 1U);
}

TEST_F (Rig, ANewLeaderLoadsWhereNoOrderMayBeUnderWay)
{
  Engine &a = engine ("a", false);

  order_life_ms = 600000; /* the wait for A never ends here */
  a.takes = Takes::nothing;
  submit (document (one));
  run_until ([&] { return open_orders () == 1; });
  close ();
  open ();
  Engine &b = engine ("b", false);
  submit (document (one + ", " + other));
  run_until ([&] { return b.ready ("n/1"); });
  json_t *s = pu_placer_status (placer);
  EXPECT_TRUE (json_is_true (json_object_get (s, "quiet")));
  json_decref (s);
  EXPECT_EQ (a.loads, 0U);
}

TEST_F (Rig, AVersionIsLoadedBesideThenTheOldOneUnloaded)
{
  for (bool fenced : { true, false })
    engine (fenced ? "a" : "b", fenced);
  always_ready = "m";
  submit (document (one));
  run_until ([&] { return ready ("m/1"); });
  submit (document (two));
  run_until ([&] { return ready ("m/2") && !ready ("m/1"); });
}

TEST_F (Rig, AVersionThatFailsIsRolledBack)
{
  for (const char *name : { "a", "b", "c" })
    engine (name);
  always_ready = "m";
  submit (document (one));
  run_until ([&] { return ready ("m/1"); });
  for (auto &e : engines)
    e->takes = Takes::failing;
  submit (document (two));
  run_until ([&] {
    json_t *s = pu_placer_status (placer);
    json_t *m = find (json_object_get (s, "models"), "model", "m");
    bool back = json_is_true (json_object_get (m, "rolled_back"));
    json_decref (s);
    return back;
  });
}

TEST_F (Rig, TheCopiesOfALeavingEngineAreLoadedElsewhere)
{
  engine ("a");
  engine ("b");
  always_ready = "m";
  submit (document (one));
  run_until ([&] { return ready ("m/1"); });
  Engine &from = *engines[engines[0]->ready ("m/1") ? 0 : 1];
  Engine &to = *engines[engines[0]->ready ("m/1") ? 1 : 0];
  from.leaving = true;
  run_until ([&] { return to.ready ("m/1"); });
  EXPECT_TRUE (from.ready ("m/1")) << "moved, not cut";
}

TEST_F (Rig, WhatALostEngineHeldIsLoadedElsewhere)
{
  engine ("a");
  engine ("b");
  submit (document (one));
  run_until ([&] { return ready ("m/1"); });
  Engine &from = *engines[engines[0]->ready ("m/1") ? 0 : 1];
  pu_command c = {};
  from.alive = false;
  c.type = PU_COMMAND_BACKEND_DOWN;
  c.pu_command_u.backend_down = { from.name.data (), 1 };
  propose (c);
  run_until ([&] { return ready ("m/1"); });
  EXPECT_EQ (loads (), 2U);
}

TEST_F (Rig, AModelNoLongerDeclaredIsUnloadedAndItsOrdersEnd)
{
  engine ("a");
  submit (document (one));
  run_until ([&] { return ready ("m/1"); });
  submit (document (other));
  run_until ([&] { return ready ("n/1") && !ready ("m/1"); });
}

TEST_F (Rig, AnAdapterGoesWhereItsBaseIs)
{
  engine ("a");
  engine ("b");
  submit (
      document (one, "'x': {'base': 'm', 'version': '1', 'memory_mb': 5}"));
  run_until ([&] { return ready ("m/1") && ready ("x/1"); });
  EXPECT_EQ (engines[0]->ready ("m/1"), engines[0]->ready ("x/1"));
}

TEST_F (Rig, APlanTellsTheMovesAndOrdersNothing)
{
  pu_findings_t *f = pu_findings_new ();
  std::string text = document (one);
  pu_document_t *d = pu_document_parse (text.data (), text.size (), f);

  ASSERT_NE (d, nullptr);
  engine ("a", false);
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
  EXPECT_EQ (loads (), 0U);
  pu_document_unref (d);
  pu_findings_free (f);
}

TEST_F (Rig, WithoutADocumentNothingIsUnloaded)
{
  Engine &e = engine ("a");

  e.copies["old/1"] = { 30, PU_COPY_READY };
  run_until ([&] { return pu_control_is_leader (control); });
  run_ms (300);
  EXPECT_EQ (e.orders, 0U);
}

TEST_F (Rig, TheStatusTellsWhyACopyIsWhereItIs)
{
  engine ("a");
  submit (document (one));
  run_until ([&] {
    json_t *s = pu_placer_status (placer);
    json_t *m = json_array_get (json_object_get (s, "models"), 0);
    json_t *c = json_array_get (json_object_get (m, "copies"), 0);
    const char *reason = json_string_value (json_object_get (c, "reason"));
    bool told = g_strcmp0 (reason, "no copy was ready") == 0;
    json_decref (s);
    return told;
  });
}

TEST_F (Rig, TheStatusTellsWhatIsMissing)
{
  engine ("a");
  submit (document (model ("big", "1", 500)));
  run_until ([&] {
    json_t *s = pu_placer_dump (placer);
    json_t *missing = json_object_get (s, "missing");
    bool told = json_array_size (missing) == 1
                && json_array_size (json_object_get (s, "repairing")) == 0;
    json_decref (s);
    return told;
  });
}

TEST_F (Rig, AnOrderWithoutAnAnswerInTimeIsResetAndLost)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0), got;
  struct sockaddr_in a = {};
  socklen_t n = sizeof a;
  std::vector<pu_orders_answer_t> answers;
  pu_sends_options_t o = {};
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
  pu_sends_t *s = pu_sends_new (&o);
  std::string to = "127.0.0.1:" + std::to_string (ntohs (a.sin_port));
  order.model = order.model_version = name;
  ASSERT_TRUE (pu_sends_order (s, to.c_str (), &order, 0));
  run_ms (50);
  got = accept (fd, nullptr, nullptr);
  pu_sends_expire (s, o.transit_ms - 1);
  EXPECT_TRUE (answers.empty ());
  pu_sends_expire (s, o.transit_ms);
  EXPECT_EQ (answers, std::vector<pu_orders_answer_t>{ PU_ORDERS_LOST });
  run_ms (50);
  while (recv (got, buffer, sizeof buffer, 0) > 0)
    ;
  EXPECT_EQ (errno, ECONNRESET);
  pu_sends_free (s);
  ::close (got);
  ::close (fd);
}
