/// \file
/// \brief The log of decisions: one line each, with the prefix of the part that decided.
#pragma once

#include "yuccaspan/result.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace yuccaspan {

/// \brief Form of a log line.
enum class LogForm {
    Text, ///< Time, part and text.
    Json, ///< A JSON object with time, part and text.
    Raw, ///< The text alone, on standard output; it is a JSON object of its own.
};

/// \brief How the log is written.
struct LogOptions
{
    std::string file; ///< Path of the log; empty for the console.
    LogForm form = LogForm::Text; ///< Form of a line.
    bool routing = true; ///< Whether routing decisions are written.
    std::size_t ringLines = 8192; ///< Lines that may wait; further ones are dropped and counted.
    std::chrono::milliseconds pollInterval{5}; ///< Between two looks at the lines that wait.
};

/// \brief Writes lines on a thread of its own. Callers never wait for the disk.
class DecisionLog
{
public:
    DecisionLog() = default;
    DecisionLog(const DecisionLog &) = delete;
    DecisionLog &operator=(const DecisionLog &) = delete;
    virtual ~DecisionLog() = default;

    /// \brief Writes a line. Safe to call from any thread.
    /// \param part Prefix of the part, as in "placement".
    /// \param text A short sentence.
    virtual void write(std::string_view part, std::string text) noexcept = 0;
    /// \brief Whether routing decisions are written, so that callers can spare composing them.
    [[nodiscard]] virtual bool wantsRouting() const noexcept = 0;
    /// \brief Lines dropped since the start.
    [[nodiscard]] virtual std::uint64_t dropped() const noexcept = 0;
    /// \brief Lines written since the start.
    [[nodiscard]] virtual std::uint64_t written() const noexcept = 0;
};

/// \brief Creates the log and starts its thread; the destructor writes what waits.
/// \param options How the log is written.
/// \returns The log, or Unavailable if the file cannot be opened.
[[nodiscard]] Result<std::unique_ptr<DecisionLog>> makeDecisionLog(const LogOptions &options);

} // namespace yuccaspan
