/// \file
/// \brief Decides who waits for room at targets, in which order, and who is turned away.
///
/// Load pattern: for seconds, more work arrives than the targets can do, in kinds of different
/// priority, work and time limits.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/enum_names.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace yuccaspan::gateway {

/// \brief How requests that wait for the same targets are ordered.
enum class WaitingOrder {
    Urgency, ///< By priority, then by arrival.
    LeastCost, ///< As many as possible on time, the urgent first; what cannot be served leaves.
};

/// Factor on the expected work of a request for the time by which it is answered: the work of
/// requests of a route varies.
inline constexpr double workMargin = 1.1;

/// \brief What a waiting request needs, and by when.
struct Urgency
{
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    TimePoint onTimeUntil{}; ///< A request answered later counts as late; its response is worth
                             ///< less.
    TimePoint deadline = TimePoint::max(); ///< No response is worth anything later.
    Duration work{}; ///< Expected time at the target.
    std::uint64_t id = 0; ///< Hash of the request's id: breaks ties and spreads retries.
};

/// \brief Room that the requests of a lane wait for.
struct Room
{
    TimePoint now;
    Duration until{}; ///< Time until the next one may be sent.
    double concurrency = 1; ///< Requests of the lane that are in progress at a time.
};

/// \brief A request that must leave the lane.
struct Departure
{
    std::size_t index = 0; ///< In the sequence of waiting requests.
    Duration retryDelay{}; ///< Until room is expected for it.
};

/// \brief Who is served next and who must leave.
struct RoomPlan
{
    std::vector<std::size_t> order; ///< Indexes of those that wait, the first served first.
    std::vector<Departure> leaving; ///< Those that would miss their deadline.
};

/// \brief What a newcomer does and whom it displaces.
struct Entry
{
    bool waits = false; ///< Otherwise it is turned away.
    std::size_t ahead = 0; ///< Waiting requests that go before it.
    Duration retryDelay{}; ///< If it is turned away.
    std::vector<Departure> displaced;
};

/// \brief A way to order waiting requests.
class RoomOrder
{
public:
    RoomOrder() = default;
    RoomOrder(const RoomOrder &) = delete;
    RoomOrder &operator=(const RoomOrder &) = delete;
    virtual ~RoomOrder() = default;

    /// \brief Orders requests for room that is available now or soon.
    [[nodiscard]] virtual RoomPlan plan(std::span<const Urgency> waiting,
                                        const Room &room) const = 0;
    /// \brief Decides on a newcomer.
    [[nodiscard]] virtual Entry enter(std::span<const Urgency> waiting, const Urgency &newcomer,
                                      const Room &room) const = 0;

    /// \brief The implementation of an order.
    [[nodiscard]] static const RoomOrder &of(WaitingOrder order) noexcept;
};

/// \brief Delay after which a request that was turned away finds room: spread around the expected
/// wait, and short enough for the caller to honor it.
[[nodiscard]] Duration spreadRetryDelay(const Urgency &request, Duration wait, TimePoint now);

} // namespace yuccaspan::gateway

/// \brief Names of the orders, as in the settings.
template <>
struct yuccaspan::EnumNames<yuccaspan::gateway::WaitingOrder>
{
    using Order = yuccaspan::gateway::WaitingOrder;
    static constexpr std::array<EnumName<Order>, 2> table{{
        {Order::Urgency, "urgency"},
        {Order::LeastCost, "least-cost"},
    }};
};
