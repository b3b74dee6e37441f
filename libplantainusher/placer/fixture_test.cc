#include "placer/fixture_test.h"

#include <algorithm>
#include <csignal>

namespace
{
constexpr uint64_t run_until_timeout_ms = 15000;
constexpr unsigned tick_ms = 10;
const char *const peer_key = "a peer key of some length";

void
on_proposed (void *, const pu_reply *, const pu_error_t *)
{
}

void
on_order (void *data, pu_http_request_t *r)
{
  auto *e = static_cast<FakeEngine *> (data);
  gsize n;
  const char *text = pu_http_request_body (r, &n);
  json_t *body = json_loadb (text, n, 0, nullptr);

  e->order_count++;
  int status
      = e->handling == OrderHandling::ignore ? 0 : e->handle_order (body);
  json_decref (body);
  if (status != 0 && e->handling != OrderHandling::accept_without_answer)
    pu_http_respond (r, status, nullptr, 0, "{}", 2);
}

json_int_t
number (const json_t *body, const char *key)
{
  return json_integer_value (json_object_get (body, key));
}

std::string
text (const json_t *body, const char *key)
{
  return json_string_value (json_object_get (body, key));
}
} // namespace

unsigned
FakeEngine::used () const
{
  unsigned sum = 0;
  for (const auto &c : copies)
    sum += c.second.first;
  return sum;
}

bool
FakeEngine::is_ready (const std::string &copy) const
{
  auto c = copies.find (copy);
  return alive && c != copies.end () && c->second.second == PU_COPY_READY;
}

int
FakeEngine::handle_order (const json_t *body)
{
  auto t = static_cast<uint64_t> (number (body, "token"));
  std::string copy = text (body, "model") + "/" + text (body, "version");

  if (fenced && t < token)
    return 409;
  token = std::max (token, t);
  history.push_back (text (body, "kind") + " " + copy);
  if (text (body, "kind") == "unload")
    {
      copies.erase (copy);
      return 202;
    }
  if (copies.count (copy) > 0)
    return 202;
  load_count++;
  copies[copy] = { unsigned (number (body, "memory_mb")), PU_COPY_LOADING };
  overcommitted |= used () > accelerator_mb;
  return 202;
}

void
FakeEngine::finish_loads ()
{
  for (auto c = copies.begin (); c != copies.end ();)
    {
      bool loading = c->second.second == PU_COPY_LOADING;
      if (loading && handling == OrderHandling::accept_then_fail)
        {
          c = copies.erase (c);
          continue;
        }
      if (loading)
        c->second.second = PU_COPY_READY;
      ++c;
    }
}

void
FakeEngine::report ()
{
  std::vector<std::string> names;
  std::vector<pu_copy_record> list;
  pu_command c = {};
  char region[] = "r", service[] = "";
  std::string now = std::to_string (incarnation) + (leaving ? " leaves " : " ")
                    + std::to_string (token);

  names.reserve (2 * copies.size ());
  for (const auto &x : copies)
    {
      auto cut = x.first.find ('/');
      names.push_back (x.first.substr (0, cut));
      names.push_back (x.first.substr (cut + 1));
      list.push_back ({ names[names.size () - 2].data (),
                        names[names.size () - 1].data (), x.second.first,
                        x.second.second });
      now += " " + x.first + std::to_string (x.second.second);
    }
  if (now == last_report)
    return;
  last_report = now;
  c.type = PU_COMMAND_BACKEND_UP;
  pu_backend_record &b = c.pu_command_u.backend_up;
  b.name = name.data ();
  b.incarnation = incarnation;
  b.kind = PU_BACKEND_ENGINE;
  b.service = service;
  b.address = address.data ();
  b.region = region;
  b.zone = name.data ();
  b.accelerators = 1;
  b.memory_mb = accelerator_mb;
  b.fenced = fenced;
  b.leaving = leaving;
  b.token = token;
  b.copies.copies_len = list.size ();
  b.copies.copies_val = list.data ();
  test->propose (c);
}

std::string
model_json (const std::string &name, const std::string &version, unsigned mb)
{
  return "'" + name + "': {'version': '" + version + "', 'memory_mb': "
         + std::to_string (mb) + ", 'kv_cache_mb': 10, 'max_copies': 1}";
}

