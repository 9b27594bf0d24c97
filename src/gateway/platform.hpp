/// \file
/// \brief What the gateway needs of the platform that it runs on.
#pragma once

#include "gateway/desired_state.hpp"
#include "gateway/http_types.hpp"
#include "gateway/shard_placer.hpp"
#include "gateway/target_directory.hpp"
#include "gateway/target_gate.hpp"
#include "yuccaspan/result.hpp"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace yuccaspan::gateway {

/// \brief Kinds of object in the store that the gateway reads or writes.
enum class ObjectKind {
    Targets, ///< Entries that targets write of themselves.
    Settings, ///< The desired state, one object.
    Evacuations, ///< Zones that are to receive nothing, one object each.
    Instances, ///< Instances of this system, one object each; ours.
    Leases, ///< Who places; ours.
    ShardMaps, ///< Who owns which keys, one object a service; ours.
};

/// \brief An object of the store.
struct StoredObject
{
    std::string name;
    std::uint64_t revision = 0; ///< Revision of its last change.
    bool deleted = false; ///< Only in changes: the object is gone.
    std::shared_ptr<const nlohmann::json> body; ///< As the store sent it.
    std::string text; ///< What we wrote, for objects of our own kinds.
};

/// \brief Objects, and the revision of the store that they show.
struct StoredObjects
{
    std::vector<StoredObject> objects;
    std::uint64_t revision = 0;
};

/// \brief Receives a function that ends a wait, and an empty one when the wait is over.
using CancelSink = std::function<void(std::function<void()>)>;

/// \brief How a write ended.
enum class WriteEnd {
    Stored, ///< The object was written.
    Conflict, ///< Another revision lies there.
    Unknown, ///< It may have been written, or be written later if its condition still holds.
    Refused, ///< Nothing was done.
};

/// \brief The end of a write.
struct WriteResult
{
    WriteEnd end = WriteEnd::Refused;
    StoredObject object; ///< As it lies in the store, after Stored or Conflict.
};

/// \brief The platform's metadata store. Errors: NotFound; LimitExceeded where history is gone;
/// Unavailable where nothing was done; Timeout.
class MetadataStore
{
public:
    MetadataStore() = default;
    MetadataStore(const MetadataStore &) = delete;
    MetadataStore &operator=(const MetadataStore &) = delete;
    virtual ~MetadataStore() = default;

    /// \brief All objects of a kind.
    virtual asio::awaitable<Result<StoredObjects>> list(ObjectKind kind) = 0;
    /// \brief Changes of a kind after a revision; waits for one.
    /// \param onCancel Receives what ends the wait when invoked.
    virtual asio::awaitable<Result<StoredObjects>> watch(ObjectKind kind, std::uint64_t revision,
                                                         Duration wait, CancelSink onCancel) = 0;
    /// \brief One object.
    /// \param maybeOld Whether an answer that is seconds old will do; it costs less.
    virtual asio::awaitable<Result<StoredObject>> get(ObjectKind kind, const std::string &name,
                                                      bool maybeOld) = 0;
    /// \brief Writes an object of our own.
    /// \param revision Revision that it replaces; 0 to create it.
    virtual asio::awaitable<WriteResult> put(ObjectKind kind, const std::string &name,
                                             const std::string &text, std::uint64_t revision) = 0;
};

/// \brief What a caller says in the head of a request.
struct CallerFacts
{
    std::string requestId;
    std::optional<Duration> deadline; ///< How long the caller will wait.
    std::optional<std::uint32_t> key; ///< Key number.
};

/// \brief What a target says in the head of an answer.
struct AnswerFacts
{
    std::string requestId; ///< Of the request that it answers.
    bool notExecuted = false; ///< The target did not run the request.
    bool misdirected = false; ///< It holds another id or not the key.
    bool signedByTarget = false; ///< It bears the target's signature.
    bool encoded = false; ///< The body is not the one that the target made.
    std::optional<LoadReport> load;
};

/// \brief The protocol towards callers and targets.
class TargetProtocol
{
public:
    TargetProtocol() = default;
    TargetProtocol(const TargetProtocol &) = delete;
    TargetProtocol &operator=(const TargetProtocol &) = delete;
    virtual ~TargetProtocol() = default;

    [[nodiscard]] virtual CallerFacts readCaller(const HttpRequest &request) const = 0;
    /// \brief Sets what a request to a target carries.
    virtual void address(HttpRequest &request, Duration left, const std::string &target) const = 0;
    [[nodiscard]] virtual AnswerFacts readAnswer(const HttpResponse &response) const = 0;
    [[nodiscard]] virtual HttpRequest order(const ShardOrder &order) const = 0;
    [[nodiscard]] virtual std::string handover(const HttpResponse &response) const = 0;
    /// \brief Tells a caller when to come back.
    virtual void retryAfter(HttpResponse &response, Duration pause) const = 0;
};

/// \brief Decodes what others write into the store.
class PlatformCodec
{
public:
    PlatformCodec() = default;
    PlatformCodec(const PlatformCodec &) = delete;
    PlatformCodec &operator=(const PlatformCodec &) = delete;
    virtual ~PlatformCodec() = default;

    /// \brief A target's entry; an error for one that names no target to use.
    [[nodiscard]] virtual Result<TargetEntry> target(const StoredObject &object) const = 0;
    /// \brief The desired state.
    [[nodiscard]] virtual Result<DesiredState> desiredState(const StoredObject &object) const = 0;
};

} // namespace yuccaspan::gateway
