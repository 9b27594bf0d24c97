/// \file
/// \brief Revisions of the platform's store.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <compare>
#include <cstdint>

namespace yuccaspan::gateway {

/// \brief A revision of the store in one of its eras.
///
/// The number counts changes. A store that was restored from a copy goes back to the copy's number
/// and gives the later ones out again, in a higher era; so a number alone identifies no state. Has
/// no conversion from a number, so that numbers of two eras can't be compared by mistake.
struct StoreRevision
{
    std::uint64_t era = 0; ///< Rises each time the store comes back from a copy.
    std::uint64_t number = 0; ///< Revision within the era; 0: none.

    /// \brief Whether there is a revision.
    [[nodiscard]] constexpr bool known() const noexcept { return number != 0; }
    /// \brief Orders by era first.
    [[nodiscard]] friend constexpr auto operator<=>(const StoreRevision &,
                                                    const StoreRevision &) = default;
};

/// \brief Converts a revision to JSON.
[[nodiscard]] nlohmann::json revisionJson(const StoreRevision &revision);
/// \brief Reads a revision; throws nlohmann::json::exception if it is malformed.
[[nodiscard]] StoreRevision revisionOf(const nlohmann::json &value);

} // namespace yuccaspan::gateway
