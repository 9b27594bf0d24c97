/// \file
/// \brief Forwards one classified request to its key's owner: route lookup, admission, exchange,
/// repeats.
#pragma once

#include "http/edge_worker.hpp"
#include "http/request_context.hpp"

#include <boost/asio/awaitable.hpp>

namespace yuccaspan::impl {

/// \brief Names of the headers that yuccaspan adds.
namespace header {
inline constexpr const char *requestId = "Yuccaspan-Request-Id";
inline constexpr const char *service = "Yuccaspan-Service";
inline constexpr const char *keyHash = "Yuccaspan-Key-Hash";
inline constexpr const char *token = "Yuccaspan-Token";
inline constexpr const char *deadline = "Yuccaspan-Deadline-Ms";
inline constexpr const char *refused = "Yuccaspan-Refused";
inline constexpr const char *startId = "Yuccaspan-Start-Id";
inline constexpr const char *outcome = "Yuccaspan-Outcome";
inline constexpr const char *reason = "Yuccaspan-Reason";
} // namespace header

/// \brief Forwards a request, with the repeats that its rule and the budget allow.
/// \param worker Worker that serves the request.
/// \param context The request.
/// \returns The result.
[[nodiscard]] boost::asio::awaitable<AttemptResult> forwardRequest(EdgeWorker &worker,
                                                                   RequestContext &context);

/// \brief Sends a request to a target over one connection and reads its answer.
/// \param worker Worker that serves the request.
/// \param context The request, with its headers set.
/// \param target The target.
/// \returns The result; NotRun only if no byte was sent or the target rejected the request.
[[nodiscard]] boost::asio::awaitable<AttemptResult>
exchange(EdgeWorker &worker, RequestContext &context, const std::shared_ptr<SharedTarget> &target);

/// \brief Removes hop-by-hop headers.
void removeHopHeaders(boost::beast::http::fields &fields);

} // namespace yuccaspan::impl
