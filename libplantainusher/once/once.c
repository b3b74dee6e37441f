#include "once/once.h"

#include <string.h>

#define DEFAULT_KEYS_MAX 10000
#define DEFAULT_WAITERS_MAX 64
#define DEFAULT_SKEW_MS 30000u
#define DEFAULT_RETRY_MS 1000u

typedef enum
{
  CLAIMING,      /* a claim is proposed to the log */
  CLAIM_BACKOFF, /* waits to propose the claim again */
  RUNNING,       /* dispatched */
  RECORDING,     /* the outcome is proposed to the log */
  RECORD_BACKOFF /* waits to propose the outcome again */
} phase_t;

/* A reference-counted copy of a result.  */
typedef struct
{
  guint status;
  char *content_type;
  GBytes *body;
} stored_result_t;

/* An idempotency key that is in progress at this entry.  */
typedef struct
{
  pu_once_handle_t handle;
  char *call_id; /* "service\nkey"; also the key in by_call_id */
  char *service;
  char *key;
  guint64 fingerprint;
  guint64 attempt;
  guint64 window_ms;
  guint64 position; /* log position of the claim */
  phase_t phase;
  bool claim_uncertain; /* a claim timed out and may still commit */
  guint64 retry_at_ms;  /* end of the backoff */
  pu_once_outcome_t outcome;
  stored_result_t *result; /* NULL unless the outcome is PU_ONCE_OUTCOME_RAN */
  GArray *waiters;         /* of caller numbers, guint64 */
} call_t;

/* An action with the data that its pointers refer to.  */
typedef struct
{
  pu_once_action_t action;
  char *service;
  char *key;
  stored_result_t *result;
} queued_action_t;

struct pu_once
{
  pu_once_options_t options;
  pu_once_handle_t last_handle;
  guint64 last_attempt;
  GHashTable *by_handle;    /* handle -> call_t *; owns the call */
  GHashTable *by_call_id;   /* call_id -> call_t * */
  GHashTable *by_caller;    /* &caller -> call_t *; owns the key */
  GQueue *actions;          /* of queued_action_t * */
  queued_action_t *current; /* last action returned by pu_once_next */
};

static stored_result_t *
stored_result_ref (stored_result_t *k)
{
  return k == NULL ? NULL : g_atomic_rc_box_acquire (k);
}

static void
stored_result_clear (gpointer data)
{
  stored_result_t *k = data;

  g_free (k->content_type);
  g_bytes_unref (k->body);
}

static void
stored_result_unref (stored_result_t *k)
{
  if (k != NULL)
    g_atomic_rc_box_release_full (k, stored_result_clear);
}

static stored_result_t *
stored_result_new (const pu_once_result_t *r)
{
  stored_result_t *k;

  if (r == NULL)
    return NULL;
  k = g_atomic_rc_box_new0 (stored_result_t);
  k->status = r->status;
  k->content_type = g_strdup (r->content_type);
  k->body = g_bytes_new (r->body, r->len);
  return k;
}

static void
queued_action_free (gpointer data)
{
  queued_action_t *q = data;

  if (q == NULL)
    return;
  g_free (q->service);
  g_free (q->key);
  stored_result_unref (q->result);
  g_free (q);
}

static void
call_free (gpointer data)
{
  call_t *l = data;

  g_free (l->call_id);
  g_free (l->service);
  g_free (l->key);
  stored_result_unref (l->result);
  g_array_free (l->waiters, TRUE);
  g_free (l);
}

static bool
is_rule_broken (const pu_once_t *c, pu_once_break_t rule)
{
  return (c->options.test_breaks & rule) != 0;
}

/* --- actions --- */

static queued_action_t *
queue_action (pu_once_t *c, const call_t *l, pu_once_action_type_t type)
{
  queued_action_t *q = g_new0 (queued_action_t, 1);

  q->service = g_strdup (l->service);
  q->key = g_strdup (l->key);
  q->action.type = type;
  q->action.handle = l->handle;
  q->action.service = q->service;
  q->action.key = q->key;
  q->action.fingerprint = l->fingerprint;
  q->action.attempt = l->attempt;
  q->action.window_ms = l->window_ms;
  q->action.position = l->position;
  g_queue_push_tail (c->actions, q);
  return q;
}

static void
attach_result (queued_action_t *q, stored_result_t *result)
{
  gsize len = 0;

  if (result == NULL)
    return;
  q->result = stored_result_ref (result);
  q->action.result.status = result->status;
  q->action.result.content_type = result->content_type;
  q->action.result.body = g_bytes_get_data (result->body, &len);
  q->action.result.len = len;
}

