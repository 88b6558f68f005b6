// Stand-in for the platform's object API: objects with versions, conditional
// updates and watches, in memory. Faults are switched on over its control port.
//
//   POST /control?outage=0|1&slow_ms=N&lose_answers=N&reads_per_s=N&writes_per_s=N&reset=0|1
//   GET  /control   'reads writes refused reads_peak writes_peak objects' as name=value lines
//   POST /restore?kind=K&name=N   puts back the object's previous content under a newer version

#include <docopt/docopt.h>

#include <algorithm>
#include <iostream>
#include <list>
#include <map>
#include <sstream>

#include "base/clock.h"
#include "base/http.h"

namespace {

using namespace guavahaven;

constexpr const char* usage = R"(fake-platform: stand-in for the platform's object API.

Usage: fake-platform --port=PORT --control=PORT
)";

struct stored {
    std::uint64_t version_ = 0;
    std::string bytes_;
    std::string previous_;
};

struct waiting_watch {
    std::string path_;
    std::uint64_t above_ = 0;
    time_point until_;
    std::shared_ptr<http::exchange> exchange_;
};

// Calls of one kind, counted by the second.
struct call_rate {
    std::uint64_t total_ = 0;
    std::uint64_t this_second_ = 0;
    std::uint64_t peak_ = 0;
    std::int64_t second_ = 0;

    void count(time_point now)
    {
        const auto second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
        if (second != second_)
            this_second_ = 0;
        second_ = second;
        ++total_;
        ++this_second_;
        peak_ = std::max(peak_, this_second_);
    }
};

std::uint64_t parameter(const std::string& target, const std::string& name, std::uint64_t fallback)
{
    const std::string text = http::query_parameter(target, name);
    return text.empty() ? fallback : std::stoull(text);
}

class platform_stand_in {
public:
    explicit platform_stand_in(event_loop& loop)
        : objects_server_(loop, limits(), [this](const auto& e) { receive(e); }),
          control_server_(loop, limits(), [this](const auto& e) { control(e); }),
          timer_(loop, [this] { tick(); })
    {
        timer_.arm(tick_interval);
    }

    bool listen(std::uint16_t port, std::uint16_t control_port)
    {
        return ok(objects_server_.listen({"127.0.0.1", port})) &&
               ok(control_server_.listen({"127.0.0.1", control_port}));
    }

private:
    static constexpr duration tick_interval = std::chrono::milliseconds(10);
    using exchange_ptr = std::shared_ptr<http::exchange>;

    static http::server_limits limits() { return {{64 * 1024, 2 * 1024 * 1024}, std::chrono::seconds(120)}; }

    void receive(const exchange_ptr& e)
    {
        if (outage_)
            return silent_.push_back(e);
        if (slow_ == duration::zero())
            return serve(e);
        delayed_.push_back({runtime_clock().now() + slow_, e});
    }

    void serve(const exchange_ptr& e)
    {
        const std::string& target = e->received().target_;
        const time_point now = runtime_clock().now();
        const bool write = e->received().method_ == "PUT";
        call_rate& rate = write ? writes_ : reads_;
        rate.count(now);
        if (rate.this_second_ > (write ? writes_most_ : reads_most_)) {
            ++refused_;
            return e->reply({429, {}, ""});
        }
        const std::string path = http::path_of(target);
        if (write)
            return put(path, e);
        const auto at = objects_.find(path);
        const std::uint64_t above = parameter(target, "after", 0);
        if (at != objects_.end() && at->second.version_ > above)
            return answer(e, at->second);
        const std::uint64_t wait = parameter(target, "wait", 0);
        if (wait == 0)
            return e->reply({404, {}, ""});
        watches_.push_back({path, above, now + std::chrono::milliseconds(wait), e});
    }

    static void answer(const exchange_ptr& e, const stored& o)
    {
        e->reply({200, {{"Version", std::to_string(o.version_)}}, o.bytes_});
    }

