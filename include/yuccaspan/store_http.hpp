/// \file
/// \brief The store over HTTP, as docs/STORE-API.md describes it.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/store.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace yuccaspan {

/// \brief Calls that one instance may make in a second. Each kind has its own token bucket.
struct StoreBudget
{
    double readsPerSecond = 100; ///< Reads of objects and of the list of instances.
    double writesPerSecond = 50; ///< Conditional updates.
    double watchesPerSecond = 20; ///< Watches; one that waits counts once.
    double burstSeconds = 2; ///< Seconds' worth of calls that may be made at once.
};

/// \brief Counts of calls since the start.
struct StoreCounters
{
    std::uint64_t reads = 0; ///< Reads of objects sent.
    std::uint64_t writes = 0; ///< Conditional updates sent.
    std::uint64_t watches = 0; ///< Watches sent.
    std::uint64_t lists = 0; ///< Reads of the list of instances sent.
    std::uint64_t conflicts = 0; ///< Updates that found another version.
    std::uint64_t unavailable = 0; ///< Calls that failed and took no effect.
    std::uint64_t unknownResults = 0; ///< Updates without an answer.
    std::uint64_t limited = 0; ///< Calls that were not sent, for the budget or a full queue.
    std::uint64_t connects = 0; ///< Connections opened.

    [[nodiscard]] friend bool operator==(const StoreCounters &, const StoreCounters &) = default;
};

/// \brief Where the store is and how it is used.
struct StoreOptions
{
    std::string address; ///< IP address, numeric.
    std::uint16_t port = 0; ///< TCP port.
    std::string instance; ///< Sent as X-Instance.
    Duration callTimeout = std::chrono::seconds(2); ///< Longest wait for an answer.
    Duration watchWait = std::chrono::seconds(10); ///< How long the store may hold a watch.
    Duration retryInitial = std::chrono::milliseconds(100); ///< First bound of follow()'s back-off.
    Duration retryLimit = std::chrono::seconds(5); ///< Highest bound of follow()'s back-off.
    std::uint32_t connections = 4; ///< Connections for reads and writes.
    std::uint32_t queueLimit = 1024; ///< Calls under way or waiting, watches included.
    StoreBudget budget; ///< Calls in a second.
    std::uint64_t seed = 0; ///< Seed of the back-off.
};

/// \brief A Store over HTTP. Runs a thread of its own, on which all callbacks run.
class HttpStore : public Store
{
public:
    /// \brief Receives what follow() has seen.
    using Follower = std::function<void(Result<StoreChanges>)>;

    /// \brief Watches a prefix until stop(), resuming after failures with back-off.
    /// \param prefix Prefix of the paths.
    /// \param follower Receives each answer with objects, and each failure.
    virtual void follow(std::string prefix, Follower follower) = 0;
    /// \brief The counts of calls. May be read from any thread.
    [[nodiscard]] virtual StoreCounters counters() const noexcept = 0;
    /// \brief Ends all calls with Unavailable or UnknownResult and joins the thread.
    /// \warning Not from a callback, which runs on that thread.
    virtual void stop() = 0;
};

/// \brief Creates the client and starts its thread.
/// \param options Where the store is and how it is used.
/// \param clock Paces the call budget; must outlive the client.
/// \returns The client, or InvalidArgument.
[[nodiscard]] Result<std::unique_ptr<HttpStore>> makeHttpStore(StoreOptions options,
                                                               const Clock &clock);

/// \brief An IP address and a TCP port.
struct HostPort
{
    std::string address; ///< IP address, numeric.
    std::uint16_t port = 0; ///< TCP port.

    [[nodiscard]] friend bool operator==(const HostPort &, const HostPort &) = default;
};

/// \brief Reads "http://address:port" or "address:port"; an IPv6 address stands in brackets.
/// \returns The parts, or InvalidArgument.
[[nodiscard]] Result<HostPort> parseHostPort(std::string_view text);

} // namespace yuccaspan
