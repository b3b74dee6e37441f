#ifndef PU_STATE_FIXTURE_TEST_H
#define PU_STATE_FIXTURE_TEST_H

#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C"
{
#include "state/state.h"
}

/*
 * state_fixture - for the tests: a state, with helpers that build and apply
 * commands.
 */

/* A command together with the strings that it points to.  */
struct OwnedCommand
{
  pu_command command = {};
  std::vector<std::string> texts;

  OwnedCommand () { texts.reserve (16); }
  char *
  text (const std::string &s)
  {
    texts.push_back (s);
    return texts.back ().data ();
  }
};

class StateFixture
{
public:
  explicit StateFixture (unsigned breaks = 0, bool convict_isolated = false)
  {
    pu_state_options_t o;

    pu_state_options_init (&o);
    o.convict_isolated = convict_isolated;
    o.claim_window_ms = 1000;
    o.strike_window_ms = 1000;
    o.test_breaks = breaks;
    state = pu_state_new (&o);
  }
  ~StateFixture () { pu_state_free (state); }

  pu_reply
  apply (const OwnedCommand &c)
  {
    pu_reply r = {};

    EXPECT_TRUE (
        pu_state_apply (state, pu_state_position (state) + 1, &c.command, &r));
    pu_reply copy = r;
    copy.detail = nullptr;
    copy.claim = nullptr;
    if (r.claim != nullptr)
      {
        claim = *r.claim;
        claim_phase = r.claim->phase;
      }
    pu_reply_clear (&r);
    return copy;
  }

  void
  submit (uint64_t base, const std::string &id, pu_reply *r)
  {
    OwnedCommand c;

    c.command.type = PU_COMMAND_SUBMIT;
    c.command.pu_command_u.submit
        = { base, 5, c.text (id), c.text ("ann"),         0, FALSE,
            0,    0, 0,           c.text ("{" + id + "}") };
    *r = apply (c);
  }

  /* Submits a document with RANK, which is compared in place of the base
     version.  */
  void
  submit_ranked (uint64_t rank, const std::string &id, pu_reply *r)
  {
    OwnedCommand c;

    c.command.type = PU_COMMAND_SUBMIT;
    c.command.pu_command_u.submit
        = { 0, 5, c.text (id), c.text ("ann"),         rank, FALSE,
            0, 0, 0,           c.text ("{" + id + "}") };
    *r = apply (c);
  }

  void
  member (const std::string &name, uint64_t incarnation)
  {
    OwnedCommand c;

    c.command.type = PU_COMMAND_MEMBER_UP;
    c.command.pu_command_u.member_up
        = { c.text (name), incarnation,  c.text ("r"), c.text ("z"),
            c.text ("a"),  c.text ("b"), c.text ("c"), FALSE };
    apply (c);
  }

  pu_outcome
  down (pu_command_type type, const std::string &name, uint64_t incarnation)
  {
    OwnedCommand c;

    c.command.type = type;
    c.command.pu_command_u.member_down = { c.text (name), incarnation };
    return apply (c).outcome;
  }

  pu_reply
  claim_key (const std::string &key, const std::string &owner,
             uint64_t incarnation, uint64_t attempt, uint64_t wall,
             uint64_t fingerprint = 1, uint64_t window = 0)
  {
    OwnedCommand c;

    c.command.type = PU_COMMAND_CLAIM;
    c.command.pu_command_u.claim
        = { c.text ("svc"), c.text (key), fingerprint, c.text (owner),
            incarnation,    attempt,      wall,        window };
    return apply (c);
  }

  pu_outcome
  claim_done (const std::string &key, uint64_t position, pu_claim_phase phase)
  {
    OwnedCommand c;

    c.command.type = PU_COMMAND_CLAIM_DONE;
    c.command.pu_command_u.claim_done.service = c.text ("svc");
    c.command.pu_command_u.claim_done.key = c.text (key);
    c.command.pu_command_u.claim_done.position = position;
    c.command.pu_command_u.claim_done.phase = phase;
    c.command.pu_command_u.claim_done.content_type = c.text ("");
    return apply (c).outcome;
  }

  pu_outcome
  strike (uint64_t fingerprint, const std::string &backend, uint64_t wall,
          bool isolated = false)
  {
    OwnedCommand c;

    c.command.type = PU_COMMAND_STRIKE;
    c.command.pu_command_u.strike
        = { isolated, fingerprint, c.text ("m"), c.text (backend), 1, wall };
    return apply (c).outcome;
  }

  pu_outcome
  backend (const std::string &name, uint64_t incarnation, unsigned copies,
           bool leaving = false, bool fenced = false, uint64_t token = 0,
           uint64_t seq = 0)
  {
    OwnedCommand c;
    std::vector<pu_copy_record> list;

    for (unsigned i = 0; i < copies; i++)
      list.push_back ({ c.text ("m" + std::to_string (i)), c.text ("1"), 100,
                        PU_COPY_READY });
    c.command.type = PU_COMMAND_BACKEND_UP;
    pu_backend_record &b = c.command.pu_command_u.backend_up;
    b = {};
    b.name = c.text (name);
    b.incarnation = incarnation;
    b.service = c.text ("");
    b.address = c.text ("127.0.0.1:1");
    b.region = c.text ("r");
    b.zone = c.text ("z");
    b.accelerators = 1;
    b.memory_mb = 1000;
    b.leaving = leaving;
    b.seq = seq;
    b.fenced = fenced;
    b.token = token;
    b.copies.copies_len = copies;
    b.copies.copies_val = list.data ();
    return apply (c).outcome;
  }

  pu_reply
  reserve (const std::string &name, const std::string &model, unsigned mb)
  {
    OwnedCommand c;

    c.command.type = PU_COMMAND_RESERVE;
    c.command.pu_command_u.reserve = {
      0, PU_ORDER_LOAD, c.text (name),  1, c.text (model), c.text ("1"), mb,
      0, 1000,          c.text ("test")
    };
    return apply (c);
  }

  pu_outcome
  release (uint64_t token)
  {
    OwnedCommand c;

    c.command.type = PU_COMMAND_RELEASE;
    c.command.pu_command_u.release = { token, c.text ("test") };
    return apply (c).outcome;
  }

  std::string
  image (bool public_only) const
  {
    GBytes *b = pu_state_encode (state, public_only);
    gsize n;
    const char *p = (const char *)g_bytes_get_data (b, &n);
    std::string out (p, n);

    g_bytes_unref (b);
    return out;
  }

  pu_state_t *state;
  pu_claim_record claim = {}; /* of the last reply that had one; its strings
                                 are freed */
  pu_claim_phase claim_phase = PU_CLAIM_OPEN;
};

#endif
