/// \file
/// \brief Decides from whom an instance gets new proofs before those that it has run out.
#pragma once

#include "gateway/evidence/store_evidence.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yuccaspan::gateway {

/// \brief Renews proofs, and decides when there can be none. Sans-IO.
///
/// Answers the load pattern that proofs cost a call for each instance and second. One instance
/// checks for all while all is well. Its loss makes a few others check, the loss of those all:
/// no loss of an instance leaves the others without proofs for as long as they last.
class ProofRenewal
{
public:
    /// \brief Number of deputies.
    static constexpr std::size_t deputies = 3;
    /// \brief Least time between two checks.
    static constexpr Duration checkInterval = std::chrono::milliseconds(100);
    /// \brief Pause after a check that failed; doubles with each further one.
    static constexpr Duration firstPause = std::chrono::milliseconds(500);
    static constexpr Duration maxPause = std::chrono::milliseconds(2000); ///< Longest pause.
    /// \brief Time after the end of a proof in which other instances can still answer with one.
    static constexpr Duration answerTime = std::chrono::milliseconds(300);

    /// \param self Name of this instance.
    /// \param limits How long proofs of each kind last.
    ProofRenewal(std::string self, std::map<ObjectKind, Duration> limits);

    /// \brief Sets the known instances, by name. Equal sets give equal deputies.
    void setInstances(std::vector<std::string> names);
    /// \brief Whether this instance is a deputy.
    [[nodiscard]] bool isDeputy() const noexcept { return m_rank < deputies; }

    /// \brief Instances to ask besides the placer: the deputies and others in turn. None while the
    /// proofs are young.
    [[nodiscard]] std::vector<std::string> peersToAsk(const StoreEvidence &evidence, TimePoint now);
    /// \brief The kind to check at the store now, if one is due.
    [[nodiscard]] std::optional<ObjectKind> checkDue(const StoreEvidence &evidence, bool placing,
                                                     TimePoint now) const;
    /// \brief A check is sent.
    void checking(TimePoint now) noexcept { m_lastCheck = now; }
    /// \brief The store answered a check.
    void storeAnswered() noexcept;
    /// \brief The store did not answer, or refused.
    void storeFailed(const StoreEvidence &evidence, TimePoint now);
    /// \brief Whether the proof of a kind has run out, the store failed since, and no other
    /// instance has answered with a proof either. While the targets are proven, somebody reaches
    /// the store and could prove the others; and a change that is known to lack can be got.
    [[nodiscard]] bool unprovable(ObjectKind kind, const StoreEvidence &evidence,
                                  TimePoint now) const;
    /// \brief Whether that holds for the targets, and no change of evacuations is known to lack:
    /// nobody can prove anything.
    [[nodiscard]] bool storeAway(const StoreEvidence &evidence, TimePoint now) const
    {
        return unprovable(ObjectKind::Targets, evidence, now)
            && !evidence.behind(ObjectKind::Evacuations);
    }

private:
    [[nodiscard]] Duration checkFrom(ObjectKind kind, bool placing) const;

    std::string m_self;
    std::map<ObjectKind, Duration> m_limits;
    std::vector<std::string> m_names; ///< In the order of their hashes; the first are deputies.
    std::size_t m_rank = deputies; ///< Of this instance among the names.
    std::size_t m_nextPeer = 0;
    TimePoint m_lastCheck{};
    TimePoint m_nextCheck{}; ///< After failures.
    Duration m_pause = firstPause;
    std::optional<TimePoint> m_failedAt; ///< First failure since the last answer or proof.
};

} // namespace yuccaspan::gateway
