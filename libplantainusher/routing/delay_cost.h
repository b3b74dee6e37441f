#ifndef PU_ROUTING_DELAY_COST_H
#define PU_ROUTING_DELAY_COST_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * delay_cost - which of the waiting requests are delayed or refused when there
 * is not room for all in time.
 *
 * Load pattern: for seconds more work comes than the backend servers do.  The
 * work of requests differs by a factor of a hundred, their priorities and due
 * times differ too, and the expected output is right only at the median.  In
 * order of due time alone, a burst of long prompts makes many short requests
 * late; with the shortest first, long ones are never served.
 *
 * Requests go strictly by priority.  Within one priority they go in order of
 * due time as long as all can start in time; when one can't, the longest of
 * those before it is displaced behind the others (the rule of Moore and
 * Hodgson, which makes the fewest requests late).  Late requests go last, the
 * one with the least time until it is refused first.  The value of a request
 * is a constant part and a part that grows with its work, so that work for
 * each unit of value grows with the work and the longest is the one that frees
 * most for the value lost.  A share of the large requests of a kind is not
 * displaced, as otherwise none would be served.
 *
 * The room is the rate at which work was started while requests waited, in
 * milliseconds of engine time for each millisecond.
 *
 * Does no I/O and reads no clock.  Times are monotonic milliseconds.
 */

#define PU_DELAY_PRIORITIES 10

/* Parts of the rule that tests switch off to measure each apart.  */
typedef enum
{
  PU_DELAY_OFF_NONE = 0,
  PU_DELAY_OFF_ORDER = 1 << 0,    /* keeps the order by lateness, priority and
                                     due time */
  PU_DELAY_OFF_DISPLACE = 1 << 1, /* displaces no request */
  PU_DELAY_OFF_REFUSE = 1 << 2,   /* refuses by the count of requests only */
  PU_DELAY_OFF_SHARES = 1 << 3,   /* shares an owner's queue by tokens */
  PU_DELAY_OFF_LARGE = 1 << 4,    /* displaces large requests without bound */
  PU_DELAY_OFF_HOLD = 1 << 5,     /* fills the queues of engines as far as the
                                     target of each request bears */
  PU_DELAY_OFF_AHEAD = 1 << 6,    /* counts all work at an engine as ahead */
} pu_delay_off_t;

/* A waiting request.  */
typedef struct
{
  guint priority;   /* 0..9, 9 first */
  guint64 due;      /* when its first token is due */
  guint64 start_by; /* latest start by which it can meet `due` */
  guint64 expires;  /* latest start that is of use */
  guint64 sequence; /* order of offers */
  double work_ms;   /* of engine time */
  bool late;        /* it has missed start_by */
  bool large;       /* by pu_delay_shares_came */
  bool kept;        /* must not be displaced */
  bool displaced;   /* set by pu_delay_plan */
  bool counted;     /* it has been displaced before */
} pu_delay_item_t;

/* pu_delay_compare - returns a negative number if A goes before B, a positive
   one if B goes before A; 0 only for the same request.  */
int pu_delay_compare (const pu_delay_item_t *a, const pu_delay_item_t *b);

/* pu_delay_output_tokens - returns the output tokens to expect of a request
   with the estimate HINT (0: none), where MEAN (0: not known) is the mean of
   its model.  The error of a hint is bounded: the result is at most four times
   the mean and at least a quarter of it.  */
guint pu_delay_output_tokens (guint hint, double mean);

/* The load of the servers that a group of requests may run on; begins
   zeroed.  */
typedef struct
{
  guint64 at;        /* time of the last change */
  guint waiting;     /* requests that wait */
  double busy_ms;    /* time during which requests waited, decaying */
  double starts;     /* starts in that time, decaying */
  double started_ms; /* their work, decaying */
  double span_ms;    /* all time, decaying */
  double lead_ms;    /* mean time that the servers' own queues take */
  double came_ms[PU_DELAY_PRIORITIES]; /* work that came, decaying */
} pu_delay_load_t;

