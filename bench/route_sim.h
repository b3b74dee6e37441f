#ifndef PU_BENCH_ROUTE_SIM_H
#define PU_BENCH_ROUTE_SIM_H

/* A queueing stand-in of continuously batching engines, in steps of 1 ms, for
   comparing routing policies on one seeded trace.  Engines take chunks of
   prefill in order of arrival, give each running request a token an iteration,
   remember recent prompt prefixes and report load late.  */

#include <glib.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <vector>

namespace sim
{

constexpr int kEngines = 18, kModels = 34, kEntries = 2, kServices = 3;
constexpr int kPrefixTokens = 256, kPrefixes = 20, kCached = 64;
constexpr int kBatch = 64, kChunk = 256;
constexpr double kStepMs = 12, kStepPerRequestMs = 0.6, kPrefillMs = 0.08;
constexpr int kFirstTargetMs = 390, kTokenTargetMs = 56, kTimeoutMs = 15000;
constexpr int kReportMs = 1000, kLagMs = 300;

struct Request
{
  int id, model, service, entry, prompt, output, prefix, arrival;
  int left = 0;   /* prefill tokens to do */
  int tokens = 0; /* given */
  int first = -1; /* time of the first token */
  int engine = -1, attempts = 0;
  bool cached = false;
  guint64 ticket = 0; /* of the policy */
};

struct Trace
{
  std::vector<std::vector<int> > holders; /* engines of each model */
  std::vector<Request> requests;          /* by arrival */
};

/* Demand for each model switches between calm and a tenfold burst.  RATE is
   the mean number of requests a second; the first service asks LOUD times as
   often.  */
inline Trace
make_trace (unsigned seed, int ms, double rate, double loud = 1)
{
  std::mt19937 rand (seed);
  auto uniform = [&rand] { return rand () / 4294967296.0; };
  Trace t;
  std::vector<double> weight (kModels);
  double sum = 0;
  for (int m = 0; m < kModels; m++)
    {
      std::vector<int> all (kEngines);
      for (int e = 0; e < kEngines; e++)
        all[e] = e;
      std::shuffle (all.begin (), all.end (), rand);
      all.resize (m < 4 ? 6 : m < 12 ? 4 : 2);
      t.holders.push_back (all);
      weight[m] = 1.0 / (m + 2);
      sum += weight[m] * 2.0; /* bursts double the mean */
    }
  std::vector<int> until (kModels, 0);
  std::vector<bool> burst (kModels, false);
  for (int now = 0; now < ms; now++)
    for (int m = 0; m < kModels; m++)
      {
        if (now >= until[m])
          {
            burst[m] = uniform () < 0.111;
            until[m] = now + 1000 + static_cast<int> (rand () % 4000);
          }
        double p = rate / 1000 * weight[m] / sum * (burst[m] ? 10 : 1)
                   * (m % kServices == 0 ? loud : 1);
        if (uniform () >= p)
          continue;
        Request q{};
        q.id = static_cast<int> (t.requests.size ());
        q.model = m;
        q.service = m % kServices;
        q.entry = static_cast<int> (rand () % kEntries);
        q.prompt = kPrefixTokens + static_cast<int> (rand () % 700);
        q.output = 20 + static_cast<int> (rand () % 160);
        q.prefix = m * kPrefixes + static_cast<int> (rand () % kPrefixes);
        q.arrival = now;
        q.engine = -1;
        q.first = -1;
        t.requests.push_back (q);
      }
  return t;
}

struct Engine
{
  std::deque<Request *> waiting, prefill, decode;
  std::deque<int> cache;           /* prefixes, newest first */
  std::vector<int> added, removed; /* since the last report */
  double busy_until = 0;
  int failing = 0; /* 1: no connection; 2: breaks streams */
};

class Policy
{
public:
  virtual ~Policy () = default;
  /* Puts requests to start into STARTS, with `engine` set.  */
  virtual void offer (Request *q, int now, std::vector<Request *> &starts) = 0;
  virtual void
  first (Request *, int)
  {
  }
  virtual void
  token (Request *, int)
  {
  }
  virtual void
  done (Request *, int)
  {
  }
  virtual void failed (Request *, bool sent, int now,
                       std::vector<Request *> &starts)
      = 0;
  virtual void
  cancelled (Request *q, int now)
  {
    done (q, now);
  }
  virtual void report (int engine, const Engine &, int now) = 0;
  virtual void
  tick (int, std::vector<Request *> &)
  {
  }
};

struct Result
{
  int offered = 0, attained = 0, attempts = 0, tried = 0;
  int calm_offered = 0, calm_attained = 0; /* all services but the first */
  std::vector<int> first_ms;
};

class Simulation
{
public:
  Simulation (Trace trace, Policy &policy, int failing)
      : trace_ (std::move (trace)), policy_ (policy), engines_ (kEngines)
  {
    for (int e = 0; e < failing; e++)
      engines_[e].failing = 1 + e % 2;
  }

