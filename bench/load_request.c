#include "load_request.h"

#include <stdlib.h>
#include <string.h>

#include "http/fetch.h"

#define LEARN_TIMEOUT_MS 1000
#define LEARN_RETRY_MS 200
#define LEARN_MAX 65536
#define MS_PER_S 1000
#define US_PER_MS 1000
#define DEFAULT_WAIT_MS 50 /* before another attempt, when none is told */
#define CONNECT_MS 1000

typedef struct
{
  char *address;
  guint weight;
} entry_t;

struct load_requests
{
  load_requests_options_t o;
  pu_http_client_t *client;
  GArray *entries; /* of entry_t */
  uv_timer_t learn;
  guint learn_from;
  char *learn_target;
  GRand *random;
  load_stats_t stats;
  guint open;
  guint64 numbers;
  char *run; /* part of each id, so that two runs never share one */
};

typedef struct
{
  load_requests_t *owner;
  fake_question_t question; /* empty for a plain call */
  char *body;               /* NULL: a plain call */
  char *id;
  char *key;
  gint64 arrived_us;
  guint attempts;
  bool may_have_run; /* an attempt ended with its fate unknown */
  uv_timer_t timer;
  load_done_cb cb;
  void *data;
} request_t;

static void attempt (request_t *r);
static void on_learn (uv_timer_t *timer);

static void
entry_clear (gpointer data)
{
  g_free (((entry_t *)data)->address);
}

static void
add_entry (load_requests_t *l, const char *address, guint weight)
{
  entry_t one = { g_strdup (address), MAX (weight, 1) };

  g_array_append_val (l->entries, one);
}

static const char *
pick (load_requests_t *l)
{
  guint sum = 0;
  guint at;

  for (guint i = 0; i < l->entries->len; i++)
    sum += g_array_index (l->entries, entry_t, i).weight;
  at = (guint)g_rand_int_range (l->random, 0, (gint32)MAX (sum, 1));
  for (guint i = 0; i < l->entries->len; i++)
    {
      const entry_t *e = &g_array_index (l->entries, entry_t, i);

      if (at < e->weight)
        return e->address;
      at -= e->weight;
    }
  return NULL;
}

/* Learning addresses.  */

static void
on_learnt (void *data, const pu_http_fetched_t *f)
{
  load_requests_t *l = data;
  json_t *root = json_loadb (f->body, f->body_len, 0, NULL);
  json_t *list = json_object_get (root, "entries");
  json_int_t ttl = json_integer_value (json_object_get (root, "ttl_s"));
  json_t *one;
  size_t i;

  if (f->result.kind != PU_HTTP_END_COMPLETE || f->response->status != 200
      || json_array_size (list) == 0)
    {
      l->learn_from++;
      uv_timer_start (&l->learn, on_learn, LEARN_RETRY_MS, 0);
      json_decref (root);
      return;
    }
  g_array_set_size (l->entries, 0);
  json_array_foreach (list, i, one)
  {
    const char *address = json_string_value (json_object_get (one, "address"));

    if (address != NULL)
      {
        add_entry (
            l, address,
            (guint)json_integer_value (json_object_get (one, "weight")));
      }
  }
  json_decref (root);
  uv_timer_start (&l->learn, on_learn, (guint64)MAX (ttl, 1) * MS_PER_S, 0);
}

static void
on_learn (uv_timer_t *timer)
{
  load_requests_t *l = timer->data;
  guint n = g_strv_length (l->o.entries);
  pu_http_call_options_t o = { .address = l->o.entries[l->learn_from % n],
                               .method = "GET",
                               .target = l->learn_target,
                               .first_byte_timeout_ms = LEARN_TIMEOUT_MS,
                               .progress_timeout_ms = LEARN_TIMEOUT_MS };

  if (pu_http_fetch (l->client, &o, LEARN_MAX, on_learnt, l, NULL) != NULL)
    return;
  l->learn_from++;
  uv_timer_start (timer, on_learn, LEARN_RETRY_MS, 0);
}

/* Requests.  */

