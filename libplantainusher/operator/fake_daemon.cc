#include "operator/fake_daemon.h"

namespace fake
{

Daemon::Daemon ()
{
  pu_state_options_t o;

  pu_state_options_init (&o);
  state = pu_state_new (&o);
}

Daemon::~Daemon () { pu_state_free (state); }

void
Daemon::apply (const pu_command *c, pu_reply *r)
{
  pu_state_apply (state, ++position, c, r);
}

void
Daemon::release (const pu_error_t *e)
{
  held (nullptr, e, held_data);
}

static void
propose (const pu_command *c, guint32, pu_operator_reply_fn *done,
         void *done_data, void *data)
{
  auto *d = static_cast<Daemon *> (data);
  pu_reply r = {};
  pu_error_t e;

  switch (d->log)
    {
    case Log::NO_QUORUM:
      pu_error_set (&e, PU_ERROR_UNAVAILABLE, "There is no quorum.");
      done (nullptr, &e, done_data);
      return;
    case Log::HELD:
      d->held = done;
      d->held_data = done_data;
      return;
    case Log::LOST_ANSWER:
      d->apply (c, &r);
      pu_reply_clear (&r);
      d->log = Log::WORKS;
      pu_error_set (&e, PU_ERROR_TIMEOUT, "No answer in time.");
      done (nullptr, &e, done_data);
      return;
    case Log::WORKS:
      d->apply (c, &r);
      done (&r, nullptr, done_data);
      pu_reply_clear (&r);
      return;
    }
}

static void
status (json_t *status, pu_operator_json_fn *done, void *done_data, void *data)
{
  auto *d = static_cast<Daemon *> (data);

  json_object_set_new (status, "leader", json_string ("c1"));
  json_object_set_new (
      status, "teams",
      json_pack ("[{s:s, s:s, s:i, s:I, s:i, s:f, s:i, s:b, s:b}]", "name",
                 "blue", "unit", "tokens", "rate_per_s", 1000, "granted_per_s",
                 d->granted_per_s > 0 ? d->granted_per_s : 990, "units_per_s",
                 330, "refused_per_s", 2.5, "refused_pct", 40, "held_back", 1,
                 "alone", 0));
  done (status, nullptr, done_data);
}

static void
change_voters (pu_operator_voters_action_t action, const char *name,
               const char *with, pu_operator_json_fn *done, void *done_data,
               void *data)
{
  auto *d = static_cast<Daemon *> (data);

  d->voters = std::to_string (action) + " " + name + " " + with;
  done (json_pack ("{s:[s]}", "voters", name), nullptr, done_data);
}

static void
plan (const pu_document_t *, pu_operator_json_fn *done, void *done_data,
      void *)
{
  done (json_pack ("{s:[]}", "moves"), nullptr, done_data);
}

pu_operator_hooks_t
Daemon::hooks ()
{
  pu_operator_hooks_t h = {};

  h.data = this;
  h.view = [] (void *data) -> const pu_state_t * {
    return static_cast<Daemon *> (data)->state;
  };
  h.ready = [] (void *data) { return static_cast<Daemon *> (data)->ready; };
  h.propose = propose;
  h.status = status;
  h.dump = [] (void *) { return json_pack ("{s:s}", "fake", "dump"); };
  h.voters = change_voters;
  h.plan = plan;
  h.set_log_level = [] (const char *level, void *) {
    return g_str_equal (level, "warn") != 0;
  };
  h.metrics = [] (GString *out, void *) {
    g_string_append (out, "plantainusher_x 1\n");
  };
  return h;
}

void
Daemon::add_member (const char *name)
{
  pu_command c = {};
  pu_member_record *m = &c.pu_command_u.member_up;
  char *empty = const_cast<char *> ("");

  c.type = PU_COMMAND_MEMBER_UP;
  m->name = const_cast<char *> (name);
  m->incarnation = 1;
  m->region = m->zone = empty;
  m->caller_address = m->operator_address = m->peer_address = empty;
  apply (&c, nullptr);
}

void
Daemon::add_engine (const char *name, const char *model)
{
  pu_command c = {};
  pu_copy_record copy = {};
  pu_backend_record *b = &c.pu_command_u.backend_up;
  char *empty = const_cast<char *> ("");

  c.type = PU_COMMAND_BACKEND_UP;
  b->name = const_cast<char *> (name);
  b->incarnation = 1;
  b->kind = PU_BACKEND_ENGINE;
  b->service = b->region = b->zone = empty;
  b->address = const_cast<char *> ("127.0.0.1:9001");
  b->accelerators = 1;
  b->memory_mb = 80000;
  copy.model = const_cast<char *> (model);
  copy.model_version = const_cast<char *> ("1");
  copy.phase = PU_COPY_READY;
  b->copies.copies_val = &copy;
  b->copies.copies_len = *model != '\0';
  apply (&c, nullptr);
}

void
Daemon::convict (uint64_t fingerprint)
{
  for (uint64_t incarnation = 1; incarnation <= 2; incarnation++)
    {
      pu_command c = {};
      pu_strike *s = &c.pu_command_u.strike;

      c.type = PU_COMMAND_STRIKE;
      s->fingerprint = fingerprint;
      s->model = const_cast<char *> ("small");
      s->backend = const_cast<char *> ("eng-1");
      s->incarnation = incarnation;
      apply (&c, nullptr);
    }
}

}
