/// \file
/// \brief Messages between entry instances. The Thrift form is in idl/yuccaspan.thrift.
///
/// Messages are unreliable: they may be lost, repeated, delayed and reordered. Each carries a term
/// and a sequence number; a receiver drops what is older than what it has, and a sender repeats
/// what has not been acknowledged.
#pragma once

#include "yuccaspan/cell_record.hpp"
#include "yuccaspan/clock.hpp"
#include "yuccaspan/ids.hpp"
#include "yuccaspan/result.hpp"
#include "yuccaspan/route_table.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace yuccaspan {

/// \brief State that an instance sends to the others at regular intervals.
struct Heartbeat
{
    ZoneId zone; ///< Availability zone of the sender.
    std::uint64_t sequence = 0; ///< Grows with each heartbeat.
    bool leaving = false; ///< The sender is stopping and hands over what it places.
    ObjectVersion settingsVersion; ///< Settings in force at the sender.
    bool storeReachable = false; ///< Whether the sender's last store call succeeded.
    std::vector<InstanceId> hears; ///< Instances the sender has heard from lately.
    std::vector<CellId> places; ///< Cells whose placer the sender is.

    [[nodiscard]] friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

/// \brief A placer asks a candidate not to take over.
struct PromiseRequest
{
    CellId cell; ///< Which cell.
    Term term; ///< Term of the placer.
    std::uint64_t sequence = 0; ///< Matches the answer to the request.
    Duration duration{}; ///< Duration of the promise; the placer counts it from sending.

    [[nodiscard]] friend bool operator==(const PromiseRequest &, const PromiseRequest &) = default;
};

/// \brief A candidate's answer to a PromiseRequest.
struct PromiseAnswer
{
    CellId cell; ///< Which cell.
    Term term; ///< Term of the request.
    std::uint64_t sequence = 0; ///< Sequence of the request.
    bool granted = false; ///< Whether the candidate promises.
    Term knownTerm; ///< Highest term that the candidate knows.

    [[nodiscard]] friend bool operator==(const PromiseAnswer &, const PromiseAnswer &) = default;
};

/// \brief A share of a target's capacity that an instance may use.
struct CapacityShare
{
    TargetId target; ///< Which target.
    double slots = 0; ///< Requests at once; may be a fraction of one.
    std::uint32_t connections = 0; ///< Connections at once.
    std::uint32_t coldSlots = 0; ///< Requests at once while the target is starting.

    [[nodiscard]] friend bool operator==(const CapacityShare &, const CapacityShare &) = default;
};

/// \brief A placer tells an entry instance the routes of a cell and renews its view lease.
///
/// Carries every route that changed after the sequence that the receiver acknowledged last, or all
/// of them if `full`.
struct RouteUpdate
{
    CellId cell; ///< Which cell.
    KeyRange range; ///< Range of the cell.
    Term term; ///< Term of the placer.
    std::uint64_t sequence = 0; ///< Grows with each change of the routes within a term.
    std::uint64_t baseSequence = 0; ///< Sequence that a difference builds on; 0 if full.
    bool full = true; ///< Whether `routes` holds all routes.
    std::uint64_t leaseSequence = 0; ///< Grows with each message; returned in RouteAck.
    /// Counted by the receiver from when it sent the RouteAck numbered `echoSequence`.
    Duration viewLease{};
    std::uint64_t echoSequence = 0; ///< Highest RouteAck sequence that the placer has received.
    std::vector<Route> routes; ///< Changed routes.
    std::vector<CapacityShare> shares; ///< Shares of the targets for the receiver.

    [[nodiscard]] friend bool operator==(const RouteUpdate &, const RouteUpdate &) = default;
};

/// \brief An entry instance confirms a RouteUpdate.
struct RouteAck
{
    CellId cell; ///< Which cell.
    Term term; ///< Term of the update.
    std::uint64_t sequence = 0; ///< Sequence of the routes in force at the sender.
    std::uint64_t leaseSequence = 0; ///< Highest leaseSequence received.
    std::uint64_t ackSequence = 0; ///< Grows with each RouteAck of the sender in the term.
    std::vector<KeyRange> idle; ///< Held slices with no request in flight at the sender.

    [[nodiscard]] friend bool operator==(const RouteAck &, const RouteAck &) = default;
};

/// \brief Load of one slice as an entry instance measured it.
struct SliceLoad
{
    KeyRange range; ///< Which slice, or a hot key alone if first equals last.
    double requestsPerSecond = 0; ///< Requests that arrived.
    double busySlots = 0; ///< Mean number of requests running at the target.

    [[nodiscard]] friend bool operator==(const SliceLoad &, const SliceLoad &) = default;
};

/// \brief Measurements of one target by an entry instance.
struct TargetObservation
{
    TargetId target; ///< Which target.
    double slowdown = 1; ///< Latency over the usual latency; 1 is usual.
    double demandSlots = 0; ///< Slots that the instance's requests would use at once.
    std::uint32_t consecutiveFailures = 0; ///< Connection failures in a row.

    [[nodiscard]] friend bool operator==(const TargetObservation &,
                                         const TargetObservation &) = default;
};

/// \brief Measurements that an entry instance sends to a cell's placer.
struct LoadReport
{
    CellId cell; ///< Which cell.
    std::uint64_t sequence = 0; ///< Grows with each report of the sender.
    std::vector<SliceLoad> slices; ///< Slices with load, and hot keys.
    std::vector<TargetObservation> targets; ///< Targets of the cell's slices.

    [[nodiscard]] friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

/// \brief Requests state that the sender missed while the store is down.
struct StateRequest
{
    ObjectVersion settingsVersion; ///< Settings in force at the sender.

    [[nodiscard]] friend bool operator==(const StateRequest &, const StateRequest &) = default;
};

/// \brief An object of the store as the sender knows it, for receivers that cannot reach the store.
struct StateOffer
{
    std::string path; ///< Path in the store.
    ObjectVersion version; ///< Its version.
    std::string value; ///< Its value.

    [[nodiscard]] friend bool operator==(const StateOffer &, const StateOffer &) = default;
};

/// \brief Any message between entry instances.
using PeerMessage = std::variant<Heartbeat, PromiseRequest, PromiseAnswer, RouteUpdate, RouteAck,
                                 LoadReport, StateRequest, StateOffer>;

/// \brief A message with its sender.
struct PeerEnvelope
{
    InstanceId from; ///< The sender.
    PeerMessage message; ///< The message.

    [[nodiscard]] friend bool operator==(const PeerEnvelope &, const PeerEnvelope &) = default;
};

/// \brief Encodes a message in Thrift's compact protocol.
/// \param envelope The message and its sender.
/// \returns The bytes, without a frame.
[[nodiscard]] std::string encodePeerEnvelope(const PeerEnvelope &envelope);

/// \brief Decodes a message. Rejects trailing bytes, unknown kinds and sizes beyond the bytes
/// given. \param bytes One frame. \returns The message, or ParseFailed.
[[nodiscard]] Result<PeerEnvelope> decodePeerEnvelope(std::string_view bytes);

} // namespace yuccaspan