std::string
document_json (const std::string &models, const std::string &adapters)
{
  std::string text
      = "{'services': {'s': {'kind': 'model', 'targets': {}}}, 'models': {"
        + models + "}, 'adapters': {" + adapters
        + "}, 'placement': {'store_loads_per_s': 100, 'store_full_speed': 10,"
          "'min_stay_s': 0, 'moves_weight': 1},"
          "'version_change': {'watch_s': 0, 'max_failures': 2}}";
  std::replace (text.begin (), text.end (), '\'', '"');
  json_t *d = json_loads (text.c_str (), 0, nullptr);
  json_t *names = json_array ();
  const char *name;
  json_t *value;

  for (const char *table : { "models", "adapters" })
    {
      json_object_foreach (json_object_get (d, table), name, value)
          json_array_append_new (names, json_string (name));
    }
  json_object_set_new (json_object_get (json_object_get (d, "services"), "s"),
                       "models", names);
  char *out = json_dumps (d, 0);
  text = out;
  free (out);
  json_decref (d);
  return text;
}

void
PlacerTest::SetUp ()
{
  char path[] = "/tmp/placer_test.XXXXXX";
  pu_rpc_server_options_t o = {};
  pu_error_t e;

  signal (SIGPIPE, SIG_IGN);
  uv_loop_init (&loop);
  root = mkdtemp (path);
  o.loop = &loop;
  o.address = "127.0.0.1:0";
  o.key = peer_key;
  server = pu_rpc_server_new (&o, &e);
  ASSERT_NE (server, nullptr) << e.message;
  address = "127.0.0.1:" + std::to_string (pu_rpc_server_port (server));
  tick_timer = new uv_timer_t;
  uv_timer_init (&loop, tick_timer);
  tick_timer->data = this;
  uv_timer_start (
      tick_timer,
      [] (uv_timer_t *t) { static_cast<PlacerTest *> (t->data)->tick (); },
      tick_ms, tick_ms);
  start_voter ();
}

void
PlacerTest::start_voter ()
{
  pu_log_peer self = {};
  pu_control_options_t c;
  pu_placer_options_t p;
  std::string folder = root + "/log";
  char name[] = "c0";
  pu_error_t e;

  self.name = name;
  self.address = address.data ();
  pu_control_options_init (&c);
  c.loop = &loop;
  c.server = server;
  c.name = name;
  c.address = address.c_str ();
  c.key = peer_key;
  c.folder = folder.c_str ();
  c.voters = &self;
  c.n_voters = 1;
  c.seed = 1;
  c.heartbeat_ms = 20;
  c.election_ms = 100;
  c.tick_ms = 10;
  for (int i = 0; i < 2; i++)
    {
      c.membership.min_timeout_ms[i] = 600000;
      c.membership.max_timeout_ms[i] = 600000;
    }
  control = pu_control_new (&c, &e);
  ASSERT_NE (control, nullptr) << e.message;
  counters = pu_counters_new ();
  pu_placer_options_init (&p);
  p.loop = &loop;
  p.control = control;
  p.counters = counters;
  p.lease_ms = 80;
  p.order_life_ms = order_life_ms;
  p.plan_interval_ms = 20;
  p.placement.orders.retry_ms = 100;
  placer = pu_placer_new (&p);
  for (auto &x : engines)
    x->last_report = "";
}

void
PlacerTest::stop_voter ()
{
  bool closed = false;

  pu_control_close (
      control, [] (void *d) { *static_cast<bool *> (d) = true; }, &closed);
  control = nullptr;
  run_until ([&] { return closed; });
  pu_placer_free (placer);
  placer = nullptr;
  pu_counters_free (counters);
}

