/// \file
/// \brief Requests in flight at targets by key hash, across all threads of the data path.
#pragma once

#include "yuccaspan/ids.hpp"
#include "yuccaspan/key_range.hpp"

#include <array>
#include <map>
#include <mutex>
#include <utility>

namespace yuccaspan::impl {

/// \brief Counts requests in flight, so that moving a slice can wait for them.
///
/// A sender adds its request before it reads the routes; a move publishes the routes before it
/// reads the counts. Therefore either the sender sees that the slice is held, or the move sees the
/// request.
class InFlightTable
{
public:
    /// \brief Adds a request that is about to be sent.
    void add(const ServiceName &service, KeyHash hash);
    /// \brief Removes a request that ended.
    void remove(const ServiceName &service, KeyHash hash);
    /// \brief Number of requests in flight in a range.
    [[nodiscard]] std::size_t count(const ServiceName &service, const KeyRange &range) const;
    /// \brief Total number of requests in flight.
    [[nodiscard]] std::size_t total() const;

private:
    static constexpr std::size_t stripeCount = 64;
    using Counts = std::map<std::pair<ServiceName, KeyHash>, std::size_t>;
    struct Stripe
    {
        mutable std::mutex mutex;
        Counts counts;
    };

    [[nodiscard]] static std::size_t stripeOf(KeyHash hash) noexcept { return hash % stripeCount; }

    std::array<Stripe, stripeCount> m_stripes;
};

} // namespace yuccaspan::impl
