/// \file
/// \brief The settings that operators write: availability zones, services, targets, request rules.
///
/// Every field has its JSON name; docs/SETTINGS.md gives units, ranges and defaults.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/enum_names.hpp"
#include "yuccaspan/ids.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaspan {

/// \brief Version of the settings' schema that this program reads and writes.
inline constexpr int settingsSchemaVersion = 1;

/// \brief Where a request carries its key.
enum class KeySource {
    Header, ///< The value of a header.
    PathSegment, ///< A segment of the path, counted from 0 after the service's prefix.
    Query, ///< The value of a query parameter.
};

template <>
struct EnumNames<KeySource>
{
    static constexpr std::array<EnumName<KeySource>, 3> table{{
        {KeySource::Header, "header"},
        {KeySource::PathSegment, "path-segment"},
        {KeySource::Query, "query"},
    }};
};

/// \brief What happens to a cell whose home zone is cut off from the others.
enum class CutOffPolicy {
    Move, ///< The other zones take the cell over once the zone's authority has lapsed.
    Hold, ///< The zone keeps its keys as long as its own instances agree.
};

template <>
struct EnumNames<CutOffPolicy>
{
    static constexpr std::array<EnumName<CutOffPolicy>, 2> table{{
        {CutOffPolicy::Move, "move"},
        {CutOffPolicy::Hold, "hold"},
    }};
};

/// \brief An availability zone.
struct ZoneSettings
{
    ZoneId id; ///< Name of the zone.
    RegionId region; ///< Region the zone belongs to.
    bool out = false; ///< Taken out by operators: receives no new work.
    bool stopped = false; ///< With `out`: operators vouch that nothing in the zone runs any more.

    [[nodiscard]] friend bool operator==(const ZoneSettings &, const ZoneSettings &) = default;
};

/// \brief A target of a service.
struct TargetSettings
{
    TargetId id; ///< Name of the target, unique over all services.
    ZoneId zone; ///< Availability zone it runs in.
    std::string address; ///< IP address, numeric.
    std::uint16_t port = 0; ///< TCP port.
    std::uint32_t slots = 1; ///< Requests it can run at once.
    std::uint32_t connections = 100; ///< Connections it accepts, over all instances.
    bool checksGrants = true; ///< Refuses requests without a valid grant of its own accord.
    bool drain = false; ///< Is leaving: its slices are moved off and it receives no new work.

    [[nodiscard]] friend bool operator==(const TargetSettings &, const TargetSettings &) = default;
};

/// \brief A rule that says how requests of one kind are treated. The first match wins.
struct RequestRule
{
    std::string kind; ///< Name of the kind, used in metrics and logs.
    std::string method; ///< HTTP method to match; empty matches all.
    std::string path; ///< Path prefix to match, after the service's prefix; empty matches all.
    bool repeatable = false; ///< Whether the request may be sent again after an unknown outcome.
    double worth = 1.0; ///< Weight of one request in service and queue order.
    Duration deadline = std::chrono::seconds(1); ///< Time allowed unless the caller gives less.
    KeySource keySource = KeySource::Header; ///< Where the key is.
    std::string keyName; ///< Header or query parameter; unused for a path segment.
    std::uint32_t keySegment = 0; ///< Index of the path segment, from 0.

    [[nodiscard]] friend bool operator==(const RequestRule &, const RequestRule &) = default;
};

/// \brief A service: its targets, its rules and its limits.
struct ServiceSettings
{
    ServiceName name; ///< Name of the service.
    std::string pathPrefix; ///< First path segments that select the service, as in "/depot-stock".
    CutOffPolicy whenCutOff = CutOffPolicy::Move; ///< See CutOffPolicy.
    std::uint32_t cellsPerZone = 1; ///< Cells the key space has in each zone when it is created.
    std::uint32_t slicesPerTarget = 8; ///< Slices for each target when the key space is created.
    std::uint32_t maxSlicesPerCell = 4096; ///< Bound on splitting.
    std::uint64_t requestLimitBytes = 1U << 20U; ///< Longest request body.
    std::uint64_t answerLimitBytes = 4U << 20U; ///< Longest answer body.
    std::uint32_t queueLimit = 64; ///< Requests that may wait for one target at one instance.
    double repeatBudget = 0.1; ///< Repeats as a share of first tries, 0 to 1.
    double coldAllowance = 0.1; ///< Share of a starting target's slots used at first, 0 to 1.
    std::vector<TargetSettings> targets; ///< In the order of their names.
    std::vector<RequestRule> rules; ///< In the order in which they are tried.

    /// \brief The first rule that matches a request, or null.
    /// \param method The HTTP method.
    /// \param path The path after the service's prefix. A rule's path matches whole segments, so
    /// "/order" matches "/order/7" and not "/orders".
    [[nodiscard]] const RequestRule *findRule(std::string_view method,
                                              std::string_view path) const noexcept;

    [[nodiscard]] friend bool operator==(const ServiceSettings &,
                                         const ServiceSettings &) = default;
};

/// \brief One version of all settings.
struct Settings
{
    ObjectVersion version; ///< Version in the store; 0 if it was not read from there.
    std::vector<ZoneSettings> zones; ///< In the order of their names.
    std::vector<ServiceSettings> services; ///< In the order of their names.

    /// \name Look-up
    /// @{
    /// \brief The zone of that name, or null.
    [[nodiscard]] const ZoneSettings *findZone(const ZoneId &id) const noexcept;
    /// \brief The service of that name, or null.
    [[nodiscard]] const ServiceSettings *findService(const ServiceName &name) const noexcept;
    /// \brief The service whose path prefix selects the path, or null. The longest prefix wins.
    [[nodiscard]] const ServiceSettings *findServiceByPath(std::string_view path) const noexcept;
    /// \brief The target of that name in any service, or null.
    [[nodiscard]] const TargetSettings *findTarget(const TargetId &id) const noexcept;
    /// \brief Whether new work may go to the target: neither it is drained nor its zone taken out.
    [[nodiscard]] bool mayReceiveWork(const TargetSettings &target) const noexcept;
    /// @}

    [[nodiscard]] friend bool operator==(const Settings &, const Settings &) = default;
};

} // namespace yuccaspan
