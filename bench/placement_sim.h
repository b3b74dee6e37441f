#ifndef BENCH_PLACEMENT_SIM_H
#define BENCH_PLACEMENT_SIM_H

#include <algorithm>
#include <deque>
#include <queue>
#include <random>
#include <string>
#include <vector>

/* A store, engines that share their speed among the requests they run, and a
   seeded trace of bursts: just enough to compare placement policies.  Time
   goes by ticks; all times are in seconds.  */
namespace place
{

constexpr double kTick = 0.05;

struct Item
{
  int base; /* -1: a model */
  unsigned memory_mb;
  double load_s; /* at the store's full speed */
  int importance;
};

struct Arrival
{
  double at;
  int item;
  double work; /* seconds on an engine that is not crowded */
};

struct User
{
  const char *name;
  int models, adapters;
  double loads_per_s;
  int full_speed;
  double moves_weight;
  bool lessons; /* models burst together, at the start of a lesson */
};

constexpr User kUsers[] = { { "ROBONUPP", 31, 100, 2, 3, 0.25, true },
                            { "AMAMIZU", 34, 100, 2, 13, 0.75, false } };

struct Scenario
{
  User user;
  int engines = 18, zones = 3;
  unsigned memory_mb = 80000;
  double streams = 16;
  double use = 0.5; /* mean use of all engines */
  double length = 4 * 3600, warm = 1800;
  unsigned seed = 1;
};

std::vector<Item> make_items (const Scenario &s);
std::vector<Arrival> make_trace (const Scenario &s,
                                 const std::vector<Item> &items);

enum class Phase
{
  Loading,
  Ready,
  Draining
};

struct Copy
{
  int item;
  Phase phase;
  int running = 0;
  double used = 0; /* last */
};

struct Running
{
  double finish; /* in the engine's own time */
  double at;     /* when it arrived */
  double late_at;
  int item;
  bool
  operator<(const Running &o) const
  {
    return finish > o.finish;
  }
};

struct Engine
{
  int zone = 0;
  bool alive = true;
  double own = 0; /* its own time: seconds of work done by each request */
  std::priority_queue<Running> running;
  std::vector<Copy> copies;

  Copy *find (int item);
  unsigned memory (const std::vector<Item> &items) const;
};

/* What a policy may do, and what is counted.  */
class Sim
{
public:
  Sim (const Scenario &s, const std::vector<Item> &items);

  const Scenario s;
  const std::vector<Item> items;
  std::vector<Engine> engines;
  double now = 0;
  long on_time = 0, all = 0, loads = 0, unloads = 0;

  bool load (int engine, int item); /* false: no memory, or there already */
  void unload (int engine, int item);
  int least_loaded (int item);      /* of those that have it ready; -1: none */
  bool dispatch (const Arrival &a); /* false: nobody has it ready */
  void lose (int engine);
  void tick ();
  int unreachable ();    /* items without a ready copy */
  int coming (int item); /* loads under way */

private:
  struct Load
  {
    int engine, item;
    double left;
  };
  std::deque<Load> queued;
  std::vector<Load> loading;
  double tokens = 1;

