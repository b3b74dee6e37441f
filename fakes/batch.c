#include "batch.h"

#include <stdlib.h>
#include <string.h>

#define PREFILL_TOKENS_PER_STEP 2048
#define STEP_GROWTH 0.01 /* of a step's time, for each further request */
#define US_PER_MS 1000.0
#define FOREIGN_ID "req-of-somebody-else"

typedef struct
{
  fake_batch_t *batch;
  pu_http_request_t *request; /* NULL: nobody listens any more */
  fake_question_t question;
  char *id;
  guint priority;
  guint64 arrival;
  guint prefill;   /* prompt tokens not read yet */
  guint skip;      /* tokens that are not sent */
  guint next;      /* index of the next token */
  bool started;    /* the head was sent */
  bool swapped;    /* the pair of tokens at hand goes out the other way */
  guint cut_after; /* tokens; G_MAXUINT: not at all */
  guint sent;
} sequence_t;

struct fake_batch
{
  fake_batch_options_t options;
  uv_timer_t timer;
  GSequence *waiting;
  GPtrArray *running;
  double due; /* end of the step in progress, milliseconds */
  guint64 arrivals;
  guint64 tokens;
  guint64 done;
  guint64 cancelled;
};

static void begin_step (fake_batch_t *b);

static double
now_ms (void)
{
  return (double)g_get_monotonic_time () / US_PER_MS;
}

static void
sequence_free (sequence_t *s)
{
  fake_question_clear (&s->question);
  g_free (s->id);
  g_free (s);
}

static gint
by_priority (gconstpointer a, gconstpointer b, gpointer data)
{
  const sequence_t *x = a;
  const sequence_t *y = b;

  (void)data;
  if (x->priority != y->priority)
    return x->priority > y->priority ? -1 : 1;
  if (x->arrival != y->arrival)
    return x->arrival < y->arrival ? -1 : 1;
  return 0; /* itself: else no look-up finds it */
}

static void
write_end (sequence_t *s, const char *outcome)
{
  fake_ledger_write (s->batch->options.ledger, "end",
                     json_pack ("{s:s, s:s, s:i}", "request", s->id, "outcome",
                                outcome, "tokens", (int)s->sent));
}

static void
on_gone (void *data)
{
  sequence_t *s = data;
  fake_batch_t *b = s->batch;

  b->cancelled++;
  if (g_ptr_array_remove (b->running, s))
    {
      write_end (s, "cancelled");
    }
  else
    {
      g_sequence_remove (g_sequence_lookup (b->waiting, s, by_priority, NULL));
    }
  sequence_free (s);
}

static void
let_go (sequence_t *s)
{
  web_on_gone (s->request, NULL, NULL);
  s->request = NULL;
}

static void
start_head (sequence_t *s, const char *content_type)
{
  char *skip = g_strdup_printf ("%u", s->skip);
  pu_http_header_t headers[] = { { "content-type", content_type },
                                 { "x-request-id", s->id },
                                 { "x-resume-tokens", skip } };

  pu_http_respond_start (s->request, 200, headers, s->skip > 0 ? 3 : 2);
  g_free (skip);
}

static void
start_answer (sequence_t *s)
{
  fake_faults_t *f = s->batch->options.faults;
  const fake_fault_t *cut;

  if (fake_faults_take (f, FAKE_FOREIGN) != NULL)
    {
      g_free (s->id);
      s->id = g_strdup (FOREIGN_ID);
      s->question.seed++;
    }
  cut = fake_faults_take (f, FAKE_TRUNCATE);
  s->cut_after = cut == NULL ? G_MAXUINT : cut->n;
  s->started = true;
  if (s->question.stream)
    start_head (s, "text/event-stream");
}

/* The index of the token that goes out now.  Both tokens of a pair are
   swapped, or neither.  */
static guint
index_to_send (sequence_t *s)
{
  bool first = s->next % 2 == 0;

  if (first)
    {
      s->swapped = s->next + 1 < s->question.tokens
                   && fake_faults_take (s->batch->options.faults, FAKE_REORDER)
                          != NULL;
    }
  return s->swapped ? s->next ^ 1 : s->next;
}