static void
on_request_closed (uv_handle_t *handle)
{
  request_t *r = handle->data;

  fake_question_clear (&r->question);
  free (r->body);
  g_free (r->id);
  g_free (r->key);
  g_free (r);
}

static void
count_answer (request_t *r, const load_result_t *result)
{
  load_stats_t *s = &r->owner->stats;
  gint64 first = result->first_us != 0 ? result->first_us : result->end_us;
  gint64 wait = first - r->arrived_us;

  pu_histogram_add (s->first, (guint64)MAX (wait, 0));
  pu_histogram_add (s->total, (guint64)(result->end_us - r->arrived_us));
  if (wait <= (gint64)r->owner->o.target_ms * US_PER_MS)
    s->in_target++;
}

static void
finish (request_t *r, load_outcome_t outcome)
{
  load_requests_t *l = r->owner;

  l->stats.outcomes[outcome]++;
  l->open--;
  r->cb (r->data);
  uv_close ((uv_handle_t *)&r->timer, on_request_closed);
}

static bool
may_retry (const request_t *r, const load_result_t *result)
{
  if (r->attempts > r->owner->o.retries)
    return false;
  switch (result->outcome)
    {
    case LOAD_REFUSED:
    case LOAD_NOT_SENT:
      return true;
    case LOAD_UNKNOWN:
      return r->body == NULL;
    default:
      return false;
    }
}

static void
on_wait_over (uv_timer_t *timer)
{
  attempt (timer->data);
}

/* Milliseconds until the next attempt: none while there is an address that was
   not tried yet.  */
static guint
wait_before_next (const request_t *r, const load_result_t *result)
{
  bool more = r->attempts < r->owner->entries->len;

  if (result->outcome == LOAD_NOT_SENT && more)
    return 0;
  return result->retry_after_ms != 0 ? result->retry_after_ms
                                     : DEFAULT_WAIT_MS;
}

static void
on_result (void *data, const load_result_t *result)
{
  request_t *r = data;
  bool unknown = result->outcome == LOAD_UNKNOWN;

  r->may_have_run = r->may_have_run || unknown;
  if (may_retry (r, result))
    {
      r->owner->stats.resends += unknown ? 1 : 0;
      uv_timer_start (&r->timer, on_wait_over, wait_before_next (r, result),
                      0);
      return;
    }
  if (result->outcome == LOAD_OK)
    count_answer (r, result);
  if (result->outcome == LOAD_NOT_SENT && r->may_have_run)
    {
      finish (r, LOAD_UNKNOWN);
    }
  else
    {
      finish (r, result->outcome);
    }
}

/* Ends by the timer, so that a closed loop does not call itself.  */
static void
on_not_started (uv_timer_t *timer)
{
  finish (timer->data, LOAD_NOT_SENT);
}

static void
attempt (request_t *r)
{
  load_requests_t *l = r->owner;
  load_call_options_t o = { .address = pick (l),
                            .id = r->id,
                            .service = l->o.service,
                            .question = r->body == NULL ? NULL : &r->question,
                            .body = r->body == NULL ? "{}" : r->body,
                            .key = r->key,
                            .priority = l->o.priority,
                            .timeout_ms = l->o.timeout_ms,
                            .gaps = l->stats.gaps,
                            .cb = on_result,
                            .data = r };

  r->attempts++;
  l->stats.attempts++;
  if (o.address == NULL || !load_call_start (l->client, &o))
    uv_timer_start (&r->timer, on_not_started, DEFAULT_WAIT_MS, 0);
}

void
load_requests_start (load_requests_t *l, char *body, gint64 arrived_us,
                     load_done_cb cb, void *data)
{
  request_t *r = g_new0 (request_t, 1);

  r->owner = l;
  r->body = body;
  if (body != NULL)
    fake_question_parse (&r->question, body, strlen (body), true);
  r->id = g_strdup_printf ("%s-%" G_GUINT64_FORMAT, l->run, ++l->numbers);
  r->key = g_strdup_printf ("key-%s", r->id);
  r->arrived_us = arrived_us;
  r->cb = cb;
  r->data = data;
  uv_timer_init (l->o.loop, &r->timer);
  r->timer.data = r;
  l->stats.started++;
  l->open++;
  attempt (r);
}