    void put(const std::string& path, const exchange_ptr& e)
    {
        const std::string condition = http::find_header(e->received().headers_, "If-Version");
        const std::uint64_t expected = condition.empty() ? 0 : std::stoull(condition);
        const auto at = objects_.find(path);
        const std::uint64_t version = at == objects_.end() ? 0 : at->second.version_;
        if (version != expected)
            return e->reply({409, {}, ""});
        store(path, e->received().body_);
        if (lose_answers_ > 0) {
            --lose_answers_;
            return silent_.push_back(e);
        }
        e->reply({200, {{"Version", std::to_string(objects_[path].version_)}}, ""});
    }

    void store(const std::string& path, const std::string& bytes)
    {
        stored& o = objects_[path];
        o.previous_ = o.bytes_;
        o.bytes_ = bytes;
        o.version_ = ++last_version_;
        for (auto w = watches_.begin(); w != watches_.end();) {
            if (w->path_ != path) {
                ++w;
                continue;
            }
            answer(w->exchange_, o);
            w = watches_.erase(w);
        }
    }

    void control(const exchange_ptr& e)
    {
        const std::string& target = e->received().target_;
        if (http::path_of(target) == "/restore") {
            const std::string path = "/objects/" + http::query_parameter(target, "kind") + "/" +
                                     http::query_parameter(target, "name");
            store(path, std::string(objects_[path].previous_));
            return e->reply({200, {}, ""});
        }
        outage_ = parameter(target, "outage", outage_ ? 1 : 0) != 0;
        slow_ = std::chrono::milliseconds(
            parameter(target, "slow_ms", static_cast<std::uint64_t>(slow_.count()) / 1000));
        lose_answers_ = parameter(target, "lose_answers", lose_answers_);
        reads_most_ = parameter(target, "reads_per_s", reads_most_);
        writes_most_ = parameter(target, "writes_per_s", writes_most_);
        if (parameter(target, "reset", 0) != 0) {
            reads_ = {};
            writes_ = {};
            refused_ = 0;
        }
        std::ostringstream out;
        out << "reads=" << reads_.total_ << "\nwrites=" << writes_.total_ << "\nrefused=" << refused_
            << "\nreads_peak=" << reads_.peak_ << "\nwrites_peak=" << writes_.peak_
            << "\nobjects=" << objects_.size() << "\nwatches=" << watches_.size() << "\n";
        e->reply({200, {}, out.str()});
    }

    void tick()
    {
        const time_point now = runtime_clock().now();
        while (!delayed_.empty() && delayed_.front().first <= now) {
            const exchange_ptr e = delayed_.front().second;
            delayed_.pop_front();
            serve(e);
        }
        for (auto w = watches_.begin(); w != watches_.end();) {
            if (w->until_ > now) {
                ++w;
                continue;
            }
            w->exchange_->reply({304, {}, ""});
            w = watches_.erase(w);
        }
        // Callers of the silent time have long given up by the end of an outage.
        if (!outage_ && lose_answers_ == 0)
            std::exchange(silent_, {});
        timer_.arm(tick_interval);
    }

    std::map<std::string, stored> objects_;
    std::list<waiting_watch> watches_;
    std::list<std::pair<time_point, exchange_ptr>> delayed_;
    std::vector<exchange_ptr> silent_;
    std::uint64_t last_version_ = 0;
    call_rate reads_;
    call_rate writes_;
    std::uint64_t refused_ = 0;
    bool outage_ = false;
    duration slow_{};
    std::uint64_t lose_answers_ = 0;
    std::uint64_t reads_most_ = 2000;
    std::uint64_t writes_most_ = 400;
    http::server objects_server_;
    http::server control_server_;
    timer timer_;
};

} // namespace

int main(int argc, char** argv)
{
    const auto args = docopt::docopt(usage, {argv + 1, argv + argc});
    event_loop loop;
    platform_stand_in stand_in(loop);
    const auto port = static_cast<std::uint16_t>(args.at("--port").asLong());
    if (!stand_in.listen(port, static_cast<std::uint16_t>(args.at("--control").asLong())))
        return 1;
    loop.on_stop_signal([&loop] { loop.stop(); });
    loop.run();
    return 0;
}
