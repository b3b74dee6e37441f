#ifndef PU_OPERATOR_FAKE_DAEMON_H
#define PU_OPERATOR_FAKE_DAEMON_H

#include <string>

#include "operator/operator.h"

/*
 * fake_daemon - hooks over a state without a log: a command is applied at
 * once.  For the tests and for operator_demo.
 */

namespace fake
{

/* What the next proposal meets.  */
enum class Log
{
  WORKS,
  NO_QUORUM,   /* refused, nothing is applied */
  LOST_ANSWER, /* applied, but the answer does not come */
  HELD,        /* kept in Daemon::held until release () */
};

struct Daemon
{
  pu_state_t *state;
  uint64_t position = 0;
  Log log = Log::WORKS;
  bool ready = true;
  pu_operator_reply_fn *held = nullptr;
  void *held_data = nullptr;
  std::string voters;
  json_int_t granted_per_s = 0; /* of the team "blue" */

  Daemon ();
  ~Daemon ();
  Daemon (const Daemon &) = delete;

  pu_operator_hooks_t hooks ();
  void apply (const pu_command *c, pu_reply *r);
  void release (const pu_error_t *e);
  void add_member (const char *name);
  /* With a copy of MODEL that is ready, unless that is empty.  */
  void add_engine (const char *name, const char *model = "");
  void convict (uint64_t fingerprint);
};

}

#endif
