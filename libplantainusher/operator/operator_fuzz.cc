/* Any request of an operator has one answer, in JSON where it is an error,
   and one that says "not-run" changed nothing.

   The input is "METHOD PATH[?QUERY]", a line's end, the body.  */
#include <stdint.h>
#include <string.h>

#include <algorithm>
#include <string>

#include "operator/fake_daemon.h"

static void
require (bool good)
{
  if (!good)
    __builtin_trap ();
}

struct answer
{
  int calls = 0;
  int status = 0;
};

static void
on_answer (const pu_operator_response_t *r, void *data)
{
  auto *a = static_cast<answer *> (data);

  a->calls++;
  a->status = r->status;
  if (r->status == 200)
    return;
  json_t *root = json_loadb (r->body, r->body_len, 0, nullptr);
  require (json_is_string (json_object_get (root, "error")));
  require (json_is_string (json_object_get (root, "message")));
  require (json_is_string (json_object_get (root, "outcome")));
  json_decref (root);
}

static pu_operator_t *
operator_make (fake::Daemon *daemon)
{
  const pu_operator_key_t key = { "fuzz", "fuzz-key" };
  pu_operator_options_t o;

  pu_operator_options_init (&o);
  o.keys = &key;
  o.n_keys = 1;
  o.hooks = daemon->hooks ();
  daemon->add_member ("entry-1");
  daemon->add_engine ("eng-1");
  daemon->convict (0xab);
  return pu_operator_new (&o);
}

extern "C" int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  const std::string input (reinterpret_cast<const char *> (data), size);
  const size_t end = std::min (input.find ('\n'), size);
  const std::string line = input.substr (0, end).c_str ();
  const size_t space = std::min (line.find (' '), line.size ());
  const size_t mark = std::min (line.find ('?', space), line.size ());
  const std::string method = line.substr (0, space);
  const std::string path = line.substr (space, mark - space);
  const std::string query = line.substr (mark);
  const std::string body = input.substr (std::min (end + 1, size));
  fake::Daemon daemon;
  pu_operator_t *op = operator_make (&daemon);
  answer a;
  const pu_operator_request_t r = { method.c_str (),
                                    path.empty () ? "" : path.c_str () + 1,
                                    query.empty () ? "" : query.c_str () + 1,
                                    "Bearer fuzz-key",
                                    body.data (),
                                    body.size () };

  pu_operator_handle (op, &r, on_answer, &a);
  require (a.calls == 1);
  require (a.status != 500);
  require (a.status == 200 || pu_state_document (daemon.state) == nullptr);
  pu_operator_free (op);
  return 0;
}
