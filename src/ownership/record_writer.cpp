#include "ownership/record_writer.hpp"

#include <algorithm>
#include <utility>

namespace yuccaspan::impl {

namespace {
constexpr Duration minRetryDelay = std::chrono::milliseconds(50);
constexpr Duration maxRetryDelay = std::chrono::seconds(2);
/// The result of a write is treated as unknown if no StoreWrittenEvent arrives within this time.
constexpr Duration writeTimeout = std::chrono::seconds(5);
} // namespace

void RecordWriter::start(Context &context, CellRecord record, std::string text,
                         ObjectVersion expected, TimePoint now)
{
    m_record = std::move(record);
    m_text = std::move(text);
    m_expected = expected;
    m_firstSentAt = now;
    m_retryDelay = std::max(m_retryDelay, minRetryDelay);
    m_mayTakeEffect = false;
    send(context, now);
}

std::optional<WriteOutcome> RecordWriter::onWritten(Context &context,
                                                    const StoreWrittenEvent &event, TimePoint now)
{
    if (!owns(event.writeId))
        return std::nullopt;
    switch (event.result) {
    case WriteResult::Committed:
        m_state = State::Idle;
        m_retryDelay = Duration::zero();
        return WriteOutcome{true, event.version, m_lastSentAt};
    case WriteResult::Conflict:
        m_state = State::Reading;
        m_retryDelay = minRetryDelay;
        read(context, now);
        break;
    case WriteResult::Unknown:
        m_mayTakeEffect = true;
        m_state = State::Waiting;
        m_retryAt = now + nextRetryDelay(context);
        break;
    case WriteResult::NotDone:
        m_state = m_mayTakeEffect ? State::Waiting : State::Idle;
        m_retryAt = now + nextRetryDelay(context);
        if (!isBusy())
            return WriteOutcome{};
        break;
    }
    return std::nullopt;
}

std::optional<WriteOutcome> RecordWriter::onObserved(const CellRecord &record,
                                                     ObjectVersion version)
{
    if (!isBusy() || version <= m_expected)
        return std::nullopt;
    m_state = State::Idle;
    m_retryDelay = Duration::zero();
    return WriteOutcome{record == m_record, version, m_firstSentAt};
}

void RecordWriter::tick(Context &context, TimePoint now)
{
    if (m_state == State::InFlight && now - m_lastSentAt >= writeTimeout) {
        m_mayTakeEffect = true;
        m_state = State::Waiting;
        m_retryAt = now;
    }
    if (now < m_retryAt)
        return;
    if (m_state == State::Waiting)
        send(context, now);
    else if (m_state == State::Reading)
        read(context, now);
}

void RecordWriter::send(Context &context, TimePoint now)
{
    m_state = State::InFlight;
    m_writeId = context.nextId();
    m_lastSentAt = now;
    context.actions.push_back(WriteAction{m_writeId, m_record.cell.path(), m_expected, m_text});
}

void RecordWriter::read(Context &context, TimePoint now)
{
    context.actions.push_back(ReadAction{context.nextId(), m_record.cell.path()});
    m_retryAt = now + nextRetryDelay(context);
}

Duration RecordWriter::nextRetryDelay(Context &context)
{
    const Duration base = m_retryDelay;
    m_retryDelay = std::min(2 * m_retryDelay, maxRetryDelay);
    std::uniform_int_distribution<Duration::rep> jitter(0, base.count());
    return base + Duration(jitter(context.random));
}

} // namespace yuccaspan::impl
