#ifndef FAKES_ANNOUNCER_H
#define FAKES_ANNOUNCER_H

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "faults.h"

G_BEGIN_DECLS

/*
 * announcer - how a backend server makes itself known: it learns entries as a
 * caller does, announces itself to one and reports to it.
 *
 * The first announcement to an entry is whole, later ones carry what changed.
 * When an entry fails, the next one is tried; an answer of 409 makes a new
 * incarnation.
 */

typedef struct fake_announcer fake_announcer_t;

typedef struct
{
  uv_loop_t *loop;
  const char *name;
  const char *service; /* asked for at /v1/entries */
  const char *key;     /* NULL: none */
  char **entries;      /* host:port, NULL at the end; copied; may be NULL */
  fake_faults_t *faults;
  /* A new object with what to tell; WHOLE asks for everything.  */
  json_t *(*report) (void *data, gboolean whole);
  void *data;
} fake_announcer_options_t;

/* fake_announcer_new - begins at once.  */
fake_announcer_t *fake_announcer_new (const fake_announcer_options_t *o);

/* fake_announcer_now - reports without waiting for the next interval.  */
void fake_announcer_now (fake_announcer_t *a);

/* fake_announcer_add_state - adds what is known to an object of /fake/state.
 */
void fake_announcer_add_state (const fake_announcer_t *a, json_t *out);

G_END_DECLS

#endif
