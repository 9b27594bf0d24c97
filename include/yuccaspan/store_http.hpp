/// \file
/// \brief HTTP client of the store. docs/STORE-API.md describes the protocol.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/store.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace yuccaspan {

/// \brief Rate limits on the calls of one instance. Each kind of call has its own token bucket.
struct StoreBudget
{
    double readsPerSecond = 100; ///< Reads of objects and of the list of instances.
    double writesPerSecond = 50; ///< Conditional updates.
    double watchesPerSecond = 20; ///< Watches; a long-polling watch counts once.
    double burstSeconds = 2; ///< Burst size, in seconds of the sustained rate.
};

/// \brief Call counters since the client was started.
struct StoreCounters
{
    std::uint64_t reads = 0; ///< Reads of objects sent.
    std::uint64_t writes = 0; ///< Conditional updates sent.
    std::uint64_t watches = 0; ///< Watches sent.
    std::uint64_t lists = 0; ///< Reads of the list of instances sent.
    std::uint64_t conflicts = 0; ///< Updates rejected because the version did not match.
    std::uint64_t unavailable = 0; ///< Calls that failed without effect.
    std::uint64_t unknownResults = 0; ///< Updates that may or may not have taken effect.
    std::uint64_t limited = 0; ///< Calls not sent because of the rate limit or a full queue.
    std::uint64_t connects = 0; ///< Connections opened.

    [[nodiscard]] friend bool operator==(const StoreCounters &, const StoreCounters &) = default;
};

/// \brief Address of the store and options of the client.
struct StoreOptions
{
    std::string address; ///< IP address, numeric.
    std::uint16_t port = 0; ///< TCP port.
    std::string instance; ///< Instance id, sent in the X-Instance header.
    Duration callTimeout = std::chrono::seconds(2); ///< Timeout of a read or write.
    Duration watchWait = std::chrono::seconds(10); ///< Longest time a watch may stay open.
    Duration retryInitial = std::chrono::milliseconds(100); ///< First bound of follow()'s backoff.
    Duration retryLimit = std::chrono::seconds(5); ///< Upper bound of follow()'s backoff.
    std::uint32_t connections = 4; ///< Connections for reads and writes.
    std::uint32_t queueLimit = 1024; ///< Maximum of calls in flight or queued, including watches.
    StoreBudget budget; ///< Rate limits.
    std::uint64_t seed = 0; ///< Seed of the backoff's jitter.
};

/// \brief A Store that is reached over HTTP. All callbacks run on the client's own thread.
class HttpStore : public Store
{
public:
    /// \brief Receives the changes and errors seen by follow().
    using Follower = std::function<void(Result<StoreChanges>)>;

    /// \brief Watches a prefix until stop(). Retries with backoff after failures.
    /// \param prefix Prefix of the paths.
    /// \param follower Called for each complete listing, each set of changes and each failure.
    virtual void follow(std::string prefix, Follower follower) = 0;
    /// \brief The call counters. Thread-safe.
    [[nodiscard]] virtual StoreCounters counters() const noexcept = 0;
    /// \brief Fails all pending calls with Unavailable or UnknownResult and joins the thread.
    /// \warning Must not be called from a callback, which runs on that thread.
    virtual void stop() = 0;
};

/// \brief Creates the client and starts its thread.
/// \param options Address of the store and options of the client.
/// \param clock Clock of the rate limits; must outlive the client.
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

/// \brief Parses "http://address:port" or "address:port"; IPv6 addresses are in brackets.
/// \returns The address and port, or InvalidArgument.
[[nodiscard]] Result<HostPort> parseHostPort(std::string_view text);

} // namespace yuccaspan