static void
queue_claim (pu_once_t *c, call_t *l)
{
  l->phase = CLAIMING;
  queue_action (c, l, PU_ONCE_ACTION_CLAIM);
}

static void
queue_record (pu_once_t *c, call_t *l)
{
  queued_action_t *q;

  l->phase = RECORDING;
  q = queue_action (c, l, PU_ONCE_ACTION_RECORD);
  q->action.outcome = l->outcome;
  attach_result (q, l->result);
}

static void
answer_caller (pu_once_t *c, const call_t *l, guint64 caller,
               pu_once_answer_t answer, stored_result_t *result)
{
  queued_action_t *q = queue_action (c, l, PU_ONCE_ACTION_ANSWER);

  q->action.caller = caller;
  q->action.answer = answer;
  attach_result (q, result);
  g_hash_table_remove (c->by_caller, &caller);
}

static void
answer_waiters (pu_once_t *c, call_t *l, pu_once_answer_t answer,
                stored_result_t *result)
{
  for (guint i = 0; i < l->waiters->len; i++)
    {
      answer_caller (c, l, g_array_index (l->waiters, guint64, i), answer,
                     result);
    }
  g_array_set_size (l->waiters, 0);
}

static void
remove_call (pu_once_t *c, call_t *l)
{
  if (g_hash_table_lookup (c->by_call_id, l->call_id) == l)
    g_hash_table_remove (c->by_call_id, l->call_id);
  g_hash_table_remove (c->by_handle, GUINT_TO_POINTER (l->handle));
}

static void
answer_and_remove (pu_once_t *c, call_t *l, pu_once_answer_t answer,
                   stored_result_t *result)
{
  answer_waiters (c, l, answer, result);
  remove_call (c, l);
}

/* --- begin --- */

static call_t *
call_new (pu_once_t *c, const char *service, const char *key,
          guint64 fingerprint)
{
  call_t *l = g_new0 (call_t, 1);

  l->handle = ++c->last_handle;
  l->attempt = is_rule_broken (c, PU_ONCE_BREAK_SHARED_ATTEMPT)
                   ? 1
                   : ++c->last_attempt;
  l->service = g_strdup (service);
  l->key = g_strdup (key);
  l->call_id = g_strconcat (service, "\n", key, NULL);
  l->fingerprint = fingerprint;
  l->waiters = g_array_new (FALSE, FALSE, sizeof (guint64));
  g_hash_table_insert (c->by_handle, GUINT_TO_POINTER (l->handle), l);
  g_hash_table_replace (c->by_call_id, l->call_id, l);
  return l;
}

static call_t *
find_call (const pu_once_t *c, const char *service, const char *key)
{
  char *call_id = g_strconcat (service, "\n", key, NULL);
  call_t *l = g_hash_table_lookup (c->by_call_id, call_id);

  g_free (call_id);
  if (is_rule_broken (c, PU_ONCE_BREAK_SHARED_ATTEMPT))
    return NULL;
  return l;
}

static void
add_waiter (pu_once_t *c, call_t *l, guint64 caller)
{
  guint64 *key = g_memdup2 (&caller, sizeof caller);

  g_array_append_val (l->waiters, caller);
  g_hash_table_replace (c->by_caller, key, l);
}

static bool
is_valid_name (const char *name)
{
  size_t n = strlen (name);

  return n > 0 && n <= PU_ONCE_NAME_MAX;
}

static bool
is_key_expired (const pu_once_t *c, guint64 key_wall, guint64 wall,
                guint64 window)
{
  guint64 skew = MIN (c->options.skew_ms, window / 2);

  if (key_wall == 0)
    return false;
  return key_wall + window < wall + skew;
}

/* Answers CALLER with the outcome of a call that has ended.  */
static void
answer_from_outcome (pu_once_t *c, call_t *l, guint64 caller)
{
  switch (l->outcome)
    {
    case PU_ONCE_OUTCOME_RAN:
      answer_caller (c, l, caller, PU_ONCE_ANSWER_RESULT, l->result);
      return;
    case PU_ONCE_OUTCOME_NOT_RUN:
      answer_caller (c, l, caller, PU_ONCE_ANSWER_NOT_RUN, NULL);
      return;
    case PU_ONCE_OUTCOME_UNKNOWN:
      answer_caller (c, l, caller, PU_ONCE_ANSWER_UNKNOWN, NULL);
      return;
    }
}

static pu_once_begin_result_t
join_call (pu_once_t *c, call_t *l, guint64 caller, guint64 fingerprint)
{
  if (l->fingerprint != fingerprint)
    return PU_ONCE_BEGIN_KEY_REUSED;
  if (l->phase == RECORDING || l->phase == RECORD_BACKOFF)
    {
      answer_from_outcome (c, l, caller);
      return PU_ONCE_BEGIN_ACCEPTED;
    }
  if (l->waiters->len >= c->options.waiters_max)
    return PU_ONCE_BEGIN_OVERLOADED;
  add_waiter (c, l, caller);
  return PU_ONCE_BEGIN_ACCEPTED;
}

