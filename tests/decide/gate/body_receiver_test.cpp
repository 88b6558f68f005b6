// The gate receives large bodies in parts, so that its link is never occupied by whole bodies. The pattern
// that this answers is head-of-line blocking: small calls with short deadlines that wait behind uploads on a
// slow link.

#include <gtest/gtest.h>

#include "support/gate_harness.h"

namespace guavahaven {

using decide::body_grant;
using decide::body_part;
using support::gate_harness;

namespace {

constexpr double slow_link = 1'250'000; // bytes a second: 10 Mbit/s

// A gate with uploads of given sizes, and what is on its link.
class uploads {
public:
    gate_harness g_{{}, slow_link};

    uploads() { g_.warm_up(); }

    decide::call make(std::uint64_t sequence, std::size_t bytes)
    {
        decide::call c = g_.make(sequence);
        c.body_bytes_ = bytes;
        c.request_.body_.clear();
        return c;
    }
    void send(const decide::call& c)
    {
        g_.send(c);
        collect();
    }
    void collect()
    {
        for (const decide::gate_action& a : g_.actions_)
            if (const auto* sent = std::get_if<decide::send_to_entry>(&a))
                if (const auto* grant = std::get_if<body_grant>(&sent->message_)) {
                    on_link_.push_back(*grant);
                    bytes_on_link_ += grant->bytes_;
                }
    }
    // The oldest granted part arrives.
    void deliver()
    {
        const body_grant part = on_link_.front();
        on_link_.erase(on_link_.begin());
        bytes_on_link_ -= part.bytes_;
        g_.handle(decide::call_message{daemon_name("entry"),
                                       body_part{part.id_, part.offset_, std::string(part.bytes_, 'x')}});
        collect();
    }
    void deliver_all()
    {
        while (!on_link_.empty())
            deliver();
    }

    std::vector<body_grant> on_link_;
    std::uint64_t bytes_on_link_ = 0;
};

} // namespace

TEST(head_of_line_blocking, of_small_calls_behind_uploads)
{
    uploads u;
    const std::size_t runs_before = u.g_.runs_.size();

    // Given ten uploads at the same time, of 60 KB each, which take 48 ms on the link
    for (std::uint64_t i = 1; i <= 10; ++i)
        u.send(u.make(1000 + i, 60'000));
    EXPECT_EQ(u.g_.gate_.load().queued_, 10U);

    // Then no more than 25 ms of the link are occupied by them at any time
    while (!u.on_link_.empty()) {
        EXPECT_LE(static_cast<double>(u.bytes_on_link_), 0.025 * slow_link);
        u.deliver();
    }
    // And all arrive whole, and run
    EXPECT_EQ(u.g_.runs_.size(), runs_before + 10);
    EXPECT_EQ(u.g_.gate_.load().queued_, 0U);
}

TEST(head_of_line_blocking, of_a_short_upload_behind_a_long_one)
{
    uploads u;
    u.send(u.make(1001, 360'000));
    u.send(u.make(1002, 10'000));
    const std::size_t runs_before = u.g_.runs_.size();

    // The short one passes the long one
    for (int i = 0; i < 6; ++i)
        u.deliver();
    EXPECT_EQ(u.g_.runs_.size(), runs_before + 1);
    u.deliver_all();
    EXPECT_EQ(u.g_.runs_.size(), runs_before + 2);
}

TEST(upload, that_can_not_arrive_in_time_is_refused_before_it_is_sent)
{
    uploads u;

    // Given bodies that occupy the link for 1.6 s
    for (std::uint64_t i = 1; i <= 5; ++i)
        u.send(u.make(1000 + i, 400'000));

    // When one more comes that would take 2.08 s and has 2 s left
    u.send(u.make(1006, 600'000));
    // Then it is refused at once, as not run, and none of its bytes are asked for
    EXPECT_EQ(u.g_.refused(), code::overloaded);
    // But a short one is still taken
    u.send(u.make(1007, 20'000));
    EXPECT_EQ(u.g_.refused(), code::ok);
}

// A size that no body has, as another daemon may state it, must not overflow the estimate of its arrival.
TEST(upload, of_an_impossible_size_is_refused)
{
    uploads u;
    std::uint64_t sequence = 1001;
    for (const std::uint64_t bytes : {std::uint64_t{1} << 62U, ~std::uint64_t{0}}) {
        decide::call c = u.make(sequence++, 0);
        c.body_bytes_ = bytes;
        u.send(c);
        EXPECT_EQ(u.g_.refused(), code::overloaded);
    }
    u.send(u.make(sequence++, 20'000));
    decide::call beside_another = u.make(sequence++, 0);
    beside_another.body_bytes_ = ~std::uint64_t{0};
    u.send(beside_another);
    EXPECT_EQ(u.g_.refused(), code::overloaded);
    EXPECT_EQ(u.g_.gate_.load().queued_, 1U);
}

TEST(upload, whose_parts_were_lost)
{
    uploads u;
    const decide::call c = u.make(1001, 30'000);
    u.send(c);
    const std::size_t runs_before = u.g_.runs_.size();

    // When its first part is lost and the second arrives
    ASSERT_GE(u.on_link_.size(), 2U);
    u.on_link_.erase(u.on_link_.begin());
    u.deliver();
    u.on_link_.clear();
    u.bytes_on_link_ = 0;

    // Then the gate asks again from where the gap begins
    u.g_.pass(std::chrono::milliseconds(400));
    u.collect();
    ASSERT_FALSE(u.on_link_.empty());
    EXPECT_EQ(u.on_link_.front().offset_, 0U);
    u.deliver_all();
    EXPECT_EQ(u.g_.runs_.size(), runs_before + 1);
}

TEST(upload, that_is_incomplete_has_not_run)
{
    uploads u;

    // A fence of one whose body is not here yet says so, and later parts don't make it run
    const decide::call c = u.make(1001, 30'000);
    u.send(c);
    const std::size_t runs_before = u.g_.runs_.size();
    EXPECT_TRUE(u.g_.gate_.busy());
    EXPECT_EQ(u.g_.fence(c), decide::run_status::never_ran);
    u.deliver_all();
    EXPECT_EQ(u.g_.runs_.size(), runs_before);

    // Its deadline and a stop of the gate end it in the same way
    u.send(u.make(1002, 30'000));
    u.g_.pass(std::chrono::seconds(2));
    EXPECT_EQ(u.g_.refused(), code::deadline_exceeded);
    u.send(u.make(1003, 30'000));
    u.g_.handle(decide::stop_requested{});
    EXPECT_EQ(u.g_.refused(), code::draining);
    EXPECT_FALSE(u.g_.gate_.busy());
}

} // namespace guavahaven
