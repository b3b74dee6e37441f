#ifndef PU_ROUTING_ALLOWANCE_PRIVATE_H
#define PU_ROUTING_ALLOWANCE_PRIVATE_H

#include "routing/allowance.h"

G_BEGIN_DECLS

/* Shared by the files allowance*.c alone.  */

enum
{
  PU_ALLOWANCE_QUESTION_MS = 1000,  /* between questions without need */
  PU_ALLOWANCE_REPLY_LATE_MS = 400, /* from the question */
  PU_ALLOWANCE_RETRY_MAX_MS = 60000,
  PU_ALLOWANCE_PRIORITIES = 10,
};

/* Time constant of the rate of grants to this entry.  A small team gets one in
   some seconds at each entry.  */
#define PU_ALLOWANCE_GRANTS_MS 5000.0

/* Units granted by one reply.  */
typedef struct
{
  guint64 units;
  guint64 until; /* last millisecond in which they may be used */
} lot_t;

typedef struct
{
  guint64 ticket;
  guint64 units;
  guint64 since;
} waiting_t;

typedef pu_allowance_request_t request_t;

typedef struct
{
  char *name;
  guint64 rate;
  guint64 burst;
  GQueue lots;           /* of lot_t, the oldest first */
  guint64 held;          /* sum of `lots` */
  GQueue waiting;        /* of waiting_t, in order of arrival */
  GHashTable *by_ticket; /* &ticket -> its link in `waiting` */
  guint64 waiting_units; /* sum of `waiting` */
  guint64 returned;      /* to be reported */
  guint64 overdrawn;     /* to be reported */
  guint64 refused_until; /* as the leader said */
  double turns_end;      /* time when all that were refused are back */
  double others;         /* by which `turns_end` moves in a millisecond, for
                            what other entries refuse */
  double told_end;       /* `turns_end` of the last reply */
  guint64 told_at;       /* time of that reply; 0: the leader told nothing */
  double left_per_s;     /* units that refused requests share; of that reply */
  guint64 refused;       /* to be reported */
  guint64 refused_asked; /* reported in the last question */
  double refused_of[PU_ALLOWANCE_PRIORITIES]; /* units, lately */
  guint64 refused_at;                         /* time of `refused_of` */
  double grants_per_s;                        /* to this entry, lately */
  guint64 grants_at;                          /* time of `grants_per_s` */
  double use_per_s;                           /* lately */
  guint64 use_at;                             /* time of `use_per_s` */
  double units_each; /* of recent requests, on average */
  bool has_level;    /* a request has come since this entry is alone */
  double level;      /* of the bucket for the time alone */
  double first_part; /* of the first request, which `level` must exceed */
  guint64 level_at;  /* time of `level` */
  guint64 admitted;
  guint64 requests_admitted;
  guint64 requests_refused;
  bool limited;
} team_t;

struct pu_allowance
{
  pu_allowance_options_t o;
  GRand *rand;
  GHashTable *teams; /* name -> team_t */
  guint limited;     /* teams with a rate */
  guint waiting;     /* requests of all teams */
  guint entries;
  bool open;  /* a question is */
  bool holds; /* stock, or units to be returned */
  bool asked; /* a question was ever sent */
  guint64 asked_at;
  bool alone;
  guint64 alone_since;
  bool told_alone; /* the last question answered said that it is alone, which
                      the leader is to hear no longer */
};

/* pu_allowance_decayed - returns VALUE, of the time AT, at NOW.  */
double pu_allowance_decayed (double value, guint64 at, guint64 now,
                             double constant_ms);
guint pu_allowance_clamp_retry (double ms);

/* allowance_alone.c */
void pu_allowance_begin_alone (pu_allowance_t *a, guint64 now);

/* pu_allowance_take_alone - returns 0 if a request of UNITS goes on, else the
   time until one could.  */
guint pu_allowance_take_alone (pu_allowance_t *a, team_t *t, guint64 units,
                               guint64 now);

/* allowance_turns.c */

/* pu_allowance_take_turn - returns when Q, for which nothing is granted for
   NEXT_MS, is to return: behind all that were refused before, but ahead of
   lower priorities.  Counts it if it is expected back then.  */
guint pu_allowance_take_turn (const pu_allowance_t *a, team_t *t,
                              const request_t *q, guint next_ms, guint64 now);

/* pu_allowance_take_turns_end - takes in what the leader knows of the requests
   that all entries refused.  What was refused here since the question is not
   in it.  */
void pu_allowance_take_turns_end (team_t *t, const pu_allowance_grant_t *g,
                                  guint64 now);

G_END_DECLS

#endif