  bool
  measured () const
  {
    return now >= s.warm;
  }
  void run_store ();
  void run_engine (Engine &e);
};

class Policy
{
public:
  virtual ~Policy () = default;
  virtual void request (Sim &m, const Arrival &a) = 0;
  virtual void
  tick (Sim &)
  {
  }
  virtual void
  second (Sim &)
  {
  }
};

void run (Sim &m, Policy &p, const std::vector<Arrival> &trace, double until,
          size_t &next);

/* ---- */

inline std::vector<Item>
make_items (const Scenario &s)
{
  std::mt19937 rng (s.seed);
  std::vector<Item> items;
  const unsigned sizes[] = { 14000, 18000, 24000, 34000 };

  for (int i = 0; i < s.user.models; i++)
    {
      unsigned mb = sizes[rng () % 4];
      items.push_back ({ -1, mb, 2 + mb / 3000.0, 3 + int (rng () % 5) });
    }
  for (int i = 0; i < s.user.adapters; i++)
    items.push_back ({ i % s.user.models, 200, 0.5, 5 });
  return items;
}

/* Poisson arrivals; the popularity of items is Zipf's, and each model bursts
   to up to ten times its usual rate for some minutes.  */
inline std::vector<Arrival>
make_trace (const Scenario &s, const std::vector<Item> &items)
{
  std::mt19937 rng (s.seed + 1);
  std::uniform_real_distribution<double> uniform (0, 1);
  int models = s.user.models;
  int slots = int (s.length / 10) + 1;
  std::vector<double> weight (items.size ());
  std::vector<std::vector<float> > factor (models,
                                           std::vector<float> (slots, 1));
  double sum = 0;

  for (int m = 0; m < models; m++)
    {
      double t = uniform (rng) * 2400;
      weight[m] = 1 / (1 + 0.5 * (rng () % models));
      while (t < s.length)
        {
          double last = 180 + uniform (rng) * 420;
          float up = 3 + 7 * uniform (rng);
          double from = s.user.lessons ? std::floor (t / 900) * 900 : t;
          for (int k = from / 10; k < (from + last) / 10 && k < slots; k++)
            factor[m][k] = up;
          t = std::max (t, from + last) + 600
              - 2400 * std::log (uniform (rng));
        }
    }
  /* Half of a model's requests name one of its adapters.  */
  for (size_t i = models; i < items.size (); i++)
    weight[i] = weight[items[i].base] * 0.5 * models / s.user.adapters;
  for (int m = 0; m < models; m++)
    weight[m] *= 0.5;
  for (size_t i = 0; i < items.size (); i++)
    {
      auto &f = factor[items[i].base < 0 ? i : items[i].base];
      for (float v : f)
        sum += weight[i] * v / slots;
    }

  constexpr double kMeanWork = 4;
  double rate = s.use * s.engines * s.streams / kMeanWork / sum;
  std::vector<Arrival> trace;
  for (size_t i = 0; i < items.size (); i++)
    {
      auto &f = factor[items[i].base < 0 ? i : items[i].base];
      double most = rate * weight[i] * 10;
      for (double t = 0; t < s.length;)
        {
          t -= std::log (uniform (rng)) / most;
          int k = t / 10;
          if (k >= slots || uniform (rng) * 10 > f[k])
            continue;
          double work = 1 - (kMeanWork - 1) * std::log (uniform (rng));
          trace.push_back ({ t, int (i), std::min (work, 30.0) });
        }
    }
  std::sort (trace.begin (), trace.end (),
             [] (const Arrival &a, const Arrival &b) { return a.at < b.at; });
  return trace;
}

inline Copy *
Engine::find (int item)
{
  for (auto &c : copies)
    if (c.item == item)
      return &c;
  return nullptr;
}

inline unsigned
Engine::memory (const std::vector<Item> &items) const
{
  unsigned sum = 0;
  for (auto &c : copies)
    sum += items[c.item].memory_mb;
  return sum;
}

inline Sim::Sim (const Scenario &sc, const std::vector<Item> &it)
    : s (sc), items (it), engines (sc.engines)
{
  for (int i = 0; i < sc.engines; i++)
    engines[i].zone = i % sc.zones;
}

inline bool
Sim::load (int engine, int item)
{
  Engine &e = engines[engine];

  if (!e.alive || e.find (item)
      || e.memory (items) + items[item].memory_mb > s.memory_mb)
    return false;
  e.copies.push_back ({ item, Phase::Loading });
  queued.push_back ({ engine, item, items[item].load_s });
  loads += measured ();
  return true;
}

inline void
Sim::unload (int engine, int item)
{
  Copy *c = engines[engine].find (item);

  if (!c || c->phase != Phase::Ready)
    return;
  c->phase = Phase::Draining;
  unloads += measured ();
}

inline int
Sim::least_loaded (int item)
{
  int best = -1;

  for (int i = 0; i < s.engines; i++)
    {
      Copy *c = engines[i].alive ? engines[i].find (item) : nullptr;
      if (c && c->phase == Phase::Ready
          && (best < 0
              || engines[i].running.size () < engines[best].running.size ()))
        best = i;
    }
  return best;
}

inline bool
Sim::dispatch (const Arrival &a)
{
  int to = least_loaded (a.item);

  if (to < 0)
    return false;
  Engine &e = engines[to];
  Copy *c = e.find (a.item);
  c->used = now;
  all += a.at >= s.warm;
  if (e.running.size () >= 3 * s.streams)
    return true; /* refused: counts as late */
  c->running++;
  e.running.push ({ e.own + a.work, a.at, a.at + 1 + 1.5 * a.work, a.item });
  return true;
}

inline void
Sim::lose (int engine)
{
  Engine &e = engines[engine];

  e.alive = false;
  e.copies.clear ();
  e.running = {};
  auto on = [=] (const Load &l) { return l.engine == engine; };
  queued.erase (std::remove_if (queued.begin (), queued.end (), on),
                queued.end ());
  loading.erase (std::remove_if (loading.begin (), loading.end (), on),
                 loading.end ());
}

inline void
Sim::run_store ()
{
  tokens = std::min (s.user.loads_per_s, tokens + kTick * s.user.loads_per_s);
  for (; !queued.empty () && tokens >= 1; tokens--)
    {
      loading.push_back (queued.front ());
      queued.pop_front ();
    }
  double speed = std::min (1.0, s.user.full_speed
                                    / std::max<double> (1, loading.size ()));
  for (size_t i = loading.size (); i-- > 0;)
    {
      loading[i].left -= kTick * speed;
      if (loading[i].left > 0)
        continue;
      Copy *c = engines[loading[i].engine].find (loading[i].item);
      c->phase = Phase::Ready;
      c->used = now;
      loading.erase (loading.begin () + i);
    }
}

inline void
Sim::run_engine (Engine &e)
{
  double n = e.running.size ();

  e.own += kTick * std::min (1.0, s.streams / std::max (1.0, n));
  while (!e.running.empty () && e.running.top ().finish <= e.own)
    {
      const Running &r = e.running.top ();
      e.find (r.item)->running--;
      if (r.at >= s.warm)
        on_time += now <= r.late_at;
      e.running.pop ();
    }
  for (size_t i = e.copies.size (); i-- > 0;)
    if (e.copies[i].phase == Phase::Draining && e.copies[i].running == 0)
      e.copies.erase (e.copies.begin () + i);
}

inline void
Sim::tick ()
{
  run_store ();
  for (auto &e : engines)
    if (e.alive)
      run_engine (e);
  now += kTick;
}

inline int
Sim::unreachable ()
{
  int n = 0;
  for (size_t i = 0; i < items.size (); i++)
    n += least_loaded (int (i)) < 0;
  return n;
}

inline int
Sim::coming (int item)
{
  int n = 0;
  for (auto &e : engines)
    for (auto &c : e.copies)
      n += c.item == item && c.phase == Phase::Loading;
  return n;
}

inline void
run (Sim &m, Policy &p, const std::vector<Arrival> &trace, double until,
     size_t &next)
{
  while (m.now < until)
    {
      long before = long (m.now);
      for (; next < trace.size () && trace[next].at <= m.now; next++)
        p.request (m, trace[next]);
      p.tick (m);
      m.tick ();
      if (long (m.now) != before)
        p.second (m);
    }
}

} // namespace place

#endif