static void
send_token (sequence_t *s)
{
  bool ids = s->batch->options.event_ids;
  guint index = index_to_send (s);
  GString *out = g_string_new (NULL);

  fake_answer_next (out, &s->question, s->id, index, ids);
  if (fake_faults_take (s->batch->options.faults, FAKE_DUPLICATE) != NULL)
    fake_answer_next (out, &s->question, s->id, index, ids);
  if (s->next + 1 == s->question.tokens)
    fake_answer_end (out, &s->question, s->id);
  pu_http_respond_write (s->request, out->str, out->len);
  g_string_free (out, TRUE);
}

static void
send_whole (sequence_t *s)
{
  char *body = fake_answer_whole (&s->question, s->id);
  pu_http_header_t headers[]
      = { { "content-type", "application/json" }, { "x-request-id", s->id } };

  pu_http_respond (s->request, 200, headers, G_N_ELEMENTS (headers), body,
                   strlen (body));
  free (body);
}

/* Gives out the next token; false when the sequence has ended.  */
static bool
emit (sequence_t *s)
{
  fake_batch_t *b = s->batch;
  bool last = s->next + 1 >= s->question.tokens;

  if (s->request != NULL && web_is_silent (s->request, b->options.faults))
    let_go (s);
  b->tokens++;
  s->sent++;
  if (s->request != NULL && !s->started)
    start_answer (s);
  if (s->request != NULL && s->sent > s->cut_after)
    {
      if (!s->question.stream)
        start_head (s, "application/json");
      pu_http_respond_abort (s->request);
      write_end (s, "cut");
      return false;
    }
  if (s->request != NULL && s->question.stream)
    send_token (s);
  s->next++;
  if (!last)
    return true;
  if (s->request != NULL && s->question.stream)
    {
      pu_http_respond_finish (s->request);
    }
  else if (s->request != NULL)
    {
      send_whole (s);
    }
  b->done++;
  write_end (s, s->request == NULL ? "silent" : "done");
  return false;
}

static void
check_crash (const sequence_t *s)
{
  const fake_fault_t *f
      = fake_faults_on (s->batch->options.faults, FAKE_CRASH_ON);

  if (f == NULL || f->text == NULL
      || strstr (s->question.prompt, f->text) == NULL)
    return;
  fake_ledger_write (s->batch->options.ledger, "crash",
                     json_pack ("{s:s}", "request", s->id));
  abort ();
}

static void
start_running (fake_batch_t *b, sequence_t *s)
{
  guint bytes = (guint)strlen (s->question.prompt);
  guint known
      = fake_kv_cache_use (b->options.cache, &s->question, (guint64)now_ms ());

  s->prefill = (bytes - known) / FAKE_BYTES_PER_TOKEN;
  fake_ledger_write (b->options.ledger, "run",
                     json_pack ("{s:s, s:s, s:I, s:i}", "request", s->id,
                                "model", s->question.model, "seed",
                                (json_int_t)(s->question.seed >> 1), "skip",
                                (int)s->next));
  check_crash (s);
  g_ptr_array_add (b->running, s);
}

static void
admit (fake_batch_t *b)
{
  while (b->running->len < b->options.max_batch
         && g_sequence_get_length (b->waiting) > 0)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (b->waiting);
      sequence_t *s = g_sequence_get (first);

      g_sequence_remove (first);
      start_running (b, s);
    }
}

/* Reads prompts within the step's budget; returns how many tokens.  */
static guint
read_prompts (fake_batch_t *b)
{
  guint left = PREFILL_TOKENS_PER_STEP;

  for (guint i = 0; i < b->running->len && left > 0; i++)
    {
      sequence_t *s = g_ptr_array_index (b->running, i);
      guint part = MIN (left, s->prefill);

      s->prefill -= part;
      left -= part;
    }
  return PREFILL_TOKENS_PER_STEP - left;
}

