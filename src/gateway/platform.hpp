/// \file
/// \brief Interfaces to the platform that the gateway runs on.
#pragma once

#include "gateway/desired_state.hpp"
#include "gateway/http_types.hpp"
#include "gateway/shard_placer.hpp"
#include "gateway/store_revision.hpp"
#include "gateway/target_directory.hpp"
#include "gateway/target_gate.hpp"
#include "gateway/target_signals.hpp"
#include "yuccaspan/enum_names.hpp"
#include "yuccaspan/result.hpp"

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaspan::gateway {

/// \brief Kinds of store objects that the gateway reads or writes.
enum class ObjectKind {
    Targets, ///< Entries that targets write about themselves.
    Settings, ///< The desired state, one object.
    Evacuations, ///< Evacuated zones, one object each.
    Instances, ///< Instances of the gateway, one object each; written by it.
    Leases, ///< The lease of the placer; written by the gateway.
    ShardMaps, ///< Owners of keys, one object per service; written by the gateway.
};

/// \brief A store object.
struct StoredObject
{
    std::string name;
    StoreRevision revision; ///< Of its last change.
    bool deleted = false; ///< Only in changes: the object was deleted.
    std::shared_ptr<const nlohmann::json> body; ///< As received from the store.
    std::string text; ///< The stored text, for kinds that the gateway writes.
};

/// \brief Objects at a revision of the store.
struct StoredObjects
{
    std::vector<StoredObject> objects;
    StoreRevision revision;
    std::size_t unreadable = 0; ///< Objects that were left out because they can't be read.
    bool mayHaveMore = false; ///< Changes only: the store may have cut the answer short.
    /// When the store was known to have nothing newer; nothing if this is its own answer.
    std::optional<TimePoint> knownAt;
};

/// \brief Receives a function that cancels a wait, and an empty one when the wait is over.
using CancelSink = std::function<void(std::function<void()>)>;

/// \brief How a write ended.
enum class WriteEnd {
    Stored, ///< The object was written.
    Conflict, ///< The stored revision differs from the expected one.
    Unknown, ///< The object may have been written, or may be later if its condition still holds.
    Refused, ///< Nothing was written.
};

/// \brief The result of a write.
struct WriteResult
{
    WriteEnd end = WriteEnd::Refused;
    StoredObject object; ///< The stored object, after Stored or Conflict.
};

/// \brief The platform's metadata store. Errors: NotFound; LimitExceeded if the history of
/// changes is no longer available; Unavailable if nothing was done; Timeout.
class MetadataStore
{
public:
    MetadataStore() = default;
    MetadataStore(const MetadataStore &) = delete;
    MetadataStore &operator=(const MetadataStore &) = delete;
    virtual ~MetadataStore() = default;

    /// \brief All objects of a kind.
    virtual asio::awaitable<Result<StoredObjects>> list(ObjectKind kind) = 0;
    /// \brief Changes of a kind after a revision; waits for at least one.
    /// \param onCancel Receives a function that cancels the wait.
    virtual asio::awaitable<Result<StoredObjects>> watch(ObjectKind kind, StoreRevision revision,
                                                         Duration wait, CancelSink onCancel) = 0;
    /// \brief Changes of a kind after a revision, without waiting for one.
    /// \param within Time after which the call is given up; the error is then not NotFound,
    /// LimitExceeded or Unavailable.
    virtual asio::awaitable<Result<StoredObjects>> changes(ObjectKind kind, StoreRevision revision,
                                                           Duration within);
    /// \brief One object.
    /// \param maybeOld Whether a result that is seconds old is acceptable; it costs less.
    virtual asio::awaitable<Result<StoredObject>> get(ObjectKind kind, const std::string &name,
                                                      bool maybeOld) = 0;
    /// \brief Writes an object of a kind that the gateway owns.
    /// \param revision Revision that it replaces; none to create it.
    virtual asio::awaitable<WriteResult> put(ObjectKind kind, const std::string &name,
                                             const std::string &text, StoreRevision revision) = 0;
    /// \brief Number of instances that follow the store itself and ration their calls together.
    /// \param instances Number of known instances.
    [[nodiscard]] virtual std::uint32_t followers(std::uint32_t instances) const
    {
        return instances;
    }
    /// \brief Whether changes come from other instances, which also send missed shard maps.
    [[nodiscard]] virtual bool fromPeers() const { return false; }
};

/// \brief Facts from the headers of a request.
struct CallerFacts
{
    std::string requestId;
    std::optional<Duration> deadline; ///< How long the caller will wait.
    std::optional<std::uint32_t> key; ///< Key number.
    std::string credential; ///< The caller's key of a workspace; empty if it sent none. Secret.
};

/// \brief Facts from the headers of a response.
struct AnswerFacts
{
    std::string requestId; ///< Id of the answered request.
    std::string target; ///< Id of the target that answered; empty if it does not say.
    TargetSignals signals;
    bool notExecuted = false; ///< The target did not run the request.
    bool misdirected = false; ///< The target has another id or does not hold the key.
    bool signedByTarget = false; ///< The response has the target's signature.
    bool encoded = false; ///< The body was encoded after the target created it.
    std::optional<LoadReport> load;
};

/// \brief The protocol with callers and targets.
class TargetProtocol
{
public:
    TargetProtocol() = default;
    TargetProtocol(const TargetProtocol &) = delete;
    TargetProtocol &operator=(const TargetProtocol &) = delete;
    virtual ~TargetProtocol() = default;

    [[nodiscard]] virtual CallerFacts readCaller(const HttpRequest &request) const = 0;
    /// \brief Sets the headers of a request to a target.
    virtual void address(HttpRequest &request, Duration left, const std::string &target) const = 0;
    /// \brief Replaces the caller's credential by the name of its workspace.
    /// \param workspace Empty for a caller without one.
    virtual void identify(HttpRequest &request, std::string_view workspace) const = 0;
    [[nodiscard]] virtual AnswerFacts readAnswer(const HttpResponse &response) const = 0;
    [[nodiscard]] virtual HttpRequest order(const ShardOrder &order) const = 0;
    [[nodiscard]] virtual std::string handover(const HttpResponse &response) const = 0;
    /// \brief Tells a caller when to retry.
    virtual void retryAfter(HttpResponse &response, Duration pause) const = 0;
};

/// \brief Decodes store objects that others write.
class PlatformCodec
{
public:
    PlatformCodec() = default;
    PlatformCodec(const PlatformCodec &) = delete;
    PlatformCodec &operator=(const PlatformCodec &) = delete;
    virtual ~PlatformCodec() = default;

    /// \brief A target's entry, or an error if it describes no usable target.
    [[nodiscard]] virtual Result<TargetEntry> target(const StoredObject &object) const = 0;
    /// \brief The desired state.
    [[nodiscard]] virtual Result<DesiredState> desiredState(const StoredObject &object) const = 0;
};

} // namespace yuccaspan::gateway

/// \brief Names of the kinds in logs and metrics.
template <>
struct yuccaspan::EnumNames<yuccaspan::gateway::ObjectKind>
{
    static constexpr std::array<EnumName<gateway::ObjectKind>, 6> table{{
        {gateway::ObjectKind::Targets, "targets"},
        {gateway::ObjectKind::Settings, "settings"},
        {gateway::ObjectKind::Evacuations, "evacuations"},
        {gateway::ObjectKind::Instances, "instances"},
        {gateway::ObjectKind::Leases, "leases"},
        {gateway::ObjectKind::ShardMaps, "shard-maps"},
    }};
};
