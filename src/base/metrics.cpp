#include "base/metrics.h"

#include <sstream>

namespace guavahaven {

namespace acc = boost::accumulators;

namespace {

constexpr std::array probabilities{0.5, 0.9, 0.99, 0.999};

std::string labelled(const std::string& name, const std::string& labels, const std::string& extra = "")
{
    std::string all = labels;
    if (!extra.empty())
        all += (all.empty() ? "" : ",") + extra;
    return all.empty() ? name : name + "{" + all + "}";
}

void expose(std::ostream& out, const std::string& name, const std::string& labels, const histogram& h)
{
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < histogram::bounds.size(); ++i) {
        cumulative += h.buckets()[i];
        std::ostringstream bound;
        bound << "le=\"" << histogram::bounds[i] << "\"";
        out << labelled(name + "_bucket", labels, bound.str()) << ' ' << cumulative << '\n';
    }
    out << labelled(name + "_bucket", labels, "le=\"+Inf\"") << ' ' << h.count() << '\n';
    out << labelled(name + "_sum", labels) << ' ' << h.sum_seconds() << '\n';
    out << labelled(name + "_count", labels) << ' ' << h.count() << '\n';
}

} // namespace

histogram::histogram() : values_(acc::extended_p_square_probabilities = probabilities) {}

void histogram::record(duration d)
{
    const double seconds = std::chrono::duration<double>(d).count();
    values_(seconds);
    for (std::size_t i = 0; i < bounds.size(); ++i) {
        if (seconds <= bounds[i]) {
            ++buckets_[i];
            return;
        }
    }
}

std::uint64_t histogram::count() const
{
    return acc::count(values_);
}
double histogram::sum_seconds() const
{
    return acc::sum(values_);
}
double histogram::max_seconds() const
{
    return count() == 0 ? 0.0 : acc::max(values_);
}

double histogram::quantile(double probability) const
{
    return count() == 0 ? 0.0 : acc::quantile(values_, acc::quantile_probability = probability);
}

std::uint64_t& metrics::counter(const std::string& name, const std::string& labels)
{
    return counters_[name][labels];
}

std::map<std::string, std::uint64_t> metrics::counters(const std::string& name) const
{
    const auto at = counters_.find(name);
    return at == counters_.end() ? std::map<std::string, std::uint64_t>{} : at->second;
}

void metrics::set_gauge(const std::string& name, double value, const std::string& labels)
{
    gauges_[name][labels] = value;
}

histogram& metrics::timing(const std::string& name, const std::string& labels)
{
    return timings_[name][labels];
}

std::string metrics::exposition() const
{
    std::ostringstream out;
    for (const auto& [name, by_label] : counters_) {
        out << "# TYPE " << name << " counter\n";
        for (const auto& [labels, value] : by_label)
            out << labelled(name, labels) << ' ' << value << '\n';
    }
    for (const auto& [name, by_label] : gauges_) {
        out << "# TYPE " << name << " gauge\n";
        for (const auto& [labels, value] : by_label)
            out << labelled(name, labels) << ' ' << value << '\n';
    }
    for (const auto& [name, by_label] : timings_) {
        out << "# TYPE " << name << " histogram\n";
        for (const auto& [labels, value] : by_label)
            expose(out, name, labels, value);
    }
    return out.str();
}

} // namespace guavahaven
