/// \file
/// \brief The settings that operators write: availability zones, services, targets, request rules.
///
/// docs/SETTINGS.md lists the JSON names, units, ranges and defaults of all fields.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/enum_names.hpp"
#include "yuccaspan/ids.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaspan {

/// \brief Version of the settings schema that this program reads and writes.
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
    Move, ///< The other zones take over the cell once the zone's authority has expired.
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
    bool stopped = false; ///< With `out`: operators confirm that nothing runs in the zone.

    [[nodiscard]] friend bool operator==(const ZoneSettings &, const ZoneSettings &) = default;
};

/// \brief A target of a service.
struct TargetSettings
{
    TargetId id; ///< Name of the target, unique over all services.
    ZoneId zone; ///< Availability zone it runs in.
    std::string address; ///< IP address, numeric.
    std::uint16_t port = 0; ///< TCP port.
    std::uint32_t slots = 1; ///< Maximum number of concurrent requests.
    std::uint32_t connections = 100; ///< Maximum number of connections, over all instances.
    bool checksGrants = true; ///< The target itself rejects requests without a valid grant.
    bool drain = false; ///< Draining: its slices move away and it receives no new work.

    [[nodiscard]] friend bool operator==(const TargetSettings &, const TargetSettings &) = default;
};

/// \brief Defines how requests of one kind are handled. The first matching rule applies.
struct RequestRule
{
    std::string kind; ///< Name of the kind, used in metrics and logs.
    std::string method; ///< HTTP method to match; empty matches all.
    std::string path; ///< Path prefix to match, after the service's prefix; empty matches all.
    bool repeatable = false; ///< Whether to retry a request with an unknown outcome.
    double worth = 1.0; ///< Weight of one request in service and queue order.
    Duration deadline = std::chrono::seconds(1); ///< Deadline unless the caller sets a shorter one.
    KeySource keySource = KeySource::Header; ///< Where the key is.
    std::string keyName; ///< Header or query parameter; unused for a path segment.
    std::uint32_t keySegment = 0; ///< Index of the path segment, from 0.

    [[nodiscard]] friend bool operator==(const RequestRule &, const RequestRule &) = default;
};

/// \brief Targets, rules and limits of a service.
struct ServiceSettings
{
    ServiceName name; ///< Name of the service.
    std::string pathPrefix; ///< First path segments that select the service, as in "/depot-stock".
    CutOffPolicy whenCutOff = CutOffPolicy::Move; ///< See CutOffPolicy.
    std::uint32_t cellsPerZone = 1; ///< Initial number of cells per zone.
    std::uint32_t slicesPerTarget = 8; ///< Initial number of slices per target.
    std::uint32_t maxSlicesPerCell = 4096; ///< Maximum number of slices per cell; limits splitting.
    std::uint64_t requestLimitBytes = 1U << 20U; ///< Maximum size of a request body.
    std::uint64_t answerLimitBytes = 4U << 20U; ///< Maximum size of an answer body.
    std::uint32_t queueLimit = 64; ///< Maximum queue length per target and instance.
    double repeatBudget = 0.1; ///< Retries as a fraction of first attempts, 0 to 1.
    double coldAllowance = 0.1; ///< Initial share of slots used on a cold target, 0 to 1.
    std::vector<TargetSettings> targets; ///< In the order of their names.
    std::vector<RequestRule> rules; ///< In matching order.

    /// \brief The first rule that matches a request, or null.
    /// \param method The HTTP method.
    /// \param path The path after the service's prefix. A rule's path matches whole segments, so
    /// "/order" matches "/order/7" and not "/orders".
    [[nodiscard]] const RequestRule *findRule(std::string_view method,
                                              std::string_view path) const noexcept;

    [[nodiscard]] friend bool operator==(const ServiceSettings &,
                                         const ServiceSettings &) = default;
};

/// \brief One version of the complete settings.
struct Settings
{
    ObjectVersion version; ///< Version in the store; 0 if not read from the store.
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
    /// \brief Whether the target may receive new work: it is not drained and its zone is not out.
    [[nodiscard]] bool mayReceiveWork(const TargetSettings &target) const noexcept;
    /// @}

    [[nodiscard]] friend bool operator==(const Settings &, const Settings &) = default;
};

} // namespace yuccaspan
