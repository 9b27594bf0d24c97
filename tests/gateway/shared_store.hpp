/// \file
/// \brief A store in memory that several instances call, each by a connection of its own.
#pragma once

#include "gateway/platform.hpp"

#include <boost/asio/io_context.hpp>

#include <map>
#include <set>
#include <string>

namespace yuccaspan::gateway {

/// \brief Objects with one revision counter.
struct SharedStore
{
    /// \brief Creates or replaces an object.
    void set(ObjectKind kind, const std::string &name, const std::string &text);
    /// \brief Removes an object. Its last revision stands in the deletion, which comes later.
    void remove(ObjectKind kind, const std::string &name);
    /// \brief Ends the watches that wait, and forgets the changes so far.
    void compact();

    std::map<ObjectKind, std::map<std::string, StoredObject>> objects;
    std::map<ObjectKind, std::map<std::uint64_t, StoredObject>> deletions; ///< By revision.
    std::uint64_t revision = 1;
    std::uint64_t forgotten = 0; ///< Watches from an earlier revision are refused.
    std::uint64_t cuts = 0; ///< Times at which all watches were cut.
};

/// \brief The calls of one instance to a shared store.
class StoreConnection final : public MetadataStore
{
public:
    StoreConnection(asio::io_context &loop, SharedStore &shared)
        : m_loop(loop), m_shared(shared) { }

    asio::awaitable<Result<StoredObjects>> list(ObjectKind kind) override;
    asio::awaitable<Result<StoredObjects>> watch(ObjectKind kind, StoreRevision revision,
                                                 Duration wait, CancelSink onCancel) override;
    asio::awaitable<Result<StoredObject>> get(ObjectKind kind, const std::string &name,
                                              bool maybeOld) override;
    asio::awaitable<WriteResult> put(ObjectKind kind, const std::string &name,
                                     const std::string &text, StoreRevision revision) override;

    bool watchesSilent = false; ///< Watches aren't answered; all other calls are.
    bool cutOff = false; ///< No call is answered.
    std::set<ObjectKind> unanswered; ///< Kinds whose lists and watches aren't answered.
    std::map<ObjectKind, int> lists; ///< Calls by kind.
    Duration longestWait = std::chrono::milliseconds(500); ///< After which a watch is answered.

private:
    asio::awaitable<void> awaitAnswer();

    asio::io_context &m_loop;
    SharedStore &m_shared;
};

} // namespace yuccaspan::gateway
