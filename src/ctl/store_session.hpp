/// \file
/// \brief Blocking calls to the store, for a sequential program.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/store.hpp"

#include <functional>

namespace yuccaspan::impl {

/// \brief Wraps a store with blocking calls.
class StoreSession
{
public:
    /// \brief Sleeps for a duration.
    using Sleep = std::function<void(Duration)>;

    /// \brief Creates a session.
    /// \param store The store; must outlive the session.
    /// \param sleep Waits between attempts.
    StoreSession(Store &store, Sleep sleep) : m_store(store), m_sleep(std::move(sleep)) { }

    /// \name Calls
    /// @{
    /// \brief Reads an object; a missing object has version 0 and no value. Also lists the changes,
    /// since a plain read may be stale, and returns the later of the two versions.
    [[nodiscard]] Result<StoreObject> read(const std::string &path);
    /// \brief Updates an object if its version is as expected.
    [[nodiscard]] Result<ObjectVersion> write(const std::string &path, ObjectVersion expected,
                                              const std::string &value);
    /// \brief Lists all existing objects under a prefix.
    [[nodiscard]] Result<StoreChanges> list(const std::string &prefix);
    /// \brief The platform's list of instances, which may be stale.
    [[nodiscard]] Result<std::vector<ListedInstance>> instances();
    /// \brief Sleeps.
    void sleep(Duration duration) { m_sleep(duration); }
    /// @}

private:
    Store &m_store;
    Sleep m_sleep;
};

} // namespace yuccaspan::impl
