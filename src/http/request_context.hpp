/// \file
/// \brief State of one request in the data path.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/outcome.hpp"

#include "http/classify.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace yuccaspan::impl {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// \brief Result of an attempt to run a request.
struct AttemptResult
{
    Outcome outcome = Outcome::NotRun; ///< Outcome.
    Reason reason = Reason::NoOwner; ///< Reason for the outcome.
    std::optional<HttpResponse> answer; ///< Answer of the target, if one was received.
};

/// \brief A request that is being served.
struct RequestContext
{
    std::shared_ptr<const Settings> settings; ///< Keeps the pointers in the classification valid.
    Classified place; ///< Service, rule and key.
    HttpRequest request; ///< Request as sent to the target.
    std::string requestId; ///< Request id from the caller, or a generated one.
    std::uint64_t ticket = 0; ///< Id used at admission gates.
    TimePoint arrived; ///< Time when the head was read.
    TimePoint deadline; ///< Deadline of the answer.
    bool callerGone = false; ///< Whether the caller disconnected.
    std::function<void()> cancel; ///< Cancels the current wait; empty if there is none.
    std::uint32_t tries = 0; ///< Number of times the request was sent.
};

} // namespace yuccaspan::impl
