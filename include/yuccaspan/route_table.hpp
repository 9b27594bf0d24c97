/// \file
/// \brief The immutable snapshot from which the data path routes.
#pragma once

#include "yuccaspan/cell_record.hpp"
#include "yuccaspan/clock.hpp"
#include "yuccaspan/ids.hpp"
#include "yuccaspan/key_range.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace yuccaspan {

/// \brief Whether requests for a slice may be sent.
enum class RouteState {
    Open, ///< Requests go to the owner.
    Held, ///< A move is under way: requests wait in the queue.
    Unowned, ///< No owner is known.
};

template <>
struct EnumNames<RouteState>
{
    static constexpr std::array<EnumName<RouteState>, 3> table{{
        {RouteState::Open, "open"},
        {RouteState::Held, "held"},
        {RouteState::Unowned, "unowned"},
    }};
};

/// \brief Where the keys of one slice go.
struct Route
{
    KeyRange range; ///< The slice.
    TargetId owner; ///< The target that owns it.
    FencingToken token; ///< Sent along, so that the target can check it.
    RouteState state = RouteState::Unowned; ///< Whether requests may be sent.

    [[nodiscard]] friend bool operator==(const Route &, const Route &) = default;
};

/// \brief The routes of one cell as this instance knows them.
struct CellRoutes
{
    CellId cell; ///< Which cell.
    KeyRange range; ///< Range of the cell.
    Term term; ///< Term of the placer that the routes come from.
    std::uint64_t sequence = 0; ///< Grows with each change within a term.
    TimePoint
        viewLeaseEnd; ///< Until when requests may be sent to targets that do not check grants.
    std::vector<Route> routes; ///< In the order of their ranges.
};

/// \brief All routes of all services. Immutable once published; shared between threads.
class RouteTable
{
public:
    /// \name Construction
    /// @{
    RouteTable() = default;
    /// \brief A copy in which the routes of one cell are replaced.
    /// \param cell The new routes of the cell.
    [[nodiscard]] std::shared_ptr<const RouteTable>
    with(std::shared_ptr<const CellRoutes> cell) const;
    /// \brief A copy without the cells of one service.
    [[nodiscard]] std::shared_ptr<const RouteTable> without(const ServiceName &service) const;
    /// @}

    /// \name Look-up
    /// @{
    /// \brief A route together with its cell.
    struct Match
    {
        const CellRoutes *cell = nullptr; ///< Null if no cell covers the hash.
        const Route *route = nullptr; ///< Null if no slice covers the hash.
    };
    /// \brief Finds the slice of a key.
    /// \param service The service.
    /// \param hash The key's hash.
    /// \returns The match; it lives as long as the table.
    [[nodiscard]] Match find(const ServiceName &service, KeyHash hash) const noexcept;
    /// \brief All cells of a service, in the order of their ranges.
    [[nodiscard]] std::vector<std::shared_ptr<const CellRoutes>>
    cells(const ServiceName &service) const;
    /// @}

private:
    using ServiceCells = std::vector<std::shared_ptr<const CellRoutes>>;
    std::map<ServiceName, ServiceCells> m_cells;
};

} // namespace yuccaspan
