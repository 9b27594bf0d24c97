/// \file
/// \brief Messages by which instances tell each other the news.
#pragma once

#include "gateway/platform.hpp"
#include "yuccaspan/result.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaspan::gateway {

/// \brief What an instance knows when it asks a parent.
struct NewsQuestion
{
    std::string from; ///< Name of the instance.
    Duration wait{}; ///< Longest time until the answer.
    std::map<ObjectKind, StoreRevision> kinds; ///< Newest knowledge of each kind.
    std::map<std::string, StoreRevision> maps; ///< Revisions of the shard maps, by service.
    StoreRevision lease;
};

/// \brief News of one kind.
struct KindNews
{
    /// The parent doesn't know all changes since. The changes are then a whole list; if that is
    /// cut, the kind is to be listed at the store.
    bool gap = false;
    Duration age{}; ///< Since the store was known to have nothing newer.
    StoredObjects changes; ///< After the asked revision, up to its own.
};

/// \brief A parent's answer.
struct NewsAnswer
{
    Duration held{}; ///< Time that the question waited at the parent.
    std::map<ObjectKind, KindNews> kinds;
    std::vector<StoredObject> maps; ///< Newer shard maps.
    std::optional<StoredObject> lease;
    Duration leaseAge{};
};

/// \brief Most objects in a message; a longer one is not read.
inline constexpr std::size_t maxNewsObjects = 4000;

/// \brief Writes a question.
[[nodiscard]] std::string encodeNews(const NewsQuestion &question);
/// \brief Writes an answer. What lies too deep in an object is left out: others may have written
/// it.
[[nodiscard]] std::string encodeNews(const NewsAnswer &answer);
/// \brief Reads a question; ParseFailed if it is malformed.
[[nodiscard]] Result<NewsQuestion> decodeNewsQuestion(std::string_view text);
/// \brief Reads an answer; ParseFailed if it is malformed.
[[nodiscard]] Result<NewsAnswer> decodeNewsAnswer(std::string_view text);

} // namespace yuccaspan::gateway
