/// \file
/// \brief One HTTP call that waits for its answer, for tests and measurements.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/result.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace yuccaspan::standins {

/// \brief A call.
struct FetchCall
{
    std::string address; ///< "ip:port".
    std::string method = "GET"; ///< HTTP method.
    std::string path; ///< Path with query.
    std::string body; ///< Body; may be empty.
    std::vector<std::pair<std::string, std::string>> headers; ///< Further headers.
    Duration timeout{5000000}; ///< For the whole call.
};

/// \brief Its answer.
struct Fetched
{
    unsigned status = 0; ///< HTTP status.
    std::string body; ///< Body.
    std::map<std::string, std::string> headers; ///< By name in lower case.
};

/// \brief Makes a call on a connection of its own.
[[nodiscard]] Result<Fetched> fetch(const FetchCall &call);

} // namespace yuccaspan::standins
