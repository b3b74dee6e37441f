/* load - a load driver for the callers' path.

   Closed loop: --connections requests are always open.  Open loop: --rate
   requests arrive a second, whatever the answers do; each model has its own
   Poisson process, and with --burst-s its rate rises tenfold for a while now
   and then.  The arrivals and prompts of a seed are always the same.  */

#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "load_request.h"
#include "run.h"

#define US_PER_S 1000000
#define US_PER_MS 1000
#define TICK_MS 1
#define READY_S 10 /* addresses must be known by then */
#define DRAIN_S                                                               \
  30 /* open requests may take so long after the last arrival                 \
      */
#define BURST_FACTOR 10
#define QUIET_FACTOR 9 /* a quiet time is so many times a burst */
#define DEFAULT_PROMPT_BYTES 200

typedef struct
{
  char **entries;
  char **direct;
  char *service;
  char *models;
  int plain;
  int connections;
  double rate;
  double burst_s;
  int requests;
  double seconds;
  int tokens;
  int prompt_bytes;
  int prefixes;
  int target_ms;
  int timeout_ms;
  int priority;
  int retries;
  int seed;
  int json;
} options_t;

typedef struct
{
  char *name;
  double rate; /* a second, when quiet */
  bool burst;
  double toggle_s; /* end of this phase, from the start */
  double next_s;   /* next arrival */
} model_t;

typedef struct
{
  options_t o;
  uv_loop_t *loop;
  uv_timer_t tick;
  GRand *random;
  load_requests_t *requests;
  GArray *models; /* of model_t */
  gint64 begun_us;
  gint64 start_us; /* 0: not yet */
  gint64 end_us;   /* last answer */
  guint64 arrived;
  bool stopped; /* no more arrivals */
} load_t;

static void start_one (load_t *l, const model_t *m, gint64 arrived_us,
                       load_done_cb cb);

static double
elapsed_s (const load_t *l)
{
  return (double)(g_get_monotonic_time () - l->start_us) / US_PER_S;
}

static bool
is_over (const load_t *l)
{
  if (l->stopped)
    return true;
  if (l->o.requests > 0 && l->arrived >= (guint64)l->o.requests)
    return true;
  return elapsed_s (l) >= l->o.seconds;
}

static double
exponential (load_t *l, double mean)
{
  return -log (1 - g_rand_double (l->random)) * mean;
}

/* A prompt of the wanted size: one of the shared beginnings, then its own
   part.  */
static char *
make_prompt (load_t *l)
{
  GString *out = g_string_new (NULL);
  gsize size = (gsize)l->o.prompt_bytes;
  gsize shared = l->o.prefixes > 0 ? size * 3 / 4 : 0;
  gint32 prefix = g_rand_int_range (l->random, 0, MAX (l->o.prefixes, 1));

  while (out->len < shared)
    g_string_append_printf (out, "shared %d ", prefix);
  while (out->len < size)
    g_string_append_printf (out, "%08x ", g_rand_int (l->random));
  g_string_truncate (out, size);
  return g_string_free (out, FALSE);
}

static const model_t *
any_model (load_t *l)
{
  gint32 i = g_rand_int_range (l->random, 0, (gint32)l->models->len);

  return &g_array_index (l->models, model_t, i);
}

static void
on_closed_done (void *data)
{
  load_t *l = data;

  l->end_us = g_get_monotonic_time ();
  if (!is_over (l))
    start_one (l, any_model (l), l->end_us, on_closed_done);
}

static void
on_open_done (void *data)
{
  ((load_t *)data)->end_us = g_get_monotonic_time ();
}

static void
start_one (load_t *l, const model_t *m, gint64 arrived_us, load_done_cb cb)
{
  char *prompt;
  char *body;

  l->arrived++;
  if (l->o.plain)
    {
      load_requests_start (l->requests, NULL, arrived_us, cb, l);
      return;
    }
  prompt = make_prompt (l);
  body = fake_question_body (m->name, prompt, (guint)l->o.tokens, true);
  g_free (prompt);
  load_requests_start (l->requests, body, arrived_us, cb, l);
}

