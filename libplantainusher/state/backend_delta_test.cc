#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <string>
#include <vector>

#include "base/fuzz_report.h"

extern "C"
{
#include "state/backend_delta.h"
#include "state/codec.h"
#include "state/state.h"
}

namespace
{

/* An engine that reports; a report's strings are its own.  */
struct Engine
{
  struct Copy
  {
    std::string model;
    unsigned memory_mb;
    int phase;
  };
  std::string name;
  uint64_t incarnation = 1;
  uint64_t seq = 1;
  uint64_t token = 0;
  std::vector<Copy> copies;
  std::vector<pu_copy_record> list;

  pu_command
  report ()
  {
    static char empty[] = "";
    static char address[] = "127.0.0.1:1";
    pu_command c{};
    pu_backend_record &b = c.pu_command_u.backend_up;

    list.clear ();
    for (Copy &one : copies)
      list.push_back ({ one.model.data (), empty, one.memory_mb,
                        static_cast<pu_copy_phase> (one.phase) });
    c.type = PU_COMMAND_BACKEND_UP;
    b.name = name.data ();
    b.incarnation = incarnation;
    b.service = b.region = b.zone = empty;
    b.address = address;
    b.accelerators = 8;
    b.memory_mb = 100000;
    b.seq = seq;
    b.token = token;
    b.copies.copies_len = static_cast<u_int> (list.size ());
    b.copies.copies_val = list.data ();
    return c;
  }

  void
  change (std::mt19937 &random)
  {
    const size_t n = copies.size ();
    const size_t at = n > 0 ? random () % n : 0;

    seq++;
    switch (random () % 8)
      {
      case 0:
        copies.push_back ({ "m" + std::to_string (seq), 100, 0 });
        break;
      case 1:
        if (n > 0)
          copies.erase (copies.begin () + static_cast<long> (at));
        break;
      case 2:
        if (n > 0)
          std::swap (copies[0], copies[at]);
        break;
      case 3:
        if (n > 0)
          copies[at].memory_mb++;
        break;
      case 4:
        token = random () % 5; /* an old one: the ledger merges */
        break;
      case 5:
        if (random () % 8 == 0)
          incarnation++;
        break;
      default:
        if (n > 0)
          copies[at].phase = static_cast<int> (random () % 4);
      }
  }
};

/* An entry of the voters' log, as public copies may see it.  */
struct Item
{
  uint64_t position;
  GBytes *whole;
  GBytes *delta;
};

std::string
image_of (const pu_state_t *s)
{
  GBytes *b = pu_state_encode (s, true);
  gsize n;
  const auto *p = static_cast<const char *> (g_bytes_get_data (b, &n));
  std::string out (p, n);

  g_bytes_unref (b);
  return out;
}

struct Voter
{
  pu_state_t *s;
  std::vector<Item> feed;

  Voter ()
  {
    pu_state_options_t o;

    pu_state_options_init (&o);
    s = pu_state_new (&o);
  }
  ~Voter ()
  {
    for (Item &i : feed)
      {
        g_bytes_unref (i.whole);
        if (i.delta != nullptr)
          g_bytes_unref (i.delta);
      }
    pu_state_free (s);
  }
  Voter (const Voter &) = delete;
  Voter &operator= (const Voter &) = delete;

  void
  apply (const pu_command &c)
  {
    const uint64_t position = pu_state_position (s) + 1;
    GBytes *delta = nullptr;
    bool feeds = pu_command_is_public (&c);
    pu_reply r{};

    if (c.type == PU_COMMAND_BACKEND_UP)
      pu_state_apply_report (s, position, &c, &r, &delta, &feeds);
    else
      pu_state_apply (s, position, &c, &r);
    pu_reply_clear (&r);
    if (feeds)
      feed.push_back ({ position, pu_command_encode (&c), delta });
  }
};

/* What a poll at FROM was answered.  */
struct Answer
{
  uint64_t from;
  uint64_t position;
  std::string image; /* or the entries between */
};

/* A daemon's public copy, which takes answers as an agent does.  */
struct Copy
{
  pu_state_t *s;
  bool deltas;
  bool ready = false;
  bool gap = false;
  std::vector<Answer> under_way;
  std::string kept; /* an image of its own */

