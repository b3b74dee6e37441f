#include "placement/dispatcher.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "base/fuzz_report.h"

namespace
{

constexpr guint32 kEngine = 0;
constexpr guint32 kRoom = 100;

/* An engine that counts the orders it accepts, as its protocol says.  */
struct Engine
{
  guint64 accepted = 0;
  guint64 fence = 0;
  std::map<guint32, guint32> held; /* item: MB */
  guint32 on_way = 0;
  guint32 on_way_mb = 0;
  guint64 done_at = 0;
  bool loads = false;
  bool unloads = false;
  bool overfull = false;

  bool
  Busy () const
  {
    return loads || unloads;
  }

  guint32
  Taken () const
  {
    guint32 mb = loads ? on_way_mb : 0;

    for (auto const &[item, size] : held)
      mb += size;
    return mb;
  }

  void
  Pass (guint64 now)
  {
    if (!Busy () || now < done_at)
      return;
    if (loads)
      held[on_way] = on_way_mb;
    else
      held.erase (on_way);
    loads = unloads = false;
  }

  pu_dispatcher_answer_t
  Order (const pu_dispatcher_order_t &o, guint64 expected, guint64 term,
         guint32 mb, guint64 now)
  {
    if (term < fence)
      return PU_DISPATCHER_FENCED;
    fence = term;
    if (expected != accepted || Busy ())
      return PU_DISPATCHER_CONFLICT;
    if ((o.op == PU_DISPATCHER_LOAD) == (held.count (o.item) != 0))
      return PU_DISPATCHER_COMPLETED;
    accepted++;
    loads = o.op == PU_DISPATCHER_LOAD;
    unloads = !loads;
    on_way = o.item;
    on_way_mb = mb;
    done_at = now + 700;
    overfull = overfull || Taken () > kRoom;
    return PU_DISPATCHER_ACCEPTED;
  }
};

struct Report
{
  guint64 accepted;
  bool busy;
  std::vector<guint32> held;
};

Report
Look (const Engine &e)
{
  Report r = { e.accepted, e.Busy (), {} };

  for (auto const &[item, mb] : e.held)
    r.held.push_back (item);
  return r;
}

/* One leader's dispatcher, with the messages on their way.  */
class Dispatcher
{
public:
  explicit Dispatcher (guint64 of_term) : term (of_term)
  {
    pu_dispatcher_options_t o;

    pu_dispatcher_options_init (&o);
    d = pu_dispatcher_new (&o);
    for (guint32 i = 0; i < 8; i++)
      pu_dispatcher_set_item_memory (d, i, Size (i));
  }
  Dispatcher (const Dispatcher &) = delete;
  Dispatcher &operator= (const Dispatcher &) = delete;
  ~Dispatcher () { pu_dispatcher_free (d); }

  static guint32
  Size (guint32 item)
  {
    return 25 + item * 5;
  }

  void
  Add (guint64 now)
  {
    pu_dispatcher_add_engine (d, kEngine, now);
    pu_dispatcher_set_capacity (d, kEngine, kRoom);
  }

  bool
  Want (pu_dispatcher_op_t op, guint32 item, guint64 now)
  {
    pu_dispatcher_order_t o = { op, item, false };

    return pu_dispatcher_enqueue (d, kEngine, &o, now);
  }

  std::vector<pu_dispatcher_action_t>
  Step (guint64 now)
  {
    GArray *a = g_array_new (FALSE, FALSE, sizeof (pu_dispatcher_action_t));
    std::vector<pu_dispatcher_action_t> v;

    pu_dispatcher_step (d, NULL, NULL, now, a);
    for (guint i = 0; i < a->len; i++)
      v.push_back (g_array_index (a, pu_dispatcher_action_t, i));
    g_array_unref (a);
    return v;
  }

  void
  Tell (const Report &r, guint64 asked, guint64 now)
  {
    pu_dispatcher_report_t c
        = { r.accepted, r.busy, r.held.data (), (guint)r.held.size (),
            nullptr,    0 };

    pu_dispatcher_report (d, kEngine, &c, asked, now);
  }

