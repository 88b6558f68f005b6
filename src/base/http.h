#pragma once

// HTTP/1.1: values, a server and a client with reused connections, both on the
// process's event loop.

#include "base/http_client.h"
#include "base/http_message.h"
#include "base/http_server.h"
