/// \file
/// \brief Load reports from the instances to the placer.
#pragma once

#include "yuccaspan/result.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace yuccaspan::gateway {

/// \brief Load that an instance has measured since its previous message.
struct LoadMessage
{
    /// \brief Answer times of a target relative to the usual times of the routes.
    struct Speed
    {
        double ratioSum = 0;
        std::uint32_t answers = 0;
    };

    std::string instance;
    /// Work in slot seconds, by service and key bucket.
    std::map<std::string, std::map<std::uint32_t, double>> work;
    std::map<std::string, Speed> speeds; ///< By target.
    /// Incarnations of targets that said in answers that they leave, by target.
    std::map<std::string, std::int64_t> leaving;

    /// \brief Adds the work of a request.
    void addWork(const std::string &service, std::uint32_t bucket, double seconds)
    {
        work[service][bucket] += seconds;
    }
    /// \brief Adds an answer time, as a ratio to the usual time.
    void addAnswer(const std::string &target, double ratio)
    {
        Speed &speed = speeds[target];
        speed.ratioSum += ratio;
        ++speed.answers;
    }
    [[nodiscard]] bool empty() const noexcept
    {
        return work.empty() && speeds.empty() && leaving.empty();
    }
};

/// \brief Encodes a message as CBOR that fits into a datagram.
[[nodiscard]] std::vector<std::uint8_t> encodeLoadMessage(const LoadMessage &message);
/// \brief Decodes a message; bytes that are not one are an error.
[[nodiscard]] Result<LoadMessage> decodeLoadMessage(const std::vector<std::uint8_t> &bytes);

} // namespace yuccaspan::gateway
