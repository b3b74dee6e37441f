#ifndef FAKES_ENGINE_OPTIONS_H
#define FAKES_ENGINE_OPTIONS_H

#include <glib.h>

G_BEGIN_DECLS

/*
 * engine_options - the command line of fake-engine; --help explains it.
 */

typedef struct
{
  char *name;
  char *listen;
  char **entries;
  char *key;
  char *region;
  char *zone;
  int accelerators;
  int memory_mb;
  int fenced;
  int greedy;
  char *models;
  double prefill_ms_per_ktoken;
  double decode_ms;
  int max_batch;
  int max_waiting;
  int replay;
  int event_ids;
  int load_ms;
  int kv_blocks;
  int kv_delay_ms;
  int leave_ms;
  char *ledger;
  char *crash_on;
} engine_options_t;

/* engine_options_read - defaults, then the command line; ends the process on a
   bad one.  */
void engine_options_read (engine_options_t *o, int argc, char **argv);

G_END_DECLS

#endif
