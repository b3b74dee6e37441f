#include "run.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"

typedef struct
{
  uv_signal_t term;
  uv_signal_t interrupt;
  void (*cb) (void *data);
  void *data;
} term_t;

void
fake_run_options (int argc, char **argv, struct poptOption *table)
{
  poptContext ctx = poptGetContext (NULL, argc, (const char **)argv, table, 0);
  int rc = poptGetNextOpt (ctx);

  pu_log_init ();
  signal (SIGPIPE, SIG_IGN); /* a peer that left shows as a write error */
  if (rc < -1 || poptPeekArg (ctx) != NULL)
    {
      fprintf (stderr, "%s: %s\n", poptBadOption (ctx, 0),
               rc < -1 ? poptStrerror (rc) : "not expected");
      exit (2);
    }
  poptFreeContext (ctx);
}

static void
on_signal (uv_signal_t *handle, int number)
{
  const term_t *t = handle->data;

  (void)number;
  t->cb (t->data);
}

void
fake_run_on_term (uv_loop_t *loop, void (*cb) (void *data), void *data)
{
  term_t *t = g_new0 (term_t, 1);

  t->cb = cb;
  t->data = data;
  uv_signal_init (loop, &t->term);
  uv_signal_init (loop, &t->interrupt);
  t->term.data = t;
  t->interrupt.data = t;
  uv_unref ((uv_handle_t *)&t->term);
  uv_unref ((uv_handle_t *)&t->interrupt);
  uv_signal_start (&t->term, on_signal, SIGTERM);
  uv_signal_start (&t->interrupt, on_signal, SIGINT);
}

void
fake_run_fail (const char *message)
{
  fprintf (stderr, "%s\n", message);
  exit (1);
}