  pu_dispatcher_t *d;
  guint64 term;
};

TEST (Dispatcher, SendsAnOrderThatExpectsTheCountOfTheReport)
{
  Dispatcher k (1);

  k.Add (0);
  k.Tell ({ 7, false, {} }, 0, 10);
  ASSERT_TRUE (k.Want (PU_DISPATCHER_LOAD, 1, 20));
  auto a = k.Step (20);
  ASSERT_EQ (a.size (), 1U);
  EXPECT_EQ (a[0].what, PU_DISPATCHER_ACTION_SEND);
  EXPECT_EQ (a[0].expected, 7U);
}

TEST (Dispatcher, TakesNoOrderBeforeAReport)
{
  Dispatcher k (1);

  k.Add (0);
  EXPECT_FALSE (k.Want (PU_DISPATCHER_LOAD, 1, 0));
}

TEST (Dispatcher, SendsAgainWithTheSameCountWhenNoAnswerComes)
{
  Dispatcher k (1);

  k.Add (0);
  k.Tell ({ 7, false, {} }, 0, 10);
  k.Want (PU_DISPATCHER_LOAD, 1, 20);
  k.Step (20);
  pu_dispatcher_answer (k.d, kEngine, PU_DISPATCHER_NO_ANSWER, 320);
  auto a = k.Step (600);
  ASSERT_FALSE (a.empty ());
  EXPECT_EQ (a[0].what, PU_DISPATCHER_ACTION_SEND);
  EXPECT_EQ (a[0].expected, 7U);
}

/* A dispatcher with N engines that have all reported at 0.  */
pu_dispatcher_t *
DeskOf (guint32 n)
{
  pu_dispatcher_options_t o;
  pu_dispatcher_t *d;

  pu_dispatcher_options_init (&o);
  o.poll_ms = 400;
  d = pu_dispatcher_new (&o);
  for (guint32 i = 0; i < n; i++)
    pu_dispatcher_add_engine (d, i, 0);
  for (guint32 i = 0; i < n; i++)
    {
      const pu_dispatcher_report_t r = {};

      pu_dispatcher_report (d, i, &r, 0, 0);
    }
  return d;
}

guint
FetchesAt (pu_dispatcher_t *d, guint64 now)
{
  GArray *a = g_array_new (FALSE, FALSE, sizeof (pu_dispatcher_action_t));
  guint n;

  pu_dispatcher_step (d, NULL, NULL, now, a);
  n = a->len;
  g_array_unref (a);
  return n;
}

/* One leader asks them all: 3,000 engines each 400 ms were 7,500 reports a
   second.  */
TEST (Dispatcher, ManyEnginesAreAskedForReportsLessOften)
{
  for (guint32 n : { 20U, 3000U })
    {
      const guint64 due = n == 20 ? 400 : 6000;
      pu_dispatcher_t *d = DeskOf (n);

      EXPECT_EQ (0U, FetchesAt (d, due - 1)) << n;
      EXPECT_EQ (n, FetchesAt (d, due)) << n;
      pu_dispatcher_free (d);
    }
}

TEST (Dispatcher, EnginesThatWentDontCount)
{
  pu_dispatcher_t *d = DeskOf (3000);

  for (guint32 i = 20; i < 3000; i++)
    pu_dispatcher_remove_engine (d, i);
  EXPECT_EQ (20U, FetchesAt (d, 6000));
  for (guint32 i = 0; i < 20; i++)
    {
      const pu_dispatcher_report_t r = {};

      pu_dispatcher_report (d, i, &r, 6000, 6000);
    }
  EXPECT_EQ (20U, FetchesAt (d, 6400));
  pu_dispatcher_free (d);
}

TEST (Dispatcher, WordFromOneEngineLooksAtNoOther)
{
  pu_dispatcher_t *d = DeskOf (3);
  GArray *a = g_array_new (FALSE, FALSE, sizeof (pu_dispatcher_action_t));

  pu_dispatcher_step_engine (d, 1, NULL, NULL, 400, a);
  ASSERT_EQ (1U, a->len);
  EXPECT_EQ (1U, g_array_index (a, pu_dispatcher_action_t, 0).engine);
  g_array_unref (a);
  pu_dispatcher_free (d);
}

/* The leader before had ordered what nobody told us of, and its load shows
   itself together with its end.  */
TEST (Dispatcher, DropsALoadThatNoLongerFits)
{
  Dispatcher k (2);

  k.Add (0);
  k.Tell ({ 4, true, {} }, 0, 10);
  ASSERT_TRUE (k.Want (PU_DISPATCHER_LOAD, 7, 20));
  EXPECT_TRUE (k.Step (20).empty ());
  k.Tell ({ 4, false, { 6 } }, 600, 610);
  auto a = k.Step (610);
  ASSERT_EQ (a.size (), 1U);
  EXPECT_EQ (a[0].what, PU_DISPATCHER_ACTION_FAILED);
  EXPECT_EQ (pu_dispatcher_phase (k.d, kEngine, 7), PU_DISPATCHER_ABSENT);
}

/* An engine with two places, and a leader who wants to load the third adapter
   into one of them.  */
class Places : public ::testing::Test
{
protected:
  Places () : k (2)
  {
    k.Add (0);
    pu_dispatcher_set_adapter_slots (k.d, kEngine, 2);
    for (guint32 i = 1; i <= 3; i++)
      pu_dispatcher_set_adapter (k.d, i);
  }

