#ifndef PU_DIRECTORY_DIRECTORY_H
#define PU_DIRECTORY_DIRECTORY_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * directory - which entries serve a key (a service, or "service/model").
 *
 * Each daemon computes the set alone, by rendezvous hashing over the agreed
 * member view; daemons with the same view give the same set.  The set of size
 * N is always the head of the set of size N + 1, so daemons that differ in
 * their idea of demand still agree on its head.  The head is spread: every
 * zone that has an entry appears once before any appears twice.
 *
 * A member's loss changes only the sets that it was in, each by one entry.
 */

typedef struct pu_directory pu_directory_t;

typedef struct
{
  const char *self;     /* this daemon's member name */
  guint set_min;        /* smallest set, over zones */
  guint set_max;        /* largest set; 0: all entries */
  guint entry_capacity; /* requests a second that one entry is to carry */
  guint ttl_s;          /* how long a caller keeps an answer */
  guint weight_zone;    /* of an entry in the caller's zone */
  guint weight_region;  /* in its region */
  guint weight_far;     /* elsewhere */
  guint cache_max;      /* ranked keys remembered */
} pu_directory_options_t;

/* pu_directory_options_init - fills O with the defaults.  */
void pu_directory_options_init (pu_directory_options_t *o);

pu_directory_t *pu_directory_new (const pu_directory_options_t *o);
void pu_directory_free (pu_directory_t *d);

typedef struct
{
  const char *name;
  const char *address; /* of its callers' side; "" when it is no entry */
  const char *region;
  const char *zone;
  bool leaving; /* in no set from now on */
} pu_directory_member_t;

/* pu_directory_set_members - replaces the view by N members; copies them.
   VIEW is the number of the view; an older one than known changes nothing and
   gives false.  */
bool pu_directory_set_members (pu_directory_t *d, guint64 view,
                               const pu_directory_member_t *members, guint n);

/* pu_directory_size - how many entries a key needs that gets RATE requests a
   second: within set_min, set_max and the entries there are.  */
guint pu_directory_size (const pu_directory_t *d, double rate);

typedef struct
{
  const char *name; /* owned by the directory until the next set_members */
  const char *address;
  const char *zone;
  guint weight;
} pu_directory_entry_t;

/* pu_directory_entries - appends to OUT (of pu_directory_entry_t) the SIZE
   entries of KEY: those of the caller's ZONE first, then of its REGION, then
   the others, each group in hash order.  ZONE and REGION may be NULL when not
   known: all weigh alike.  Returns the number appended.  */
guint pu_directory_entries (pu_directory_t *d, const char *key, guint size,
                            const char *region, const char *zone, GArray *out);

/* pu_directory_ttl - seconds that an answer may be kept.  */
guint pu_directory_ttl (const pu_directory_t *d);

/* pu_directory_contains - whether member NAME is in KEY's set of SIZE.  */
bool pu_directory_contains (pu_directory_t *d, const char *key, guint size,
                            const char *name);

/* pu_directory_next_hop - where a request for KEY that arrived here goes.
   Returns false when it is served here: this daemon is in the set, or the
   request was relayed before (HOPS > 0), or the set has no entry outside
   AVOID (N_AVOID names that failed just now).  Else fills ENTRY with the
   nearest entry of the set.  */
bool pu_directory_next_hop (pu_directory_t *d, const char *key, guint size,
                            guint hops, const char *const *avoid,
                            guint n_avoid, pu_directory_entry_t *entry);

G_END_DECLS

#endif
