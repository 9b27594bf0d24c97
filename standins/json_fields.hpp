/// \file
/// \brief Reads fields of JSON objects that callers sent.
#pragma once

#include "yuccaspan/key_range.hpp"

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace yuccaspan::standins {

using Json = nlohmann::json;

/// \brief Parses an object; nothing if the text is not one.
[[nodiscard]] inline std::optional<Json> parseObject(const std::string &text)
{
    Json document = Json::parse(text, nullptr, false);
    if (!document.is_object())
        return std::nullopt;
    return document;
}

/// \brief Stores a field's value if it is present.
/// \returns False if it has another type.
template <typename T>
[[nodiscard]] bool readField(const Json &object, const char *name, T &value)
{
    const auto found = object.find(name);
    if (found == object.end())
        return true;
    constexpr bool isText = std::is_same_v<T, std::string>;
    constexpr bool isFlag = std::is_same_v<T, bool>;
    const bool matches = isText       ? found->is_string()
        : isFlag                      ? found->is_boolean()
        : std::is_floating_point_v<T> ? found->is_number()
                                      : found->is_number_unsigned();
    if (matches)
        value = found->get<T>();
    return matches;
}

/// \brief Reads hexadecimal digits; nothing if there are others.
[[nodiscard]] inline std::optional<KeyHash> parseHash(std::string_view text)
{
    KeyHash hash = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), hash, 16);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return hash;
}

/// \brief Reads decimal digits; nothing if there are others.
[[nodiscard]] inline std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

} // namespace yuccaspan::standins