static void
end_step (uv_timer_t *timer)
{
  fake_batch_t *b = timer->data;
  GPtrArray *now = g_ptr_array_copy (b->running, NULL, NULL);

  for (guint i = 0; i < now->len; i++)
    {
      sequence_t *s = g_ptr_array_index (now, i);

      if (s->prefill == 0 && !emit (s))
        {
          g_ptr_array_remove (b->running, s);
          sequence_free (s);
        }
    }
  g_ptr_array_free (now, TRUE);
  begin_step (b);
}

static void
begin_step (fake_batch_t *b)
{
  const fake_fault_t *slow = fake_faults_on (b->options.faults, FAKE_SLOW);
  double now = now_ms ();
  double time;
  guint read;

  admit (b);
  if (b->running->len == 0)
    return;
  read = read_prompts (b);
  time = b->options.decode_ms * (1 + STEP_GROWTH * (b->running->len - 1));
  time += read * b->options.prefill_ms_per_ktoken / 1000;
  time += slow == NULL ? 0 : slow->ms;
  b->due += time;
  uv_update_time (b->options.loop);
  uv_timer_start (&b->timer, end_step,
                  b->due <= now ? 0 : (guint64)(b->due - now), 0);
}

fake_batch_t *
fake_batch_new (const fake_batch_options_t *o)
{
  fake_batch_t *b = g_new0 (fake_batch_t, 1);

  b->options = *o;
  b->waiting = g_sequence_new (NULL);
  b->running = g_ptr_array_new ();
  uv_timer_init (o->loop, &b->timer);
  b->timer.data = b;
  return b;
}

bool
fake_batch_add (fake_batch_t *b, pu_http_request_t *r, fake_question_t *q,
                const char *id, guint priority, guint skip)
{
  sequence_t *s;

  if (fake_batch_waiting (b) >= b->options.max_waiting)
    return false;
  s = g_new0 (sequence_t, 1);
  s->batch = b;
  s->request = r;
  s->question = *q;
  memset (q, 0, sizeof (*q));
  s->id = g_strdup (id);
  s->priority = priority;
  s->arrival = ++b->arrivals;
  s->skip = b->options.replay ? 0 : MIN (skip, s->question.tokens - 1);
  s->next = s->skip;
  web_on_gone (r, on_gone, s);
  g_sequence_insert_sorted (b->waiting, s, by_priority, NULL);
  if (uv_is_active ((uv_handle_t *)&b->timer))
    return true;
  b->due = now_ms ();
  begin_step (b);
  return true;
}

guint
fake_batch_running (const fake_batch_t *b)
{
  return b->running->len;
}

guint
fake_batch_waiting (const fake_batch_t *b)
{
  return (guint)g_sequence_get_length (b->waiting);
}

guint
fake_batch_busy (const fake_batch_t *b, const char *model)
{
  GSequenceIter *i = g_sequence_get_begin_iter (b->waiting);
  guint n = 0;

  for (; !g_sequence_iter_is_end (i); i = g_sequence_iter_next (i))
    {
      const sequence_t *s = g_sequence_get (i);

      n += strcmp (s->question.model, model) == 0 ? 1 : 0;
    }
  for (guint r = 0; r < b->running->len; r++)
    {
      const sequence_t *s = g_ptr_array_index (b->running, r);

      n += strcmp (s->question.model, model) == 0 ? 1 : 0;
    }
  return n;
}

guint64
fake_batch_tokens (const fake_batch_t *b)
{
  return b->tokens;
}

void
fake_batch_add_state (const fake_batch_t *b, json_t *out)
{
  json_object_update_new (
      out, json_pack ("{s:i, s:i, s:I, s:I, s:I}", "running",
                      (int)fake_batch_running (b), "waiting",
                      (int)fake_batch_waiting (b), "done", (json_int_t)b->done,
                      "cancelled", (json_int_t)b->cancelled, "tokens",
                      (json_int_t)b->tokens));
}
