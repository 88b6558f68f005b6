#pragma once

// Options that every TCP socket of a daemon has.

#include <event2/util.h>

namespace guavahaven {

// Small writes leave at once, and a connection whose other end has gone silent
// ends by itself: kept connections are probed by the system, and sent bytes
// must be acknowledged.
void tune_socket(evutil_socket_t fd);

} // namespace guavahaven
