/// \file
/// \brief Structured log: one JSON object per decision.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/decision_log.hpp"

#include <nlohmann/json.hpp>

#include <memory>
#include <string_view>

namespace yuccaspan::gateway {

/// \brief Writes events as JSON lines with the time, the instance and the part.
///
/// Lines are queued in a bounded ring buffer and written by a separate thread. Lines are dropped
/// while the buffer is full; the next queued line contains their number.
class EventLog
{
public:
    EventLog(std::unique_ptr<DecisionLog> sink, const Clock &clock, std::string instance);

    /// \brief Writes an event.
    /// \param part Component that decided, such as "placement".
    /// \param event What happened, such as "move".
    /// \param fields Inputs of the decision.
    void write(std::string_view part, std::string_view event, nlohmann::json fields);
    /// \brief Number of dropped lines.
    [[nodiscard]] std::uint64_t dropped() const noexcept { return m_sink->dropped(); }

private:
    std::unique_ptr<DecisionLog> m_sink;
    const Clock &m_clock;
    std::string m_instance;
    std::uint64_t m_droppedReported = 0;
};

} // namespace yuccaspan::gateway