  Result
  run (int ms)
  {
    size_t next = 0;
    std::vector<Request *> starts;
    for (int now = 0; now < ms + kTimeoutMs; now++)
      {
        for (; next < trace_.requests.size ()
               && trace_.requests[next].arrival <= now;
             next++)
          policy_.offer (&trace_.requests[next], now, starts);
        for (int e = 0; e < kEngines; e++)
          {
            if (engines_[e].busy_until <= now)
              iterate (engines_[e], now, starts);
            if (now % kReportMs == e * 50)
              pending_.push_back ({ now + kLagMs, e, engines_[e] });
            if (now % kReportMs == e * 50)
              engines_[e].added.clear (), engines_[e].removed.clear ();
          }
        for (; !pending_.empty () && pending_.front ().at <= now;
             pending_.pop_front ())
          policy_.report (pending_.front ().engine, pending_.front ().state,
                          now);
        policy_.tick (now, starts);
        /* A failure at the start may give another start.  */
        while (!starts.empty ())
          {
            Request *q = starts.back ();
            starts.pop_back ();
            start (q, now, starts);
          }
      }
    return result ();
  }

private:
  struct Report
  {
    int at, engine;
    Engine state;
  };

  void
  start (Request *q, int now, std::vector<Request *> &starts)
  {
    Engine &e = engines_[q->engine];
    q->attempts++;
    if (e.failing == 1)
      return policy_.failed (q, false, now, starts);
    e.waiting.push_back (q);
  }

  void
  cache (Engine &e, int prefix)
  {
    auto at = std::find (e.cache.begin (), e.cache.end (), prefix);
    if (at == e.cache.end ())
      e.added.push_back (prefix);
    else
      e.cache.erase (at);
    e.cache.push_front (prefix);
    if (e.cache.size () <= kCached)
      return;
    e.removed.push_back (e.cache.back ());
    e.cache.pop_back ();
  }

  void
  drop_late (std::deque<Request *> &list, int now)
  {
    for (auto at = list.begin (); at != list.end ();)
      {
        if (now < (*at)->arrival + kTimeoutMs)
          {
            ++at;
            continue;
          }
        policy_.cancelled (*at, now);
        at = list.erase (at);
      }
  }

  void
  iterate (Engine &e, int now, std::vector<Request *> &starts)
  {
    for (auto *list : { &e.waiting, &e.prefill, &e.decode })
      drop_late (*list, now);
    for (;
         !e.waiting.empty () && e.prefill.size () + e.decode.size () < kBatch;
         e.waiting.pop_front ())
      {
        Request *q = e.waiting.front ();
        q->cached = std::count (e.cache.begin (), e.cache.end (), q->prefix);
        q->left = q->prompt - (q->cached ? kPrefixTokens : 0);
        e.prefill.push_back (q);
      }
    std::deque<Request *> decoding;
    for (Request *q : e.decode)
      {
        q->tokens++;
        policy_.token (q, now);
        if (e.failing == 2 && q->tokens > 10)
          policy_.failed (q, true, now, starts);
        else if (q->tokens < q->output)
          decoding.push_back (q);
        else
          finish (q, now);
      }
    int chunk = kChunk;
    while (chunk > 0 && !e.prefill.empty ())
      {
        Request *q = e.prefill.front ();
        int part = std::min (chunk, q->left);
        q->left -= part;
        chunk -= part;
        if (q->left > 0)
          break;
        e.prefill.pop_front ();
        cache (e, q->prefix);
        q->tokens = 0; /* the first one comes with the next iteration */
        decoding.push_back (q);
      }
    e.decode = decoding;
    if (e.decode.empty () && chunk == kChunk)
      return;
    e.busy_until = now + kStepMs
                   + kStepPerRequestMs * static_cast<double> (e.decode.size ())
                   + kPrefillMs * (kChunk - chunk);
  }

  void
  finish (Request *q, int now)
  {
    policy_.done (q, now);
    int mean = (now - q->first) / std::max (1, q->output - 1);
    result_.first_ms.push_back (q->first - q->arrival);
    bool in_time
        = q->first - q->arrival <= kFirstTargetMs && mean <= kTokenTargetMs;
    result_.attained += in_time;
    result_.calm_attained += in_time && q->service > 0;
  }

  Result
  result ()
  {
    for (const Request &q : trace_.requests)
      {
        result_.offered++;
        result_.calm_offered += q.service > 0;
        result_.attempts += q.attempts;
        result_.tried += q.attempts > 0;
      }
    return result_;
  }

  Trace trace_;
  Policy &policy_;
  std::vector<Engine> engines_;
  std::deque<Report> pending_;
  Result result_;
};

} // namespace sim

#endif