  Copy (bool d, unsigned breaks) : deltas (d)
  {
    pu_state_options_t o;

    pu_state_options_init (&o);
    o.test_breaks = breaks;
    s = pu_state_new (&o);
  }
  ~Copy () { pu_state_free (s); }
  Copy (const Copy &) = delete;
  Copy &operator= (const Copy &) = delete;

  void
  poll (const Voter &v)
  {
    const uint64_t at = pu_state_position (s);

    under_way.push_back (
        { at, pu_state_position (v.s), ready && !gap ? "" : image_of (v.s) });
  }

  void
  load (const std::string &image)
  {
    ASSERT_TRUE (pu_state_decode (s, image.data (), image.size (), nullptr));
    ready = true;
    gap = false;
  }

  void
  entry (const Item &i)
  {
    GBytes *b = deltas && i.delta != nullptr ? i.delta : i.whole;
    pu_command c;
    pu_reply r{};
    gsize n;
    const void *p = g_bytes_get_data (b, &n);

    ASSERT_TRUE (pu_command_decode (&c, p, n, nullptr));
    if (pu_state_apply (s, i.position, &c, &r))
      gap = gap
            || (c.type == PU_COMMAND_BACKEND_DELTA
                && r.outcome != PU_OUTCOME_DONE);
    pu_reply_clear (&r);
    pu_command_clear (&c);
  }

  void
  take (const Voter &v, const Answer &a)
  {
    const uint64_t at = pu_state_position (s);

    if (!a.image.empty ())
      {
        if (!ready || a.position > at || (gap && a.position == at))
          load (a.image);
        return;
      }
    for (const Item &i : v.feed)
      {
        if (i.position > a.from && i.position <= a.position)
          entry (i);
      }
    pu_state_skip_to (s, a.position);
  }

  /* Answers are lost, doubled, late or out of order.  */
  void
  receive (const Voter &v, std::mt19937 &random)
  {
    if (under_way.empty ())
      return;
    const size_t at = random () % under_way.size ();
    const Answer a = under_way[at];

    pu_fuzz_report::get ().faults++;
    if (random () % 4 != 0)
      under_way.erase (under_way.begin () + static_cast<long> (at));
    if (random () % 4 != 0)
      take (v, a);
  }

  void
  settle (const Voter &v)
  {
    for (int i = 0; i < 2; i++)
      {
        under_way.clear ();
        poll (v);
        take (v, under_way.back ());
      }
  }

  /* Begins again with the image it kept, or none.  */
  void
  restart (std::mt19937 &random)
  {
    under_way.clear ();
    ready = gap = false;
    if (!kept.empty () && random () % 2 == 0)
      load (kept);
  }

