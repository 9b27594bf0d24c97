/// \file
/// \brief Interface to the platform's store. docs/STORE-API.md has the HTTP form.
#pragma once

#include "yuccaspan/ids.hpp"
#include "yuccaspan/result.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace yuccaspan {

/// \brief An object of the store.
struct StoreObject
{
    std::string path; ///< Path of the object.
    ObjectVersion version; ///< Its version; 0 if it was deleted.
    std::string value; ///< Its value.
};

/// \brief Objects that changed, and the revision up to which that is known.
struct StoreChanges
{
    std::uint64_t revision = 0; ///< To resume a watch from.
    bool complete = false; ///< Whether all present objects are listed, not only changes.
    std::vector<StoreObject> objects; ///< In the order of their versions.
};

/// \brief An instance or target in the platform's list, which lags.
struct ListedInstance
{
    std::string id; ///< Name; for entry instances with start id.
    std::string role; ///< "entry" or "target".
    ZoneId zone; ///< Availability zone.
    std::string address; ///< "ip:port" on which peers or callers reach it.
    bool leaving = false; ///< Whether it is about to be stopped.

    [[nodiscard]] friend bool operator==(const ListedInstance &, const ListedInstance &) = default;
};

/// \brief Calls to the platform's store. Asynchronous; callbacks run on the store's thread.
///
/// Error codes: Conflict, NotFound, Unavailable (nothing took effect), UnknownResult (a write may
/// have taken effect or may yet), LimitExceeded (the call budget is used up; nothing was sent).
class Store
{
public:
    /// \brief Receives the result of a call.
    template <typename T>
    using Callback = std::function<void(Result<T>)>;

    Store() = default;
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;
    virtual ~Store() = default;

    /// \brief Reads one object. May lag behind the latest write.
    virtual void get(std::string path, Callback<StoreObject> done) = 0;
    /// \brief Writes one object if it has the expected version.
    /// \param path Path of the object.
    /// \param expected The version it must have; 0: it must be absent.
    /// \param value The new value.
    /// \param done Receives the new version.
    virtual void put(std::string path, ObjectVersion expected, std::string value,
                     Callback<ObjectVersion> done) = 0;
    /// \brief Waits for changes under a prefix.
    /// \param prefix Prefix of the paths.
    /// \param after Revision to resume from; 0 lists all objects at once.
    /// \param done Receives the changes; an empty list when nothing changed for a while.
    virtual void watch(std::string prefix, std::uint64_t after, Callback<StoreChanges> done) = 0;
    /// \brief Reads the platform's list of instances, which lags.
    virtual void listInstances(Callback<std::vector<ListedInstance>> done) = 0;
};

} // namespace yuccaspan
