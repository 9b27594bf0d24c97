/// \file
/// \brief What an instance tells the placer of the load that it has seen.
#pragma once

#include "yuccaspan/result.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace yuccaspan::gateway {

/// \brief Load that one instance has seen since its last message.
struct LoadMessage
{
    /// \brief Time of answers from one target, compared with what their routes usually take.
    struct Speed
    {
        double ratioSum = 0;
        std::uint32_t answers = 0;
    };

    std::string instance;
    /// Work in slot seconds by service and bucket of keys.
    std::map<std::string, std::map<std::uint32_t, double>> work;
    std::map<std::string, Speed> speeds; ///< By target.

    /// \brief Adds a request.
    void addWork(const std::string &service, std::uint32_t bucket, double seconds)
    {
        work[service][bucket] += seconds;
    }
    /// \brief Adds an answer.
    void addAnswer(const std::string &target, double ratio)
    {
        Speed &speed = speeds[target];
        speed.ratioSum += ratio;
        ++speed.answers;
    }
    [[nodiscard]] bool empty() const noexcept { return work.empty() && speeds.empty(); }
};

/// \brief Writes a message as CBOR; it fits a datagram.
[[nodiscard]] std::vector<std::uint8_t> encodeLoadMessage(const LoadMessage &message);
/// \brief Reads a message.
[[nodiscard]] Result<LoadMessage> decodeLoadMessage(const std::vector<std::uint8_t> &bytes);

} // namespace yuccaspan::gateway
