/// \file
/// \brief The targets that are known now, with their incarnations.
#pragma once

#include "yuccaspan/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaspan::gateway {

/// \brief What a target says of itself.
struct TargetEntry
{
    std::string id; ///< Name of the target; may be used again by a later incarnation.
    std::int64_t incarnation = 0; ///< Start of this incarnation, Unix milliseconds.
    std::string service;
    std::string address; ///< "IP:port".
    std::string zone; ///< Availability zone.
    std::uint32_t slots = 1; ///< Requests that it processes at a time.
    bool draining = false; ///< It leaves soon and wants no new work.
    Duration warmupLeft{}; ///< How much longer it is cold.
    std::uint64_t sequence = 0; ///< Grows with each of its heartbeats.
};

/// \brief A target as an instance sees it.
struct Target
{
    TargetEntry entry;
    TimePoint knownSince{}; ///< When this life was first seen.
    TimePoint coldUntil{}; ///< End of its cold span.
    std::optional<TimePoint> leavingSince; ///< Earliest time at which it can have left.
    std::optional<TimePoint> missingSince; ///< Since when its entry is awaited back.
    bool listed = true; ///< Whether the store lists it now, or its entry is awaited back.

    /// \brief Whether the target wants new work.
    [[nodiscard]] bool ready() const noexcept { return !leavingSince; }
    /// \brief Whether the target is cold at that time.
    [[nodiscard]] bool cold(TimePoint now) const noexcept { return now < coldUntil; }
};

/// \brief All targets, by id.
///
/// A target that the store no longer lists is kept as leaving, so that its keys can be released.
/// Entries that lapsed while the store was away come back shortly after its return; until then
/// such a target counts as listed and keeps its keys. It may as well have left, so the bound for
/// sending to it runs from when its entry was missed.
class TargetDirectory
{
public:
    /// \brief Takes over an entry of the store.
    /// \param since Earliest time at which the store can have taken the change; at most now. The
    /// bound for sending to a leaving target counts from the store's answer to it.
    /// \returns Whether anything but the sequence changed.
    bool put(const TargetEntry &entry, TimePoint now, TimePoint since);
    /// \brief Takes over an entry that another instance told of, unless this life is known already:
    /// the store's own word is then at least as new.
    void putUnknown(const TargetEntry &entry, TimePoint now);
    /// \brief The store no longer lists the target.
    void remove(std::string_view id, TimePoint now, TimePoint since);
    /// \brief A complete list of the store: targets that are not in it are removed.
    void replaceAll(const std::vector<TargetEntry> &entries, TimePoint now, TimePoint since);
    /// \brief Ends the grace of missing entries and forgets targets that left long ago.
    /// \returns Whether a target was found to be leaving.
    bool tick(TimePoint now);
    /// \brief The store could not be reached until now.
    void storeAway(TimePoint now) noexcept;
    /// \brief The zones that are to receive nothing.
    void setEvacuated(const std::vector<std::string> &zones, TimePoint since);

    /// \brief The target of that id, or null.
    [[nodiscard]] const Target *find(std::string_view id) const noexcept;
    /// \brief The listed target at that address, or null.
    [[nodiscard]] const Target *findAddress(std::string_view address) const noexcept;
    /// \brief All targets by id.
    [[nodiscard]] const std::map<std::string, Target, std::less<>> &targets() const noexcept
    {
        return m_targets;
    }
    /// \brief Whether the zone is to receive nothing.
    [[nodiscard]] bool evacuated(std::string_view zone) const noexcept;
    /// \brief Earliest time since which new work for the target may be unwanted, if it is.
    [[nodiscard]] std::optional<TimePoint> unwantedSince(const Target &target) const noexcept;
    /// \brief Whether the target may receive new work: it is ready and its zone is in service.
    [[nodiscard]] bool usable(const Target &target) const noexcept;
    /// \brief Grows with each change that concerns where requests go.
    [[nodiscard]] std::uint64_t version() const noexcept { return m_version; }

private:
    void unindex(const std::string &address, std::string_view id);

    std::map<std::string, Target, std::less<>> m_targets;
    std::multimap<std::string, std::string, std::less<>> m_byAddress; ///< Ids by address.
    std::map<std::string, TimePoint, std::less<>> m_missing;
    std::map<std::string, TimePoint, std::less<>> m_evacuated;
    TimePoint m_storeAwayUntil{};
    std::uint64_t m_version = 1;
};

} // namespace yuccaspan::gateway
