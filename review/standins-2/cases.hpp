/// \file
/// \brief The scripted cases.
#pragma once

#include "lab.hpp"

#include <string>

namespace yuccaspan::review {

/// \brief What a case is started with.
struct CaseOptions
{
    std::string program; ///< Path of yuccaspan-gateway.
    std::string folder; ///< Temporary folder for settings and logs.
    bool trouble = true; ///< False: the same without the disruption.
};

/// \brief Case 6: a second copy of an earlier answer passes for the answer to a grant.
[[nodiscard]] Verdict falseGrantAnswer(const CaseOptions &options, Record &record);

/// \brief Case 7: answers to HEAD requests.
[[nodiscard]] Verdict headRequests(const CaseOptions &options, Record &record);

/// \brief Case 8: a grant that the next life of a target, of which the store doesn't tell yet,
/// leaves unanswered.
[[nodiscard]] Verdict rebornGrant(const CaseOptions &options, Record &record);

/// \brief Case 9: a target comes back cold while the store is away.
[[nodiscard]] Verdict coldReturn(const CaseOptions &options, Record &record);

} // namespace yuccaspan::review
