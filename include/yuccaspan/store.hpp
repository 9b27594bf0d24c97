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

/// \brief Changed objects and the store revision up to which the changes are known.
struct StoreChanges
{
    std::uint64_t revision = 0; ///< Revision from which a watch can resume.
    bool complete = false; ///< Whether `objects` lists all existing objects, not just changes.
    std::vector<StoreObject> objects; ///< Ordered by version.
};

/// \brief An instance or target in the platform's list. The list is eventually consistent.
struct ListedInstance
{
    std::string id; ///< Name; includes the start id for entry instances.
    std::string role; ///< "entry" or "target".
    ZoneId zone; ///< Availability zone.
    std::string address; ///< "ip:port" at which peers or callers reach it.
    bool leaving = false; ///< Whether it is about to be stopped.

    [[nodiscard]] friend bool operator==(const ListedInstance &, const ListedInstance &) = default;
};

/// \brief Asynchronous client of the platform's store. Callbacks run on the client's thread.
///
/// Error codes: Conflict, NotFound, Unavailable (no effect), UnknownResult (a write may have taken
/// effect or may still do so), LimitExceeded (not sent: rate, queue or value size limit exceeded).
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

    /// \brief Reads one object. The result may be older than the latest write.
    virtual void get(std::string path, Callback<StoreObject> done) = 0;
    /// \brief Writes one object if it has the expected version.
    /// \param path Path of the object.
    /// \param expected The version the object must have; 0 if it must not exist.
    /// \param value The new value.
    /// \param done Receives the new version.
    virtual void put(std::string path, ObjectVersion expected, std::string value,
                     Callback<ObjectVersion> done) = 0;
    /// \brief Waits for changes under a prefix.
    /// \param prefix Prefix of the paths.
    /// \param after Revision to resume from; 0 returns all existing objects immediately.
    /// \param done Receives the changes; the list is empty if the wait timed out.
    virtual void watch(std::string prefix, std::uint64_t after, Callback<StoreChanges> done) = 0;
    /// \brief Reads the platform's list of instances, which is eventually consistent.
    virtual void listInstances(Callback<std::vector<ListedInstance>> done) = 0;
};

} // namespace yuccaspan
