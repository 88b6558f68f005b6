#include "base/http_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

namespace guavahaven::http {

namespace {

namespace beast = boost::beast;
using beast::error_code;
using beast::string_view;

bool is_supported_encoding(string_view name, string_view value)
{
    return !equals_ignore_case({name.data(), name.size()}, "Transfer-Encoding") ||
           equals_ignore_case({value.data(), value.size()}, "chunked");
}

} // namespace

// Common interface of the request and the response parser.
struct message_reader::parser {
    virtual ~parser() = default;
    virtual std::size_t put(std::string_view bytes, error_code& ec) = 0;
    virtual void put_end(error_code& ec) = 0;
    virtual bool done() const = 0;
    virtual bool keep_alive() const = 0;
    virtual bool ends_with_connection() const = 0;
    virtual void skip_body() = 0;
};

namespace detail {

// Beast's parser with callbacks that store headers and body in the reader.
template <bool IsRequest, class Reader>
class basic_reader_parser : public beast::http::basic_parser<IsRequest> {
public:
    explicit basic_reader_parser(Reader sink) : sink_(sink) { this->eager(true); }

protected:
    void on_request_impl(beast::http::verb, string_view method, string_view target, int version,
                         error_code&) override
    {
        sink_.version_ = version;
        sink_.method_.assign(method.data(), method.size());
        sink_.target_.assign(target.data(), target.size());
    }
    void on_response_impl(int code, string_view, int, error_code&) override { sink_.status_ = code; }
    void on_field_impl(beast::http::field, string_view name, string_view value, error_code& ec) override
    {
        if (sink_.head_done_)
            return; // trailers are hop-by-hop and dropped
        if (!is_supported_encoding(name, value))
            ec = beast::http::error::bad_transfer_encoding;
        sink_.headers_.push_back({{name.data(), name.size()}, {value.data(), value.size()}});
    }
    void on_header_impl(error_code&) override { sink_.head_done_ = true; }
    void on_body_init_impl(const boost::optional<std::uint64_t>&, error_code&) override {}
    std::size_t on_body_impl(string_view bytes, error_code&) override
    {
        sink_.body_.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    void on_chunk_header_impl(std::uint64_t, string_view, error_code&) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, string_view bytes, error_code& ec) override
    {
        return on_body_impl(bytes, ec);
    }
    void on_finish_impl(error_code&) override {}

private:
    Reader sink_;
};

// The reader's members that the parser fills in.
struct reader_sink {
    bool& head_done_;
    std::string& method_;
    std::string& target_;
    int& status_;
    int& version_;
    headers& headers_;
    std::string& body_;
};

} // namespace detail

template <bool IsRequest>
class message_parser final : public message_reader::parser {
public:
    message_parser(detail::reader_sink sink, message_limits limits) : beast_(sink)
    {
        beast_.header_limit(static_cast<std::uint32_t>(limits.head_));
        beast_.body_limit(limits.body_);
    }
    std::size_t put(std::string_view bytes, error_code& ec) override
    {
        return beast_.put(boost::asio::const_buffer(bytes.data(), bytes.size()), ec);
    }
    void put_end(error_code& ec) override { beast_.put_eof(ec); }
    bool done() const override { return beast_.is_done(); }
    bool keep_alive() const override { return beast_.keep_alive(); }
    bool ends_with_connection() const override { return !IsRequest && beast_.need_eof(); }
    void skip_body() override { beast_.skip(true); }

private:
    detail::basic_reader_parser<IsRequest, detail::reader_sink> beast_;
};

message_reader::message_reader(kind of, message_limits limits) : kind_(of), limits_(limits)
{
    reset();
}

message_reader::~message_reader() = default;

void message_reader::reset()
{
    head_done_ = false;
    fault_.reset();
    method_.clear();
    target_.clear();
    status_ = 0;
    headers_.clear();
    body_.clear();
    const detail::reader_sink sink{head_done_, method_, target_, status_, version_, headers_, body_};
    if (kind_ == kind::request)
        parser_ = std::make_unique<message_parser<true>>(sink, limits_);
    else
        parser_ = std::make_unique<message_parser<false>>(sink, limits_);
}

std::size_t message_reader::read(std::string_view bytes)
{
    if (fault_ || done() || bytes.empty())
        return 0;
    error_code ec;
    const std::size_t taken = parser_->put(bytes, ec);
    if (!ec)
        return taken;
    if (ec == beast::http::error::need_more) {
        // What is left is the beginning of a head, a chunk's size line or a trailer. The parser bounds only
        // the first.
        if (bytes.size() - taken > limits_.head_)
            fault_ = head_done_ ? read_fault::malformed : read_fault::head_too_large;
        return taken;
    }
    if (ec == beast::http::error::header_limit)
        fault_ = read_fault::head_too_large;
    else if (ec == beast::http::error::body_limit)
        fault_ = read_fault::body_too_large;
    else
        fault_ = read_fault::malformed;
    return taken;
}

void message_reader::end_of_stream()
{
    if (fault_ || done())
        return;
    error_code ec;
    if (head_done_) // before the head, the parser would accept an empty message as complete
        parser_->put_end(ec);
    if (ec || !done())
        fault_ = read_fault::malformed;
}

void message_reader::expect_no_body()
{
    parser_->skip_body();
}

bool message_reader::done() const
{
    return parser_->done();
}

bool message_reader::keep_alive() const
{
    return parser_->keep_alive();
}

bool message_reader::ends_with_connection() const
{
    return parser_->ends_with_connection();
}

} // namespace guavahaven::http
