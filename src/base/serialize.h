#pragma once

// Writes typed messages as msgpack and reads them. A type is made serializable by a
// layout, which lists its fields in order. A structure becomes an array of its
// fields, a variant the array [index, value]. Reading checks types and sizes.

#include <msgpack.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "base/strong.h"

namespace guavahaven {

// To be specialised for each type: a structure has
//   static auto fields(auto& v) { return std::tie(...); }
// and an enumeration its greatest value as max_value; greater ones are refused.
template <class T>
struct layout;

namespace detail {

using packer = msgpack::packer<msgpack::sbuffer>;

template <class T>
struct codec {
    static void write(packer& out, const T& v)
    {
        const auto fields = layout<T>::fields(v);
        out.pack_array(static_cast<std::uint32_t>(std::tuple_size_v<std::decay_t<decltype(fields)>>));
        std::apply([&](const auto&... f) { (codec<std::decay_t<decltype(f)>>::write(out, f), ...); }, fields);
    }
    static void read(const msgpack::object& in, T& v)
    {
        auto fields = layout<T>::fields(v);
        constexpr std::size_t count = std::tuple_size_v<decltype(fields)>;
        if (in.type != msgpack::type::ARRAY || in.via.array.size != count)
            throw msgpack::type_error();
        std::size_t i = 0;
        std::apply(
            [&](auto&... f) { (codec<std::decay_t<decltype(f)>>::read(in.via.array.ptr[i++], f), ...); },
            fields);
    }
};

template <class T>
requires std::is_arithmetic_v<T> || std::is_same_v<T, std::string>
struct codec<T> {
    static void write(packer& out, const T& v) { out.pack(v); }
    static void read(const msgpack::object& in, T& v) { v = in.as<T>(); }
};

template <class T>
requires std::is_enum_v<T>
struct codec<T> {
    using number = std::underlying_type_t<T>;
    static void write(packer& out, const T& v) { out.pack(static_cast<std::int64_t>(v)); }
    static void read(const msgpack::object& in, T& v)
    {
        const auto n = in.as<std::int64_t>();
        if (n < 0 || n > static_cast<std::int64_t>(layout<T>::max_value))
            throw msgpack::type_error();
        v = static_cast<T>(static_cast<number>(n));
    }
};

template <class Tag>
struct codec<strong_name<Tag>> {
    static void write(packer& out, const strong_name<Tag>& v) { out.pack(v.value_); }
    static void read(const msgpack::object& in, strong_name<Tag>& v) { v.value_ = in.as<std::string>(); }
};

template <class Tag>
struct codec<strong_number<Tag>> {
    static void write(packer& out, const strong_number<Tag>& v) { out.pack(v.value_); }
    static void read(const msgpack::object& in, strong_number<Tag>& v) { v.value_ = in.as<std::uint64_t>(); }
};

template <>
struct codec<duration> {
    static void write(packer& out, const duration& v) { out.pack(static_cast<std::int64_t>(v.count())); }
    static void read(const msgpack::object& in, duration& v) { v = duration(in.as<std::int64_t>()); }
};

template <>
struct codec<wall_time> {
    static void write(packer& out, const wall_time& v) { codec<duration>::write(out, v.time_since_epoch()); }
    static void read(const msgpack::object& in, wall_time& v)
    {
        v = wall_time(duration(in.as<std::int64_t>()));
    }
};

template <class T>
struct codec<std::vector<T>> {
    static void write(packer& out, const std::vector<T>& v)
    {
        out.pack_array(static_cast<std::uint32_t>(v.size()));
        for (const T& item : v)
            codec<T>::write(out, item);
    }
    static void read(const msgpack::object& in, std::vector<T>& v)
    {
        if (in.type != msgpack::type::ARRAY)
            throw msgpack::type_error();
        v.clear();
        for (std::uint32_t i = 0; i < in.via.array.size; ++i)
            codec<T>::read(in.via.array.ptr[i], v.emplace_back());
    }
};

template <class... Ts>
struct codec<std::variant<Ts...>> {
    using variant = std::variant<Ts...>;
    static void write(packer& out, const variant& v)
    {
        out.pack_array(2);
        out.pack(static_cast<std::uint32_t>(v.index()));
        std::visit([&](const auto& item) { codec<std::decay_t<decltype(item)>>::write(out, item); }, v);
    }
    static void read(const msgpack::object& in, variant& v)
    {
        if (in.type != msgpack::type::ARRAY || in.via.array.size != 2)
            throw msgpack::type_error();
        const auto index = in.via.array.ptr[0].as<std::uint32_t>();
        if (!read_alternative(index, in.via.array.ptr[1], v, std::index_sequence_for<Ts...>()))
            throw msgpack::type_error();
    }

private:
    template <std::size_t... Is>
    static bool read_alternative(std::uint32_t index, const msgpack::object& in, variant& v,
                                 std::index_sequence<Is...>)
    {
        return ((index == Is ? (read_into<Is>(in, v), true) : false) || ...);
    }
    template <std::size_t I>
    static void read_into(const msgpack::object& in, variant& v)
    {
        using item = std::variant_alternative_t<I, variant>;
        codec<item>::read(in, v.template emplace<I>());
    }
};

} // namespace detail

// A value as msgpack.
template <class T>
std::string serialize(const T& v)
{
    msgpack::sbuffer bytes;
    detail::packer out(bytes);
    detail::codec<T>::write(out, v);
    return {bytes.data(), bytes.size()};
}

// Reads a value from msgpack; the error is frame_malformed. Limits on counts, lengths
// and nesting keep a malformed message from using up the memory.
template <class T>
result<T> deserialize(std::string_view bytes)
{
    try {
        const msgpack::unpack_limit limit(1 << 16, 1 << 16, 8 << 20, 8 << 20, 1 << 16, 32);
        const msgpack::object_handle handle =
            msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
        T v;
        detail::codec<T>::read(handle.get(), v);
        return v;
    }
    catch (const std::exception&) {
        return error{code::frame_malformed, "not a valid msgpack message"};
    }
}

} // namespace guavahaven
