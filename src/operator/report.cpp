#include "operator/report.h"

#include <algorithm>
#include <map>
#include <sstream>

#include "operator/mesh_report.h"

namespace guavahaven::operators {

namespace {

constexpr double plot_width = 640;  // pixels
constexpr double plot_height = 160; // pixels

struct point {
    std::uint64_t at_ = 0; // seconds since 1970
    double value_ = 0;
};

struct curve {
    std::string name_;
    std::string color_;
    std::vector<point> points_;
};

std::string escape(const std::string& text)
{
    std::string safe;
    for (const char c : text) {
        if (c == '<')
            safe += "&lt;";
        else if (c == '>')
            safe += "&gt;";
        else if (c == '&')
            safe += "&amp;";
        else if (c == '"')
            safe += "&quot;";
        else
            safe += c;
    }
    return safe;
}

std::string plot(const std::string& title, const std::vector<curve>& curves, double most)
{
    std::uint64_t first = UINT64_MAX;
    std::uint64_t last = 0;
    for (const curve& c : curves) {
        for (const point& p : c.points_) {
            first = std::min(first, p.at_);
            last = std::max(last, p.at_);
            most = std::max(most, p.value_);
        }
    }
    std::ostringstream out;
    out << "<figure><figcaption>" << escape(title) << "</figcaption>\n";
    if (last <= first)
        return out.str() + "<p>too few samples yet</p></figure>\n";
    out << "<svg viewBox=\"-50 -10 " << plot_width + 70 << " " << plot_height + 40
        << "\" role=\"img\" aria-label=\"" << escape(title) << "\">\n"
        << "<rect width=\"" << plot_width << "\" height=\"" << plot_height << "\" class=\"frame\"/>\n"
        << "<text x=\"-5\" y=\"5\" text-anchor=\"end\">" << most << "</text>"
        << "<text x=\"-5\" y=\"" << plot_height << "\" text-anchor=\"end\">0</text>"
        << "<text x=\"0\" y=\"" << plot_height + 18 << "\">" << utc(first * 1'000'000) << "</text>"
        << "<text x=\"" << plot_width << "\" y=\"" << plot_height + 18 << "\" text-anchor=\"end\">"
        << utc(last * 1'000'000) << "</text>\n";
    for (const curve& c : curves) {
        out << "<polyline fill=\"none\" stroke=\"" << c.color_ << "\" points=\"";
        for (const point& p : c.points_)
            out << plot_width * static_cast<double>(p.at_ - first) / static_cast<double>(last - first) << ","
                << plot_height * (1 - p.value_ / most) << " ";
        out << "\"/>\n";
    }
    out << "</svg><p>";
    for (const curve& c : curves)
        out << "<span style=\"color:" << c.color_ << "\">&#9632;</span> " << escape(c.name_) << " ";
    return out.str() + "</p></figure>\n";
}

using time_line = std::map<std::uint64_t, double>; // by second

std::vector<point> to_points(const time_line& line)
{
    std::vector<point> all;
    for (const auto& [at, value] : line)
        all.push_back({at, value});
    return all;
}

// Growth of a daemon's counter from one sample to the next, by second.
std::vector<point> rates(const std::vector<point>& counts)
{
    std::vector<point> all;
    for (std::size_t i = 1; i < counts.size(); ++i) {
        const auto passed = static_cast<double>(counts[i].at_ - counts[i - 1].at_);
        if (passed > 0 && counts[i].value_ >= counts[i - 1].value_)
            all.push_back({counts[i].at_, (counts[i].value_ - counts[i - 1].value_) / passed});
    }
    return all;
}

std::string class_plots(const std::vector<std::vector<sample>>& samples)
{
    std::map<std::string, std::pair<time_line, time_line>> by_class; // served, not served
    for (const std::vector<sample>& of_daemon : samples) {
        std::map<std::string, std::pair<std::vector<point>, std::vector<point>>> counts;
        for (const sample& s : of_daemon) {
            for (const class_sample& c : s.classes_) {
                counts[c.class_].first.push_back({s.at_, static_cast<double>(c.served_)});
                counts[c.class_].second.push_back({s.at_, static_cast<double>(c.not_served_)});
            }
        }
        for (const auto& [name, c] : counts) {
            for (const point& p : rates(c.first))
                by_class[name].first[p.at_] += p.value_;
            for (const point& p : rates(c.second))
                by_class[name].second[p.at_] += p.value_;
        }
    }
    std::string text;
    for (const auto& [name, lines] : by_class)
        text += plot("class " + name + ": requests a second",
                     {{"served", "#1a7f37", to_points(lines.first)},
                      {"not served", "#cf222e", to_points(lines.second)}},
                     1);
    return text;
}

// The daemon that has seen most runs of a move at a time shows its evidence.
std::string move_plots(const std::vector<std::vector<sample>>& samples)
{
    struct lines {
        time_line share_;
        std::map<std::uint64_t, move_sample> evidence_;
    };
    std::map<std::string, lines> by_move;
    for (const std::vector<sample>& of_daemon : samples) {
        for (const sample& s : of_daemon) {
            for (const move_sample& m : s.moves_) {
                lines& l = by_move[m.service_ + " to " + m.version_];
                l.share_[s.at_] = std::max(l.share_[s.at_], m.share_);
                move_sample& best = l.evidence_[s.at_];
                if (m.new_ran_ + m.old_ran_ >= best.new_ran_ + best.old_ran_)
                    best = m;
            }
        }
    }
    std::string text;
    for (const auto& [name, l] : by_move) {
        time_line new_failed;
        time_line old_failed;
        for (const auto& [at, m] : l.evidence_) {
            new_failed[at] =
                m.new_ran_ ? static_cast<double>(m.new_failed_) / static_cast<double>(m.new_ran_) : 0;
            old_failed[at] =
                m.old_ran_ ? static_cast<double>(m.old_failed_) / static_cast<double>(m.old_ran_) : 0;
        }
        text += plot("move " + name + ": share", {{"share", "#0969da", to_points(l.share_)}}, 1);
        text += plot("move " + name + ": share of runs that failed",
                     {{"new version", "#cf222e", to_points(new_failed)},
                      {"old version", "#57606a", to_points(old_failed)}},
                     0.05);
    }
    return text;
}

} // namespace

std::string report_page(const std::vector<daemon_status>& daemons,
                        const std::vector<std::vector<sample>>& samples, std::uint64_t now)
{
    std::ostringstream out;
    out << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>guavahaven "
           "report</title>\n"
           "<style>body{font-family:sans-serif;max-width:760px;margin:2em auto}svg{width:100%;font-size:11px}"
           ".frame{fill:#f6f8fa;stroke:#d0d7de}figure{margin:1em 0}li{margin:.3em "
           "0}polyline{stroke-width:1.5}"
           "</style></head><body>\n"
        << "<h1>guavahaven report</h1><p>" << utc(now) << ", from " << daemons.size() << " daemons</p>\n";
    out << "<h2>Moves</h2><ul>\n";
    for (const move_report& m : joined_moves(daemons))
        out << "<li>" << escape(to_line(m)) << "</li>\n";
    out << "</ul>\n" << move_plots(samples) << "<h2>Data centres out</h2><ul>\n";
    for (const out_summary& o : joined_outs(daemons))
        out << "<li>" << escape(to_line(o, now)) << "</li>\n";
    out << "</ul>\n<h2>Service by class</h2>\n" << class_plots(samples) << "</body></html>\n";
    return out.str();
}

} // namespace guavahaven::operators
