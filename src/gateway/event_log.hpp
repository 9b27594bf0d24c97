/// \file
/// \brief Structured log lines: one JSON object for each decision.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/decision_log.hpp"

#include <nlohmann/json.hpp>

#include <memory>
#include <string_view>

namespace yuccaspan::gateway {

/// \brief Writes events as JSON lines with the time, the instance and the part.
///
/// Lines wait in a bounded ring and are written by a thread of their own; the number of lines that
/// found it full is in the next line that did not.
class EventLog
{
public:
    EventLog(std::unique_ptr<DecisionLog> sink, const Clock &clock, std::string instance);

    /// \brief Writes an event.
    /// \param part Part that decided, as in "placement".
    /// \param event What happened, as in "move".
    /// \param fields What it was decided by.
    void write(std::string_view part, std::string_view event, nlohmann::json fields);
    /// \brief Lines that were dropped.
    [[nodiscard]] std::uint64_t dropped() const noexcept { return m_sink->dropped(); }

private:
    std::unique_ptr<DecisionLog> m_sink;
    const Clock &m_clock;
    std::string m_instance;
    std::uint64_t m_droppedTold = 0;
};

} // namespace yuccaspan::gateway
