/// \file
/// \brief One conditional update of a cell record, repeated until its result is known.
#pragma once

#include "placement/context.hpp"
#include "yuccaspan/cell_record.hpp"

#include <optional>
#include <string>

namespace yuccaspan::impl {

/// \brief How an update ended.
struct WriteOutcome
{
    bool committed = false; ///< Whether the record is in force; otherwise another one is.
    ObjectVersion version; ///< Version in the store; 0 if the update was never done.
    TimePoint sentAt; ///< With committed: an instant before which it did not take effect.
};

/// \brief Writes one record at a time.
///
/// An update whose answer was lost is repeated with the same condition: if it took effect, the
/// repeat conflicts, and a read of at least that version tells whose record is in force.
class RecordWriter
{
public:
    /// \brief Whether an update is not resolved.
    [[nodiscard]] bool isBusy() const noexcept { return m_state != State::Idle; }
    /// \brief The record being written, or null.
    [[nodiscard]] const CellRecord *pending() const noexcept
    {
        return isBusy() ? &m_record : nullptr;
    }
    /// \brief Whether the write id belongs to the present update.
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
    /// \warning Call only if mayStart().
    void start(Context &context, CellRecord record, std::string text, ObjectVersion expected,
               TimePoint now);
    /// \brief A write ended.
    /// \returns The outcome, once it is known.
    [[nodiscard]] std::optional<WriteOutcome>
    written(Context &context, const StoreWrittenEvent &event, TimePoint now);
    /// \brief The record was seen in the store.
    /// \returns The outcome, once it is known.
    [[nodiscard]] std::optional<WriteOutcome> observed(const CellRecord &record,
                                                       ObjectVersion version);
    /// \brief Whether an update may be started: none is under way, and the store did not just
    /// refuse one.
    [[nodiscard]] bool mayStart(TimePoint now) const noexcept
    {
        return !isBusy() && now >= m_retryAt;
    }
    /// \brief Repeats what is overdue.
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
    [[nodiscard]] Duration nextDelay(Context &context);

    State m_state = State::Idle;
    CellRecord m_record;
    std::string m_text;
    ObjectVersion m_expected;
    std::uint64_t m_writeId = 0;
    TimePoint m_firstSentAt;
    TimePoint m_lastSentAt;
    TimePoint m_retryAt;
    Duration m_delay{};
    bool m_mayTakeEffect = false;
};

} // namespace yuccaspan::impl
