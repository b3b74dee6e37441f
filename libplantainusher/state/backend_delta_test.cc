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

/* A backend server that reports its copies.  The strings and the list of a
   report belong to this object.  */
struct Engine
{
  struct ModelCopy
  {
    std::string model;
    unsigned memory_mb;
    int phase;
  };
  std::string name;
  uint64_t incarnation = 1;
  uint64_t seq = 1;
  uint64_t token = 0;
  std::vector<ModelCopy> copies;
  std::vector<pu_copy_record> records;

  pu_command
  report ()
  {
    static char empty[] = "";
    static char address[] = "127.0.0.1:1";
    pu_command c{};
    pu_backend_record &b = c.pu_command_u.backend_up;

    records.clear ();
    for (ModelCopy &one : copies)
      records.push_back ({ one.model.data (), empty, one.memory_mb,
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
    b.copies.copies_len = static_cast<u_int> (records.size ());
    b.copies.copies_val = records.data ();
    return c;
  }

  /* Applies a random change to what the next report says.  */
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
        /* A low one makes the ledger merge the report.  */
        token = random () % 5;
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

/* An entry of the voters' log in the two forms that public copies receive.  */
struct PublicEntry
{
  uint64_t position;
  GBytes *full;
  GBytes *delta; /* or NULL */
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

/* A voter's state, with the entries that it sends to public copies.  */
struct Voter
{
  pu_state_t *state;
  std::vector<PublicEntry> public_log;

  Voter ()
  {
    pu_state_options_t o;

    pu_state_options_init (&o);
    state = pu_state_new (&o);
  }
  ~Voter ()
  {
    for (PublicEntry &i : public_log)
      {
        g_bytes_unref (i.full);
        if (i.delta != nullptr)
          g_bytes_unref (i.delta);
      }
    pu_state_free (state);
  }
  Voter (const Voter &) = delete;
  Voter &operator= (const Voter &) = delete;

  void
  apply (const pu_command &c)
  {
    const uint64_t position = pu_state_position (state) + 1;
    GBytes *delta = nullptr;
    bool is_public = pu_command_is_public (&c);
    pu_reply r{};

    if (c.type == PU_COMMAND_BACKEND_UP)
      pu_state_apply_report (state, position, &c, &r, &delta, &is_public);
    else
      pu_state_apply (state, position, &c, &r);
    pu_reply_clear (&r);
    if (is_public)
      public_log.push_back ({ position, pu_command_encode (&c), delta });
  }
};

/* The reply to a poll by a copy at position FROM.  */
struct PollReply
{
  uint64_t from;
  uint64_t position;
  std::string image; /* empty: the reply has the entries after FROM, up to
                        POSITION */
};

/* A daemon's public copy of the state.  It handles poll replies as an agent
   does.  */
struct PublicCopy
{
  pu_state_t *state;
  bool takes_deltas;
  bool ready = false;
  bool needs_image = false; /* a delta was refused */
  std::vector<PollReply> in_flight;
  std::string saved_image; /* of this copy; empty when there is none */

  PublicCopy (bool d, unsigned breaks) : takes_deltas (d)
  {
    pu_state_options_t o;

    pu_state_options_init (&o);
    o.test_breaks = breaks;
    state = pu_state_new (&o);
  }
  ~PublicCopy () { pu_state_free (state); }
  PublicCopy (const PublicCopy &) = delete;
  PublicCopy &operator= (const PublicCopy &) = delete;

  void
  poll (const Voter &v)
  {
    const uint64_t at = pu_state_position (state);

    in_flight.push_back ({ at, pu_state_position (v.state),
                           ready && !needs_image ? "" : image_of (v.state) });
  }

  void
  restore (const std::string &image)
  {
    ASSERT_TRUE (
        pu_state_decode (state, image.data (), image.size (), nullptr));
    ready = true;
    needs_image = false;
  }

  void
  apply_entry (const PublicEntry &i)
  {
    GBytes *b = takes_deltas && i.delta != nullptr ? i.delta : i.full;
    pu_command c;
    pu_reply r{};
    gsize n;
    const void *p = g_bytes_get_data (b, &n);

    ASSERT_TRUE (pu_command_decode (&c, p, n, nullptr));
    if (pu_state_apply (state, i.position, &c, &r))
      needs_image = needs_image
                    || (c.type == PU_COMMAND_BACKEND_DELTA
                        && r.outcome != PU_OUTCOME_DONE);
    pu_reply_clear (&r);
    pu_command_clear (&c);
  }

  void
  handle_reply (const Voter &v, const PollReply &a)
  {
    const uint64_t at = pu_state_position (state);

    if (!a.image.empty ())
      {
        if (!ready || a.position > at || (needs_image && a.position == at))
          restore (a.image);
        return;
      }
    for (const PublicEntry &i : v.public_log)
      {
        if (i.position > a.from && i.position <= a.position)
          apply_entry (i);
      }
    pu_state_skip_to (state, a.position);
  }

  /* Takes a random reply in flight: replies are lost, duplicated, delayed or
     reordered.  */
  void
  receive (const Voter &v, std::mt19937 &random)
  {
    if (in_flight.empty ())
      return;
    const size_t at = random () % in_flight.size ();
    const PollReply a = in_flight[at];

    pu_fuzz_report::get ().faults++;
    if (random () % 4 != 0)
      in_flight.erase (in_flight.begin () + static_cast<long> (at));
    if (random () % 4 != 0)
      handle_reply (v, a);
  }

  /* Polls without faults.  The second poll gets the image that a refused delta
     in the first reply makes necessary.  */
  void
  catch_up (const Voter &v)
  {
    for (int i = 0; i < 2; i++)
      {
        in_flight.clear ();
        poll (v);
        handle_reply (v, in_flight.back ());
      }
  }

  /* Restarts with the saved image or, as when it is lost, without one.  */
  void
  restart (std::mt19937 &random)
  {
    in_flight.clear ();
    ready = needs_image = false;
    if (!saved_image.empty () && random () % 2 == 0)
      restore (saved_image);
  }

  /* Restores an image whose record of ENGINE differs from the voter's, as an
     image saved by an older daemon may.  Returns whether there is such a
     record.  */
  bool
  restore_divergent (const Engine &engine)
  {
    const auto proc = reinterpret_cast<xdrproc_t> (xdr_pu_state_image);
    const std::string image = image_of (state);
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
    restore (std::string (p, n));
    g_bytes_unref (bytes);
    xdr_free (proc, &m);
    return found;
  }
};

/* Oracle: a public copy that takes deltas has the same state as one that takes
   full records and as the voter.  A copy that restored a divergent image
   has the same state again once each engine's record has changed.  */
bool
copies_agree (unsigned seed, unsigned breaks)
{
  std::mt19937 random (seed);
  Voter v;
  PublicCopy with_deltas (true, breaks);
  PublicCopy without_deltas (false, 0);
  std::vector<Engine> engines (3);
  bool diverged = false;

  for (size_t i = 0; i < engines.size (); i++)
    engines[i].name = "e" + std::to_string (i);
  for (int step = 0; step < 300; step++)
    {
      Engine &e = engines[random () % engines.size ()];
      PublicCopy &copy = random () % 2 == 0 ? with_deltas : without_deltas;
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
          copy.saved_image = copy.ready ? image_of (copy.state) : "";
          break;
        case 2:
          copy.restart (random);
          break;
        case 3:
          if (random () % 8 == 0 && with_deltas.ready)
            diverged = with_deltas.restore_divergent (e) || diverged;
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
          /* A report, sometimes the same one again.  */
          if (random () % 8 != 0)
            e.change (random);
          c = e.report ();
          v.apply (c);
        }
      if (random () % 16 != 0)
        continue;
      without_deltas.catch_up (v);
      with_deltas.catch_up (v);
      if (image_of (without_deltas.state) != image_of (v.state))
        return false;
      if (!diverged && image_of (with_deltas.state) != image_of (v.state))
        return false;
    }
  /* Each engine's record changes twice more.  The first report of one that is
     down brings it up with a full record.  */
  for (size_t i = 0; i < 2 * engines.size (); i++)
    {
      Engine &e = engines[i / 2];

      e.seq++;
      e.copies.push_back ({ "last" + std::to_string (i), 1, 1 });
      v.apply (e.report ());
      with_deltas.catch_up (v);
    }
  return image_of (with_deltas.state) == image_of (v.state);
}

RC_GTEST_PROP (StateFuzz, DeltasAndFullRecordsGiveTheSameState,
               (unsigned seed))
{
  RC_ASSERT (copies_agree (seed, 0));
}

TEST (StateFuzz, DeltaAppliedToAWrongBaseIsDetected)
{
  bool detected = false;

  for (unsigned seed = 1; seed <= 50 && !detected; seed++)
    detected = !copies_agree (seed, PU_STATE_BREAK_NO_DELTA_CHECK);
  EXPECT_TRUE (detected);
}

Engine
engine_with_eight_adapters ()
{
  Engine e;

  e.name = "engine-0001";
  for (int i = 0; i < 8; i++)
    e.copies.push_back (
        { "model-0001-adapter-" + std::to_string (i), 200, PU_COPY_READY });
  return e;
}

TEST (BackendDelta, DeltaOfOneCopyIsSmall)
{
  Engine e = engine_with_eight_adapters ();
  Voter v;

  v.apply (e.report ());
  e.copies[3].phase = PU_COPY_DRAINING;
  e.seq++;
  v.apply (e.report ());
  ASSERT_EQ (2u, v.public_log.size ());
  EXPECT_EQ (nullptr, v.public_log[0].delta);
  ASSERT_NE (nullptr, v.public_log[1].delta);
  EXPECT_LE (g_bytes_get_size (v.public_log[1].delta), 68u);
  EXPECT_GE (g_bytes_get_size (v.public_log[1].full), 380u);
}

TEST (BackendDelta, UnchangedReportIsNotPublished)
{
  Engine e = engine_with_eight_adapters ();
  Voter v;

  v.apply (e.report ());
  e.seq++;
  v.apply (e.report ());
  EXPECT_EQ (1u, v.public_log.size ());
}

TEST (BackendDelta, ReorderedCopiesHaveNoDelta)
{
  Engine e = engine_with_eight_adapters ();
  Voter v;

  v.apply (e.report ());
  std::swap (e.copies[0], e.copies[1]);
  e.seq++;
  v.apply (e.report ());
  ASSERT_EQ (2u, v.public_log.size ());
  EXPECT_EQ (nullptr, v.public_log[1].delta);
}

TEST (BackendDelta, OutOfRangeCopyIndexIsRefused)
{
  Engine e = engine_with_eight_adapters ();
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
