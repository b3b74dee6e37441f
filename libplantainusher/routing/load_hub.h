#ifndef PU_ROUTING_LOAD_HUB_H
#define PU_ROUTING_LOAD_HUB_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * load_hub - the voter's side of the exchange of loads: what all entries have
 * at each engine.
 *
 * Entries state absolute numbers, so that a lost or repeated statement does no
 * harm.  Memory only: a new hub has another id, at which entries state all
 * that they have.  The load pattern that it answers is many entries that each
 * see a small part of an engine's requests.
 *
 * Entries measure the slowness of engines against lines that they fit
 * themselves, so that their common scale may drift.  The hub therefore replies
 * the mean of an engine's samples divided by the mean over all engines with
 * PU_LOAD_HUB_ANCHOR_SAMPLES samples or more, if there are at least
 * PU_LOAD_HUB_ANCHOR_ENGINES of them.
 *
 * Pure: no I/O, no clock; `now` is monotonic milliseconds.
 */

/* Engines in a statement, and engines that a hub knows.  */
#define PU_LOAD_HUB_ENGINES_MAX 4096
/* Pairs of an entry and an engine with requests.  */
#define PU_LOAD_HUB_PAIRS_MAX 65536
#define PU_LOAD_HUB_ENTRIES_MAX 4096
/* An entry that is silent for this long is no longer counted.  */
#define PU_LOAD_HUB_ENTRY_MS 1000
/* An engine without requests and samples for this long is dropped.  */
#define PU_LOAD_HUB_ENGINE_MS 30000
/* The newest samples, which carry the weight in an engine's mean.  */
#define PU_LOAD_HUB_SAMPLES 30
/* Bounds of the mean of the samples in one statement, in thousandths.  */
#define PU_LOAD_HUB_RATIO_MIN 100
#define PU_LOAD_HUB_RATIO_MAX 10000
#define PU_LOAD_HUB_ANCHOR_SAMPLES 5
#define PU_LOAD_HUB_ANCHOR_ENGINES 3

typedef struct pu_load_hub pu_load_hub_t;

/* Faults injected by tests, to show that a check can fail.  */
typedef enum
{
  PU_LOAD_HUB_BREAK_SILENT_COUNT = 1, /* silent entries count */
  PU_LOAD_HUB_BREAK_KEEP_MISSING = 2, /* a whole statement keeps the engines
                                         that it lacks */
  PU_LOAD_HUB_BREAK_OWN = 4           /* the reply has the entry's own part */
} pu_load_hub_break_t;

typedef struct
{
  guint64 id;        /* random, not 0; differs between starts of a hub */
  guint interval_ms; /* least time between two statements of an entry */
  guint test_breaks; /* of pu_load_hub_break_t */
} pu_load_hub_options_t;

/* What an entry has at an engine.  */
typedef struct
{
  guint64 id;             /* pu_entry_load_id of the engine's incarnation */
  guint32 running;        /* requests in flight */
  guint32 prefilling;     /* of these, without a first token */
  guint32 streams;        /* of these, streams in progress with a gap target */
  guint32 prefill_tokens; /* prompt tokens, not cached, of `prefilling` */
  guint32 ratio_sum;      /* samples of the slowness since the last accepted
                             statement, in thousandths */
  guint32 ratio_count;
} pu_load_use_t;

typedef struct
{
  guint64 incarnation; /* of the entry's process */
  guint64 seq;         /* rises with each statement of an incarnation */
  guint64 base; /* seq of the last accepted statement, since which the engines
                   in `uses` have changed; 0: `uses` has all */
  const pu_load_use_t *uses;
  guint n;
} pu_load_statement_t;

/* The reply that an entry has taken last.  */
typedef struct
{
  guint64 hub; /* id; 0: none */
  guint64 version;
} pu_load_since_t;

/* What the other entries have at an engine.  */
typedef struct
{
  guint64 id;
  guint32 running;
  guint32 prefilling;
  guint32 streams;
  guint32 prefill_tokens;
  guint32 slowness; /* in thousandths; 0: no sample yet */
} pu_load_total_t;

typedef struct
{
  guint64 hub;
  guint64 version;
  guint next_ms;     /* when to send the next statement, from this one on */
  bool whole_wanted; /* the statement is not accepted: the hub lacks what it
                        builds on */
  bool all;          /* `totals` has all engines that the hub knows */
  GArray *totals;    /* of pu_load_total_t; the caller's */
} pu_load_reply_t;

pu_load_hub_t *pu_load_hub_new (const pu_load_hub_options_t *o);
void pu_load_hub_free (pu_load_hub_t *h);

/* pu_load_hub_answer - takes STATEMENT of ENTRY, which knows the reply SINCE,
   and sets REPLY; `totals` of it must be an empty array.  Returns false, and
   changes nothing, for a statement beyond the bounds.  */
bool pu_load_hub_answer (pu_load_hub_t *h, const char *entry,
                         const pu_load_statement_t *statement,
                         const pu_load_since_t *since, guint64 now,
                         pu_load_reply_t *reply);

/* pu_load_hub_entries - entries that are counted.
   pu_load_hub_engines - engines that the hub knows.  */
guint pu_load_hub_entries (const pu_load_hub_t *h);
guint pu_load_hub_engines (const pu_load_hub_t *h);

G_END_DECLS

#endif