/* pu_delay_load_came, pu_delay_load_started - a request of PRIORITY with
   WORK_MS came; one with WORK_MS started, for
   which the server has QUEUED_MS of work before it.  */
void pu_delay_load_came (pu_delay_load_t *l, guint priority, double work_ms,
                         guint64 now);
void pu_delay_load_started (pu_delay_load_t *l, double work_ms,
                            double queued_ms, guint64 now);

/* pu_delay_load_waits - CHANGE (1 or -1) more requests wait.  */
void pu_delay_load_waits (pu_delay_load_t *l, int change, guint64 now);

/* pu_delay_load_rate - returns the work done in a millisecond, in
   milliseconds, for requests of PRIORITY: that of all less what comes of
   higher priorities.  0: not known.  */
double pu_delay_load_rate (const pu_delay_load_t *l, guint priority);

/* pu_delay_load_share - returns which part of the rate, at least a tenth, is
   left to requests of PRIORITY by what comes of higher ones.  SERVERS is the
   rate in milliseconds of work for each millisecond where none has been
   measured.  */
double pu_delay_load_share (const pu_delay_load_t *l, guint priority,
                            guint servers);

/* pu_delay_wait_ms - returns how long a request of PRIORITY waits behind
   AHEAD_MS of work; 0 if the rate is not known.  */
double pu_delay_wait_ms (const pu_delay_load_t *l, guint priority,
                         double ahead_ms);

/* pu_delay_class - returns 0 if Q can be in time, 1 if it is displaced, 2 if
   it is late.  */
guint pu_delay_class (const pu_delay_item_t *q);

/* pu_delay_sort - sorts ITEMS, of pu_delay_item_t *, as they are to be
   served.  */
void pu_delay_sort (GPtrArray *items);

/* pu_delay_plan - decides which of the waiting ITEMS, of pu_delay_item_t *,
   are displaced and sorts them as they are to be served.  Takes O(N log N)
   time.  */
void pu_delay_plan (GPtrArray *items, const pu_delay_load_t *l, guint64 now);

/* pu_delay_is_hopeless - whether Q, which waits for WAIT_MS more and then in
   the queue of its server, is of no use then even if the estimate of the wait
   is too long by its usual error.  */
bool pu_delay_is_hopeless (const pu_delay_item_t *q, const pu_delay_load_t *l,
                           double wait_ms, guint64 now);

/* pu_delay_retry_ms - returns when the caller of a refused request of PRIORITY
   may come back, without jitter, if those ahead need WAIT_MS.  */
double pu_delay_retry_ms (double wait_ms, guint priority);

/* Shares of the large requests of one kind; begins zeroed.  */
typedef struct
{
  guint64 at;
  double mean_ms;  /* mean work */
  double large_ms; /* work that one request in ten exceeds */
  double came;     /* requests, decaying */
  double came_large;
  double started;
  double started_large;
} pu_delay_shares_t;

/* pu_delay_shares_came - a request with WORK_MS came.  Returns whether it is
   one of the largest tenth.  */
bool pu_delay_shares_came (pu_delay_shares_t *s, double work_ms, guint64 now);

/* pu_delay_shares_started - a request, LARGE or not, started.  */
void pu_delay_shares_started (pu_delay_shares_t *s, bool large, guint64 now);

/* pu_delay_shares_owed - returns how many large requests are to start so that
   they are served nearly as often as the whole kind.  */
guint pu_delay_shares_owed (pu_delay_shares_t *s, guint64 now);

/* pu_delay_rank - returns the rank 0..9, 0 first, told to an engine for a
   request of PRIORITY that has LEFT_MS until it is due (negative: it is late)
   and is expected to need NEEDS_MS.  IN_USE has a bit for each priority that
   occurs, FIXED one for each whose requests are all told 9 - priority.
   Requests of a higher priority never get a later rank than those of a lower
   one.  */
guint pu_delay_rank (guint in_use, guint fixed, guint priority, gint64 left_ms,
                     guint64 needs_ms);

G_END_DECLS

#endif
