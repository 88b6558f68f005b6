#pragma once

// Distinct types for names and numbers of different meaning, so that passing, say, a
// service name as a version is a compile error. The tag is any type, one per meaning.

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace guavahaven {

template <class Tag>
struct strong_name {
    std::string value_;

    strong_name() = default;
    explicit strong_name(std::string value) : value_(std::move(value)) {}

    const std::string& str() const { return value_; }
    bool empty() const { return value_.empty(); }

    friend auto operator<=>(const strong_name&, const strong_name&) = default;
};

template <class Tag>
struct strong_number {
    std::uint64_t value_ = 0;

    constexpr strong_number() = default;
    constexpr explicit strong_number(std::uint64_t value) : value_(value) {}

    constexpr std::uint64_t value() const { return value_; }
    constexpr strong_number next() const { return strong_number(value_ + 1); }

    friend auto operator<=>(const strong_number&, const strong_number&) = default;
};

} // namespace guavahaven

template <class Tag>
struct std::hash<guavahaven::strong_name<Tag>> {
    std::size_t operator()(const guavahaven::strong_name<Tag>& n) const
    {
        return std::hash<std::string>()(n.value_);
    }
};

template <class Tag>
struct std::hash<guavahaven::strong_number<Tag>> {
    std::size_t operator()(const guavahaven::strong_number<Tag>& n) const
    {
        return std::hash<std::uint64_t>()(n.value_);
    }
};
