#include "gateway/news/news_source.hpp"

#include <algorithm>
#include <utility>

namespace yuccaspan::gateway {

NewsSource::NewsSource(std::string self, NewsTiming timing)
    : m_self(std::move(self)), m_timing(timing), m_retryPause(timing.retry)
{ }

void NewsSource::setPlace(NewsPlace place, TimePoint now)
{
    if (place.reader == m_place.reader && place.parents == m_place.parents)
        return;
    // The parent gets time to answer, unless none answered so far either.
    if (m_place.reader || m_heard)
        m_storeFrom = now + m_timing.silence;
    m_place = std::move(place);
    m_index = 0;
    m_heard = false;
    m_retryAt = TimePoint::max();
    m_retryPause = m_timing.retry;
}

std::string NewsSource::peer(TimePoint now)
{
    if (m_index != 0 && now >= m_retryAt) {
        // Time for two parents to fall silent. Who follows the store does so until one answers.
        if (m_heard)
            m_storeFrom = now + 2 * m_timing.silence;
        m_index = 0;
        m_heard = false;
        m_retryAt = TimePoint::max();
    }
    return m_index < m_place.parents.size() ? m_place.parents[m_index] : std::string();
}

bool NewsSource::fromStore(TimePoint now) const noexcept
{
    return m_place.reader || (!m_heard && now >= m_storeFrom);
}

void NewsSource::answered(Duration age, TimePoint now)
{
    if (age > m_timing.maxAge) {
        failed(now);
        return;
    }
    m_heard = true;
    if (m_index == 0)
        m_retryPause = m_timing.retry;
}

void NewsSource::failed(TimePoint now)
{
    if (m_index >= m_place.parents.size())
        return;
    const auto share = static_cast<std::int64_t>(newsHash(m_self) % 1000);
    if (m_index == 0) {
        // Spread by instance as well, so that a parent which is back isn't asked by all at once.
        m_retryAt = now + m_retryPause + m_retryPause * share / 2000;
        m_retryPause = std::min(m_retryPause * 2, m_timing.maxRetry);
    }
    const bool storeFollowed = fromStore(now);
    ++m_index;
    m_heard = false;
    if (storeFollowed)
        return;
    m_storeFrom = m_index < m_place.parents.size() ? now + 2 * m_timing.silence
                                                   : now + m_timing.spread * share / 1000;
}

std::string NewsSource::inUse(TimePoint now) const
{
    if (fromStore(now))
        return "store";
    // The turn to the store is a change of its own, by which those who wait are woken.
    return m_index < m_place.parents.size() ? m_place.parents[m_index] : "none";
}

} // namespace yuccaspan::gateway