/* Moves the next arrival of M on by its rate, phase by phase.  */
static void
schedule_next (load_t *l, model_t *m)
{
  double work = exponential (l, 1);

  for (;;)
    {
      double rate = m->rate * (m->burst ? BURST_FACTOR : 1);
      double left = m->toggle_s - m->next_s;

      if (l->o.burst_s <= 0 || work <= left * rate)
        {
          m->next_s += work / rate;
          return;
        }
      work -= left * rate;
      m->next_s = m->toggle_s;
      m->burst = !m->burst;
      m->toggle_s
          += exponential (l, l->o.burst_s * (m->burst ? 1 : QUIET_FACTOR));
    }
}

static void
arrivals_until (load_t *l, double now_s)
{
  for (guint i = 0; i < l->models->len; i++)
    {
      model_t *m = &g_array_index (l->models, model_t, i);

      while (m->next_s <= now_s && !is_over (l))
        {
          gint64 at = l->start_us + (gint64)(m->next_s * US_PER_S);

          start_one (l, m, at, on_open_done);
          schedule_next (l, m);
        }
    }
}

/* Model k of n gets a share of the rate as 1/(k+1).  With bursts the quiet
   rate is lower, so that the mean stays --rate.  */
static void
make_models (load_t *l)
{
  char **names = g_strsplit (l->o.plain ? "plain" : l->o.models, ",", 0);
  double mean = l->o.burst_s > 0 ? (double)(QUIET_FACTOR + BURST_FACTOR)
                                       / (QUIET_FACTOR + 1)
                                 : 1;
  double sum = 0;

  l->models = g_array_new (FALSE, TRUE, sizeof (model_t));
  for (guint i = 0; names[i] != NULL; i++)
    sum += 1.0 / (i + 1);
  for (guint i = 0; names[i] != NULL; i++)
    {
      model_t m = { .name = g_strdup (names[i]) };

      m.rate = l->o.rate / mean / sum / (i + 1);
      m.toggle_s = exponential (l, l->o.burst_s * QUIET_FACTOR);
      if (l->o.rate > 0)
        schedule_next (l, &m);
      g_array_append_val (l->models, m);
    }
  g_strfreev (names);
}

static void
begin (load_t *l)
{
  l->start_us = g_get_monotonic_time ();
  l->end_us = l->start_us;
  for (int i = 0; l->o.rate <= 0 && i < l->o.connections && !is_over (l); i++)
    start_one (l, any_model (l), l->start_us, on_closed_done);
}

static void
on_tick (uv_timer_t *timer)
{
  load_t *l = timer->data;
  gint64 now = g_get_monotonic_time ();
  double ready_s = (double)(now - l->begun_us) / US_PER_S;

  if (l->start_us == 0 && load_requests_ready (l->requests))
    begin (l);
  if (l->start_us == 0)
    {
      if (l->stopped || ready_s > READY_S)
        fake_run_fail ("no address is known");
      return;
    }
  if (l->o.rate > 0)
    arrivals_until (l, elapsed_s (l));
  if (!is_over (l))
    return;
  if (load_requests_open (l->requests) == 0
      || elapsed_s (l) > l->o.seconds + DRAIN_S)
    uv_stop (l->loop);
}

static void
on_term (void *data)
{
  ((load_t *)data)->stopped = true;
}

static void
print (const load_t *l)
{
  const load_stats_t *s = load_requests_stats (l->requests);
  double seconds = (double)(l->end_us - l->start_us) / US_PER_S;
  json_t *out = load_stats_json (s, seconds);
  const char *key;
  json_t *value;

  json_object_set_new (out, "unfinished",
                       json_integer (load_requests_open (l->requests)));
  if (l->o.json)
    {
      json_dumpf (out, stdout, JSON_COMPACT | JSON_REAL_PRECISION (6));
    }
  else
    {
      json_object_foreach (out, key, value)
      {
        printf ("%-20s %.10g\n", key, json_number_value (value));
      }
    }
  printf ("%s", l->o.json ? "\n" : "");
  json_decref (out);
}

static void
options_free (options_t *o)
{
  g_strfreev (o->entries);
  g_strfreev (o->direct);
  g_free (o->service);
  g_free (o->models);
}

static void
load_free (load_t *l)
{
  for (guint i = 0; i < l->models->len; i++)
    g_free (g_array_index (l->models, model_t, i).name);
  g_array_free (l->models, TRUE);
  uv_close ((uv_handle_t *)&l->tick, NULL);
  load_requests_free (l->requests);
  g_rand_free (l->random);
  options_free (&l->o);
}