pu_once_begin_result_t
pu_once_begin (pu_once_t *c, guint64 caller, const char *service,
               const char *key, guint64 fingerprint, guint64 key_wall,
               guint64 wall, guint64 window_ms, guint64 now)
{
  call_t *l;

  (void)now;
  if (!is_valid_name (key) || !is_valid_name (service))
    return PU_ONCE_BEGIN_INVALID_KEY;
  if (is_key_expired (c, key_wall, wall, window_ms))
    return PU_ONCE_BEGIN_KEY_EXPIRED;
  l = find_call (c, service, key);
  if (l != NULL)
    return join_call (c, l, caller, fingerprint);
  if (g_hash_table_size (c->by_handle) >= c->options.keys_max)
    return PU_ONCE_BEGIN_OVERLOADED;
  l = call_new (c, service, key, fingerprint);
  l->window_ms = window_ms;
  add_waiter (c, l, caller);
  queue_claim (c, l);
  return PU_ONCE_BEGIN_ACCEPTED;
}

/* --- replies of the log --- */

static call_t *
find_call_in_phase (const pu_once_t *c, pu_once_handle_t handle, phase_t phase)
{
  call_t *l = g_hash_table_lookup (c->by_handle, GUINT_TO_POINTER (handle));

  return l != NULL && l->phase == phase ? l : NULL;
}

/* Dispatches the call.  If the claim is granted after all callers were
   answered as not run, records that outcome instead.  */
static void
handle_granted (pu_once_t *c, call_t *l, guint64 position)
{
  l->position = position;
  if (l->waiters->len == 0 && !is_rule_broken (c, PU_ONCE_BREAK_DISPATCH_LATE))
    {
      l->outcome = PU_ONCE_OUTCOME_NOT_RUN;
      queue_record (c, l);
      return;
    }
  l->phase = RUNNING;
  queue_action (c, l, PU_ONCE_ACTION_DISPATCH);
}

static void
schedule_claim_retry (pu_once_t *c, call_t *l, guint64 now)
{
  answer_waiters (c, l, PU_ONCE_ANSWER_NOT_RUN, NULL);
  l->phase = CLAIM_BACKOFF;
  l->retry_at_ms = now + c->options.retry_ms;
}

/* A refusal covers only the latest proposal.  An earlier proposal that timed
   out may have committed or may still commit, so the claim is retried.  */
static void
handle_refused (pu_once_t *c, call_t *l, guint64 now)
{
  if (l->claim_uncertain)
    {
      schedule_claim_retry (c, l, now);
      return;
    }
  answer_and_remove (c, l, PU_ONCE_ANSWER_NOT_RUN, NULL);
}

void
pu_once_claimed (pu_once_t *c, pu_once_handle_t handle,
                 pu_once_claim_result_t reply, guint64 position,
                 const pu_once_result_t *result, guint64 now)
{
  call_t *l = find_call_in_phase (c, handle, CLAIMING);
  stored_result_t *stored;

  if (l == NULL)
    return;
  switch (reply)
    {
    case PU_ONCE_CLAIM_GRANTED:
      handle_granted (c, l, position);
      return;
    case PU_ONCE_CLAIM_COMPLETED:
      stored = stored_result_new (result);
      answer_and_remove (c, l, PU_ONCE_ANSWER_RESULT, stored);
      stored_result_unref (stored);
      return;
    case PU_ONCE_CLAIM_IN_PROGRESS:
      answer_and_remove (c, l, PU_ONCE_ANSWER_RUNNING, NULL);
      return;
    case PU_ONCE_CLAIM_KEY_REUSED:
      answer_and_remove (c, l, PU_ONCE_ANSWER_CONFLICT, NULL);
      return;
    case PU_ONCE_CLAIM_OWNER_LOST:
      answer_and_remove (c, l, PU_ONCE_ANSWER_UNKNOWN, NULL);
      return;
    case PU_ONCE_CLAIM_ALREADY_CLOSED:
      answer_and_remove (c, l, PU_ONCE_ANSWER_NOT_RUN, NULL);
      return;
    case PU_ONCE_CLAIM_REFUSED:
      handle_refused (c, l, now);
      return;
    case PU_ONCE_CLAIM_TIMED_OUT:
      l->claim_uncertain = !is_rule_broken (c, PU_ONCE_BREAK_IGNORE_TIMEOUT);
      schedule_claim_retry (c, l, now);
      return;
    }
}

