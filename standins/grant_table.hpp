/// \file
/// \brief Which slices a target holds, under which grants. Does no input or output.
#pragma once

#include "yuccaspan/target_order.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yuccaspan::standins {

/// \brief Whether a request may run under the present grants.
enum class GrantCheck {
    Covered, ///< An unexpired grant with the request's token covers its key.
    NoGrant, ///< No unexpired grant covers the key, or none with so high a token.
    StaleToken, ///< The grant that covers the key has a higher token.
};

/// \brief A time during which a target held a slice, on the target's clock.
struct HoldInterval
{
    ServiceName service; ///< The service.
    KeyRange range; ///< The slice.
    FencingToken token; ///< Token of the grant.
    Duration from{}; ///< When the grant was accepted.
    Duration until{}; ///< When it ended or will end.
};

/// \brief A verdict and the highest term known for the cell.
struct OrderVerdict
{
    TargetVerdict verdict = TargetVerdict::Refused; ///< The verdict.
    Term knownTerm; ///< Highest term seen for the cell.
};

/// \brief Accepts or refuses orders, and checks requests against the accepted grants.
class GrantTable
{
public:
    /// \brief Creates an empty table.
    /// \param startId Orders for another start id are refused.
    explicit GrantTable(std::string startId);

    /// \name Orders
    /// @{
    /// \brief Grants or renews all slices of a cell.
    /// \param order The order.
    /// \param clock The target's clock.
    [[nodiscard]] OrderVerdict grant(const GrantOrder &order, Duration clock);
    /// \brief Ends the grants of a range. The caller still has to wait for running requests.
    /// \param order The order.
    /// \param clock The target's clock.
    [[nodiscard]] OrderVerdict revoke(const RevokeOrder &order, Duration clock);
    /// @}

    /// \name Look-up
    /// @{
    /// \brief Whether a request may run now.
    [[nodiscard]] GrantCheck check(const ServiceName &service, KeyHash hash, FencingToken token,
                                   Duration clock) const;
    /// \brief Unexpired grants of one cell.
    [[nodiscard]] std::vector<GrantedSlice> holds(const CellId &cell, Duration clock) const;
    /// \brief Unexpired grants of all cells.
    [[nodiscard]] std::vector<HoldInterval> holds(Duration clock) const;
    /// \brief Highest term seen for a cell.
    [[nodiscard]] Term knownTerm(const CellId &cell) const;
    /// \brief The latest finished and the present holds, oldest first.
    [[nodiscard]] std::vector<HoldInterval> history() const;
    /// \brief The start id.
    [[nodiscard]] const std::string &startId() const noexcept { return m_startId; }
    /// @}

private:
    struct Held
    {
        GrantedSlice slice;
        Duration from{};
    };

    struct Cell
    {
        Term term;
        std::uint64_t sequence = 0;
        std::optional<std::uint64_t> setVersion;
        Duration validUntil{};
        std::vector<Held> slices;
    };

    using TokenFloor = std::map<KeyHash, FencingToken>;

    [[nodiscard]] bool takeTurn(Cell &cell, Term term, std::uint64_t sequence);
    [[nodiscard]] bool tokensMayRise(const ServiceName &service,
                                     const std::vector<GrantedSlice> &slices) const;
    void raiseFloor(const ServiceName &service, const GrantedSlice &slice);
    void replaceSlices(const CellId &id, Cell &cell, const GrantOrder &order, Duration clock);
    void finish(const CellId &id, const Held &held, Duration until);

    std::string m_startId;
    std::map<CellId, Cell> m_cells;
    std::map<ServiceName, TokenFloor> m_floors;
    std::vector<HoldInterval> m_finished;
};

} // namespace yuccaspan::standins
