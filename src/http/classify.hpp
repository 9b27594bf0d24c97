/// \file
/// \brief Classifies a request: finds its service, rule and key.
#pragma once

#include "yuccaspan/key_range.hpp"
#include "yuccaspan/outcome.hpp"
#include "yuccaspan/settings.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace yuccaspan::impl {

/// \brief The parts of a request's head that determine its route.
struct RequestHead
{
    std::string_view method; ///< HTTP method.
    std::string_view target; ///< Path and query.
    /// Looks up a header by name, case-insensitively; empty if absent.
    std::function<std::string_view(std::string_view)> header;
};

/// \brief Service, rule and key of a request.
struct Classified
{
    const ServiceSettings *service = nullptr; ///< Valid as long as the settings.
    const RequestRule *rule = nullptr; ///< Valid as long as the settings.
    std::string key; ///< Key of the request.
    KeyHash hash = 0; ///< Hash of the key.
};

/// \brief Classifies a request.
/// \param settings The current settings.
/// \param head The request's head.
/// \returns The classification, or the reason NoRule, KeyMissing or BadRequest.
[[nodiscard]] std::variant<Classified, Reason> classify(const Settings &settings,
                                                        const RequestHead &head);

/// \brief Decodes percent escapes.
/// \param text Part of a path or query string.
/// \returns The decoded text, or nothing if an escape is malformed.
[[nodiscard]] std::optional<std::string> percentDecode(std::string_view text);

} // namespace yuccaspan::impl
