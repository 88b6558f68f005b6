#include "base/sockets.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace guavahaven {

namespace {

// A process that is frozen for a few seconds keeps its connections, as its kernel still
// answers. These limits end connections that the other host, or a device in
// between, no longer knows: they never recover.
constexpr int max_unacknowledged_ms = 3'000;
constexpr int idle_before_probe_s = 2;
constexpr int probe_interval_s = 1;
constexpr int max_unanswered_probes = 2;

void set(evutil_socket_t fd, int level, int name, int value)
{
    // Errors are ignored: a system without the option keeps its own, longer limits.
    static_cast<void>(setsockopt(fd, level, name, &value, sizeof value));
}

} // namespace

void tune_socket(evutil_socket_t fd)
{
    set(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    set(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, max_unacknowledged_ms);
    set(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set(fd, IPPROTO_TCP, TCP_KEEPIDLE, idle_before_probe_s);
    set(fd, IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_s);
    set(fd, IPPROTO_TCP, TCP_KEEPCNT, max_unanswered_probes);
}

} // namespace guavahaven
