#ifndef FAKES_ADDRESS_H
#define FAKES_ADDRESS_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* fake_address_parse - reads "host:port", by IP number, into SIN.  */
bool fake_address_parse (const char *address, struct sockaddr_in *sin);

G_END_DECLS

#endif
