#ifndef PU_DIRECTORY_DIRECTORY_H
#define PU_DIRECTORY_DIRECTORY_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * directory - selects the entries that serve a key (a service, or
 * "service/model").
 *
 * Each daemon computes the set locally, by rendezvous hashing over the agreed
 * member view; daemons with the same view give the same set.  The set of size
 * N is always a prefix of the set of size N + 1, so daemons with different
 * estimates of demand still agree on the common prefix.  Sets are spread over
 * zones: every zone that has an entry appears once before any appears twice.
 *
 * The loss of a member changes only the sets that contained it, each by one
 * entry.
 */

typedef struct pu_directory pu_directory_t;

typedef struct
{
  const char *self;           /* this daemon's member name */
  guint set_min;              /* smallest number of entries in a set */
  guint set_max;              /* largest number of entries; 0: no limit */
  guint entry_capacity_per_s; /* requests per second planned for one entry */
  guint ttl_s;                /* how long a caller may cache a result */
  guint weight_zone;          /* of an entry in the caller's zone */
  guint weight_region;        /* of another entry in the caller's region */
  guint weight_other;         /* of an entry in another region */
  guint cache_max;            /* most keys whose ranking is cached */
  double zone_share;          /* part of a zone's entries in a shared set; 1:
                                 all of them */
  guint zone_min;             /* smallest number of entries of a zone in a
                                 shared set */
} pu_directory_options_t;

/* pu_directory_options_init - fills O with the defaults.  */
void pu_directory_options_init (pu_directory_options_t *o);

pu_directory_t *pu_directory_new (const pu_directory_options_t *o);
void pu_directory_free (pu_directory_t *d);

typedef struct
{
  const char *name;
  const char
      *address; /* where it accepts callers; "" when it is not an entry */
  const char *region;
  const char *zone;
  bool leaving; /* excluded from all sets */
} pu_directory_member_t;

/* pu_directory_set_members - replaces the view by N members; copies them.
   VIEW is the number of the view; if it is older than the current one, nothing
   changes and the result is false.  */
bool pu_directory_set_members (pu_directory_t *d, guint64 view,
                               const pu_directory_member_t *members, guint n);

/* pu_directory_set_size - the number of entries for a key that receives RATE
   requests per second, limited by set_min, set_max and the number of entries.
 */
guint pu_directory_set_size (const pu_directory_t *d, double rate);

typedef struct
{
  const char *name; /* owned by the directory until the next set_members */
  const char *address;
  const char *zone;
  guint weight;
} pu_directory_entry_t;

/* pu_directory_entries - appends to OUT (of pu_directory_entry_t) the SIZE
   entries of KEY: those of the caller's ZONE first, then of its REGION, then
   the others, each group in ranking order.  ZONE and REGION may be NULL when
   not known; without ZONE all weights are 1.  Returns the number appended.  */
guint pu_directory_entries (pu_directory_t *d, const char *key, guint size,
                            const char *region, const char *zone, GArray *out);

/* pu_directory_zone_entries - appends to OUT (of pu_directory_entry_t, with
   weight 1) the entries of ZONE in the shared set: the first zone_share of
   them in the ranking of all, zone_min at least.  Returns the number appended.

   The load pattern: many entries share few backend servers, so that each of
   them sends a request to each backend server only once in a while, on a new
   connection and without samples of its own for its estimates.  Fewer entries
   for the same callers reuse connections and know more of each backend server.
   The loss of a member removes one entry of its zone from the set at most,
   itself or, where the set becomes smaller, the last one.  */
guint pu_directory_zone_entries (pu_directory_t *d, const char *zone,
                                 GArray *out);

/* pu_directory_shared_entries - the number of entries in the shared sets of
   all zones.  SELF_SHARED: whether this daemon is one of them.  */
guint pu_directory_shared_entries (pu_directory_t *d, bool *self_shared);

/* pu_directory_ttl_s - time in seconds for which a result may be cached.  */
guint pu_directory_ttl_s (const pu_directory_t *d);

/* pu_directory_contains - whether member NAME is in KEY's set of SIZE.  */
bool pu_directory_contains (pu_directory_t *d, const char *key, guint size,
                            const char *name);

/* pu_directory_next_hop - where a request for KEY that arrived here goes.
   Returns false when it is served here: this daemon is in the set, or the
   request was relayed before (HOPS > 0), or the set has no entry outside
   AVOID (the names of N_AVOID entries that failed recently).  Else fills ENTRY
   with the nearest entry of the set.  */
bool pu_directory_next_hop (pu_directory_t *d, const char *key, guint size,
                            guint hops, const char *const *avoid,
                            guint n_avoid, pu_directory_entry_t *entry);

G_END_DECLS

#endif
