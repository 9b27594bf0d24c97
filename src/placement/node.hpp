/// \file
/// \brief The placement core of one instance: its directories and cells, and event dispatch.
#pragma once

#include "placement/cell.hpp"
#include "placement/context.hpp"
#include "placement/directory.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace yuccaspan::impl {

/// \brief Implements PlacementNode.
class Node final : public PlacementNode
{
public:
    Node(PlacementSelf self, PlacementTiming timing, PlacementPolicy policy,
         ProtocolMutation mutation);

    [[nodiscard]] PlacementActions handle(const PlacementEvent &event, TimePoint now) override;
    [[nodiscard]] std::vector<CellStatus> status(TimePoint now) const override;
    [[nodiscard]] bool mayStop() const noexcept override;

private:
    struct ServiceState
    {
        std::optional<Directory> directory;
        ObjectVersion version;
        std::uint64_t writeId = 0;
        TimePoint nextReadAt;
        std::optional<TimePoint> absentSince;
    };
    struct CellState
    {
        std::unique_ptr<Cell> cell;
        KeyRange range;
        TimePoint nextReadAt;
        std::optional<TimePoint> absentSince;
    };

    void process(const TickEvent &event, TimePoint now);
    void process(const ClockJumpEvent &event, TimePoint now);
    void process(const SettingsEvent &event, TimePoint now);
    void process(const MembersEvent &event, TimePoint now);
    void process(const StoreValueEvent &event, TimePoint now);
    void process(const StoreWrittenEvent &event, TimePoint now);
    void process(const StoreReadEvent &event, TimePoint now);
    void process(const PeerEvent &event, TimePoint now);
    void process(const TargetAnswerEvent &event, TimePoint now);
    void process(const SliceIdleEvent &event, TimePoint now);
    void process(const LocalLoadEvent &event, TimePoint now);
    void process(const MoveRequestEvent &event, TimePoint now);
    void process(const SplitRequestEvent &event, TimePoint now);
    void process(const MergeRequestEvent &event, TimePoint now);
    void process(const LeaveEvent &event, TimePoint now);

    void deliver(const PeerEnvelope &envelope, TimePoint now);
    void offerState(const InstanceId &to);
    void requestState(TimePoint now);
    void observeObject(const std::string &path, ObjectVersion version, const std::string &value,
                       TimePoint now);
    void observeDirectory(const ServiceName &service, ObjectVersion version,
                          const std::string &value, TimePoint now);
    void findOrCreateDirectory(const ServiceSettings &service, ServiceState &state, TimePoint now);
    void findOrCreateRecord(CellState &state, TimePoint now);
    [[nodiscard]] bool mayCreate(std::optional<TimePoint> &absentSince, const std::string &path,
                                 const ZoneId &preferredZone, TimePoint now) const;
    void read(const std::string &path);
    [[nodiscard]] CellState &cellState(const CellId &id, TimePoint now);
    [[nodiscard]] Cell *findCell(const CellId &id);
    void collectReads();

    Context m_context;
    std::map<ServiceName, ServiceState> m_services;
    std::map<CellId, CellState> m_cells;
    std::map<std::uint64_t, std::string> m_reads;
    TimePoint m_nextStateRequestAt;
    std::size_t m_nextPeerIndex = 0;
    bool m_leaving = false;
};

/// \brief Like makePlacementNode(), with a custom policy and an injected fault.
[[nodiscard]] Result<std::unique_ptr<PlacementNode>> makeNode(PlacementSelf self,
                                                              PlacementTiming timing,
                                                              PlacementPolicy policy,
                                                              ProtocolMutation mutation);

/// \brief The policy defined in yuccaspan/balancer.hpp.
[[nodiscard]] PlacementPolicy defaultPolicy();

/// \brief Checks that the timing satisfies the protocol's constraints.
[[nodiscard]] Status checkTiming(const PlacementTiming &timing);

} // namespace yuccaspan::impl
