#include <gtest/gtest.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

extern "C"
{
#include "routing/gossip.h"
}

namespace
{

constexpr guint64 INCARNATION = 7;
constexpr guint64 BEGIN = 100000;
constexpr guint STEP_MS = 50;

pu_statement_t
brittle (const char *server, double per_s, guint64 at)
{
  return { server, INCARNATION, per_s, 0, 0, at };
}

struct Entry
{
  std::string address;
  pu_gossip_t *sp = pu_gossip_new ();
  double knows = 0; /* rejections a second */
  bool up = true;

  ~Entry () { pu_gossip_free (sp); }

  void
  put (const pu_statement_t &st)
  {
    if (pu_gossip_put (sp, &st))
      knows = st.rejections_per_s;
  }
};

/* Entries that tell each other; all share one clock.  */
class Fleet
{
public:
  std::vector<std::unique_ptr<Entry> > entries;
  guint64 now = BEGIN;
  guint messages = 0;
  guint most_statements = 0;

  explicit Fleet (guint n)
  {
    for (guint i = 0; i < n; i++)
      {
        entries.push_back (std::make_unique<Entry> ());
        entries[i]->address = "10.0.0." + std::to_string (i) + ":1";
      }
    for (auto &e : entries)
      join (*e);
  }

  void
  join (Entry &e)
  {
    GPtrArray *others = g_ptr_array_new ();

    for (auto &o : entries)
      {
        if (o.get () != &e)
          g_ptr_array_add (others, const_cast<char *> (o->address.c_str ()));
      }
    pu_gossip_set_entries (e.sp, e.address.c_str (), others);
    g_ptr_array_free (others, TRUE);
  }

  Entry *
  find (const char *address)
  {
    for (auto &e : entries)
      {
        if (e->address == address)
          return e.get ();
      }
    return nullptr;
  }

  void
  tell (Entry &e, guint i)
  {
    GArray *out = g_array_new (FALSE, FALSE, sizeof (pu_statement_t));
    Entry *to = find (pu_gossip_due (e.sp, i, now, out));

    if (out->len > 0 && to->up)
      {
        messages++;
        most_statements = std::max (most_statements, out->len);
        for (guint k = 0; k < out->len; k++)
          to->put (g_array_index (out, pu_statement_t, k));
      }
    if (to->up)
      pu_gossip_told (e.sp, i);
    g_array_free (out, TRUE);
  }

  void
  step ()
  {
    for (auto &e : entries)
      {
        for (guint i = 0; e->up && i < pu_gossip_neighbours (e->sp); i++)
          tell (*e, i);
      }
    now += STEP_MS;
  }

  void
  play (guint ms)
  {
    for (const guint64 end = now + ms; now < end;)
      step ();
  }

  guint
  knowing (double per_s)
  {
    guint n = 0;

    for (auto &e : entries)
      n += e->up && e->knows == per_s;
    return n;
  }

  /* Steps until N entries know PER_S, at most 200.  */
  guint
  steps_until (guint n, double per_s)
  {
    guint steps = 0;

    while (knowing (per_s) < n && steps < 200)
      {
        step ();
        steps++;
      }
    return steps;
  }
};

class GossipFleet : public ::testing::TestWithParam<guint>
{
};

} // namespace

TEST_P (GossipFleet, StatementToOneEntryIsEverywhereWithinLogSteps)
{
  Fleet f (GetParam ());

  f.entries[0]->put (brittle ("s", 4, f.now));
  EXPECT_LE (f.steps_until (GetParam (), 4), g_bit_storage (GetParam ()));
}

TEST_P (GossipFleet, StatementToAllEntriesAtOnceCostsNoMoreMessages)
{
  Fleet f (GetParam ());
  guint links = 0;

  for (auto &e : f.entries)
    {
      e->put (brittle ("s", 4, f.now));
      links += pu_gossip_neighbours (e->sp);
    }
  f.step ();
  EXPECT_LE (f.messages, links);
  f.step ();
  EXPECT_LE (f.messages, links + GetParam ());
}

TEST_P (GossipFleet, EndOfAStatementIsEverywhereToo)
{
  Fleet f (GetParam ());

  f.entries[0]->put (brittle ("s", 4, f.now));
  f.steps_until (GetParam (), 4);
  f.entries[GetParam () / 2]->put (brittle ("s", 0, f.now));
  EXPECT_LE (f.steps_until (GetParam (), 0), g_bit_storage (GetParam ()));
  for (guint i = 0; i < 100; i++)
    f.step ();
  EXPECT_EQ (f.knowing (0), GetParam ());
}

