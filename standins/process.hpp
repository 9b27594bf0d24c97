/// \file
/// \brief Starts programs for tests and measurements, and ends only those.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/result.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace yuccaspan::standins {

/// \brief A program that this process started. Killed with this object if it still runs.
class Process
{
public:
    /// \brief Starts a program.
    /// \param arguments Path of the program and its arguments.
    /// \param outputFile Receives standard output; standard error goes to the same name with
    /// ".err".
    [[nodiscard]] static Result<std::unique_ptr<Process>>
    start(const std::vector<std::string> &arguments, std::string outputFile);

    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;
    ~Process();

    /// \name Life
    /// @{
    /// \brief Its process id.
    [[nodiscard]] pid_t pid() const noexcept { return m_pid; }
    /// \brief Sends a signal to it.
    void signal(int number) const;
    /// \brief Stops it by SIGSTOP; returns once it is stopped or has ended.
    void freeze() const;
    /// \brief Lets it run on by SIGCONT.
    void resume() const;
    /// \brief Waits for its end.
    /// \returns The exit code, or 128 plus the signal that ended it; nothing after the timeout.
    [[nodiscard]] std::optional<int> wait(Duration timeout);
    /// @}

    /// \name Measurements
    /// @{
    /// \brief Waits until a number of lines were written to standard output.
    /// \returns The lines, or an error if the program ended before or the time is over.
    [[nodiscard]] Result<std::vector<std::string>> lines(std::size_t count, Duration timeout);
    /// \brief Processor time used so far.
    [[nodiscard]] Duration processorTime() const;
    /// \brief Resident memory, in bytes.
    [[nodiscard]] std::uint64_t residentBytes() const;
    /// @}

private:
    Process(pid_t pid, std::string outputFile);
    [[nodiscard]] bool ended();

    pid_t m_pid;
    std::string m_outputFile;
    std::optional<int> m_exitCode;
};

/// \brief Folder of the running program, where its sisters are.
[[nodiscard]] std::string programFolder();
/// \brief The whole text of a file; empty if it cannot be read.
[[nodiscard]] std::string readFile(const std::string &path);

/// \brief Looks at a condition again and again.
/// \returns Whether it came true before the timeout.
template <typename Condition>
[[nodiscard]] bool waitUntil(Condition condition, Duration timeout);

/// \brief Lets the calling thread sleep.
void pause(Duration duration);

template <typename Condition>
bool waitUntil(Condition condition, Duration timeout)
{
    constexpr Duration interval{20000};
    const SystemClock clock;
    const TimePoint end = clock.now() + timeout;
    while (!condition()) {
        if (clock.now() >= end)
            return false;
        pause(interval);
    }
    return true;
}

} // namespace yuccaspan::standins
