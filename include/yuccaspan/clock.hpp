/// \file
/// \brief The runtime's clock, which tests can pause and advance.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

namespace yuccaspan {

/// \brief A span of time in microseconds.
using Duration = std::chrono::microseconds;

/// \brief Clock type of the runtime's monotonic time. Its epoch differs between processes.
struct RuntimeClock
{
    using duration = Duration;
    using rep = Duration::rep;
    using period = Duration::period;
    using time_point = std::chrono::time_point<RuntimeClock, Duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): required name
};

/// \brief A point in the runtime's monotonic time.
using TimePoint = RuntimeClock::time_point;

/// \brief Source of the current time.
/// Decision code never reads a clock; each event carries the current time.
class Clock
{
public:
    Clock() = default;
    Clock(const Clock &) = delete;
    Clock &operator=(const Clock &) = delete;
    virtual ~Clock() = default;

    /// \brief The current time.
    [[nodiscard]] virtual TimePoint now() const noexcept = 0;
};

/// \brief The system's monotonic clock, which keeps running while the process is stopped.
class SystemClock final : public Clock
{
public:
    [[nodiscard]] TimePoint now() const noexcept override
    {
        const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
        return TimePoint(std::chrono::duration_cast<Duration>(sinceStart));
    }
};

/// \brief A clock that only moves when advanced explicitly. Thread-safe.
class ManualClock final : public Clock
{
public:
    /// \brief Starts at the given time.
    explicit ManualClock(TimePoint start = TimePoint(std::chrono::seconds(1))) noexcept
        : m_now(start.time_since_epoch().count())
    { }
    [[nodiscard]] TimePoint now() const noexcept override
    {
        return TimePoint(Duration(m_now.load(std::memory_order_acquire)));
    }
    /// \brief Moves the clock forward.
    /// \param step How far, not negative.
    void advance(Duration step) noexcept
    {
        m_now.fetch_add(step.count(), std::memory_order_acq_rel);
    }

private:
    std::atomic<Duration::rep> m_now;
};

} // namespace yuccaspan
