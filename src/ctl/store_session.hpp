/// \file
/// \brief Waiting calls to the store, for a program that does one thing at a time.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/store.hpp"

#include <functional>

namespace yuccaspan::impl {

/// \brief The store with calls that wait for their result.
class StoreSession
{
public:
    /// \brief Waits for a span of time.
    using Sleep = std::function<void(Duration)>;

    /// \brief Creates a session.
    /// \param store The store; must outlive the session.
    /// \param sleep Waits between attempts.
    StoreSession(Store &store, Sleep sleep) : m_store(store), m_sleep(std::move(sleep)) { }

    /// \name Calls
    /// @{
    /// \brief Reads an object; one that does not exist has version 0 and no value. Also asks for
    /// the list of changes, since a plain read may lag, and returns the later version of the two.
    [[nodiscard]] Result<StoreObject> read(const std::string &path);
    /// \brief Updates an object if it has the expected version.
    [[nodiscard]] Result<ObjectVersion> write(const std::string &path, ObjectVersion expected,
                                              const std::string &value);
    /// \brief All present objects under a prefix.
    [[nodiscard]] Result<StoreChanges> list(const std::string &prefix);
    /// \brief The platform's list of instances, which lags.
    [[nodiscard]] Result<std::vector<ListedInstance>> instances();
    /// \brief Waits.
    void sleep(Duration duration) { m_sleep(duration); }
    /// @}

private:
    Store &m_store;
    Sleep m_sleep;
};

} // namespace yuccaspan::impl
