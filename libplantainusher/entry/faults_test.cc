/* Property test: random requests and faults, checked against what each backend
   server recorded as executed.

   - An answer that ends as complete is the full answer; any other answer is a
     prefix of the full answer.
   - Every error carries an outcome.
   - A request reported as not run was executed by no backend server.
   - An idempotency key is executed at most once over all backend servers.  */
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "base/fuzz_report.h"
#include "entry/rig_test.h"

namespace
{

constexpr int STEPS = 10;
constexpr int REQUESTS_PER_STEP = 3;
constexpr guint TOKENS = 4;

struct pending_request
{
  caller c;
  std::string id;
  std::string key;
  bool stream = false;
};

class simulation
{
public:
  simulation (guint32 seed, guint breaks)
      : random (g_rand_new_with_seed (seed))
  {
    r.test_breaks = breaks;
    for (int i = 0; i < 2; i++)
      nodes.push_back (&r.add_node ("n" + std::to_string (i)));
    for (int i = 0; i < 2; i++)
      {
        backends.push_back (
            &r.add_backend ("e" + std::to_string (i), "", *nodes[0]));
        backends.push_back (
            &r.add_backend ("p" + std::to_string (i), "board", *nodes[1]));
      }
  }
  ~simulation () { g_rand_free (random); }

  /* Returns the violations found, one per line; "" for none.  */
  std::string
  run ()
  {
    std::string violations;

    for (int i = 0; i < STEPS && violations.empty (); i++)
      {
        std::list<pending_request> batch;

        inject_fault ();
        for (int j = 0; j < REQUESTS_PER_STEP; j++)
          send_random_request (batch);
        if (random_below (2) == 0)
          inject_fault ();
        for (auto &a : batch)
          r.finish (a.c);
        for (auto &a : batch)
          violations += check_answer (a);
        clear_faults ();
      }
    return violations + check_keys ();
  }

private:
  rig r;
  GRand *random;
  std::vector<node *> nodes;
  std::vector<backend *> backends;
  int last_id = 0;

  int
  random_below (int n)
  {
    return g_rand_int_range (random, 0, n);
  }

  void
  inject_fault ()
  {
    backend &b = *backends[random_below (static_cast<int> (backends.size ()))];

    pu_fuzz_report::get ().faults++;
    switch (random_below (7))
      {
      case 0:
      case 1:
        b.truncate_after_tokens = static_cast<guint> (random_below (TOKENS));
        break;
      case 2:
        b.rejects_requests = !b.rejects_requests;
        break;
      case 3:
        b.sends_wrong_id = !b.sends_wrong_id;
        break;
      case 4:
        b.supports_resume = !b.supports_resume;
        break;
      case 5:
        r.quorum = !r.quorum;
        break;
      default:
        r.lose_commit_replies = !r.lose_commit_replies;
        break;
      }
  }

  void
  clear_faults ()
  {
    for (auto *b : backends)
      {
        b->rejects_requests = false;
        b->sends_wrong_id = false;
      }
    r.quorum = true;
    r.lose_commit_replies = false;
  }

  void
  send_random_request (std::list<pending_request> &batch)
  {
    batch.emplace_back ();
    pending_request &a = batch.back ();
    const node &n = *nodes[random_below (2)];
    rig::headers h;

    pu_fuzz_report::get ().steps++;
    a.id = "q" + std::to_string (++last_id);
    h.emplace_back ("X-Request-Id", a.id);
    h.emplace_back ("X-Timeout-Ms", "1000");
    switch (random_below (4))
      {
      case 0:
        a.key = "k" + std::to_string (random_below (3));
        h.emplace_back ("Idempotency-Key", a.key);
        r.send (a.c, n, "POST", "/services/board/assign", "{}", h);
        break;
      case 1:
        h.emplace_back ("X-Not-Repeatable", "1");
        [[fallthrough]];
      default:
        a.stream = random_below (3) > 0;
        r.send_chat (a.c, n, "hi" + a.id, a.stream, h);
        break;
      }
  }

  int
  execution_count (const std::string &id)
  {
    int n = 0;

    for (const auto *b : backends)
      for (const auto &ran : b->executed_ids)
        n += ran == id ? 1 : 0;
    return n;
  }

  std::string
  check_answer (pending_request &a)
  {
    const std::string text = engine_text (TOKENS);
    const std::string body = "{\"text\":\"" + text + "\"}";
    const std::string outcome = a.c.headers["x-outcome"];
    const std::string context = " (" + a.id + ": " + a.c.body + ")\n";

    if (outcome == "not-run" && execution_count (a.id) > 0)
      return "reported as not run, but it was executed" + context;
    if (a.c.status != 200)
      return outcome.empty () ? "error without an x-outcome header" + context
                              : "";
    if (!a.stream)
      return a.c.body == body ? ""
                              : "status 200 without the full answer" + context;
    if (a.c.text () != text.substr (0, a.c.text ().size ()))
      return "stream is not a prefix of the answer" + context;
    if (a.c.is_complete () && a.c.text () != text)
      return "stream ended as complete before the full answer" + context;
    return "";
  }

  std::string
  check_keys ()
  {
    std::map<std::string, int> sum;

    for (const auto *b : backends)
      for (const auto &k : b->executions_by_key)
        sum[k.first] += k.second;
    for (const auto &k : sum)
      if (!k.first.empty () && k.second > 1)
        return "key " + k.first + " was executed more than once\n";
    return "";
  }
};

RC_GTEST_PROP (Faults, ReportedOutcomesAreCorrect, ())
{
  const auto seed = *rc::gen::noShrink (rc::gen::arbitrary<guint32> ());
  simulation w (seed, 0);
  const std::string violations = w.run ();

  RC_LOG () << violations;
  RC_ASSERT (violations.empty ());
}

/* The checks of `simulation` detect each deliberate fault of
   pu_entry_break_t.  */
class DeliberateFaults : public testing::TestWithParam<pu_entry_break_t>
{
};

TEST_P (DeliberateFaults, AreDetected)
{
  std::string violations;

  for (guint32 seed = 1; seed < 40 && violations.empty (); seed++)
    violations = simulation (seed, GetParam ()).run ();
  EXPECT_NE ("", violations);
}

INSTANTIATE_TEST_SUITE_P (Faults, DeliberateFaults,
                          testing::Values (PU_ENTRY_BREAK_FORWARD_REPLAY,
                                           PU_ENTRY_BREAK_RETRY_NON_REPEATABLE,
                                           PU_ENTRY_BREAK_REPORT_NOT_RUN,
                                           PU_ENTRY_BREAK_END_TRUNCATED));

} // namespace