  bool
  Want (pu_dispatcher_op_t op, guint32 item, guint64 now)
  {
    pu_dispatcher_order_t o = { op, item, true };

    return pu_dispatcher_enqueue (k.d, kEngine, &o, now);
  }

  Dispatcher k;
};

/* The first sending is refused, since the leader before had given orders that
   the report, fetched earlier, doesn't show yet.  */
TEST_F (Places, AnAdapterWhosePlaceAnotherTookFailsAfterARefusal)
{
  k.Tell ({ 4, false, { 1 } }, 0, 10);
  ASSERT_TRUE (Want (PU_DISPATCHER_LOAD, 3, 20));
  ASSERT_EQ (k.Step (20)[0].what, PU_DISPATCHER_ACTION_SEND);
  pu_dispatcher_answer (k.d, kEngine, PU_DISPATCHER_CONFLICT, 30);
  k.Tell ({ 5, false, { 1, 2 } }, 600, 610);
  auto a = k.Step (1000);
  ASSERT_EQ (a.size (), 1U);
  EXPECT_EQ (a[0].what, PU_DISPATCHER_ACTION_FAILED);
}

TEST_F (Places, AnAdapterWaitsForAPlaceThatIsBeingGivenUp)
{
  k.Tell ({ 4, false, { 1, 2 } }, 0, 10);
  ASSERT_TRUE (Want (PU_DISPATCHER_UNLOAD, 1, 20));
  ASSERT_TRUE (Want (PU_DISPATCHER_LOAD, 3, 20));
  ASSERT_EQ (k.Step (20)[0].order.op, PU_DISPATCHER_UNLOAD);
  pu_dispatcher_answer (k.d, kEngine, PU_DISPATCHER_ACCEPTED, 30);
  for (auto const &a : k.Step (200))
    {
      EXPECT_NE (a.what, PU_DISPATCHER_ACTION_SEND);
      EXPECT_NE (a.what, PU_DISPATCHER_ACTION_FAILED);
    }
  k.Tell ({ 5, false, { 2 } }, 600, 610);
  auto a = k.Step (610);
  ASSERT_FALSE (a.empty ());
  EXPECT_EQ (a[0].what, PU_DISPATCHER_ACTION_SEND);
  EXPECT_EQ (a[0].order.item, 3U);
}

/* An adapter's unload waits for its runs, and the engine takes a model's order
   meanwhile: that one doesn't show that the place is free.  */
TEST_F (Places, AModelsLoadDoesNotFreeThePlaceOfAnAdapterThatLeaves)
{
  k.Tell ({ 4, false, { 1, 2 } }, 0, 10);
  ASSERT_TRUE (Want (PU_DISPATCHER_UNLOAD, 1, 20));
  ASSERT_EQ (k.Step (20)[0].order.op, PU_DISPATCHER_UNLOAD);
  pu_dispatcher_answer (k.d, kEngine, PU_DISPATCHER_ACCEPTED, 30);
  ASSERT_TRUE (k.Want (PU_DISPATCHER_LOAD, 5, 40));
  guint64 now = 40;
  bool sent = false;
  for (; !sent && now < 2000; now += 20)
    for (auto const &a : k.Step (now))
      sent = sent || a.what == PU_DISPATCHER_ACTION_SEND;
  ASSERT_TRUE (sent);
  pu_dispatcher_answer (k.d, kEngine, PU_DISPATCHER_ACCEPTED, now);
  now += 500;
  pu_dispatcher_mark_loaded (k.d, kEngine, 5, now);
  ASSERT_TRUE (Want (PU_DISPATCHER_LOAD, 3, now));
  for (auto const &a : k.Step (now))
    EXPECT_NE (a.what, PU_DISPATCHER_ACTION_SEND);
  k.Tell ({ 6, false, { 2, 5 } }, now + 600, now + 610);
  sent = false;
  for (auto const &a : k.Step (now + 610))
    sent = sent || (a.what == PU_DISPATCHER_ACTION_SEND && a.order.item == 3);
  EXPECT_TRUE (sent);
}

/* What has no place would hold up all orders behind it.  */
TEST_F (Places, AnAdapterWithoutAPlaceIsNotWaitedFor)
{
  k.Tell ({ 4, true, { 1 } }, 0, 10);
  ASSERT_TRUE (Want (PU_DISPATCHER_LOAD, 3, 20));
  ASSERT_TRUE (Want (PU_DISPATCHER_UNLOAD, 1, 20));
  k.Tell ({ 4, false, { 1, 2 } }, 600, 610);
  auto a = k.Step (610);
  ASSERT_FALSE (a.empty ());
  EXPECT_EQ (a.back ().what, PU_DISPATCHER_ACTION_FAILED);
  a = k.Step (620);
  ASSERT_FALSE (a.empty ());
  EXPECT_EQ (a[0].order.op, PU_DISPATCHER_UNLOAD);
}

/* Another leader loaded what we wanted to load, and it fills the engine.  */
TEST (Dispatcher, ALoadThatFailsLeavesWhatAReportShowed)
{
  Dispatcher k (2);

  k.Add (0);
  k.Tell ({ 4, true, { 6 } }, 0, 10);
  ASSERT_TRUE (k.Want (PU_DISPATCHER_LOAD, 7, 20));
  k.Tell ({ 5, false, { 6, 7 } }, 600, 610);
  k.Step (610);
  EXPECT_EQ (pu_dispatcher_phase (k.d, kEngine, 7), PU_DISPATCHER_READY);
}

TEST (Dispatcher, SaysWhenAnEngineDoesWhatWeDontKnow)
{
  Dispatcher k (2);

  k.Add (0);
  k.Tell ({ 4, true, {} }, 0, 10);
  EXPECT_TRUE (pu_dispatcher_has_unknown_order (k.d, kEngine));
  k.Tell ({ 4, false, { 6 } }, 600, 610);
  EXPECT_FALSE (pu_dispatcher_has_unknown_order (k.d, kEngine));
  k.Want (PU_DISPATCHER_LOAD, 1, 620);
  k.Step (620);
  pu_dispatcher_answer (k.d, kEngine, PU_DISPATCHER_ACCEPTED, 630);
  EXPECT_FALSE (pu_dispatcher_has_unknown_order (k.d, kEngine));
}

TEST (Dispatcher, AReportOfBeforeTheAnswerTakesNothingBack)
{
  Dispatcher k (1);

  k.Add (0);
  k.Tell ({ 7, false, {} }, 0, 10);
  k.Want (PU_DISPATCHER_LOAD, 1, 1000);
  k.Step (1000);
  pu_dispatcher_answer (k.d, kEngine, PU_DISPATCHER_ACCEPTED, 1010);
  k.Tell ({ 7, false, {} }, 1005, 1020);
  EXPECT_EQ (pu_dispatcher_phase (k.d, kEngine, 1), PU_DISPATCHER_LOADING);
  EXPECT_TRUE (pu_dispatcher_is_busy (k.d, kEngine));
}

TEST (Dispatcher, ALaterLeaderEndsOurOrders)
{
  Dispatcher k (1);

  k.Add (0);
  k.Tell ({ 7, false, {} }, 0, 10);
  k.Want (PU_DISPATCHER_LOAD, 1, 20);
  k.Step (20);
  pu_dispatcher_answer (k.d, kEngine, PU_DISPATCHER_FENCED, 30);
  EXPECT_FALSE (pu_dispatcher_accepts_orders (k.d, kEngine));
  EXPECT_FALSE (k.Want (PU_DISPATCHER_LOAD, 2, 40));
}

/* A world of one engine and leaders that follow one another, who may both
   believe they lead; orders, answers and reports are lost, late, doubled.  */
struct World
{
  struct Sent
  {
    pu_dispatcher_action_t a;
    guint64 term;
    guint64 at;
    bool answered;
  };
  struct Fetched
  {
    guint64 term;
    guint64 asked;
    guint64 look_at;
    bool looked;
    Report r;
    guint64 at;
  };

