/// \file
/// \brief How datagrams of several kinds on one socket are told apart.
#pragma once

#include <cstdint>
#include <vector>

namespace yuccaspan::gateway {

/// \brief Whether a datagram is a CBOR map whose first key is this character. Keys are in order.
[[nodiscard]] inline bool startsWithKey(const std::vector<std::uint8_t> &bytes, char key) noexcept
{
    constexpr std::uint8_t typeMask = 0xE0;
    constexpr std::uint8_t mapType = 0xA0;
    constexpr std::uint8_t oneCharacterText = 0x61;
    return bytes.size() > 2 && (bytes[0] & typeMask) == mapType && bytes[1] == oneCharacterText
        && bytes[2] == static_cast<std::uint8_t>(key);
}

} // namespace yuccaspan::gateway
