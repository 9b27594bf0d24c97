/// \file
/// \brief Who places: a lease on an object of the store.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/result.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace yuccaspan::gateway {

/// \brief What the lease object says.
struct LeaseRecord
{
    std::string holder; ///< Name of the instance; empty if the last one gave it up.
    std::string start; ///< Which start of that instance.
    std::uint64_t renewal = 0; ///< Grows with each renewal.

    [[nodiscard]] friend bool operator==(const LeaseRecord &, const LeaseRecord &) = default;
};

/// \brief Writes the record as JSON text.
[[nodiscard]] std::string encodeLease(const LeaseRecord &record);
/// \brief Reads a record.
[[nodiscard]] Result<LeaseRecord> decodeLease(std::string_view text);

/// \brief Time spans of the lease.
struct LeaseTiming
{
    /// From the sending of a renewal to the end of the lease. A grant must outlive a takeover:
    /// length + look + renewal of grants is under the length of a grant.
    Duration length = std::chrono::milliseconds(3000);
    Duration renewEvery = std::chrono::milliseconds(1000); ///< Three renewals may fail.
    Duration lookEvery = std::chrono::milliseconds(1000); ///< Between looks of those that wait.
};

/// \brief What to do about the lease now.
enum class LeaseStep {
    Nothing,
    Look, ///< Read the object; an old answer will do.
    Take, ///< Read the object anew and replace it if it is the one that was judged.
    Renew, ///< Replace our record with the next one.
};

/// \brief Decides about the lease. Sans-IO.
///
/// The holder counts from the sending of its last stored renewal; the others from when they first
/// saw a revision, which is later. So a lease that is over for them is over for its holder.
class PlacerLease
{
public:
    PlacerLease(std::string name, std::string start, LeaseTiming timing = {});

    /// \brief What is due.
    [[nodiscard]] LeaseStep step(TimePoint now) const noexcept;
    /// \brief A read saw the object.
    /// \param record Nothing if there is no object.
    void saw(const std::optional<LeaseRecord> &record, std::uint64_t revision, TimePoint now);
    /// \brief Whether the object with that revision may be replaced by ours.
    [[nodiscard]] bool mayTake(std::uint64_t revision, TimePoint now) const noexcept;
    /// \brief The record to write next.
    [[nodiscard]] LeaseRecord next() const;
    /// \brief Our record was stored.
    /// \param sentAt When the write was sent that stored it.
    void stored(const LeaseRecord &record, std::uint64_t revision, TimePoint sentAt);
    /// \brief Whether this instance places at that time.
    [[nodiscard]] bool held(TimePoint now) const noexcept { return now < m_heldUntil; }
    /// \brief Gives it up.
    void drop() noexcept { m_heldUntil = TimePoint{}; }
    /// \brief Revision that was seen last; 0 if there is no object.
    [[nodiscard]] std::uint64_t revision() const noexcept { return m_revision; }
    /// \brief Name of the holder that was seen last.
    [[nodiscard]] const std::string &holder() const noexcept { return m_seen.holder; }
    /// \brief Whether a record is one that this start wrote.
    [[nodiscard]] bool ours(const LeaseRecord &record) const noexcept;

private:
    std::string m_name;
    std::string m_start;
    LeaseTiming m_timing;
    LeaseRecord m_seen;
    std::uint64_t m_revision = 0;
    bool m_looked = false;
    TimePoint m_seenSince{};
    TimePoint m_lookedAt{};
    TimePoint m_renewedAt{};
    TimePoint m_heldUntil{};
};

} // namespace yuccaspan::gateway