  explicit World (unsigned seed) : rng (seed) { Lead (); }

  void
  Lead ()
  {
    if (desks.size () == 2)
      desks.erase (desks.begin ());
    desks.push_back (std::make_unique<Dispatcher> (++term));
    desks.back ()->Add (now);
  }

  guint64
  Delay ()
  {
    if (!faults)
      return 3;
    return rng () % 6 == 0 ? rng () % 450 : rng () % 30;
  }

  bool
  Lost ()
  {
    return faults && rng () % 7 == 0;
  }

  Dispatcher *
  Find (guint64 of_term)
  {
    for (auto const &k : desks)
      {
        if (k->term == of_term)
          return k.get ();
      }
    return nullptr;
  }

  void
  Act (const Dispatcher &k, const pu_dispatcher_action_t &a)
  {
    pu_fuzz_report::get ().steps++;
    if (a.what == PU_DISPATCHER_ACTION_SEND)
      {
        if (!Lost ())
          sent.push_back ({ a, k.term, now + Delay (), true });
        if (faults && rng () % 9 == 0)
          sent.push_back ({ a, k.term, now + 40 * Delay (), false });
        timeouts.push_back ({ a, k.term, now + 300, true });
      }
    else if (a.what == PU_DISPATCHER_ACTION_FETCH)
      {
        guint64 look = now + Delay ();

        fetched.push_back ({ k.term, now, look, false, {}, look + Delay () });
      }
  }

