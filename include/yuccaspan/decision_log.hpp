/// \file
/// \brief The decision log: one line per decision, prefixed with the component that made it.
#pragma once

#include "yuccaspan/result.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace yuccaspan {

/// \brief Format of a log line.
enum class LogForm {
    Text, ///< Time, part and text.
    Json, ///< A JSON object with time, part and text.
    Raw, ///< Text only, on standard output; the text is itself a JSON object.
};

/// \brief Options of the decision log.
struct LogOptions
{
    std::string file; ///< Path of the log; empty logs to the console.
    LogForm form = LogForm::Text; ///< Line format.
    bool routing = true; ///< Whether routing decisions are logged.
    std::size_t ringLines =
        8192; ///< Maximum number of buffered lines; more are dropped and counted.
    std::chrono::milliseconds pollInterval{5}; ///< Interval at which buffered lines are written.
};

/// \brief Writes lines on a dedicated thread, so that callers never block on disk I/O.
class DecisionLog
{
public:
    DecisionLog() = default;
    DecisionLog(const DecisionLog &) = delete;
    DecisionLog &operator=(const DecisionLog &) = delete;
    virtual ~DecisionLog() = default;

    /// \brief Writes a line. Thread-safe.
    /// \param part Component name, such as "placement".
    /// \param text A short sentence.
    virtual void write(std::string_view part, std::string text) noexcept = 0;
    /// \brief Whether routing decisions are written, so that callers can skip formatting them.
    [[nodiscard]] virtual bool wantsRouting() const noexcept = 0;
    /// \brief Lines dropped since the start.
    [[nodiscard]] virtual std::uint64_t dropped() const noexcept = 0;
    /// \brief Lines written since the start.
    [[nodiscard]] virtual std::uint64_t written() const noexcept = 0;
};

/// \brief Creates the log and starts its thread; the destructor flushes buffered lines.
/// \param options Options of the log.
/// \returns The log, or Unavailable if the file cannot be opened.
[[nodiscard]] Result<std::unique_ptr<DecisionLog>> makeDecisionLog(const LogOptions &options);

} // namespace yuccaspan
