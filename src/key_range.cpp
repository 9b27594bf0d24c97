#include "yuccaspan/key_range.hpp"

#include <charconv>
#include <ostream>

#include <xxhash.h>

namespace yuccaspan {

KeyHash hashKey(std::string_view key) noexcept
{
    return XXH3_64bits(key.data(), key.size());
}

std::string keyHashText(KeyHash hash)
{
    constexpr std::size_t hexDigits = 16;
    constexpr int hexBase = 16;
    char digits[hexDigits];
    const char *end = std::to_chars(digits, digits + hexDigits, hash, hexBase).ptr;
    const auto length = static_cast<std::size_t>(end - digits);
    std::string text(hexDigits - length, '0');
    text.append(digits, length);
    return text;
}

std::ostream &operator<<(std::ostream &stream, const KeyRange &range)
{
    return stream << keyHashText(range.first) << '-' << keyHashText(range.last);
}

} // namespace yuccaspan
