/// \file
/// \brief Sends requests at times fixed in advance and collects what became of them.
#pragma once

#include "load/load_report.hpp"
#include "load/request_mix.hpp"

#include "yuccaspan/result.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace yuccaspan::load {

/// \brief Where requests go.
struct Endpoint
{
    std::string address; ///< IP address, numeric.
    std::uint16_t port = 0; ///< TCP port.
};

/// \brief What a run is to do.
struct LoadOptions
{
    std::vector<Endpoint> endpoints; ///< Taken in turn; at least one.
    double rate = 100; ///< Requests a second over all threads.
    double seconds = 10; ///< Length of the run.
    std::uint32_t connections = 64; ///< Most connections to one endpoint, over all threads.
    std::uint32_t threads = 2; ///< Threads that send.
    std::uint32_t keys = 1000; ///< Number of keys.
    double zipf = 0; ///< Zipf exponent; 0 is uniform.
    std::uint64_t seed = 1; ///< Seed of arrivals, kinds and keys.
    double shiftEvery = 0; ///< Other keys become popular after so many seconds; 0: never.
    Duration timeout{5000000}; ///< A request without an answer for so long is given up.
    std::string runId = "load"; ///< First part of every request id.
    bool poisson = true; ///< Poisson arrivals; otherwise equal spacing.
};

/// \brief Receives one line of the ledger for each request, "id result reason kind". Any thread.
using LedgerSink = std::function<void(const std::string &lines)>;

/// \brief Reads "http://ip:port".
[[nodiscard]] Result<Endpoint> parseEndpoint(const std::string &url);

/// \brief Runs the load; returns when every request has ended.
/// \param options What to do.
/// \param mix Kinds of requests; must outlive the report.
/// \param ledger Receives the ledger; may be empty.
[[nodiscard]] LoadReport runLoad(const LoadOptions &options, const RequestMix &mix,
                                 const LedgerSink &ledger);

} // namespace yuccaspan::load
