/// \file
/// \brief Compares what callers were told with what targets ran and held.
#pragma once

#include "cluster.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace yuccaspan::standins {

/// \brief A request as its caller saw it.
struct CallerRow
{
    std::string result; ///< "done", "not-run", "unknown" or "error".
    std::string reason; ///< Reason.
    std::string kind; ///< Kind.
};

/// \brief A time during which a target held a slice, on the machine's clock.
struct TargetHold
{
    std::string target; ///< The target.
    std::string service; ///< The service.
    std::uint64_t first = 0; ///< First hash.
    std::uint64_t last = 0; ///< Last hash.
    std::uint64_t token = 0; ///< Token.
    std::int64_t fromUs = 0; ///< Beginning.
    std::int64_t untilUs = 0; ///< End.
};

/// \brief The beginning of a run at a target, on the machine's clock.
struct TargetRun
{
    std::string target; ///< The target.
    std::uint64_t token = 0; ///< Token that the request carried.
    std::int64_t beganUs = 0; ///< When it began.
};

/// \brief A key of a service.
struct ServiceKey
{
    std::string service; ///< The service.
    std::string hash; ///< The key's hash, 16 hexadecimal digits.

    [[nodiscard]] friend auto operator<=>(const ServiceKey &, const ServiceKey &) = default;
};

/// \brief Everything that a run left behind.
struct RunRecord
{
    std::map<std::string, CallerRow> calls; ///< By request id.
    std::map<std::string, std::uint64_t> runs; ///< Runs over all targets, by request id.
    std::map<ServiceKey, std::vector<TargetRun>> runsByKey; ///< Over all targets.
    std::vector<TargetHold> holds; ///< Of all targets.
};

/// \brief Contradictions between callers and targets; all lists are empty in a good run.
struct RunFindings
{
    std::vector<std::string> ordersRunTwice; ///< Ids of orders run more than once.
    std::vector<std::string> notRunButRun; ///< Ids told not to have run that ran.
    std::vector<std::string> doneButNotRun; ///< Ids told to be done that no target ran.
    std::vector<std::string> heldTwice; ///< Slices held by two targets at a time.
    std::vector<std::string> ranAtFormerOwner; ///< Runs begun after one with a higher token.
};

/// \brief Reads the ledger of yuccaspan-load.
[[nodiscard]] std::map<std::string, CallerRow> readCallerLedger(const std::string &text);
/// \brief Adds a target's answers to /control/ledger and /control/grants to the record.
/// \returns False if one of them is malformed.
[[nodiscard]] bool addTarget(RunRecord &record, const std::string &ledger,
                             const std::string &grants);
/// \brief Collects the record of a cluster after its load has ended.
[[nodiscard]] Result<RunRecord> collect(Cluster &cluster);
/// \brief Compares.
[[nodiscard]] RunFindings check(const RunRecord &record);

} // namespace yuccaspan::standins