  void
  Deliver ()
  {
    for (size_t i = 0; i < sent.size ();)
      {
        Sent s = sent[i];

        if (now < s.at)
          {
            i++;
            continue;
          }
        sent.erase (sent.begin () + (long)i);
        auto answer = engine.Order (s.a.order, s.a.expected, s.term,
                                    Dispatcher::Size (s.a.order.item), now);
        Dispatcher *k = Find (s.term);
        if (k == nullptr || !s.answered || Lost ())
          continue;
        timeouts.clear ();
        pu_dispatcher_answer (k->d, kEngine, answer, now);
      }
    for (size_t i = 0; i < timeouts.size ();)
      {
        Sent s = timeouts[i];

        if (now < s.at)
          {
            i++;
            continue;
          }
        timeouts.erase (timeouts.begin () + (long)i);
        if (Find (s.term) != nullptr)
          pu_dispatcher_answer (Find (s.term)->d, kEngine,
                                PU_DISPATCHER_NO_ANSWER, now);
      }
    for (size_t i = 0; i < fetched.size ();)
      {
        Fetched &f = fetched[i];

        if (!f.looked && now >= f.look_at)
          {
            f.r = Look (engine);
            f.looked = true;
          }
        if (now < f.at)
          {
            i++;
            continue;
          }
        Dispatcher *k = Find (f.term);
        if (k != nullptr && Lost ())
          pu_dispatcher_report (k->d, kEngine, nullptr, f.asked, now);
        else if (k != nullptr)
          k->Tell (f.r, f.asked, now);
        fetched.erase (fetched.begin () + (long)i);
      }
  }