void
pu_once_finished (pu_once_t *c, pu_once_handle_t handle,
                  pu_once_outcome_t outcome, const pu_once_result_t *result,
                  guint64 now)
{
  call_t *l = find_call_in_phase (c, handle, RUNNING);

  (void)now;
  if (l == NULL)
    return;
  l->outcome = outcome;
  if (outcome == PU_ONCE_OUTCOME_UNKNOWN
      && is_rule_broken (c, PU_ONCE_BREAK_UNKNOWN_AS_NOT_RUN))
    l->outcome = PU_ONCE_OUTCOME_NOT_RUN;
  if (outcome == PU_ONCE_OUTCOME_RAN)
    l->result = stored_result_new (result);
  for (guint i = 0; i < l->waiters->len; i++)
    answer_from_outcome (c, l, g_array_index (l->waiters, guint64, i));
  g_array_set_size (l->waiters, 0);
  queue_record (c, l);
}

void
pu_once_recorded (pu_once_t *c, pu_once_handle_t handle, bool ok, guint64 now)
{
  call_t *l = find_call_in_phase (c, handle, RECORDING);

  if (l == NULL)
    return;
  if (ok)
    {
      remove_call (c, l);
      return;
    }
  l->phase = RECORD_BACKOFF;
  l->retry_at_ms = now + c->options.retry_ms;
}

bool
pu_once_remove_caller (pu_once_t *c, guint64 caller, guint64 now)
{
  call_t *l = g_hash_table_lookup (c->by_caller, &caller);

  (void)now;
  if (l == NULL)
    return false;
  for (guint i = 0; i < l->waiters->len; i++)
    {
      if (g_array_index (l->waiters, guint64, i) != caller)
        continue;
      g_array_remove_index (l->waiters, i);
      break;
    }
  answer_caller (c, l, caller,
                 l->phase == RUNNING ? PU_ONCE_ANSWER_UNKNOWN
                                     : PU_ONCE_ANSWER_NOT_RUN,
                 NULL);
  return true;
}

void
pu_once_tick (pu_once_t *c, guint64 now)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, c->by_handle);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      call_t *l = value;

      if (l->phase == CLAIM_BACKOFF && l->retry_at_ms <= now)
        {
          queue_claim (c, l);
        }
      else if (l->phase == RECORD_BACKOFF && l->retry_at_ms <= now)
        {
          queue_record (c, l);
        }
    }
}

bool
pu_once_next (pu_once_t *c, pu_once_action_t *a)
{
  queued_action_free (c->current);
  c->current = g_queue_pop_head (c->actions);
  if (c->current == NULL)
    return false;
  *a = c->current->action;
  return true;
}

/* --- keys, options, construction --- */

#define UUID_LENGTH 36
#define UUID_VERSION_OFFSET 14
#define UUID_TIMESTAMP_DIGITS 12

guint64
pu_once_key_time_ms (const char *key)
{
  guint64 wall = 0;
  guint digits = 0;

  if (strlen (key) != UUID_LENGTH || key[UUID_VERSION_OFFSET] != '7')
    return 0;
  for (guint i = 0; digits < UUID_TIMESTAMP_DIGITS; i++)
    {
      if (key[i] == '-')
        continue;
      if (!g_ascii_isxdigit (key[i]))
        return 0;
      wall = wall * 16 + (guint64)g_ascii_xdigit_value (key[i]);
      digits++;
    }
  return wall;
}

guint
pu_once_count_active (const pu_once_t *c)
{
  return g_hash_table_size (c->by_handle);
}

void
pu_once_options_init (pu_once_options_t *o)
{
  o->keys_max = DEFAULT_KEYS_MAX;
  o->waiters_max = DEFAULT_WAITERS_MAX;
  o->skew_ms = DEFAULT_SKEW_MS;
  o->retry_ms = DEFAULT_RETRY_MS;
  o->test_breaks = 0;
}

pu_once_t *
pu_once_new (const pu_once_options_t *o)
{
  pu_once_t *c = g_new0 (pu_once_t, 1);

  c->options = *o;
  c->by_handle
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, call_free);
  c->by_call_id = g_hash_table_new (g_str_hash, g_str_equal);
  c->by_caller
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  c->actions = g_queue_new ();
  return c;
}

void
pu_once_free (pu_once_t *c)
{
  if (c == NULL)
    return;
  queued_action_free (c->current);
  g_queue_free_full (c->actions, queued_action_free);
  g_hash_table_destroy (c->by_caller);
  g_hash_table_destroy (c->by_call_id);
  g_hash_table_destroy (c->by_handle);
  g_free (c);
}
