/// \file
/// \brief Decides where an instance's news comes from.
#pragma once

#include "gateway/news/news_tree.hpp"
#include "yuccaspan/clock.hpp"

#include <string>

namespace yuccaspan::gateway {

/// \brief Timing of the news between instances.
struct NewsTiming
{
    /// A parent answers within this time, also if it has nothing new.
    Duration heartbeat = std::chrono::milliseconds(250);
    /// Time without an answer after which a parent is given up. Changes must be known in 1 s, also
    /// if two in a row had to be given up.
    Duration silence = std::chrono::milliseconds(400);
    /// Age of the news after which its source is given up.
    Duration maxAge = std::chrono::milliseconds(1500);
    /// Interval of a reader's checks that the store still answers.
    Duration check = std::chrono::milliseconds(500);
    /// Time over which the instances spread that turn to the store.
    Duration spread = std::chrono::milliseconds(400);
    /// First pause before the preferred parent is tried again; doubles with each failure.
    Duration retry = std::chrono::seconds(1);
    Duration maxRetry = std::chrono::seconds(64); ///< Longest pause.
};

/// \brief Chooses among two parents and the store. Sans-IO.
///
/// Answers the load pattern that each instance follows the store itself, and the ways in which a
/// parent fails: silence, refusal, and news that grows old.
class NewsSource
{
public:
    NewsSource(std::string self, NewsTiming timing = {});

    /// \brief Sets the place in the tree.
    void setPlace(NewsPlace place, TimePoint now);
    /// \brief The peer to ask now; empty if none.
    [[nodiscard]] std::string peer(TimePoint now);
    /// \brief Whether the store itself is to be followed.
    [[nodiscard]] bool fromStore(TimePoint now) const noexcept;
    /// \brief Whether the peer that is asked has answered with fresh news.
    [[nodiscard]] bool heard() const noexcept { return m_heard; }
    /// \brief A peer answered with news of this age.
    void answered(Duration age, TimePoint now);
    /// \brief A peer did not answer, refused or sent what can't be read.
    void failed(TimePoint now);
    /// \brief Name of the source in use: a peer, "store", or "none" for a moment before it.
    [[nodiscard]] std::string inUse(TimePoint now) const;

private:
    std::string m_self;
    NewsTiming m_timing;
    NewsPlace m_place;
    std::size_t m_index = 0; ///< Parent that is asked; beyond the last one: none.
    bool m_heard = false; ///< The parent that is asked has answered with fresh news.
    TimePoint m_storeFrom{}; ///< While nothing was heard: when the store is followed.
    TimePoint m_retryAt = TimePoint::max();
    Duration m_retryPause;
};

} // namespace yuccaspan::gateway
