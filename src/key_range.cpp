#include "yuccaspan/key_range.hpp"

#include <iomanip>
#include <ios>

#include <xxhash.h>

namespace yuccaspan {

KeyHash hashKey(std::string_view key) noexcept
{
    return XXH3_64bits(key.data(), key.size());
}

std::ostream &operator<<(std::ostream &stream, const KeyRange &range)
{
    constexpr int hexDigits = 16;
    const auto flags = stream.flags();
    const auto fill = stream.fill('0');
    stream << std::hex << std::setw(hexDigits) << range.first << '-' << std::setw(hexDigits)
           << range.last;
    stream.flags(flags);
    stream.fill(fill);
    return stream;
}

} // namespace yuccaspan
