/// \file
/// \brief Objects with versions, conditional updates and changes. Does no input or output.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/store.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace yuccaspan::standins {

/// \brief Longest value, in bytes.
inline constexpr std::size_t maxValueBytes = 1000000;

/// \brief The present version after a write, and whether it was done.
struct WriteOutcome
{
    bool done = false; ///< False if the object has another version than expected.
    ObjectVersion version; ///< The object's version now; 0: absent.
};

/// \brief The store's objects and their recent past.
class ObjectStore
{
public:
    /// \name Objects
    /// @{
    /// \brief Writes an object if it has the expected version.
    /// \param path Its path.
    /// \param expected Version it must have; 0: absent.
    /// \param value The new value, or nothing to delete it.
    /// \param now The current time.
    [[nodiscard]] WriteOutcome write(const std::string &path, ObjectVersion expected,
                                     std::optional<std::string> value, TimePoint now);
    /// \brief Reads an object as it was at a time.
    /// \returns The object, or nothing if it was absent.
    [[nodiscard]] std::optional<StoreObject> read(const std::string &path, TimePoint asOf) const;
    /// @}

    /// \name Changes
    /// @{
    /// \brief Objects under a prefix that changed after a revision.
    /// \param prefix Prefix of the paths.
    /// \param after 0 or a revision that is too old or not of this store lists all objects.
    [[nodiscard]] StoreChanges changes(const std::string &prefix, std::uint64_t after) const;
    /// \brief The latest revision.
    [[nodiscard]] std::uint64_t revision() const noexcept { return m_revision; }
    /// @}

private:
    struct State
    {
        TimePoint at;
        ObjectVersion version; ///< Version of the change.
        std::optional<std::string> value; ///< Nothing if it was deleted.
    };
    using Past = std::deque<State>;

    void trim(Past &past, TimePoint now) const;
    void forgetDeleted();

    std::map<std::string, Past> m_objects; ///< The last state of each is the present one.
    std::map<std::uint64_t, std::string> m_latestChange; ///< Path by version of its last change.
    std::deque<std::uint64_t> m_deletions; ///< Versions of deletions, oldest first.
    std::uint64_t m_revision = 0;
    std::uint64_t m_oldestRevision = 0; ///< Changes before it are forgotten.
};

} // namespace yuccaspan::standins
