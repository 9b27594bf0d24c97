/// \file
/// \brief Asks for one key over and over and notes when it was served.
#pragma once

#include "http_fetch.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace yuccaspan::bench {

/// \brief A thread that asks one instance for one key until it is stopped.
class Prober
{
public:
    using Instant = std::chrono::steady_clock::time_point;

    /// \brief Starts asking.
    /// \param address The instance.
    /// \param path Path of an idempotent request for the key.
    Prober(std::string address, std::string path)
        : m_address(std::move(address)), m_path(std::move(path)), m_thread([this] { run(); })
    { }
    Prober(const Prober &) = delete;
    Prober &operator=(const Prober &) = delete;
    ~Prober() { stop(); }

    /// \brief Stops asking.
    void stop()
    {
        m_stopping = true;
        if (m_thread.joinable())
            m_thread.join();
    }

    /// \brief Longest time between two served requests after an instant, in milliseconds.
    /// \warning Call after stop().
    [[nodiscard]] double longestGapMs(Instant since) const
    {
        double longest = 0;
        for (std::size_t index = 1; index < m_served.size(); ++index) {
            if (m_served[index] < since)
                continue;
            const std::chrono::duration<double, std::milli> gap =
                m_served[index] - m_served[index - 1];
            longest = std::max(longest, gap.count());
        }
        return longest;
    }

    /// \brief Whether the key was served after an instant.
    [[nodiscard]] bool servedAfter(Instant since) const
    {
        return !m_served.empty() && m_served.back() > since;
    }

private:
    void run()
    {
        while (!m_stopping) {
            const auto answer = standins::fetch({m_address, "GET", m_path, {}, {}});
            const bool done = answer && answer->headers.contains("yuccaspan-outcome")
                && answer->headers.at("yuccaspan-outcome") == "done";
            if (done)
                m_served.push_back(std::chrono::steady_clock::now());
            else
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

    const std::string m_address;
    const std::string m_path;
    std::atomic<bool> m_stopping{false};
    std::vector<Instant> m_served;
    std::thread m_thread;
};

} // namespace yuccaspan::bench