void
PlacerTest::TearDown ()
{
  stop_voter ();
  pu_rpc_server_free (server);
  uv_close (reinterpret_cast<uv_handle_t *> (tick_timer), [] (uv_handle_t *h) {
    delete reinterpret_cast<uv_timer_t *> (h);
  });
  for (auto &e : engines)
    {
      pu_http_server_stop (
          e->server,
          [] (void *d) {
            pu_http_server_free (static_cast<FakeEngine *> (d)->server);
          },
          e.get ());
      pu_http_server_abort (e->server);
    }
  uv_run (&loop, UV_RUN_DEFAULT);
  EXPECT_EQ (uv_loop_close (&loop), 0);
  for (auto &e : engines)
    EXPECT_FALSE (e->overcommitted) << e->name;
  EXPECT_FALSE (lost_ready_copy) << must_stay_ready;
  std::string remove = "rm -rf " + root;
  EXPECT_EQ (system (remove.c_str ()), 0);
}

FakeEngine &
PlacerTest::add_engine (const std::string &name, bool fenced)
{
  auto e = std::make_unique<FakeEngine> ();
  pu_http_server_options_t o = {};
  pu_error_t error;

  e->name = name;
  e->fenced = fenced;
  e->test = this;
  o.loop = &loop;
  o.host = "127.0.0.1";
  o.handler = on_order;
  o.data = e.get ();
  e->server = pu_http_server_new (&o, &error);
  EXPECT_NE (e->server, nullptr) << error.message;
  e->address = "127.0.0.1:" + std::to_string (pu_http_server_port (e->server));
  engines.push_back (std::move (e));
  return *engines.back ();
}

void
PlacerTest::tick ()
{
  bool found = false;

  if (control == nullptr)
    return;
  for (auto &e : engines)
    {
      e->finish_loads ();
      if (e->alive && pu_control_is_leader (control))
        e->report ();
      for (const auto &c : e->copies)
        {
          found
              |= e->is_ready (c.first)
                 && c.first.substr (0, c.first.find ('/')) == must_stay_ready;
        }
    }
  lost_ready_copy |= had_ready_copy && !found;
  had_ready_copy |= found;
}

void
PlacerTest::run_until (const std::function<bool ()> &done)
{
  uint64_t begin = uv_now (&loop);

  while (!done () && uv_now (&loop) - begin < run_until_timeout_ms)
    uv_run (&loop, UV_RUN_ONCE);
  ASSERT_TRUE (done ()) << dump_text ();
}

/* Returns the dump of the placer, for the message of a failed check.  */
std::string
PlacerTest::dump_text () const
{
  json_t *o = placer != nullptr ? pu_placer_dump (placer) : json_object ();
  char *text = json_dumps (o, JSON_INDENT (1));
  std::string s = text;

  free (text);
  json_decref (o);
  return s;
}

void
PlacerTest::run_ms (unsigned ms)
{
  uint64_t begin = uv_now (&loop);

  run_until ([&] { return uv_now (&loop) - begin >= ms; });
}

void
PlacerTest::propose (const pu_command &c)
{
  pu_control_propose (control, &c, on_proposed, nullptr);
}

void
PlacerTest::submit (const std::string &text)
{
  pu_command c = {};
  std::string body = text, id = "change " + std::to_string (version);
  char author[] = "ann";

  run_until ([&] {
    unsigned known = 0;
    pu_state_each_backend (
        pu_control_state (control),
        [] (const pu_backend_record *, void *d) {
          ++*static_cast<unsigned *> (d);
        },
        &known);
    return pu_control_is_leader (control) && known == engines.size ();
  });
  c.type = PU_COMMAND_SUBMIT;
  c.pu_command_u.submit.base_version = version++;
  c.pu_command_u.submit.change_id = id.data ();
  c.pu_command_u.submit.author = author;
  c.pu_command_u.submit.text = body.data ();
  propose (c);
  run_until ([&] {
    const pu_doc_record *d = pu_state_document (pu_control_state (control));
    return d != nullptr && d->doc_version == version;
  });
}

bool
PlacerTest::is_ready (const std::string &copy) const
{
  for (const auto &e : engines)
    {
      if (e->is_ready (copy))
        return true;
    }
  return false;
}

unsigned
PlacerTest::load_count () const
{
  unsigned n = 0;
  for (const auto &e : engines)
    n += e->load_count;
  return n;
}

unsigned
PlacerTest::open_order_count () const
{
  unsigned n = 0;
  pu_state_each_order (
      pu_control_state (control),
      [] (const pu_order_record *, void *d) {
        ++*static_cast<unsigned *> (d);
      },
      &n);
  return n;
}
