/// \file
/// \brief Conditional update of a cell record, retried until its result is known.
#pragma once

#include "placement/context.hpp"
#include "yuccaspan/cell_record.hpp"

#include <optional>
#include <string>

namespace yuccaspan::impl {

/// \brief How an update ended.
struct WriteOutcome
{
    bool committed = false; ///< Whether this record, not another one, is in force.
    ObjectVersion version; ///< Version in the store; 0 if the update was never done.
    TimePoint sentAt; ///< If committed: the write took effect no earlier than this.
};

/// \brief Writes one record at a time.
///
/// An update whose answer was lost is retried with the same condition. If the first attempt took
/// effect, the retry conflicts, and a read of at least that version shows whose record is in force.
class RecordWriter
{
public:
    /// \brief Whether the result of an update is pending.
    [[nodiscard]] bool isBusy() const noexcept { return m_state != State::Idle; }
    /// \brief The record being written, or null.
    [[nodiscard]] const CellRecord *pending() const noexcept
    {
        return isBusy() ? &m_record : nullptr;
    }
    /// \brief Whether the write id belongs to the current update.
    [[nodiscard]] bool owns(std::uint64_t writeId) const noexcept
    {
        return isBusy() && writeId == m_writeId;
    }
    /// \brief Starts an update.
    /// \param context Receives the action.
    /// \param record The record.
    /// \param text Its encoded form.
    /// \param expected Version of the record it replaces; 0 to create it.
    /// \param now The current time.
    /// \warning Call only if canStart().
    void start(Context &context, CellRecord record, std::string text, ObjectVersion expected,
               TimePoint now);
    /// \brief Handles the result of a write.
    /// \returns The outcome, once it is known.
    [[nodiscard]] std::optional<WriteOutcome>
    onWritten(Context &context, const StoreWrittenEvent &event, TimePoint now);
    /// \brief Handles a record that was read from the store.
    /// \returns The outcome, once it is known.
    [[nodiscard]] std::optional<WriteOutcome> onObserved(const CellRecord &record,
                                                         ObjectVersion version);
    /// \brief Whether an update may be started: none is in progress, and the backoff after a
    /// rejected one has passed.
    [[nodiscard]] bool canStart(TimePoint now) const noexcept
    {
        return !isBusy() && now >= m_retryAt;
    }
    /// \brief Retries writes and reads that are due.
    void tick(Context &context, TimePoint now);

private:
    enum class State {
        Idle,
        InFlight,
        Waiting,
        Reading,
    };

    void send(Context &context, TimePoint now);
    void read(Context &context, TimePoint now);
    [[nodiscard]] Duration nextRetryDelay(Context &context);

    State m_state = State::Idle;
    CellRecord m_record;
    std::string m_text;
    ObjectVersion m_expected;
    std::uint64_t m_writeId = 0;
    TimePoint m_firstSentAt;
    TimePoint m_lastSentAt;
    TimePoint m_retryAt;
    Duration m_retryDelay{};
    bool m_mayTakeEffect = false;
};

} // namespace yuccaspan::impl
