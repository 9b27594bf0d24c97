/// \file
/// \brief The endpoints of the administration API.
#pragma once

#include "yuccaspan/admin.hpp"

#include <span>
#include <string>
#include <string_view>

namespace yuccaspan::impl {

/// \brief A request to the administration API.
struct AdminRequest
{
    std::string method; ///< HTTP method.
    std::string target; ///< Path and query, percent-encoded.
    std::string body; ///< Body.
};

/// \brief An answer of the administration API.
struct AdminAnswer
{
    unsigned status = 200; ///< Status code.
    std::string contentType = "application/json"; ///< Media type of the body.
    std::string body; ///< Body.
    std::string allow; ///< With status 405: the allowed methods.
};

/// \brief One endpoint.
struct AdminEndpoint
{
    std::string_view method; ///< HTTP method.
    std::string_view path; ///< Path without query.
    AdminAnswer (*serve)(AdminSource &source, const AdminRequest &request); ///< Answers a request.
};

/// \brief All endpoints.
[[nodiscard]] std::span<const AdminEndpoint> adminEndpoints() noexcept;

/// \brief Dispatches a request to its endpoint.
[[nodiscard]] AdminAnswer answerAdmin(AdminSource &source, const AdminRequest &request);

/// \brief The decoded value of a query parameter; empty if it is missing.
[[nodiscard]] std::string queryValue(std::string_view target, std::string_view name);

} // namespace yuccaspan::impl
