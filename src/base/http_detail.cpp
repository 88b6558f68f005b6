#include "base/http_detail.h"

#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace guavahaven::http::detail {

std::string method_name(evhttp_cmd_type type)
{
    switch (type) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_OPTIONS:
        return "OPTIONS";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "";
    }
}

headers copy_headers(const evkeyvalq* all)
{
    headers copies;
    for (const evkeyval* kv = all->tqh_first; kv; kv = kv->next.tqe_next)
        copies.push_back({kv->key, kv->value});
    return copies;
}

std::string copy_body(evbuffer* buffer)
{
    std::string body(evbuffer_get_length(buffer), '\0');
    evbuffer_copyout(buffer, body.data(), body.size());
    return body;
}

void add_headers(evkeyvalq* to, const headers& all)
{
    for (const header& h : all)
        evhttp_add_header(to, h.name_.c_str(), h.value_.c_str());
}

void send_at_once(evhttp_connection* connection)
{
    bufferevent* stream = connection ? evhttp_connection_get_bufferevent(connection) : nullptr;
    const evutil_socket_t fd = stream ? bufferevent_getfd(stream) : -1;
    const int on = 1;
    if (fd >= 0)
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace guavahaven::http::detail
