#ifndef FAKES_LEDGER_H
#define FAKES_LEDGER_H

#include <glib.h>
#include <jansson.h>

G_BEGIN_DECLS

/*
 * ledger - what a fake really did, as JSON lines, each flushed at once.
 *
 * Each line has "at" (wall milliseconds), "name" (of the fake), "pid" and
 * "event".  A process that dies leaves every line that it wrote.
 */

typedef struct fake_ledger fake_ledger_t;

/* fake_ledger_open - appends to PATH; a NULL path keeps nothing.  Returns NULL
   when the file can't be opened.  */
fake_ledger_t *fake_ledger_open (const char *path, const char *name);
void fake_ledger_close (fake_ledger_t *l);

/* fake_ledger_write - one line; takes FIELDS (a new object, or NULL).  */
void fake_ledger_write (fake_ledger_t *l, const char *event, json_t *fields);

G_END_DECLS

#endif
