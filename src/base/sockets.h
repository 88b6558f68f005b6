#pragma once

// The options of a daemon's TCP sockets.

#include <event2/util.h>

namespace guavahaven {

// Turns off Nagle's algorithm, so that small writes are sent without delay, and makes the
// kernel close a connection whose other end no longer responds: an idle one by
// keep-alive probes, others when sent bytes are not acknowledged in time.
void tune_socket(evutil_socket_t fd);

} // namespace guavahaven
