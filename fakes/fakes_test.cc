#include <cstring>
#include <gtest/gtest.h>
#include <string>

extern "C"
{
#include "answer.h"
#include "faults.h"
#include "kv_cache.h"
#include "memory.h"
}

namespace
{

fake_question_t
ask (const char *model, const char *prompt)
{
  fake_question_t q;
  char *body = fake_question_body (model, prompt, 4, true);

  EXPECT_TRUE (fake_question_parse (&q, body, strlen (body), true));
  free (body);
  return q;
}

std::string
text_of (const char *model, const char *prompt)
{
  fake_question_t q = ask (model, prompt);
  char *text = fake_answer_text (&q);
  std::string out = text;

  g_free (text);
  fake_question_clear (&q);
  return out;
}

guint
nobody (void *, const char *)
{
  return 0;
}

bool
Switch (fake_faults_t *f, const char *body, guint64 connection)
{
  return fake_faults_set (f, body, strlen (body), connection);
}

class Memory : public testing::Test
{
protected:
  void
  Make (bool fenced, bool greedy)
  {
    fake_memory_options_t o = {};

    ledger = fake_ledger_open (nullptr, "e");
    o.memory_mb = 100;
    o.load_ms = 40;
    o.fenced = fenced;
    o.greedy = greedy;
    o.ledger = ledger;
    m = fake_memory_new (&o);
  }

  void
  TearDown () override
  {
    fake_memory_free (m);
    fake_ledger_close (ledger);
  }

  int
  Order (guint64 token, bool load, const char *model, guint mb, guint64 now)
  {
    fake_order_t o = {};

    o.token = token;
    o.load = load;
    o.model = model;
    o.version = "1";
    o.memory_mb = mb;
    return fake_memory_order (m, &o, now);
  }

  json_int_t
  Number (const char *key)
  {
    json_t *state = json_object ();

    fake_memory_add_state (m, state);
    json_t *value = json_object_get (state, key);
    json_int_t n = json_is_true (value) ? 1 : json_integer_value (value);
    json_decref (state);
    return n;
  }

  fake_ledger_t *ledger = nullptr;
  fake_memory_t *m = nullptr;
};

} // namespace

TEST (Answer, DependsOnModelAndPromptAlone)
{
  EXPECT_EQ (text_of ("a", "hello"), text_of ("a", "hello"));
  EXPECT_NE (text_of ("a", "hello"), text_of ("b", "hello"));
  EXPECT_NE (text_of ("a", "hello"), text_of ("a", "hello!"));
  EXPECT_EQ (4u * (FAKE_TOKEN_SIZE - 1), text_of ("a", "hello").size ());
}

TEST_F (Memory, OrderBeyondTheSizeIsRefusedAndKeptInMind)
{
  Make (true, false);
  EXPECT_EQ (202, Order (1, true, "a", 60, 0));
  EXPECT_EQ (0, Number ("overcommitted"));
  EXPECT_EQ (507, Order (2, true, "b", 41, 0));
  EXPECT_EQ (1, Number ("overcommitted"));
  EXPECT_EQ (60, Number ("true_memory_mb"));
}

TEST_F (Memory, GreedyEngineTakesTooMuch)
{
  Make (true, true);
  EXPECT_EQ (202, Order (1, true, "a", 60, 0));
  EXPECT_EQ (202, Order (2, true, "b", 41, 0));
  EXPECT_EQ (101, Number ("true_memory_mb"));
  EXPECT_EQ (1, Number ("overcommitted"));
}

TEST_F (Memory, OnlyAFencedEngineRefusesAnOldToken)
{
  Make (true, false);
  EXPECT_EQ (202, Order (5, true, "a", 10, 0));
  EXPECT_EQ (409, Order (4, true, "b", 10, 0));
  EXPECT_EQ (202, Order (5, true, "a", 10, 0));
  EXPECT_EQ (10, Number ("true_memory_mb"));
  TearDown ();
  Make (false, false);
  EXPECT_EQ (202, Order (5, true, "a", 10, 0));
  EXPECT_EQ (202, Order (4, true, "b", 10, 0));
  EXPECT_EQ (20, Number ("true_memory_mb"));
  EXPECT_EQ (5, Number ("token"));
}

TEST_F (Memory, MemoryIsFreeOnlyAtTheEndOfAnUnload)
{
  Make (true, false);
  Order (1, true, "a", 60, 0);
  EXPECT_FALSE (fake_memory_serves (m, "a"));
  fake_memory_tick (m, 40, nobody, nullptr);
  EXPECT_TRUE (fake_memory_serves (m, "a"));
  Order (2, false, "a", 0, 40);
  fake_memory_tick (m, 41, nobody, nullptr);
  EXPECT_FALSE (fake_memory_serves (m, "a"));
  EXPECT_EQ (60, Number ("true_memory_mb"));
  fake_memory_tick (m, 60, nobody, nullptr);
  EXPECT_EQ (0, Number ("true_memory_mb"));
}

TEST (Faults, CountDownAndClear)
{
  fake_faults_t f = {};

  EXPECT_FALSE (Switch (&f, "{}", 1));
  EXPECT_TRUE (Switch (&f, "{\"kind\":\"reject\",\"count\":2}", 1));
  EXPECT_NE (nullptr, fake_faults_take (&f, FAKE_REJECT));
  EXPECT_NE (nullptr, fake_faults_take (&f, FAKE_REJECT));
  EXPECT_EQ (nullptr, fake_faults_take (&f, FAKE_REJECT));
  EXPECT_TRUE (Switch (&f, "{\"kind\":\"silent\"}", 7));
  EXPECT_EQ (7u, fake_faults_on (&f, FAKE_SILENT)->connection);
  EXPECT_TRUE (Switch (&f, "{\"kind\":\"clear\"}", 8));
  EXPECT_EQ (nullptr, fake_faults_on (&f, FAKE_SILENT));
}

TEST (KvCache, KnowsAPrefixAndTellsALostEventAsAGap)
{
  std::string prompt (std::string::size_type{ 3 } * FAKE_BLOCK_BYTES, 'x');
  fake_question_t q = ask ("a", prompt.c_str ());
  fake_faults_t f = {};
  fake_kv_cache_t *c = fake_kv_cache_new (100, 10, &f);

  EXPECT_EQ (0u, fake_kv_cache_use (c, &q, 0));
  EXPECT_EQ (3u * FAKE_BLOCK_BYTES, fake_kv_cache_use (c, &q, 0));
  EXPECT_EQ (nullptr, fake_kv_cache_events (c, 9));
  json_t *told = fake_kv_cache_events (c, 10);
  EXPECT_EQ (3, json_integer_value (json_object_get (told, "last")));
  json_decref (told);

  fake_faults_switch (&f, FAKE_KV_GAP, nullptr);
  f.table[FAKE_KV_GAP].left = 1;
  fake_question_t other = ask ("b", prompt.c_str ());
  fake_kv_cache_use (c, &other, 20);
  told = fake_kv_cache_events (c, 30);
  EXPECT_EQ (5, json_integer_value (json_object_get (told, "first")));
  json_decref (told);
  fake_question_clear (&q);
  fake_question_clear (&other);
  fake_faults_clear (&f);
  fake_kv_cache_free (c);
}
