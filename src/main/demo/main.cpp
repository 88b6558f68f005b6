// guavahaven-demo: a small deployment on this machine. Requests go on while a
// data centre leaves and returns, and while a new backend server version takes
// over. Exit status: 0 if all went as it should, 1 if anything was wrong.

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <sstream>

#include "main/demo/rules.h"
#include "main/demo/tally.h"

namespace {

using namespace guavahaven;

constexpr std::size_t requests_a_step = 150; // sent at least while each step lasts
constexpr int move_seconds = 40;             // until the move's deadline
constexpr duration step_timeout = std::chrono::seconds(30);
constexpr duration move_timeout = std::chrono::seconds(45);

std::string read_example()
{
    std::ifstream in(SOURCE_DIR "/examples/bajio.rules");
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

support::mesh_plan deployment()
{
    support::mesh_plan plan;
    for (const char* place : {"leon", "celaya"}) {
        plan.nodes_.push_back({place, "shift-board", "v7", {}});
        plan.nodes_.push_back({place, "placement-desk", "v41", {}});
        plan.nodes_.push_back({place, "placement-desk", "v42", {}});
    }
    return plan;
}

class demonstration {
public:
    demonstration() : mesh_(deployment()), rules_(demo_rules()) {}

    int run()
    {
        say("Started: the platform's stand-in; data centres leon and celaya, each with the daemons and");
        say("backend servers of shift-board v7 and placement-desk v41, and of v42, which takes over later.");
        if (apply(rules_, "the rules of examples/bajio.rules"))
            with_callers();
        stop_all();
        say(wrong_.empty() ? "\nAll went as it should." : "\nWRONG:");
        for (const std::string& w : wrong_)
            say("  " + w);
        return wrong_.empty() ? 0 : 1;
    }

private:
    static std::string demo_rules() { return demo::adapted_rules(read_example()); }

    static void say(const std::string& line) { std::cout << line << std::endl; }
    void wrong(const std::string& what) { wrong_.push_back(what); }

    // Applies a rules text, and waits until it is in force on every daemon.
    bool apply(const std::string& text, const std::string& what)
    {
        const support::finished done = mesh_.apply(text, "demo");
        ++configuration_;
        if (done.status_ != 0) {
            wrong("not accepted: " + what + ": " + done.output_);
            return false;
        }
        const auto began = std::chrono::steady_clock::now();
        if (!mesh_.wait_ready(configuration_, step_timeout)) {
            wrong("not in force everywhere: " + what);
            return false;
        }
        const std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
        std::ostringstream line;
        line.precision(1);
        line << std::fixed << "\nConfiguration " << configuration_ << " is in force on all "
             << mesh_.nodes().size() << " daemons, " << took.count() << " s after it was accepted: " << what;
        say(line.str());
        return true;
    }

    void with_callers()
    {
        std::vector<http::address> entries;
        for (const support::node& n : mesh_.nodes())
            entries.push_back(n.callers());
        support::load callers({entries,
                               {{"lookup", "GET", "/shifts/", ""},
                                {"confirm", "POST", "/placements", ""},
                                {"background", "GET", "/payroll/", ""}},
                               6});
        say("Callers now send lookups, confirmations and payroll checks to every daemon, until the end.");
        wait_requests(callers);
        data_center_leaves_and_returns(callers);
        move_version();
        report(callers.stop());
    }

    static void wait_requests(const support::load& callers)
    {
        const std::size_t until = callers.sent_so_far() + requests_a_step;
        support::wait_until([&] { return callers.sent_so_far() >= until; }, step_timeout);
    }

    // Runs begun in a data centre so far.
    std::size_t runs_in(const std::string& data_center)
    {
        std::size_t runs = 0;
        for (const support::node& n : mesh_.nodes())
            for (const support::journal_entry& e : n.journal())
                runs += n.plan().data_center_ == data_center && e.event_ == "run" ? 1 : 0;
        return runs;
    }

    void data_center_leaves_and_returns(const support::load& callers)
    {
        const std::string line = "out celaya # night shift: power work";
        if (!apply(demo::with_line(rules_, line), "'" + line + "'"))
            return;
        const std::size_t before = runs_in("celaya");
        wait_requests(callers);
        const std::size_t after = runs_in("celaya");
        say("  While out, celaya received " + std::to_string(after - before) + " new requests.");
        if (after != before)
            wrong(std::to_string(after - before) + " requests ran in celaya after it was out");
        if (!apply(rules_, "the line is taken out again, so that celaya returns"))
            return;
        wait_requests(callers);
        const std::size_t returned = runs_in("celaya") - after;
        say("  Since its return, celaya has received " + std::to_string(returned) + " requests.");
        if (returned == 0)
            wrong("celaya got no work after its return");
    }

    void move_version()
    {
        const std::string line = "move placement-desk to v42 by " +
                                 support::utc_in(std::chrono::seconds(move_seconds)) +
                                 " from 10% # release desk: new matching";
        if (!apply(demo::with_line(rules_, line), "'" + line + "'"))
            return;
        std::string last;
        support::wait_until(
            [&] {
                const std::string now = move_state();
                if (now != last)
                    say("  " + now);
                last = now;
                return now.find(": done") != std::string::npos || now.find("taken back") != std::string::npos;
            },
            move_timeout);
        if (last.find(": done") == std::string::npos)
            wrong("the move is not done; " + (last.empty() ? "no daemon reports it" : last));
    }

    // The move, as the first daemon reports it.
    std::string move_state()
    {
        const auto status = mesh_.at(0).status();
        if (!ok(status) || value(status).moves_.empty())
            return "";
        const operators::move_report& m = value(status).moves_.front();
        std::ostringstream line;
        line << m.service_ << " to " << m.version_ << ": " << m.state_ << ", share " << m.share_ * 100 << "%";
        if (!m.reason_.empty())
            line << " (" << m.reason_ << ")";
        return line.str();
    }

    void report(const std::vector<support::sent_request>& sent)
    {
        const demo::tally all = demo::count(sent, mesh_.journal());
        say("\nWhat the callers saw:");
        for (const auto& [name, t] : all.classes_)
            say("  " + name + ": " + std::to_string(t.sent_) + " sent, " + std::to_string(t.answered_) +
                " answered, " + std::to_string(t.late_) + " late");
        wrong_.insert(wrong_.end(), all.wrong_.begin(), all.wrong_.end());
    }

    void stop_all()
    {
        for (support::node& n : mesh_.nodes())
            if (const int status = n.daemon_->stop(); status != 0)
                wrong("the daemon " + n.name() + " ended with status " + std::to_string(status));
        say("\nStopped all that was started.");
    }

    support::mesh mesh_;
    std::string rules_;
    std::uint64_t configuration_ = 0;
    std::vector<std::string> wrong_;
};

} // namespace

int main()
{
    return demonstration().run();
}
