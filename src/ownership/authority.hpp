/// \file
/// \brief Until when a placer may act: from promises of the candidates or the store's confirmation.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/ids.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace yuccaspan::impl {

/// \brief Promises that a placer needs, itself included, out of a number of candidates.
///
/// With four or more candidates one may be missing, so that the loss of one instance while the
/// store is down does not stop the cell. A new placer then needs the promise of one more candidate
/// before it counts earlier terms as ended; see refusalsNeeded().
[[nodiscard]] constexpr std::size_t promisesNeeded(std::size_t candidates) noexcept
{
    constexpr std::size_t spareFrom = 4;
    return candidates >= spareFrom ? candidates - 1 : candidates;
}

/// \brief Candidates that must have left a placer so that it cannot extend its authority.
[[nodiscard]] constexpr std::size_t refusalsNeeded(std::size_t candidates) noexcept
{
    return candidates - promisesNeeded(candidates) + 1;
}

/// \brief Authority of one placer in one term.
class Authority
{
public:
    /// \brief Starts without authority.
    /// \param self The placer.
    /// \param length Authority after a promise or confirmation.
    Authority(InstanceId self, Duration length);

    /// \brief The store committed a write of this term.
    /// \param sentAt When the write was sent.
    void confirmed(TimePoint sentAt);
    /// \brief A candidate promised.
    /// \param candidate The candidate.
    /// \param sentAt When the request was sent.
    void promised(const InstanceId &candidate, TimePoint sentAt);
    /// \brief Keeps the present authority while the list of candidates is changed.
    ///
    /// A candidate that the new list adds can take over only after the write was sent, and then
    /// waits for one authority length.
    void keep(TimePoint until);
    /// \brief The end of the authority.
    /// \param candidates Candidates of the committed record.
    /// \param pending Candidates of a record whose write is not resolved, or null. Both lists
    /// must promise, since a candidate of either may take over.
    /// \param now The current time.
    [[nodiscard]] TimePoint until(const std::vector<InstanceId> &candidates,
                                  const std::vector<InstanceId> *pending, TimePoint now) const;
    /// \brief When the candidate's last promise was asked for.
    [[nodiscard]] std::optional<TimePoint> lastPromise(const InstanceId &candidate) const;
    /// \brief When the last confirmed write was sent.
    [[nodiscard]] TimePoint lastConfirmed() const noexcept { return m_confirmedAt; }

private:
    [[nodiscard]] TimePoint promisedUntil(const std::vector<InstanceId> &candidates,
                                          TimePoint now) const;

    InstanceId m_self;
    Duration m_length;
    TimePoint m_confirmedAt;
    TimePoint m_keptUntil;
    std::map<InstanceId, TimePoint> m_promises;
};

} // namespace yuccaspan::impl
