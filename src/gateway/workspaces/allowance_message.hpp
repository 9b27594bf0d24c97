/// \file
/// \brief Messages by which instances lend each other parts of workspaces' allowances.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/result.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace yuccaspan::gateway {

/// \brief Names one start of an instance: what an earlier start said or lent is not its own.
struct InstanceStart
{
    std::string name;
    std::uint64_t start = 0;

    [[nodiscard]] friend auto operator<=>(const InstanceStart &, const InstanceStart &) = default;
};

/// \brief A message between an instance and the holder of some workspaces.
///
/// Times are of the clock of the instance that gets them back, so no clocks are compared and no
/// delay has to be assumed.
struct AllowanceMessage
{
    /// \brief Parts of allowances, by workspace; 1 is the whole.
    using Parts = std::map<std::string, double, std::less<>>;

    bool round = false; ///< From a holder to all instances; otherwise a report to a holder.
    InstanceStart from;
    TimePoint sentAt{}; ///< By the sender's clock.
    std::uint64_t echoStart = 0; ///< Start of the receiver that the echo is of.
    TimePoint echo{}; ///< Latest sending time that the receiver told the sender.
    Duration span{}; ///< Of a round: how long after the echo the shares end.
    Parts needs; ///< Of a report: what the sender lacks. Of a round: what all together lack.
    Parts parts; ///< Of a report: what is lent. Of a round: the receiver's share.
};

/// \brief Whether a datagram is meant to be an AllowanceMessage.
[[nodiscard]] bool isAllowanceMessage(const std::vector<std::uint8_t> &bytes) noexcept;
/// \brief Encodes a message as CBOR.
[[nodiscard]] std::vector<std::uint8_t> encodeAllowanceMessage(const AllowanceMessage &message);
/// \brief Decodes a message; bytes that are not one, or parts outside 0 to 1, are an error.
[[nodiscard]] Result<AllowanceMessage>
decodeAllowanceMessage(const std::vector<std::uint8_t> &bytes);

} // namespace yuccaspan::gateway
