#ifndef PU_ROUTING_ALLOWANCE_H
#define PU_ROUTING_ALLOWANCE_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * allowance - what an entry may send of each team's allowance.
 *
 * The load pattern: a team sends more than its allowance through any number of
 * entries, from three to all of them, and its requests are up to a hundred
 * times larger than the share of one entry in a second.  The leader therefore
 * grants amounts (routing/allowance_pool.h) to entries that ask for them in
 * batches; an entry that gets no reply uses a small share of its own.  There a
 * request larger than the share of 8 s is admitted at random and counts half
 * as much again, because entries that each admit one such request at once
 * exceed the allowance of a small team.
 *
 * A refusal states when there is room behind the requests that were refused
 * before and are not yet expected back.  The leader adds up what all entries
 * refuse; between its replies an entry adds what it refuses itself.
 *
 * Units are requests or tokens, as the document says for each team.  Pure: no
 * I/O, no clock; `now` is monotonic milliseconds.
 */

typedef struct pu_allowance pu_allowance_t;

/* Rules broken on purpose, by tests only.  */
typedef enum
{
  PU_ALLOWANCE_BREAK_STOCK_KEPT = 1, /* stock does not expire */
  PU_ALLOWANCE_BREAK_LATE_REPLY = 2  /* late replies are valid */
} pu_allowance_break_t;

typedef struct
{
  guint64 seed;      /* of the random number generator */
  guint test_breaks; /* pu_allowance_break_t; 0 outside tests */
} pu_allowance_options_t;

pu_allowance_t *pu_allowance_new (const pu_allowance_options_t *o);
void pu_allowance_free (pu_allowance_t *a);

/* pu_allowance_set_team - TEAM may use RATE units per second and BURST on top,
   over all entries; a RATE of 0 is no limit.  Keeps what TEAM holds, but
   a lower RATE ends that.  */
void pu_allowance_set_team (pu_allowance_t *a, const char *team, guint64 rate,
                            guint64 burst);
void pu_allowance_remove_team (pu_allowance_t *a, const char *team);

/* pu_allowance_set_entries - N entries share each allowance; at least 1.  */
void pu_allowance_set_entries (pu_allowance_t *a, guint n);

typedef enum
{
  PU_ALLOWANCE_ADMIT, /* the units are taken */
  PU_ALLOWANCE_WAIT,  /* take again when pu_allowance_reply or
                         pu_allowance_failed has been called */
  PU_ALLOWANCE_REFUSE /* beyond the allowance */
} pu_allowance_verdict_t;

typedef struct
{
  pu_allowance_verdict_t verdict;
  guint retry_after_ms; /* PU_ALLOWANCE_REFUSE: when there is room for this
                           request, 1 to 60,000; higher priorities of a team
                           get earlier times */
} pu_allowance_decision_t;

typedef struct
{
  guint64 ticket; /* the same in each call for the request, and unique among
                     those that wait */
  guint64 units;  /* what it counts as */
  guint priority; /* 0 to 9; 9 is the highest */
  guint left_ms;  /* until its deadline; 0: not known */
} pu_allowance_request_t;

/* pu_allowance_take - decides on the request Q of TEAM.  A team that is not
   set is admitted.  */
pu_allowance_decision_t pu_allowance_take (pu_allowance_t *a, const char *team,
                                           const pu_allowance_request_t *q,
                                           guint64 now);

/* pu_allowance_cancel - the request TICKET of TEAM waits no more.  */
void pu_allowance_cancel (pu_allowance_t *a, const char *team, guint64 ticket);

/* pu_allowance_put_back - UNITS that TEAM was charged for a request which has
   not run.  */
void pu_allowance_put_back (pu_allowance_t *a, const char *team, guint64 units,
                            guint64 now);

/* What an entry asks for one team.  */
typedef struct
{
  char *team;
  guint64 wanted;    /* units of the requests that wait */
  guint64 first;     /* units of the one that waits longest; 0: none waits;
                        above 0 while `wanted` is 0: the entry is alone, its
                        requests use its share */
  guint64 stock;     /* units wanted for the requests to come */
  guint64 returned;  /* granted earlier and not used */
  guint64 overdrawn; /* used without a grant since the last question */
  guint64 refused;   /* refused since the last question and expected back */
} pu_allowance_ask_t;

/* What the leader grants to one team at one entry.  */
typedef struct
{
  char *team;
  guint64 granted; /* 0, or at least `first` of the ask */
  guint next_ms;   /* if the request that waits longest gets nothing: time
                      until it could */
  guint wait_ms;   /* until those that all entries refused are expected back;
                      0: the leader does not know, as it is of an earlier
                      release */
  guint64 left_per_s; /* units a second that those share; for `wait_ms` */
} pu_allowance_grant_t;

/* pu_allowance_asks_new, pu_allowance_grants_new - arrays of the structs above
   that own the names; freed with g_array_unref.  */
GArray *pu_allowance_asks_new (void);
GArray *pu_allowance_grants_new (void);

/* pu_allowance_next_at - the time of the next question to the leader;
   G_MAXUINT64 if no team has a limit or a question is open.  */
guint64 pu_allowance_next_at (const pu_allowance_t *a);

/* pu_allowance_question - begins a question and returns its asks, possibly
   none: it also tells the leader that this entry is in contact.  One question
   may be open at a time.  The caller frees the array.  */
GArray *pu_allowance_question (pu_allowance_t *a, guint64 now);

/* pu_allowance_reply - the open question was answered with GRANTS.  Returns
   false for a reply that comes too late, which counts as a failure.  */
bool pu_allowance_reply (pu_allowance_t *a, const GArray *grants, guint64 now);

/* pu_allowance_failed - the open question got no answer.  */
void pu_allowance_failed (pu_allowance_t *a, guint64 now);

/* What is known of one team here, for status and metrics.  */
typedef struct
{
  guint64 rate;
  guint64 admitted; /* units since the start */
  guint64 requests_admitted;
  guint64 requests_refused;
  guint64 held;  /* units in stock */
  guint waiting; /* requests */
  bool limited;  /* the last request was refused */
  bool alone;    /* without replies of the leader */
} pu_allowance_state_t;

/* pu_allowance_state - sets S; returns false if TEAM is not set.  */
bool pu_allowance_state (const pu_allowance_t *a, const char *team,
                         guint64 now, pu_allowance_state_t *s);

G_END_DECLS

#endif
