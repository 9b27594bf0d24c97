/// \file
/// \brief Messages by which an instance learns what the placer can prove of the store.
#pragma once

#include "gateway/platform.hpp"
#include "yuccaspan/clock.hpp"
#include "yuccaspan/result.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace yuccaspan::gateway {

/// \brief What an instance can prove of the store. Ages count from when it was asked.
struct StoreMark
{
    struct Kind
    {
        StoreRevision lastChange; ///< Last known change of the kind.
        StoreRevision lastList; ///< Up to which there may have been unknown deletions.
        Duration age{}; ///< Time since nothing newer existed.
    };

    std::map<ObjectKind, Kind> kinds;
    /// Revisions of the store and the time since none was later.
    std::vector<std::pair<StoreRevision, Duration>> revisions;
};

/// \brief A question for proofs.
struct MarkQuestion
{
    TimePoint askedAt{}; ///< By the clock of the instance that asks; it gets the time back.
    /// Kinds of which it lacks changes, and up to which revision it has all.
    std::map<ObjectKind, StoreRevision> lacks;
};

/// \brief Encodes a question.
[[nodiscard]] std::vector<std::uint8_t> encodeMarkQuestion(const MarkQuestion &question);
/// \brief Decodes a question; nothing if the datagram isn't one.
[[nodiscard]] std::optional<MarkQuestion>
decodeMarkQuestion(const std::vector<std::uint8_t> &bytes);

/// \brief An answer, and the time of the question.
struct MarkAnswer
{
    TimePoint askedAt{};
    StoreMark mark;
    /// The lacking changes, complete up to their revisions; not the kinds of which they are
    /// unknown or too many.
    std::map<ObjectKind, StoredObjects> changes;
};

/// \brief Encodes an answer.
[[nodiscard]] std::vector<std::uint8_t> encodeMarkAnswer(const MarkAnswer &answer);
/// \brief Whether a datagram is meant to be an answer.
[[nodiscard]] bool isMarkAnswer(const std::vector<std::uint8_t> &bytes) noexcept;
/// \brief Decodes an answer; ParseFailed if it is malformed.
[[nodiscard]] Result<MarkAnswer> decodeMarkAnswer(const std::vector<std::uint8_t> &bytes);

} // namespace yuccaspan::gateway
