#ifndef PU_ENTRY_RIG_TEST_H
#define PU_ENTRY_RIG_TEST_H

#include <gtest/gtest.h>
#include <uv.h>

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "entry/entry.h"
#include "http/client.h"
#include "http/server.h"

/*
 * rig - entries, backend servers and callers in one process, over loopback.
 *
 * The log is a pu_state_t that all entries view; a proposal is applied and
 * answered a little later.
 */

/* A backend server that keeps a ledger of what ran.  */
struct backend
{
  pu_http_server_t *server = nullptr;
  std::string name;
  std::string address;
  std::string service; /* of a plain one */
  guint64 incarnation = 1;
  guint64 seq = 0;
  std::vector<std::string> ran; /* request ids */
  std::vector<std::string> bodies;
  std::vector<std::string> targets;
  std::vector<pu_http_request_t *> open;
  std::map<std::string, int> keys; /* at-most-once key -> times that it ran */
  guint tokens = 4;
  guint cut_after = G_MAXUINT; /* tokens, once */
  bool silent = false;
  bool foreign = false;
  bool resumes = false; /* honours and confirms X-Resume-Tokens */
  bool refuses = false; /* 503, not run */
  bool closes = false;  /* takes probes and closes their connections */
  std::string crash_on; /* dies when a body holds this */
  std::function<void ()> crash;
};

/* A caller's request and its answer.  */
struct caller
{
  pu_http_call_t *call = nullptr;
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
  bool ended = false;
  pu_http_end_t end{};

  bool
  whole () const
  {
    return ended && end == PU_HTTP_END_COMPLETE;
  }
  /* The text of the tokens in a stream.  */
  std::string text () const;
};

struct rig;

/* One daemon with the entry role.  */
struct node
{
  rig *r = nullptr;
  pu_entry_t *entry = nullptr;
  std::string name;
  std::string address;
  bool stopped = false;
  bool leader_reachable = true;   /* with a voter */
  bool ready = true;              /* its view may be served from */
  std::vector<guint32> demand_ms; /* of each request that was told */
};

struct proposal
{
  GBytes *bytes;
  pu_entry_done_fn *fn;
  void *data;
};

struct wanted
{
  pu_entry_json_fn *fn;
  void *data;
};

struct rig
{
  uv_loop_t loop{};
  uv_timer_t log{};
  pu_state_t *state = nullptr;
  pu_http_client_t *client = nullptr;
  guint64 position = 0;
  bool quorum = true;
  bool lose_answers = false;
  guint breaks = 0; /* pu_entry_break_t of nodes to be added */
  const pu_frontend_t *front = nullptr; /* of nodes to be added; own if null */
  std::deque<proposal> proposals;
  std::deque<wanted> wants;          /* copies that entries wait for */
  bool loads_to_all_entries = false; /* of nodes to be added */
  bool model_loads_enabled
      = false;    /* of nodes to be added: they ask for copies */
  int due_ms = 0; /* what they are told until a copy is ready; 0: nothing */
  guint loads_told = 0; /* load reports that went from node to node */
  guint withdrawals_told = 0;
  std::list<node> nodes;
  std::list<backend> backends;

  rig ();
  ~rig ();

  void until (const std::function<bool ()> &done);
  void apply (const pu_command &c, pu_reply *r = nullptr);
  void submit (const char *document);
  node &add_node (const std::string &name, bool ready = true);
  backend &add_backend (const std::string &name, const std::string &service,
                        const node &to);
  void kill (backend &b);

  /* Reports B to the entry TO; the answer's status.  */
  int announce (backend &b, const node &to, const std::string &extra = "");

  using headers = std::vector<std::pair<std::string, std::string> >;
  void send (caller &c, const node &to, const std::string &method,
             const std::string &target, const std::string &body,
             const headers &h = {});
  void chat (caller &c, const node &to, const std::string &prompt, bool stream,
             const headers &h = {});
  void finish (caller &c);

  /* send and chat until the answer has ended.  */
  void call (caller &c, const node &to, const std::string &method,
             const std::string &target, const std::string &body,
             const headers &h = {});
  void ask (caller &c, const node &to, const std::string &prompt, bool stream,
            const headers &h = {});
  bool knows (const backend &b) const;
};

/* The text that an engine gives for N tokens.  */
std::string text_of (guint n);

extern const char *const rig_document;

#endif