static void
read_options (options_t *o, int argc, char **argv)
{
  struct poptOption table[] = {
    { "entry", 0, POPT_ARG_ARGV, &o->entries, 0,
      "ask it which entries to use; any number", "H:P" },
    { "direct", 0, POPT_ARG_ARGV, &o->direct, 0, "send there; any number",
      "H:P" },
    { "service", 0, POPT_ARG_STRING, &o->service, 0, "service", "NAME" },
    { "models", 0, POPT_ARG_STRING, &o->models, 0, "most wanted first",
      "M,..." },
    { "plain", 0, POPT_ARG_VAL, &o->plain, 1,
      "calls of a plain service that may not be repeated", NULL },
    { "connections", 'c', POPT_ARG_INT, &o->connections, 0, "closed loop",
      "N" },
    { "rate", 0, POPT_ARG_DOUBLE, &o->rate, 0, "open loop, requests a second",
      "R" },
    { "burst-s", 0, POPT_ARG_DOUBLE, &o->burst_s, 0,
      "mean time of a model's burst; 0: none", "S" },
    { "requests", 'n', POPT_ARG_INT, &o->requests, 0, "at most", "N" },
    { "seconds", 0, POPT_ARG_DOUBLE, &o->seconds, 0, "at most", "S" },
    { "tokens", 0, POPT_ARG_INT, &o->tokens, 0, "of an answer", "N" },
    { "prompt-bytes", 0, POPT_ARG_INT, &o->prompt_bytes, 0, "size", "N" },
    { "prefixes", 0, POPT_ARG_INT, &o->prefixes, 0,
      "shared beginnings of prompts; 0: none", "N" },
    { "target-ms", 0, POPT_ARG_INT, &o->target_ms, 0, "to the first token",
      "MS" },
    { "timeout-ms", 0, POPT_ARG_INT, &o->timeout_ms, 0, "for progress", "MS" },
    { "priority", 0, POPT_ARG_INT, &o->priority, 0, "0 to 9", "N" },
    { "retries", 0, POPT_ARG_INT, &o->retries, 0,
      "attempts after the first, after Retry-After", "N" },
    { "seed", 0, POPT_ARG_INT, &o->seed, 0, "of arrivals and prompts", "N" },
    { "json", 0, POPT_ARG_VAL, &o->json, 1, "one JSON object", NULL },
    POPT_AUTOHELP POPT_TABLEEND
  };

  fake_run_options (argc, argv, table);
  if ((o->entries == NULL) == (o->direct == NULL))
    fake_run_fail ("either --entry or --direct is needed");
  if (o->plain ? o->service == NULL : o->models == NULL)
    fake_run_fail ("--models, or --plain with --service, is needed");
}

int
main (int argc, char **argv)
{
  load_t l = { .o = { .connections = 1,
                      .seconds = 10,
                      .tokens = 16,
                      .prompt_bytes = DEFAULT_PROMPT_BYTES,
                      .target_ms = 1000,
                      .timeout_ms = 10000,
                      .priority = 5,
                      .seed = 1 } };
  load_requests_options_t o = { 0 };
  const load_stats_t *s;
  bool wrong;

  read_options (&l.o, argc, argv);
  pu_log_set_level ("warn");
  l.loop = uv_default_loop ();
  l.random = g_rand_new_with_seed ((guint32)l.o.seed);
  make_models (&l);
  o.loop = l.loop;
  o.seed = (guint32)l.o.seed;
  o.entries = l.o.entries;
  o.direct = l.o.direct;
  o.service = l.o.service;
  o.priority = (guint)l.o.priority;
  o.timeout_ms = (guint)l.o.timeout_ms;
  o.retries = (guint)l.o.retries;
  o.target_ms = (guint)l.o.target_ms;
  l.requests = load_requests_new (&o);
  l.begun_us = g_get_monotonic_time ();
  uv_timer_init (l.loop, &l.tick);
  l.tick.data = &l;
  uv_timer_start (&l.tick, on_tick, 0, TICK_MS);
  fake_run_on_term (l.loop, on_term, &l);
  uv_run (l.loop, UV_RUN_DEFAULT);
  print (&l);
  s = load_requests_stats (l.requests);
  wrong = s->outcomes[LOAD_WRONG] > 0;
  load_free (&l);
  return wrong ? EXIT_FAILURE : EXIT_SUCCESS;
}