load_requests_t *
load_requests_new (const load_requests_options_t *o)
{
  load_requests_t *l = g_new0 (load_requests_t, 1);
  pu_http_client_options_t client = { .loop = o->loop,
                                      .connect_timeout_ms = CONNECT_MS,
                                      .idle_max = G_MAXUINT16 };

  l->o = *o;
  l->random = g_rand_new_with_seed (o->seed);
  l->client = pu_http_client_new (&client);
  l->entries = g_array_new (FALSE, TRUE, sizeof (entry_t));
  g_array_set_clear_func (l->entries, entry_clear);
  l->stats.first = pu_histogram_new ();
  l->stats.gaps = pu_histogram_new ();
  l->stats.total = pu_histogram_new ();
  l->run = g_strdup_printf ("load-%d-%" G_GINT64_FORMAT, (int)uv_os_getpid (),
                            g_get_real_time () / US_PER_MS);
  l->learn_target = g_strdup_printf ("/v1/entries?service=%s",
                                     o->service == NULL ? "" : o->service);
  uv_timer_init (o->loop, &l->learn);
  l->learn.data = l;
  for (char **a = o->direct; a != NULL && *a != NULL; a++)
    add_entry (l, *a, 1);
  if (o->entries != NULL)
    uv_timer_start (&l->learn, on_learn, 0, 0);
  return l;
}

void
load_requests_free (load_requests_t *l)
{
  pu_http_client_free (l->client);
  uv_close ((uv_handle_t *)&l->learn, NULL);
  uv_run (l->o.loop, UV_RUN_DEFAULT);
  g_array_free (l->entries, TRUE);
  pu_histogram_free (l->stats.first);
  pu_histogram_free (l->stats.gaps);
  pu_histogram_free (l->stats.total);
  g_rand_free (l->random);
  g_free (l->learn_target);
  g_free (l->run);
  g_free (l);
}

bool
load_requests_ready (const load_requests_t *l)
{
  return l->entries->len > 0;
}

guint
load_requests_open (const load_requests_t *l)
{
  return l->open;
}

const load_stats_t *
load_requests_stats (const load_requests_t *l)
{
  return &l->stats;
}

static double
quantile_ms (const pu_histogram_t *h, double q)
{
  return (double)pu_histogram_quantile (h, q) / US_PER_MS;
}

json_t *
load_stats_json (const load_stats_t *s, double seconds)
{
  static const char *const names[LOAD_OUTCOMES]
      = { "ok", "refused", "not_sent", "cut", "wrong", "unknown", "failed" };
  json_t *out = json_object ();
  json_t *times = json_pack (
      "{s:f, s:f, s:f, s:f, s:f, s:f, s:f}", "first_token_p50_ms",
      quantile_ms (s->first, 0.5), "first_token_p95_ms",
      quantile_ms (s->first, 0.95), "first_token_p99_ms",
      quantile_ms (s->first, 0.99), "gap_p50_ms", quantile_ms (s->gaps, 0.5),
      "gap_p95_ms", quantile_ms (s->gaps, 0.95), "gap_p99_ms",
      quantile_ms (s->gaps, 0.99), "total_p99_ms",
      quantile_ms (s->total, 0.99));

  json_object_set_new (out, "started", json_integer ((json_int_t)s->started));
  for (int i = 0; i < LOAD_OUTCOMES; i++)
    {
      json_object_set_new (out, names[i],
                           json_integer ((json_int_t)s->outcomes[i]));
    }
  json_object_set_new (out, "attempts",
                       json_integer ((json_int_t)s->attempts));
  json_object_set_new (out, "resends", json_integer ((json_int_t)s->resends));
  json_object_set_new (
      out, "attainment",
      json_real (s->started == 0 ? 0
                                 : (double)s->in_target / (double)s->started));
  json_object_set_new (out, "seconds", json_real (seconds));
  json_object_set_new (
      out, "ok_per_s",
      json_real (seconds > 0 ? (double)s->outcomes[LOAD_OK] / seconds : 0));
  json_object_update (out, times);
  json_decref (times);
  return out;
}
