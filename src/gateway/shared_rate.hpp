/// \file
/// \brief This instance's part of a rate that all instances together must keep.
#pragma once

#include "yuccaspan/clock.hpp"

#include <cstdint>
#include <string_view>

namespace yuccaspan::gateway {

/// \brief Place of this instance among all that share a limit.
struct InstanceShare
{
    std::uint32_t instances = 1; ///< Known instances, including this one.
    std::uint32_t rank = 0; ///< Place among them, in the order of their names.
};

/// \brief A limit that holds for all instances together.
struct RateLimit
{
    double perSecond = 0; ///< Requests a second; less than 0.5 counts as 0.5.
    double allowed = 0; ///< Most requests in any window; the rate is lowered to stay under it.
    Duration window = std::chrono::seconds(1); ///< Length of the windows.
};

/// \brief Spreads a limit over instances that do not see each other's requests.
///
/// Equal parts are not enough: with a token bucket in each instance, as many requests as there are
/// instances can be sent at the same moment, since a bucket holds at least one. So the instances
/// take turns. In each turn an instance may send one request, within a period that ends before the
/// limit would be reached if all instances used theirs. Where a whole turn fits into the limit, an
/// instance may send at any time and just keeps its interval.
class SharedRate
{
public:
    /// \brief Sets the limit and this instance's place.
    /// \param subject What is limited. Each subject has another order of turns.
    void configure(const RateLimit &limit, const InstanceShare &share, std::string_view subject);

    /// \brief Earliest time from which a request may be sent; now or earlier if it may be sent now.
    /// \param now Time of this instance's clock.
    /// \param offset What to add to it for the time that all instances have roughly in common.
    [[nodiscard]] TimePoint earliest(TimePoint now, Duration offset) const noexcept;
    /// \brief Records that a request is sent.
    void take(TimePoint now) noexcept;
    /// \brief Time between two requests of this instance.
    [[nodiscard]] Duration interval() const noexcept { return m_interval; }

private:
    Duration m_interval{}; ///< Length of a turn.
    Duration m_validity{}; ///< Time in each turn in which this instance may send.
    Duration m_phase{}; ///< Start of this instance's turns.
    TimePoint m_takenAt{};
    bool m_taken = false;
};

} // namespace yuccaspan::gateway
