#include "base/sockets.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace guavahaven {

namespace {

// A frozen peer may stay away for a few seconds and come back; a connection
// that something between the ends has forgotten never does.
constexpr int unacknowledged_most_ms = 3'000;
constexpr int probe_after_s = 2;
constexpr int probe_interval_s = 1;
constexpr int probes_most = 2;

void set(evutil_socket_t fd, int level, int name, int value)
{
    // A system without the option keeps its own, longer limits.
    static_cast<void>(setsockopt(fd, level, name, &value, sizeof value));
}

} // namespace

void tune_socket(evutil_socket_t fd)
{
    set(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    set(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_most_ms);
    set(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set(fd, IPPROTO_TCP, TCP_KEEPIDLE, probe_after_s);
    set(fd, IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_s);
    set(fd, IPPROTO_TCP, TCP_KEEPCNT, probes_most);
}

} // namespace guavahaven
