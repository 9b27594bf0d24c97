/// \file
/// \brief The known targets and their incarnations.
#pragma once

#include "yuccaspan/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaspan::gateway {

/// \brief The entry that a target publishes about itself.
struct TargetEntry
{
    std::string id; ///< Name of the target; a later incarnation may reuse it.
    std::int64_t incarnation = 0; ///< Start of this incarnation, Unix milliseconds.
    std::string service;
    std::string address; ///< "IP:port".
    std::string zone; ///< Availability zone.
    std::uint32_t slots = 1; ///< Requests that it processes concurrently.
    bool draining = false; ///< It shuts down soon and must get no new work.
    Duration warmupLeft{}; ///< Remaining time for which it is cold.
    std::uint64_t sequence = 0; ///< Increases with each of its heartbeats.
};

/// \brief A target as known to this instance.
struct Target
{
    TargetEntry entry;
    TimePoint knownSince{}; ///< When this incarnation was first seen.
    TimePoint coldUntil{}; ///< End of its warm-up.
    std::optional<TimePoint> leavingSince; ///< Earliest time at which it may have left.
    std::optional<TimePoint> saidLeavingSince; ///< When it said in an answer that it leaves.
    std::optional<TimePoint> missingSince; ///< Earliest time at which its entry was removed.
    /// Known from an earlier era of the store: an entry of that sequence or an earlier one comes
    /// from the copy and says nothing new.
    bool ofEarlierEra = false;
    bool listed = true; ///< In the store, or missing within the grace period.

    /// \brief Whether the target accepts new work.
    [[nodiscard]] bool ready() const noexcept { return !leavingSince; }
    /// \brief Whether the target is cold at that time.
    [[nodiscard]] bool cold(TimePoint now) const noexcept { return now < coldUntil; }
};

/// \brief All targets, by id.
///
/// A target that the store no longer lists is kept as leaving, so that its keys can be released.
/// Entries that expired while the store was unavailable return shortly after it does; until then
/// such a target counts as listed and keeps its keys. It may also have left, so the bound for
/// sending to it is counted from when its entry may have been removed; while the store is away for
/// all, from when it is found missing, since it has acknowledged no leaving before.
class TargetDirectory
{
public:
    /// \brief Adds or updates an entry read from the store.
    /// \param since Earliest time at which the store can have accepted the change; at most now. The
    /// bound for sending to a leaving target counts from the store's answer to it.
    /// \returns Whether anything but the sequence changed.
    bool put(const TargetEntry &entry, TimePoint now, TimePoint since);
    /// \brief Adds an entry received from another instance, unless this incarnation is already
    /// known: the entry read from the store is then at least as new.
    void putIfNew(const TargetEntry &entry, TimePoint now);
    /// \brief Records that an incarnation said in an answer that it leaves.
    ///
    /// Holds whatever its entry says, since the store may be away or behind.
    /// \returns Whether that was not known yet.
    bool saidLeaving(std::string_view id, std::int64_t incarnation, TimePoint now);
    /// \brief Handles the removal of a target's entry from the store.
    void remove(std::string_view id, TimePoint now, TimePoint since);
    /// \brief Applies a complete list from the store: targets that are not in it are removed.
    void replaceAll(const std::vector<TargetEntry> &entries, TimePoint now, TimePoint since);
    /// \brief Ends the grace period of missing entries and deletes targets that left long ago.
    /// \returns Whether the grace period of a missing entry ended.
    bool tick(TimePoint now);
    /// \brief Records that the store is unavailable; restarts the grace period of missing entries.
    void storeUnavailable(TimePoint now) noexcept;
    /// \brief Records that the store is away for all instances; restarts the grace period as well.
    void storeAway(TimePoint now) noexcept;
    /// \brief Records that the store came back from a copy: what is missing from it gets a grace
    /// period, and its entries of known targets count only if they are newer than the known ones.
    void enterEra(TimePoint now) noexcept;
    /// \brief Sets the zones that must get no new work.
    void setEvacuated(const std::vector<std::string> &zones, TimePoint since);

    /// \brief The target with that id, or null.
    [[nodiscard]] const Target *find(std::string_view id) const noexcept;
    /// \brief The listed target at that address, or null.
    [[nodiscard]] const Target *findAddress(std::string_view address) const noexcept;
    /// \brief All targets by id.
    [[nodiscard]] const std::map<std::string, Target, std::less<>> &targets() const noexcept
    {
        return m_targets;
    }
    /// \brief Whether the zone must get no new work.
    [[nodiscard]] bool evacuated(std::string_view zone) const noexcept;
    /// \brief Earliest time from which the target may have to get no new work, if there is one.
    [[nodiscard]] std::optional<TimePoint> unwantedSince(const Target &target) const noexcept;
    /// \brief Whether the target may get new work: it is ready and its zone is not evacuated.
    [[nodiscard]] bool usable(const Target &target) const noexcept;
    /// \brief Increases with each change that affects routing.
    [[nodiscard]] std::uint64_t version() const noexcept { return m_version; }

private:
    void unindex(const std::string &address, std::string_view id);

    std::map<std::string, Target, std::less<>> m_targets;
    std::multimap<std::string, std::string, std::less<>> m_byAddress; ///< Ids by address.
    std::map<std::string, TimePoint, std::less<>> m_missing;
    std::map<std::string, TimePoint, std::less<>> m_evacuated;
    TimePoint m_graceUntil{};
    TimePoint m_lapseUntil{}; ///< Until then, what is missing may have expired while it was away.
    std::uint64_t m_version = 1;
};

} // namespace yuccaspan::gateway