  void
  Pass (guint64 ms)
  {
    for (guint64 end = now + ms; now < end; now += 3)
      {
        engine.Pass (now);
        Deliver ();
        for (auto const &k : desks)
          {
            for (auto const &a : k->Step (now))
              Act (*k, a);
          }
      }
  }

  void
  Op (unsigned op)
  {
    Dispatcher &k = *desks[op % desks.size ()];

    switch (op / 2 % 8)
      {
      case 0:
        Lead ();
        pu_fuzz_report::get ().faults++;
        break;
      case 1:
      case 2:
        k.Want (PU_DISPATCHER_UNLOAD, op / 16 % 8, now);
        break;
      case 3:
      case 4:
      case 5:
        k.Want (PU_DISPATCHER_LOAD, op / 16 % 8, now);
        break;
      default:
        Pass (op / 16 % 900);
        break;
      }
  }

  /* Without faults, the last leader's dispatcher comes to show what is so.  */
  std::string
  Calm ()
  {
    faults = false;
    /* Doubles that are still on their way come to nothing.  */
    sent.erase (std::remove_if (sent.begin (), sent.end (),
                                [] (const Sent &s) { return !s.answered; }),
                sent.end ());
    Pass (8000);
    guint n;
    const pu_dispatcher_item_t *items
        = pu_dispatcher_items (desks.back ()->d, kEngine, &n);
    std::set<guint32> shown;
    std::set<guint32> held;

    for (guint i = 0; i < n; i++)
      {
        if (items[i].phase != PU_DISPATCHER_READY)
          return "an order never ends";
        shown.insert (items[i].item);
      }
    for (auto const &[item, mb] : engine.held)
      held.insert (item);
    if (!pu_dispatcher_accepts_orders (desks.back ()->d, kEngine))
      return "the last leader is fenced";
    return shown == held ? "" : "shows what is not so";
  }

  std::mt19937 rng;
  bool faults = true;
  guint64 now = 1000;
  guint64 term = 0;
  Engine engine;
  std::vector<std::unique_ptr<Dispatcher> > desks;
  std::vector<Sent> sent;
  std::vector<Sent> timeouts;
  std::vector<Fetched> fetched;
};

std::string
FaultOf (unsigned seed, const std::vector<unsigned> &ops)
{
  World w (seed);

  for (unsigned op : ops)
    {
      w.Op (op);
      if (w.engine.overfull)
        return "an engine holds more than its memory";
    }
  return w.Calm ();
}

RC_GTEST_PROP (DeskFuzz, NeverHoldsTooMuchAndComesToKnow, ())
{
  auto seed = *rc::gen::resize (100, rc::gen::arbitrary<unsigned> ());
  auto ops
      = *rc::gen::resize (100, rc::gen::container<std::vector<unsigned> > (
                                   80, rc::gen::arbitrary<unsigned> ()));

  RC_ASSERT (FaultOf (seed, ops) == "");
}

std::vector<unsigned>
OpsOf (unsigned seed, int n)
{
  std::mt19937 rng (seed);
  std::vector<unsigned> ops;

  for (int i = 0; i < n; i++)
    ops.push_back (rng ());
  return ops;
}

/* Seeds that showed a fault.  */
TEST (DeskFuzz, HoldsWhereAFailedLoadHidAReportedOne)
{
  EXPECT_EQ (FaultOf (77963, OpsOf (77963, 33)), "");
  EXPECT_EQ (FaultOf (76237, OpsOf (76237, 47)), "");
}

/* An order of another leader's was taken for the unload that had no answer. */
TEST (DeskFuzz, HoldsWhereAnothersLoadLookedLikeOurUnload)
{
  EXPECT_EQ (FaultOf (32472, OpsOf (32472, 22)), "");
  EXPECT_EQ (FaultOf (4098, OpsOf (4098, 28)), "");
}

TEST (DeskFuzz, HoldsOverARowOfSeeds)
{
  for (unsigned seed = 1; seed <= 60; seed++)
    ASSERT_EQ (FaultOf (seed, OpsOf (seed, 100)), "") << "seed " << seed;
}

}