TEST_P (GossipFleet, GoesAroundAThirdThatIsDead)
{
  Fleet f (GetParam ());
  std::mt19937 random (GetParam ());
  guint up = GetParam ();

  for (guint i = 1; i < GetParam (); i++)
    {
      f.entries[i]->up = random () % 3 != 0;
      up -= !f.entries[i]->up;
    }
  f.entries[0]->put (brittle ("s", 4, f.now));
  EXPECT_LE (f.steps_until (up, 4), 2 * g_bit_storage (GetParam ()));
}

TEST_P (GossipFleet, EntryThatHasRestartedLearnsWithinTwoSeconds)
{
  Fleet f (GetParam ());
  Entry &late = *f.entries[GetParam () - 1];

  f.entries[0]->put (brittle ("s", 4, f.now));
  f.steps_until (GetParam (), 4);
  pu_gossip_free (late.sp);
  late.sp = pu_gossip_new ();
  late.knows = 0;
  f.join (late);
  EXPECT_LE (f.steps_until (GetParam (), 4) * STEP_MS, 2000u);
}

TEST_P (GossipFleet, EntryThatHasRestartedLearnsThoughAThirdIsDead)
{
  Fleet f (GetParam ());
  Entry &late = *f.entries[GetParam () - 1];
  guint up = GetParam ();

  f.entries[0]->put (brittle ("s", 4, f.now));
  f.steps_until (GetParam (), 4);
  for (guint i = 1; i + 1 < GetParam (); i += 3)
    {
      f.entries[i]->up = false;
      up--;
    }
  f.play (1000);
  pu_gossip_free (late.sp);
  late.sp = pu_gossip_new ();
  late.knows = 0;
  f.join (late);
  EXPECT_LE (f.steps_until (up, 4) * STEP_MS, 5000u);
}

INSTANTIATE_TEST_SUITE_P (Sizes, GossipFleet,
                          ::testing::Values (2u, 3u, 11u, 70u, 300u));

TEST (Gossip, EntryThatIsAloneHasNoNeighbours)
{
  Fleet f (1);

  f.entries[0]->put (brittle ("s", 4, f.now));
  f.step ();
  EXPECT_EQ (f.messages, 0u);
}

TEST (Gossip, NothingStatedCostsNoMessage)
{
  Fleet f (11);

  for (auto &e : f.entries)
    e->put (brittle ("s", 0, f.now));
  for (guint i = 0; i < 20; i++)
    f.step ();
  EXPECT_EQ (f.messages, 0u);
}

TEST (Gossip, OlderStatementDoesNotCount)
{
  Entry e;

  e.put (brittle ("s", 4, BEGIN));
  e.put (brittle ("s", 2, BEGIN - 1));
  EXPECT_EQ (e.knows, 4);
  e.put (brittle ("s", 0, BEGIN + 1));
  e.put (brittle ("s", 4, BEGIN));
  EXPECT_EQ (e.knows, 0);
}

TEST (Gossip, StatementOfAnEarlierProcessDoesNotCount)
{
  Entry e;
  pu_statement_t old = brittle ("s", 2, BEGIN + 5);

  e.put (brittle ("s", 4, BEGIN));
  old.incarnation--;
  e.put (old);
  EXPECT_EQ (e.knows, 4);
}

TEST (Gossip, CrowdedServerIsToldAgainWhenItStaysCrowded)
{
  Fleet f (2);
  pu_statement_t st = brittle ("s", 0, f.now);

  st.crowded_until = f.now + 3000;
  f.entries[0]->put (st);
  f.step ();
  f.step ();
  f.messages = 0;
  /* The same, as another entry tells it.  */
  st.crowded_until += 10;
  st.stated_at += 10;
  f.entries[0]->put (st);
  f.step ();
  EXPECT_EQ (f.messages, 0u);
  st.crowded_until += 1000;
  st.stated_at += 1000;
  f.now += 1000;
  f.messages = 0;
  f.entries[0]->put (st);
  f.step ();
  EXPECT_GE (f.messages, 1u);
}

TEST (Gossip, ServerThatIsGoneIsForgotten)
{
  Fleet f (2);

  f.entries[0]->put (brittle ("s", 4, f.now));
  pu_gossip_remove (f.entries[0]->sp, "s");
  f.step ();
  EXPECT_EQ (f.messages, 0u);
}

TEST (Gossip, NeighbourIsToldAgainOfFewStatementsAtATime)
{
  Fleet f (2);

  for (guint i = 0; i < 300; i++)
    f.entries[0]->put (brittle (std::to_string (i).c_str (), 4, f.now));
  f.step ();
  EXPECT_EQ (f.most_statements, 300u);
  f.most_statements = 0;
  f.messages = 0;
  for (guint i = 0; i < 100; i++)
    f.step ();
  EXPECT_LE (f.most_statements, 16u);
  EXPECT_LE (f.messages, 2u * 11);
}
