/// \file
/// \brief Outcome of a request and its reason.
#pragma once

#include "yuccaspan/enum_names.hpp"

namespace yuccaspan {

/// \brief Outcome of a request. Sent to the caller in the header `Yuccaspan-Outcome`.
enum class Outcome {
    Done, ///< The target answered; the answer is complete.
    NotRun, ///< The request was not run and can be retried safely.
    Unknown, ///< The request may have run. Repeated only if its rule allows it.
};

template <>
struct EnumNames<Outcome>
{
    static constexpr std::array<EnumName<Outcome>, 3> table{{
        {Outcome::Done, "done"},
        {Outcome::NotRun, "not-run"},
        {Outcome::Unknown, "unknown"},
    }};
};

/// \brief Reason for the outcome of a request. Sent in the header `Yuccaspan-Reason`.
enum class Reason {
    Answered, ///< The target answered.
    NoRule, ///< No service or rule matches the request.
    KeyMissing, ///< The request has no key where its rule expects one.
    BadRequest, ///< The request is malformed.
    TooLarge, ///< The body exceeds the service's limit.
    NoOwner, ///< The key currently has no owner.
    MovingTooLong, ///< The key was still being moved at the deadline.
    QueueFull, ///< The target's queue at this instance is full.
    WouldMissDeadline, ///< The expected wait exceeds the deadline.
    TargetCold, ///< The target is cold and its allowance is used up.
    TargetRefused, ///< The target rejected the request without running it.
    ConnectFailed, ///< No connection to the target could be opened.
    ConnectionLost, ///< The connection ended after the request was sent.
    DeadlinePassed, ///< No answer before the deadline.
    CallerGone, ///< The caller disconnected.
    NoViewLease, ///< This instance holds no view lease for the target.
    ShuttingDown, ///< This instance is shutting down.
    AnswerTooLarge, ///< The answer exceeds the service's limit.
    BadAnswer, ///< The target's answer is malformed.
};

template <>
struct EnumNames<Reason>
{
    static constexpr std::array<EnumName<Reason>, 19> table{{
        {Reason::Answered, "answered"},
        {Reason::NoRule, "no-rule"},
        {Reason::KeyMissing, "key-missing"},
        {Reason::BadRequest, "bad-request"},
        {Reason::TooLarge, "too-large"},
        {Reason::NoOwner, "no-owner"},
        {Reason::MovingTooLong, "moving-too-long"},
        {Reason::QueueFull, "queue-full"},
        {Reason::WouldMissDeadline, "would-miss-deadline"},
        {Reason::TargetCold, "target-cold"},
        {Reason::TargetRefused, "target-refused"},
        {Reason::ConnectFailed, "connect-failed"},
        {Reason::ConnectionLost, "connection-lost"},
        {Reason::DeadlinePassed, "deadline-passed"},
        {Reason::CallerGone, "caller-gone"},
        {Reason::NoViewLease, "no-view-lease"},
        {Reason::ShuttingDown, "shutting-down"},
        {Reason::AnswerTooLarge, "answer-too-large"},
        {Reason::BadAnswer, "bad-answer"},
    }};
};

} // namespace yuccaspan
