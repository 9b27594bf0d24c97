/// \file
/// \brief The placer lease: elects the placer by means of an object in the store.
#pragma once

#include "gateway/store_revision.hpp"
#include "yuccaspan/clock.hpp"
#include "yuccaspan/result.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace yuccaspan::gateway {

/// \brief Content of the lease object.
struct LeaseRecord
{
    std::string holder; ///< Name of the instance; empty if the lease was given up.
    std::string start; ///< Identifies one start of that instance.
    std::uint64_t renewal = 0; ///< Increases with each renewal.
    std::uint64_t era = 0; ///< Era of the store that its writer knew.

    [[nodiscard]] friend bool operator==(const LeaseRecord &, const LeaseRecord &) = default;
};

/// \brief Writes the record as JSON text.
[[nodiscard]] std::string encodeLease(const LeaseRecord &record);
/// \brief Reads a record.
[[nodiscard]] Result<LeaseRecord> decodeLease(std::string_view text);

/// \brief Timing of the lease.
struct LeaseTiming
{
    /// From sending a renewal to the end of the lease. A grant must outlast a takeover: length +
    /// interval of reads + interval of grant renewals is less than the duration of a grant.
    Duration length = std::chrono::milliseconds(3000);
    Duration renewInterval = std::chrono::milliseconds(1000); ///< Three renewals may fail.
    Duration readInterval = std::chrono::milliseconds(1000); ///< Of instances without the lease.
    /// After a return of the store, the last holder goes first: it alone knows all grants.
    Duration standbyDelay = std::chrono::milliseconds(1000);
};

/// \brief Next action on the lease.
enum class LeaseStep {
    Nothing,
    Read, ///< Read the object; a stale answer is acceptable.
    Acquire, ///< Read the current object and replace it if its revision is unchanged.
    Renew, ///< Replace our record with the next one.
};

/// \brief Decides when to read, acquire and renew the lease. Sans-IO.
///
/// The holder measures the lease from sending its last stored renewal; the others from when they
/// first observed that revision, which is later. So a lease that has expired for them has also
/// expired for its holder.
///
/// A store that came back from a copy may name an earlier holder while the last one still counts on
/// its lease. So nothing that the record says holds until it was written in the new era, and
/// nobody acquires before a lease length has passed since the era was first seen.
class PlacerLease
{
public:
    PlacerLease(std::string name, std::string start, LeaseTiming timing = {});

    /// \brief The action that is due.
    [[nodiscard]] LeaseStep step(TimePoint now) const noexcept;
    /// \brief Handles an era of the store that is higher than the known one: ends the lease.
    void enterEra(std::uint64_t era, TimePoint now) noexcept;
    /// \brief Whether this instance held the lease until it saw the present era. Then no other
    /// instance was the placer in the time that the store lost.
    [[nodiscard]] bool heldIntoEra() const noexcept { return m_heldIntoEra; }
    /// \brief Latest time at which a holder of the era before can have counted on its lease.
    [[nodiscard]] TimePoint earlierLeasesEnd() const noexcept
    {
        return m_eraSince + m_timing.length;
    }
    /// \brief Handles the result of a read or of a rejected write.
    /// \param record Nothing if there is no valid object.
    void observed(const std::optional<LeaseRecord> &record, StoreRevision revision, TimePoint now);
    /// \brief Whether the object at that revision may be replaced by our record.
    [[nodiscard]] bool mayAcquire(StoreRevision revision, TimePoint now) const noexcept;
    /// \brief The record to write next.
    [[nodiscard]] LeaseRecord next() const;
    /// \brief Handles the successful write of our record; ignored if it reached another era.
    /// \param sentAt When that write was sent.
    void stored(const LeaseRecord &record, StoreRevision revision, TimePoint sentAt);
    /// \brief Whether this instance holds the lease at that time.
    [[nodiscard]] bool held(TimePoint now) const noexcept { return now < m_heldUntil; }
    /// \brief Stops holding the lease, without a write.
    void drop() noexcept { m_heldUntil = TimePoint{}; }
    /// \brief Last observed revision; none if there is no object.
    [[nodiscard]] StoreRevision revision() const noexcept { return m_revision; }
    /// \brief Name of the last observed holder.
    [[nodiscard]] const std::string &holder() const noexcept { return m_seen.holder; }
    /// \brief Whether this start of the instance wrote the record.
    [[nodiscard]] bool ours(const LeaseRecord &record) const noexcept;

private:
    std::string m_name;
    std::string m_start;
    LeaseTiming m_timing;
    std::uint64_t m_era = 0;
    TimePoint m_eraSince{}; ///< When the era was first seen.
    bool m_heldIntoEra = false;
    LeaseRecord m_seen;
    StoreRevision m_revision;
    bool m_wasRead = false;
    TimePoint m_seenSince{};
    TimePoint m_readAt{};
    TimePoint m_renewedAt{};
    TimePoint m_heldUntil{};
};

} // namespace yuccaspan::gateway
