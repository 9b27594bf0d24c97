/// \file
/// \brief What a routing policy is told by the simulated world and what it may do in it.
#pragma once

#include "common/random.hpp"
#include "fake_target.hpp"
#include "shape.hpp"

#include "yuccaspan/admission.hpp"
#include "yuccaspan/key_range.hpp"
#include "yuccaspan/outcome.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace yuccaspan::bench {

/// \brief A request on its way.
struct SimRequest
{
    std::uint32_t key = 0; ///< Which key.
    KeyHash hash = 0; ///< Its hash.
    std::uint16_t kind = 0; ///< Index of its kind.
    std::uint16_t entry = 0; ///< Instance that took it.
    TimePoint arrived; ///< When the caller sent it.
    TimePoint deadline; ///< When its answer is due at the instance.
    TimePoint sentAt; ///< When its last attempt was sent.
    std::uint32_t attempt = 0; ///< Counts attempts.
    std::uint32_t target = 0; ///< Target of the last attempt.
    bool live = false; ///< Whether it is unanswered.
    bool underWay = false; ///< Whether an attempt is at a target.
    std::uint16_t runs = 0; ///< Times that it began to run.
    bool newConnection = false; ///< Whether the attempt opens a connection.
    bool mayHaveRun = false; ///< Whether an earlier attempt ended without an answer.
    bool counted = true; ///< Whether it counts: its instance was not frozen.
};

/// \brief An entry instance.
struct SimEntry
{
    InstanceId id; ///< Its name.
    std::uint32_t zone = 0; ///< Index of its zone.
    bool frozen = false; ///< Whether its process is stopped.
    bool removed = false; ///< Whether the platform's balancer sends it nothing.
    std::vector<std::uint64_t> backlog; ///< What arrived while it was frozen.
    std::vector<std::pair<std::uint64_t, std::uint64_t>> replies; ///< Answers, the same.
};

/// \brief What the world offers a policy.
class PolicyHost
{
public:
    PolicyHost() = default;
    PolicyHost(const PolicyHost &) = delete;
    PolicyHost &operator=(const PolicyHost &) = delete;
    virtual ~PolicyHost() = default;

    /// \name Look-up
    /// @{
    [[nodiscard]] virtual TimePoint now() const noexcept = 0;
    [[nodiscard]] virtual const Shape &shape() const noexcept = 0;
    [[nodiscard]] virtual SimRequest &request(std::uint64_t id) = 0;
    [[nodiscard]] virtual const std::vector<FakeTarget> &targets() const noexcept = 0;
    [[nodiscard]] virtual const std::vector<SimEntry> &entries() const noexcept = 0;
    [[nodiscard]] virtual const std::vector<bool> &zonesOut() const noexcept = 0;
    [[nodiscard]] virtual bool reachable(std::uint32_t zone,
                                         std::uint32_t other) const noexcept = 0;
    [[nodiscard]] virtual Duration link(std::uint32_t zone, std::uint32_t other) const noexcept = 0;
    [[nodiscard]] virtual Random &random() = 0;
    /// @}

    /// \name Actions
    /// @{
    /// \brief Sends a request to a target.
    virtual void send(std::uint64_t id, std::uint32_t target, bool newConnection) = 0;
    /// \brief Answers the caller.
    virtual void complete(std::uint64_t id, Outcome outcome) = 0;
    /// \brief Grants a restarted target its slices again.
    virtual void grantTarget(std::uint32_t target) = 0;
    /// \brief Has RoutingPolicy::wake called.
    virtual void callPolicyAt(TimePoint at, std::uint64_t tag) = 0;
    /// \brief Records a change of owner.
    virtual void noteMove(KeyRange range, bool planned, Duration closed) = 0;
    /// @}
};

/// \brief A way to route requests.
class RoutingPolicy
{
public:
    RoutingPolicy() = default;
    RoutingPolicy(const RoutingPolicy &) = delete;
    RoutingPolicy &operator=(const RoutingPolicy &) = delete;
    virtual ~RoutingPolicy() = default;

    /// \brief The run begins.
    virtual void begin(PolicyHost &host) = 0;
    /// \brief A request arrived at its instance.
    virtual void arrived(std::uint64_t id) = 0;
    /// \brief An attempt ended.
    virtual void replied(std::uint64_t id, FinishKind kind, bool mayHaveRun) = 0;
    /// \brief A request's deadline passed.
    virtual void expired(std::uint64_t id) = 0;
    /// \brief A target answered an instance's probe.
    virtual void probed(std::uint32_t entry, std::uint32_t target, Duration latency) = 0;
    /// \brief A time asked for by callPolicyAt has come.
    virtual void wake(std::uint64_t tag) = 0;
    /// \brief Time passes; called every tickInterval for each instance that is not frozen.
    virtual void tick(std::uint32_t entry) = 0;
    /// \brief All connections between instances and targets were closed.
    virtual void connectionsClosed() = 0;
    /// \brief The target that owns a hash, if one does.
    [[nodiscard]] virtual std::optional<std::uint32_t> ownerOf(KeyHash hash) const = 0;
};

/// \brief Span between two calls of RoutingPolicy::tick.
inline constexpr Duration tickInterval = std::chrono::milliseconds(5);

} // namespace yuccaspan::bench
