/// \file
/// \brief The data path of the entry instances, with the library's gates and budgets.
#pragma once

#include "routing_policy.hpp"
#include "slice_table.hpp"

#include "yuccaspan/admission.hpp"
#include "yuccaspan/load_meter.hpp"

#include <memory>
#include <unordered_set>
#include <vector>

namespace yuccaspan::bench {

/// \brief Routes requests to the owners of their keys through one gate for each target.
class EntrySide
{
public:
    /// \brief Creates the gates.
    void begin(PolicyHost &host, SliceTable &table);

    /// \name Requests
    /// @{
    void arrived(std::uint64_t id);
    void replied(std::uint64_t id, FinishKind kind, bool mayHaveRun);
    void expired(std::uint64_t id);
    void probed(std::uint32_t entry, std::uint32_t target, Duration latency);
    void tick(std::uint32_t entry);
    void connectionsClosed();
    /// @}

    /// \name Orders of the placer
    /// @{
    /// \brief A slice is being moved: its waiting requests are held.
    void sliceClosed(const KeyRange &range, std::uint32_t owner);
    /// \brief A slice is open: its held requests go on.
    void sliceOpened(const KeyRange &range);
    /// \brief Requests of a slice that are at a target.
    [[nodiscard]] std::size_t inFlight(const KeyRange &range, std::uint32_t target) const;
    void setShare(std::uint32_t entry, std::uint32_t target, const CapacityShare &share,
                  TimePoint validUntil);
    [[nodiscard]] TargetObservation observe(std::uint32_t entry, std::uint32_t target);
    [[nodiscard]] std::vector<SliceLoad> loads(std::uint32_t entry, std::size_t cell);
    /// @}

private:
    struct Lane
    {
        std::unique_ptr<TargetGate> gate;
        std::uint32_t idleConnections = 0;
        std::unordered_set<std::uint64_t> waiting;
        std::unordered_set<std::uint64_t> sent;
    };

    [[nodiscard]] Lane &lane(std::uint32_t entry, std::uint32_t target)
    {
        return m_lanes[entry * m_targets + target];
    }
    void route(std::uint64_t id);
    void giveUp(std::uint64_t id);
    void sendNow(std::uint64_t id, std::uint32_t target);
    void apply(std::uint32_t entry, std::uint32_t target, const GateRelease &release);
    void tryAgain(std::uint64_t id);
    [[nodiscard]] LoadMeter &meter(std::uint32_t entry, std::size_t cell)
    {
        return m_meters[entry * m_table->cells().size() + cell];
    }

    PolicyHost *m_host = nullptr;
    SliceTable *m_table = nullptr;
    std::size_t m_targets = 0;
    std::vector<Lane> m_lanes;
    std::vector<LoadMeter> m_meters;
    std::vector<RepeatBudget> m_budgets;
    std::vector<std::uint64_t> m_held;
};

} // namespace yuccaspan::bench
