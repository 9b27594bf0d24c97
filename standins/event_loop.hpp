/// \file
/// \brief A single-threaded event loop with timers.
#pragma once

#include "yuccaspan/clock.hpp"

#include <functional>
#include <memory>

namespace yuccaspan::standins {

/// \brief Runs callbacks on the one thread that calls run().
class EventLoop
{
public:
    /// \brief What the loop is made of; known to the HTTP server only.
    struct Context;

    EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;
    ~EventLoop();

    /// \brief Runs callbacks until stop() is called.
    void run();
    /// \brief Makes run() return. May be called from any thread.
    void stop();
    /// \brief Calls back on the loop's thread. May be called from any thread.
    void post(std::function<void()> callback);
    /// \brief Calls back on the loop's thread once the delay has passed.
    void runAfter(Duration delay, std::function<void()> callback);
    /// \brief The current time.
    [[nodiscard]] TimePoint now() const noexcept { return m_clock.now(); }
    /// \brief The loop's parts.
    [[nodiscard]] Context &context() noexcept { return *m_context; }

private:
    SystemClock m_clock;
    std::unique_ptr<Context> m_context;
};

} // namespace yuccaspan::standins
