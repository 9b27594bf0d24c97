/// \file
/// \brief How long a placer may act, given promises of the candidates or a confirmed write.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/ids.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace yuccaspan::impl {

/// \brief Number of promises that a placer needs, including its own.
///
/// With four or more candidates one promise may be missing, so that losing one instance while the
/// store is down does not stop the cell. In return, a new placer needs the promise of one more
/// candidate before it treats earlier terms as expired; see refusalsNeeded().
[[nodiscard]] constexpr std::size_t promisesNeeded(std::size_t candidates) noexcept
{
    constexpr std::size_t spareFrom = 4;
    return candidates >= spareFrom ? candidates - 1 : candidates;
}

/// \brief Number of candidates that must refuse a placer before it can no longer extend its
/// authority.
[[nodiscard]] constexpr std::size_t refusalsNeeded(std::size_t candidates) noexcept
{
    return candidates - promisesNeeded(candidates) + 1;
}

/// \brief Tracks the authority of one placer in one term.
class Authority
{
public:
    /// \brief Starts without authority.
    /// \param self The placer.
    /// \param length Duration of the authority after a promise or a confirmed write.
    Authority(InstanceId self, Duration length);

    /// \brief Records that the store committed a write of this term.
    /// \param sentAt When the write was sent.
    void recordConfirmation(TimePoint sentAt);
    /// \brief Records a candidate's promise.
    /// \param candidate The candidate.
    /// \param sentAt When the request was sent.
    void recordPromise(const InstanceId &candidate, TimePoint sentAt);
    /// \brief Retains the current authority while the list of candidates changes.
    ///
    /// A newly listed candidate can take over only after the write was sent, and then waits for
    /// one authority length.
    void extendUntil(TimePoint until);
    /// \brief Returns when the authority ends.
    /// \param candidates Candidates of the committed record.
    /// \param pending Candidates of a record whose write has an unknown result, or null. Promises
    /// are needed from both lists, since a candidate of either may take over.
    /// \param now The current time.
    [[nodiscard]] TimePoint until(const std::vector<InstanceId> &candidates,
                                  const std::vector<InstanceId> *pending, TimePoint now) const;
    /// \brief When the request for the candidate's last promise was sent.
    [[nodiscard]] std::optional<TimePoint> lastPromise(const InstanceId &candidate) const;
    /// \brief When the last confirmed write was sent.
    [[nodiscard]] TimePoint lastConfirmedAt() const noexcept { return m_confirmedAt; }

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
