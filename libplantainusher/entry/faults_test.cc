/* Random requests and faults against a ledger of what ran.

   The oracle: an answer that ends whole is the whole answer; else the caller
   has a beginning of it.  What was told as not run is in no ledger.  A key is
   in one ledger once at most.  */
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "base/fuzz_report.h"
#include "entry/rig_test.h"

namespace
{

constexpr int STEPS = 10;
constexpr int AT_ONCE = 3;
constexpr guint TOKENS = 4;

struct asked
{
  caller c;
  std::string id;
  std::string key;
  bool stream = false;
};

class world
{
public:
  world (guint32 seed, guint breaks) : random (g_rand_new_with_seed (seed))
  {
    r.breaks = breaks;
    for (int i = 0; i < 2; i++)
      nodes.push_back (&r.add_node ("n" + std::to_string (i)));
    for (int i = 0; i < 2; i++)
      {
        all.push_back (
            &r.add_backend ("e" + std::to_string (i), "", *nodes[0]));
        all.push_back (
            &r.add_backend ("p" + std::to_string (i), "board", *nodes[1]));
      }
  }
  ~world () { g_rand_free (random); }

  /* What the oracle says against the run; "" when nothing.  */
  std::string
  run ()
  {
    std::string wrong;

    for (int i = 0; i < STEPS && wrong.empty (); i++)
      {
        std::list<asked> now;

        fault ();
        for (int j = 0; j < AT_ONCE; j++)
          request (now);
        if (below (2) == 0)
          fault ();
        for (auto &a : now)
          r.finish (a.c);
        for (auto &a : now)
          wrong += judge (a);
        calm ();
      }
    return wrong + keys ();
  }

private:
  rig r;
  GRand *random;
  std::vector<node *> nodes;
  std::vector<backend *> all;
  int last = 0;

  int
  below (int n)
  {
    return g_rand_int_range (random, 0, n);
  }

  void
  fault ()
  {
    backend &b = *all[below (static_cast<int> (all.size ()))];

    pu_fuzz_report::get ().faults++;
    switch (below (7))
      {
      case 0:
      case 1:
        b.cut_after = static_cast<guint> (below (TOKENS));
        break;
      case 2:
        b.refuses = !b.refuses;
        break;
      case 3:
        b.foreign = !b.foreign;
        break;
      case 4:
        b.resumes = !b.resumes;
        break;
      case 5:
        r.quorum = !r.quorum;
        break;
      default:
        r.lose_answers = !r.lose_answers;
        break;
      }
  }

  void
  calm ()
  {
    for (auto *b : all)
      {
        b->refuses = false;
        b->foreign = false;
      }
    r.quorum = true;
    r.lose_answers = false;
  }

  void
  request (std::list<asked> &now)
  {
    now.emplace_back ();
    asked &a = now.back ();
    const node &n = *nodes[below (2)];
    rig::headers h;

    pu_fuzz_report::get ().steps++;
    a.id = "q" + std::to_string (++last);
    h.emplace_back ("X-Request-Id", a.id);
    h.emplace_back ("X-Timeout-Ms", "1000");
    switch (below (4))
      {
      case 0:
        a.key = "k" + std::to_string (below (3));
        h.emplace_back ("Idempotency-Key", a.key);
        r.send (a.c, n, "POST", "/services/board/assign", "{}", h);
        break;
      case 1:
        h.emplace_back ("X-Not-Repeatable", "1");
        [[fallthrough]];
      default:
        a.stream = below (3) > 0;
        r.chat (a.c, n, "hi" + a.id, a.stream, h);
        break;
      }
  }

  int
  times (const std::string &id)
  {
    int n = 0;

    for (const auto *b : all)
      for (const auto &ran : b->ran)
        n += ran == id ? 1 : 0;
    return n;
  }

  std::string
  judge (asked &a)
  {
    const std::string text = text_of (TOKENS);
    const std::string body = "{\"text\":\"" + text + "\"}";
    const std::string outcome = a.c.headers["x-outcome"];
    const std::string place = " (" + a.id + ": " + a.c.body + ")\n";

    if (outcome == "not-run" && times (a.id) > 0)
      return "told as not run, but it ran" + place;
    if (a.c.status != 200)
      return outcome.empty () ? "a failure without an outcome" + place : "";
    if (!a.stream)
      return a.c.body == body ? "" : "not the whole answer" + place;
    if (a.c.text () != text.substr (0, a.c.text ().size ()))
      return "not a beginning of the answer" + place;
    if (a.c.whole () && a.c.text () != text)
      return "ended as whole, but it is not" + place;
    return "";
  }

  std::string
  keys ()
  {
    std::map<std::string, int> sum;

    for (const auto *b : all)
      for (const auto &k : b->keys)
        sum[k.first] += k.second;
    for (const auto &k : sum)
      if (!k.first.empty () && k.second > 1)
        return "key " + k.first + " ran twice\n";
    return "";
  }
};

RC_GTEST_PROP (Faults, CallersAreToldTheTruth, ())
{
  const auto seed = *rc::gen::noShrink (rc::gen::arbitrary<guint32> ());
  world w (seed, 0);
  const std::string wrong = w.run ();

  RC_LOG () << wrong;
  RC_ASSERT (wrong.empty ());
}

/* Each rule that is broken on purpose is found.  */
class Breaks : public testing::TestWithParam<pu_entry_break_t>
{
};

TEST_P (Breaks, AreFound)
{
  std::string wrong;

  for (guint32 seed = 1; seed < 40 && wrong.empty (); seed++)
    wrong = world (seed, GetParam ()).run ();
  EXPECT_NE ("", wrong);
}

INSTANTIATE_TEST_SUITE_P (Faults, Breaks,
                          testing::Values (PU_ENTRY_BREAK_FORWARD_REPLAY,
                                           PU_ENTRY_BREAK_RETRY_NON_REPEATABLE,
                                           PU_ENTRY_BREAK_REPORT_NOT_RUN,
                                           PU_ENTRY_BREAK_END_TRUNCATED));

} // namespace
