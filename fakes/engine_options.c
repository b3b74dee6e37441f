#include "engine_options.h"

#include "run.h"

#define LEAVE_MS 2500 /* stays at least so long after its leave was told */

void
engine_options_read (engine_options_t *o, int argc, char **argv)
{
  struct poptOption table[] = {
    { "name", 0, POPT_ARG_STRING, &o->name, 0, "name", "NAME" },
    { "listen", 0, POPT_ARG_STRING, &o->listen, 0, "own address", "H:P" },
    { "entry", 0, POPT_ARG_ARGV, &o->entries, 0, "an entry; any number",
      "H:P" },
    { "key", 0, POPT_ARG_STRING, &o->key, 0, "backend key", "KEY" },
    { "region", 0, POPT_ARG_STRING, &o->region, 0, "region", "R" },
    { "zone", 0, POPT_ARG_STRING, &o->zone, 0, "availability zone", "Z" },
    { "accelerators", 0, POPT_ARG_INT, &o->accelerators, 0, "count", "N" },
    { "memory-mb", 0, POPT_ARG_INT, &o->memory_mb, 0, "of each", "MB" },
    { "fenced", 0, POPT_ARG_VAL, &o->fenced, 1, "refuse old tokens", NULL },
    { "no-fenced", 0, POPT_ARG_VAL, &o->fenced, 0, "ignore tokens", NULL },
    { "greedy", 0, POPT_ARG_VAL, &o->greedy, 1,
      "take loads that do not fit, in place of 507", NULL },
    { "models", 0, POPT_ARG_STRING, &o->models, 0, "ready at the start",
      "M:V:MB,..." },
    { "prefill-ms-per-ktoken", 0, POPT_ARG_DOUBLE, &o->prefill_ms_per_ktoken,
      0, "time to read 1,000 tokens", "MS" },
    { "decode-ms", 0, POPT_ARG_DOUBLE, &o->decode_ms, 0, "time of a step",
      "MS" },
    { "max-batch", 0, POPT_ARG_INT, &o->max_batch, 0, "run at once", "N" },
    { "max-waiting", 0, POPT_ARG_INT, &o->max_waiting, 0, "then 503", "N" },
    { "replay", 0, POPT_ARG_VAL, &o->replay, 1,
      "begin again when asked to resume a stream", NULL },
    { "event-ids", 0, POPT_ARG_VAL, &o->event_ids, 1,
      "each token's event has its index as id", NULL },
    { "load-ms", 0, POPT_ARG_INT, &o->load_ms, 0, "time of a load", "MS" },
    { "kv-blocks", 0, POPT_ARG_INT, &o->kv_blocks, 0, "blocks kept", "N" },
    { "kv-delay-ms", 0, POPT_ARG_INT, &o->kv_delay_ms, 0,
      "KV-cache events come so late", "MS" },
    { "leave-ms", 0, POPT_ARG_INT, &o->leave_ms, 0,
      "stay at least so long after SIGTERM", "MS" },
    { "ledger", 0, POPT_ARG_STRING, &o->ledger, 0, "what ran", "FILE" },
    { "crash-on", 0, POPT_ARG_STRING, &o->crash_on, 0,
      "abort when a prompt with TEXT runs", "TEXT" },
    POPT_AUTOHELP POPT_TABLEEND
  };

  *o = (engine_options_t){ .region = "r",
                           .zone = "a",
                           .accelerators = 1,
                           .memory_mb = 80000,
                           .fenced = 1,
                           .prefill_ms_per_ktoken = 20,
                           .decode_ms = 5,
                           .max_batch = 64,
                           .max_waiting = 1024,
                           .load_ms = 500,
                           .kv_blocks = 4096,
                           .kv_delay_ms = 200,
                           .leave_ms = LEAVE_MS };
  fake_run_options (argc, argv, table);
  if (o->name == NULL || o->listen == NULL)
    fake_run_fail ("--name and --listen are needed");
}
