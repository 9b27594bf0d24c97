/// \file
/// \brief What an instance knows of the store, and how it passes that on.
#pragma once

#include "gateway/news/news_log.hpp"
#include "gateway/news/news_message.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yuccaspan::gateway {

/// \brief What an answer changed.
struct NewsTaken
{
    bool changed = false; ///< An object or the lease is new.
    Duration age{}; ///< Of the oldest urgent kind, as of now.
    std::vector<ObjectKind> gaps; ///< Kinds that are to be listed anew.
};

/// \brief The news of an instance: asks, answers and takes answers in. Sans-IO.
///
/// The age of knowledge adds up over hops: the parent's, the time on the way, and the time since.
class NewsDesk
{
public:
    /// \brief Whether news of a kind is passed on between instances.
    [[nodiscard]] static bool passesOn(ObjectKind kind) noexcept;
    /// \brief The log of a kind that is passed on.
    [[nodiscard]] NewsLog &log(ObjectKind kind) { return m_logs[kind]; }
    /// \brief Whether all urgent kinds were listed.
    [[nodiscard]] bool known() const;
    /// \brief Age of the oldest urgent kind.
    [[nodiscard]] Duration age(TimePoint now) const;

    /// \brief Takes in the lease as the store gave it.
    /// \returns Whether it is new.
    bool setLease(const StoredObject &lease, TimePoint asOf);
    /// \brief The lease; nothing if it is older than an age.
    [[nodiscard]] std::optional<StoredObject> lease(Duration maxAge, TimePoint now) const;

    /// \brief A question by what is known.
    [[nodiscard]] NewsQuestion question() const;
    /// \brief Whether the answer to a question would say something new.
    [[nodiscard]] bool hasNews(const NewsQuestion &question) const;
    /// \brief The answer to a question.
    [[nodiscard]] NewsAnswer answer(const NewsQuestion &question, TimePoint now) const;
    /// \brief Takes in a parent's answer.
    /// \param asked What was asked.
    /// \param askedAt When it was asked.
    NewsTaken take(const NewsAnswer &answer, const NewsQuestion &asked, TimePoint askedAt,
                   TimePoint now);

private:
    std::map<ObjectKind, NewsLog> m_logs;
    std::optional<StoredObject> m_lease;
    TimePoint m_leaseAsOf{};
};

} // namespace yuccaspan::gateway