  /* As if its image was kept by an older daemon, whose record of ENGINE is
     another.  Returns whether it has one.  */
  bool
  differ (const Engine &engine)
  {
    const auto proc = reinterpret_cast<xdrproc_t> (xdr_pu_state_image);
    const std::string image = image_of (s);
    pu_state_image m;
    bool found = false;

    EXPECT_TRUE (pu_codec_decode (proc, &m, sizeof m, image.data (),
                                  image.size (), nullptr));
    for (u_int i = 0; i < m.backends.backends_len; i++)
      {
        pu_backend_record &b = m.backends.backends_val[i];

        if (engine.name != b.name || b.copies.copies_len == 0)
          continue;
        b.copies.copies_val[0].memory_mb += 1000;
        found = true;
      }
    GBytes *bytes = pu_codec_encode (proc, &m);
    gsize n;
    const auto *p = static_cast<const char *> (g_bytes_get_data (bytes, &n));
    load (std::string (p, n));
    g_bytes_unref (bytes);
    xdr_free (proc, &m);
    return found;
  }
};

/* Oracle: public copies that take deltas are as those that take whole records
   and as the voter's; those whose record differed come to be so.  */
bool
copies_agree (unsigned seed, unsigned breaks)
{
  std::mt19937 random (seed);
  Voter v;
  Copy with (true, breaks);
  Copy without (false, 0);
  std::vector<Engine> engines (3);
  bool differs = false;

  for (size_t i = 0; i < engines.size (); i++)
    engines[i].name = "e" + std::to_string (i);
  for (int step = 0; step < 300; step++)
    {
      Engine &e = engines[random () % engines.size ()];
      Copy &copy = random () % 2 == 0 ? with : without;
      pu_command c{};

      pu_fuzz_report::get ().steps++;
      switch (random () % 12)
        {
        case 0:
          c.type = random () % 2 == 0 ? PU_COMMAND_BACKEND_DOWN
                                      : PU_COMMAND_BACKEND_LEAVING;
          c.pu_command_u.backend_down = { e.name.data (), e.incarnation };
          v.apply (c);
          break;
        case 1:
          copy.kept = copy.ready ? image_of (copy.s) : "";
          break;
        case 2:
          copy.restart (random);
          break;
        case 3:
          if (random () % 8 == 0 && with.ready)
            differs = with.differ (e) || differs;
          break;
        case 4:
        case 5:
          copy.poll (v);
          break;
        case 6:
        case 7:
          copy.receive (v, random);
          break;
        default:
          /* A report, now and then a second time.  */
          if (random () % 8 != 0)
            e.change (random);
          c = e.report ();
          v.apply (c);
        }
      if (random () % 16 != 0)
        continue;
      without.settle (v);
      with.settle (v);
      if (image_of (without.s) != image_of (v.s))
        return false;
      if (!differs && image_of (with.s) != image_of (v.s))
        return false;
    }
  /* Each engine's record changes twice more: what is down comes up whole.  */
  for (size_t i = 0; i < 2 * engines.size (); i++)
    {
      Engine &e = engines[i / 2];

      e.seq++;
      e.copies.push_back ({ "last" + std::to_string (i), 1, 1 });
      v.apply (e.report ());
      with.settle (v);
    }
  return image_of (with.s) == image_of (v.s);
}

RC_GTEST_PROP (StateFuzz, DeltasGiveWhatWholeRecordsGive, (unsigned seed))
{
  RC_ASSERT (copies_agree (seed, 0));
}

TEST (StateFuzz, DeltaTakenToAnyBaseIsCaught)
{
  bool caught = false;

  for (unsigned seed = 1; seed <= 50 && !caught; seed++)
    caught = !copies_agree (seed, PU_STATE_BREAK_NO_DELTA_CHECK);
  EXPECT_TRUE (caught);
}

Engine
engine_of_letter ()
{
  Engine e;

  e.name = "engine-0001";
  for (int i = 0; i < 8; i++)
    e.copies.push_back (
        { "model-0001-adapter-" + std::to_string (i), 200, PU_COPY_READY });
  return e;
}

TEST (BackendDelta, ChangeOfOneCopyIsShort)
{
  Engine e = engine_of_letter ();
  Voter v;

  v.apply (e.report ());
  e.copies[3].phase = PU_COPY_DRAINING;
  e.seq++;
  v.apply (e.report ());
  ASSERT_EQ (2u, v.feed.size ());
  EXPECT_EQ (nullptr, v.feed[0].delta);
  ASSERT_NE (nullptr, v.feed[1].delta);
  EXPECT_LE (g_bytes_get_size (v.feed[1].delta), 68u);
  EXPECT_GE (g_bytes_get_size (v.feed[1].whole), 380u);
}

TEST (BackendDelta, ReportThatChangesNothingIsNotFed)
{
  Engine e = engine_of_letter ();
  Voter v;

  v.apply (e.report ());
  e.seq++;
  v.apply (e.report ());
  EXPECT_EQ (1u, v.feed.size ());
}

TEST (BackendDelta, OtherAddressOrOrderIsToldWhole)
{
  Engine e = engine_of_letter ();
  Voter v;

  v.apply (e.report ());
  std::swap (e.copies[0], e.copies[1]);
  e.seq++;
  v.apply (e.report ());
  ASSERT_EQ (2u, v.feed.size ());
  EXPECT_EQ (nullptr, v.feed[1].delta);
}

TEST (BackendDelta, CopyThatIsNotThereIsRefused)
{
  Engine e = engine_of_letter ();
  pu_copy_change change = { 8, 1, PU_COPY_READY };
  u_int gone = 8;
  pu_backend_delta d{};

  d.changed.changed_len = 1;
  d.changed.changed_val = &change;
  const pu_command c = e.report ();
  EXPECT_EQ (nullptr, pu_backend_delta_apply (&d, &c.pu_command_u.backend_up));
  d.changed.changed_len = 0;
  d.gone.gone_len = 1;
  d.gone.gone_val = &gone;
  EXPECT_EQ (nullptr, pu_backend_delta_apply (&d, &c.pu_command_u.backend_up));
}

} // namespace
