/// \file
/// \brief Kinds of requests that the load generator sends, and their shares.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/result.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace yuccaspan::load {

/// \brief One kind of request.
struct RequestKind
{
    std::string name; ///< Name in the report.
    std::string method = "GET"; ///< HTTP method.
    std::string path; ///< Path; "{key}" is replaced by the key.
    std::string keyHeader; ///< Header that carries the key; empty: none.
    double worth = 1; ///< Weight of one request in the service figure.
    double share = 1; ///< Share of the rate, relative to the other kinds.
    std::size_t bodyBytes = 0; ///< Length of the body.
    Duration deadline{}; ///< Passed on and counted as late past it; 0: none.
    std::vector<std::pair<std::string, std::string>> headers; ///< Further headers.
};

/// \brief All kinds, and the form of keys.
struct RequestMix
{
    std::string keyFormat = "key-{n}"; ///< "{n}" is replaced by the key's number.
    std::vector<RequestKind> kinds; ///< At least one.
};

/// \brief Reads a mix from JSON.
/// \param text `{"keyFormat":s,"kinds":[{"kind","method","path","keyHeader","worth","share",
/// "bodyBytes","deadlineMs","headers":{}}]}`; only "kind" and "path" are required.
[[nodiscard]] Result<RequestMix> parseRequestMix(std::string_view text);

/// \brief Replaces the first occurrence of a mark in a text.
[[nodiscard]] std::string replaceMark(std::string_view text, std::string_view mark,
                                      std::string_view value);

} // namespace yuccaspan::load
