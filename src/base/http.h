#pragma once

// All of HTTP/1.1: messages, a server, and a client with reused connections.

#include "base/http_client.h"
#include "base/http_message.h"
#include "base/http_server.h"
