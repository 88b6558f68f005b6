#pragma once

// What the HTTP server and client share of evhttp.

#include <event2/buffer.h>
#include <event2/http.h>

#include <memory>
#include <string>

#include "base/http_message.h"

namespace guavahaven::http {

namespace detail {
struct http_deleter {
    void operator()(evhttp* h) const { evhttp_free(h); }
};
struct buffer_deleter {
    void operator()(evbuffer* b) const { evbuffer_free(b); }
};
struct connection_deleter {
    void operator()(evhttp_connection* c) const { evhttp_connection_free(c); }
};
std::string method_name(evhttp_cmd_type type);
headers copy_headers(const evkeyvalq* all);
std::string copy_body(evbuffer* buffer);
void add_headers(evkeyvalq* to, const headers& all);
// Sends small writes without waiting for more.
void send_at_once(evhttp_connection* connection);
} // namespace detail

} // namespace guavahaven::http
