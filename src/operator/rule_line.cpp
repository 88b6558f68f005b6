#include "operator/rule_line.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstring>
#include <iomanip>
#include <sstream>

namespace guavahaven::operators::detail {

namespace {

std::optional<double> to_number(const std::string& text)
{
    double number = 0;
    const char* end = text.data() + text.size();
    const auto [stop, failed] = std::from_chars(text.data(), end, number);
    if (failed != std::errc() || stop != end || !std::isfinite(number))
        return {};
    return number;
}

// Reads ".250Z" as 250 ms.
duration milliseconds_after_point(std::istream& in)
{
    char point = 0;
    char zone = 0;
    std::array<char, 4> digits{};
    in >> point;
    in.get(digits.data(), digits.size(), 'Z');
    in >> zone;
    const std::optional<double> count = to_number(digits.data());
    if (zone != 'Z' || !count || std::strlen(digits.data()) != 3)
        in.setstate(std::ios::failbit);
    return std::chrono::milliseconds(static_cast<std::int64_t>(count.value_or(0)));
}

} // namespace

std::vector<word> split_words(const std::string& line)
{
    std::vector<word> words;
    std::size_t at = 0;
    while (true) {
        at = line.find_first_not_of(" \t\r", at);
        if (at == std::string::npos)
            return words;
        const std::size_t end = std::min(line.find_first_of(" \t\r", at), line.size());
        words.push_back({line.substr(at, end - at), static_cast<int>(at) + 1});
        at = end;
    }
}

std::string trimmed(const std::string& text)
{
    const std::size_t first = text.find_first_not_of(" \t\r");
    if (first == std::string::npos)
        return "";
    return text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
}

void line_reader::fail(code c, const std::string& detail)
{
    if (fault_)
        return;
    const word& last = words_.back();
    const int end = last.column_ + static_cast<int>(last.text_.size());
    fault_ = syntax_error{at_ < words_.size() ? words_[at_].column_ : end, {c, detail}};
}

std::string line_reader::next(const std::string& what)
{
    if (at_ >= words_.size() || fault_) {
        fail(code::rules_syntax, "expected " + what);
        return "";
    }
    return words_[at_++].text_;
}

bool line_reader::accept(const std::string& keyword)
{
    if (done() || words_[at_].text_ != keyword)
        return false;
    ++at_;
    return true;
}

void line_reader::expect(const std::string& keyword)
{
    if (!accept(keyword))
        fail(code::rules_syntax, "expected '" + keyword + "'");
}

std::string line_reader::name(const std::string& what)
{
    const std::string text = next(what);
    const auto good = [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; };
    if (!fault_ && !std::all_of(text.begin(), text.end(), good))
        reject(what + " may hold letters, digits, '-', '_' and '.' only");
    return text;
}

duration line_reader::wait(const std::string& what)
{
    const std::string text = next(what + " such as 400ms, 2s or 10m");
    const std::size_t unit_at = std::min(text.find_first_not_of("0123456789"), text.size());
    const auto count = to_number(text.substr(0, unit_at));
    const std::string unit = text.substr(unit_at);
    std::int64_t scale = 0; // microseconds
    if (unit == "ms")
        scale = 1'000;
    else if (unit == "s")
        scale = 1'000'000;
    else if (unit == "m")
        scale = 60'000'000;
    else if (unit == "h")
        scale = 3'600'000'000;
    constexpr double hours_most = 24;
    const double total = count.value_or(0) * static_cast<double>(scale);
    if (!fault_ && (!count || scale == 0 || total <= 0 || total > hours_most * 3.6e9))
        reject(what + " must be a time above 0 and up to 24h, such as 400ms, 2s or 10m");
    return fault_ ? duration{} : duration(static_cast<std::int64_t>(total));
}

double line_reader::share(const std::string& what)
{
    const std::string text = next(what + " such as 10%");
    const bool percent = !text.empty() && text.back() == '%';
    const auto count = percent ? to_number(text.substr(0, text.size() - 1)) : std::nullopt;
    if (!fault_ && (!count || *count < 0 || *count > 100))
        reject(what + " must be from 0% to 100%");
    return fault_ ? 0 : *count / 100;
}

std::uint64_t line_reader::count(const std::string& what, std::uint64_t least, std::uint64_t most)
{
    const std::string text = next(what);
    const auto number = to_number(text);
    const bool whole = number && *number == std::floor(*number);
    if (!fault_ && (!whole || *number < static_cast<double>(least) || *number > static_cast<double>(most)))
        reject(what + " must be a whole number from " + std::to_string(least) + " to " +
               std::to_string(most));
    return fault_ ? 0 : static_cast<std::uint64_t>(*number);
}

wall_time line_reader::moment(const std::string& what)
{
    const std::string text = next(what + " such as 2026-12-05T18:00Z");
    if (fault_)
        return {};
    for (const char* form : {"%Y-%m-%dT%H:%M:%SZ", "%Y-%m-%dT%H:%MZ", "%Y-%m-%dT%H:%M:%S"}) {
        std::tm fields{};
        std::istringstream in(text);
        in >> std::get_time(&fields, form);
        if (in.fail())
            continue;
        duration fraction{};
        if (in.peek() == '.')
            fraction = milliseconds_after_point(in);
        else if (!std::string_view(form).ends_with('Z'))
            continue;
        if (in.peek() == std::char_traits<char>::eof())
            return wall_time(std::chrono::seconds(timegm(&fields)) + fraction);
    }
    reject(what + " must be a time in UTC such as 2026-12-05T18:00Z");
    return {};
}

void line_reader::reject(const std::string& detail)
{
    if (fault_)
        return;
    --at_;
    fail(code::rules_bad_value, detail);
}

} // namespace guavahaven::operators::detail
