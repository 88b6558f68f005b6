// The strict parser: a message that another parser could understand differently is
// refused, since the difference would allow request smuggling.

#include "base/http_reader.h"

#include <gtest/gtest.h>

namespace guavahaven::http {

namespace {

using kind = message_reader::kind;

// Passes bytes to the reader in pieces, each preceded by what it has not consumed yet.
std::size_t feed(message_reader& reader, const std::string& bytes, std::size_t piece)
{
    std::string pending;
    std::size_t taken = 0;
    for (std::size_t at = 0; at < bytes.size() && !reader.done() && !reader.fault(); at += piece) {
        pending += bytes.substr(at, piece);
        const std::size_t used = reader.read(pending);
        pending.erase(0, used);
        taken += used;
    }
    return taken;
}

std::optional<read_fault> fault_of(const std::string& bytes)
{
    message_reader reader(kind::request, {});
    feed(reader, bytes, bytes.size());
    return reader.fault();
}

} // namespace

TEST(http_reader, reads_a_message_in_any_pieces)
{
    const std::string first = "POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nmaria";
    for (std::size_t piece = 1; piece <= first.size(); ++piece) {
        message_reader reader(kind::request, {});
        EXPECT_EQ(feed(reader, first + "GET", piece), first.size());
        ASSERT_TRUE(reader.done());
        EXPECT_EQ(reader.method(), "POST");
        EXPECT_EQ(reader.target(), "/a?b=c");
        EXPECT_EQ(reader.take_body(), "maria");
        EXPECT_TRUE(reader.keep_alive());
    }
}

TEST(http_reader, refuses_ambiguous_messages)
{
    const std::string line = "POST / HTTP/1.1\r\nHost: x\r\n";
    for (const char* fields :
         {"Content-Length: 4\r\nContent-Length: 5\r\n", "Content-Length : 4\r\n", "Content-Length: +4\r\n",
          "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: gzip\r\n",
          "Transfer-Encoding: chunked, identity\r\n"}) {
        SCOPED_TRACE(fields);
        EXPECT_EQ(fault_of(line + fields + "\r\nabcd"), read_fault::malformed);
    }
}

TEST(http_reader, reports_what_is_too_large)
{
    const std::string long_value(20'000, 'x');
    EXPECT_EQ(fault_of("GET / HTTP/1.1\r\nLong: " + long_value + "\r\n\r\n"), read_fault::head_too_large);
    message_reader reader(kind::request, {1024, 10});
    feed(reader, "POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\nabcdefghijk", 7);
    EXPECT_EQ(reader.fault(), read_fault::body_too_large);
}

// Guards against memory that grows with a chunk's size line or a trailer without end.
TEST(http_reader, bounds_the_lines_between_chunks_and_the_trailer)
{
    constexpr std::size_t bound = 1024;
    const std::string head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filler(bound - 100, 'x');
    const std::string overlong(2 * bound, 'x');
    // Given what is within the bound of a head, then it is read
    for (const std::string& body :
         {"1;" + filler + "\r\na\r\n0\r\n\r\n", "1\r\na\r\n0\r\nA: " + filler + "\r\n\r\n"})
        for (const std::size_t piece : {std::size_t{1}, std::size_t{700}, 4 * bound}) {
            message_reader reader(kind::request, {bound, 10});
            feed(reader, head + body, piece);
            EXPECT_TRUE(reader.done());
            EXPECT_EQ(reader.take_body(), "a");
        }
    // And what is larger is malformed, also before its end
    for (const std::string& body :
         {"1;" + overlong, "1\r\na\r\n0\r\nA: " + overlong, "000" + std::string(2 * bound, '0')})
        for (const std::size_t piece : {std::size_t{1}, std::size_t{700}, 4 * bound}) {
            message_reader reader(kind::request, {bound, 10});
            feed(reader, head + body, piece);
            EXPECT_EQ(reader.fault(), read_fault::malformed);
        }
    // But a body may be larger than a head
    message_reader reader(kind::request, {bound, 4 * bound});
    feed(reader, head + "800\r\n" + std::string(2 * bound, 'b') + "\r\n0\r\n\r\n", 4 * bound);
    EXPECT_TRUE(reader.done());
    EXPECT_EQ(reader.body_size(), 2 * bound);
}

TEST(http_reader, a_response_without_a_length_ends_with_its_connection)
{
    message_reader reader(kind::response, {});
    feed(reader, "HTTP/1.1 200 OK\r\n\r\nhalf", 100);
    EXPECT_TRUE(reader.ends_with_connection());
    EXPECT_FALSE(reader.done());
    reader.end_of_stream();
    EXPECT_TRUE(reader.done());

    // One with a longer stated length or an incomplete head is malformed
    for (const char* bytes : {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", "HTTP/1.1 20", ""}) {
        SCOPED_TRACE(bytes);
        message_reader cut(kind::response, {});
        feed(cut, bytes, 100);
        cut.end_of_stream();
        EXPECT_EQ(cut.fault(), read_fault::malformed);
    }
}

} // namespace guavahaven::http
