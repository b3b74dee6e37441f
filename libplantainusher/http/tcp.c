#include "http/tcp.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

enum
{
  KEEPALIVE_IDLE_S = 3,     /* silence before the first probe */
  KEEPALIVE_INTERVAL_S = 1, /* between probes */
  KEEPALIVE_PROBES = 3,
  UNACKNOWLEDGED_MS = 6000, /* data that stays without an answer */
};

static void
option_set (int fd, int level, int name, int value)
{
  /* A kernel that does not know the option does without.  */
  (void)setsockopt (fd, level, name, &value, sizeof value);
}

void
pu_http_tcp_tune (uv_tcp_t *tcp)
{
  uv_os_fd_t fd;

  uv_tcp_nodelay (tcp, 1);
  if (uv_fileno ((const uv_handle_t *)tcp, &fd) != 0)
    return;
  option_set (fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  option_set (fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
  option_set (fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
  option_set (fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
  option_set (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS);
}
