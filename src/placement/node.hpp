/// \file
/// \brief The placement core of one instance: directories and cells, and where events go.
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

    void take(const TickEvent &event, TimePoint now);
    void take(const ClockJumpEvent &event, TimePoint now);
    void take(const SettingsEvent &event, TimePoint now);
    void take(const MembersEvent &event, TimePoint now);
    void take(const StoreValueEvent &event, TimePoint now);
    void take(const StoreWrittenEvent &event, TimePoint now);
    void take(const StoreReadEvent &event, TimePoint now);
    void take(const PeerEvent &event, TimePoint now);
    void take(const TargetAnswerEvent &event, TimePoint now);
    void take(const SliceIdleEvent &event, TimePoint now);
    void take(const LocalLoadEvent &event, TimePoint now);
    void take(const MoveRequestEvent &event, TimePoint now);
    void take(const SplitRequestEvent &event, TimePoint now);
    void take(const MergeRequestEvent &event, TimePoint now);
    void take(const LeaveEvent &event, TimePoint now);

    void deliver(const PeerEnvelope &envelope, TimePoint now);
    void offerState(const InstanceId &to);
    void askForState(TimePoint now);
    void observeObject(const std::string &path, ObjectVersion version, const std::string &value,
                       TimePoint now);
    void observeDirectory(const ServiceName &service, ObjectVersion version,
                          const std::string &value, TimePoint now);
    void seekDirectory(const ServiceSettings &service, ServiceState &state, TimePoint now);
    void seekRecord(CellState &state, TimePoint now);
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
    TimePoint m_nextAskAt;
    std::size_t m_nextAsked = 0;
    bool m_leaving = false;
};

/// \brief As makePlacementNode(), with a policy and a fault under test.
[[nodiscard]] Result<std::unique_ptr<PlacementNode>> makeNode(PlacementSelf self,
                                                              PlacementTiming timing,
                                                              PlacementPolicy policy,
                                                              ProtocolMutation mutation);

/// \brief The policy of yuccaspan/balancer.hpp.
[[nodiscard]] PlacementPolicy defaultPolicy();

/// \brief Checks that a timing can keep the protocol's promises.
[[nodiscard]] Status checkTiming(const PlacementTiming &timing);

} // namespace yuccaspan::impl
