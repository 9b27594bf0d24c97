#include "gateway/event_log.hpp"

#include <utility>

namespace yuccaspan::gateway {

EventLog::EventLog(std::unique_ptr<DecisionLog> sink, const Clock &clock, std::string instance)
    : m_sink(std::move(sink)), m_clock(clock), m_instance(std::move(instance))
{ }

void EventLog::write(std::string_view part, std::string_view event, nlohmann::json fields)
{
    fields["t"] = std::chrono::duration<double>(m_clock.now().time_since_epoch()).count();
    fields["instance"] = m_instance;
    fields["part"] = part;
    fields["event"] = event;
    const std::uint64_t dropped = m_sink->dropped();
    if (dropped != m_droppedReported) {
        fields["linesDropped"] = dropped - m_droppedReported;
        m_droppedReported = dropped;
    }
    constexpr int compact = -1;
    m_sink->write(part, fields.dump(compact, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace yuccaspan::gateway
