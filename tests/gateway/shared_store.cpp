#include "gateway/shared_store.hpp"

#include <boost/asio/steady_timer.hpp>

namespace yuccaspan::gateway {

namespace {

constexpr Duration pollInterval = std::chrono::milliseconds(5);
constexpr Duration callTimeout = std::chrono::milliseconds(400);
constexpr std::uint64_t era = 0;

Error noAnswer()
{
    return {ErrorCode::Timeout, "no answer from the store", {}};
}

} // namespace

void SharedStore::set(ObjectKind kind, const std::string &name, const std::string &text)
{
    objects[kind][name] = {name, {era, ++revision}, false, nullptr, text};
}

void SharedStore::remove(ObjectKind kind, const std::string &name)
{
    StoredObject object = objects[kind][name];
    object.deleted = true;
    objects[kind].erase(name);
    deletions[kind][++revision] = std::move(object);
}

void SharedStore::compact()
{
    forgotten = revision;
    ++cuts;
}

/// Waits for the end of a call that isn't answered.
asio::awaitable<void> StoreConnection::awaitAnswer()
{
    asio::steady_timer timer(m_loop, callTimeout);
    co_await timer.async_wait(asTuple);
}

asio::awaitable<Result<StoredObjects>> StoreConnection::list(ObjectKind kind)
{
    ++lists[kind];
    if (cutOff || unanswered.contains(kind)) {
        co_await awaitAnswer();
        co_return noAnswer();
    }
    StoredObjects out;
    out.revision = {era, m_shared.revision};
    for (const auto &[name, object] : m_shared.objects[kind])
        out.objects.push_back(object);
    co_return out;
}

asio::awaitable<Result<StoredObjects>>
StoreConnection::watch(ObjectKind kind, StoreRevision revision, Duration wait, CancelSink onCancel)
{
    const auto end = std::chrono::steady_clock::now() + std::min(wait, longestWait);
    const std::uint64_t cuts = m_shared.cuts;
    const auto silent = [this, kind] {
        return watchesSilent || cutOff || unanswered.contains(kind);
    };
    bool cancelled = false;
    if (onCancel)
        onCancel([&cancelled] { cancelled = true; });
    StoredObjects out;
    while (!cancelled && cuts == m_shared.cuts) {
        for (const auto &[name, object] : m_shared.objects[kind]) {
            if (!silent() && object.revision > revision)
                out.objects.push_back(object);
        }
        for (const auto &[at, object] : m_shared.deletions[kind]) {
            if (!silent() && at > revision.number)
                out.objects.push_back(object);
        }
        if (!silent()
            && (!out.objects.empty() || std::chrono::steady_clock::now() >= end
                || revision.number < m_shared.forgotten))
            break;
        asio::steady_timer timer(m_loop, pollInterval);
        co_await timer.async_wait(asTuple);
    }
    if (onCancel)
        onCancel({});
    if (cancelled)
        co_return Error{ErrorCode::Timeout, "cancelled", {}};
    if (cuts != m_shared.cuts)
        co_return Error{ErrorCode::Unavailable, "watch was cut", {}};
    if (revision.number < m_shared.forgotten)
        co_return Error{ErrorCode::LimitExceeded, "history is gone", {}};
    out.revision = {era, m_shared.revision};
    co_return out;
}

asio::awaitable<Result<StoredObject>> StoreConnection::get(ObjectKind kind, const std::string &name,
                                                           bool /*maybeOld*/)
{
    if (cutOff) {
        co_await awaitAnswer();
        co_return noAnswer();
    }
    const auto found = m_shared.objects[kind].find(name);
    if (found == m_shared.objects[kind].end())
        co_return Error{ErrorCode::NotFound, "none", {}};
    co_return found->second;
}

asio::awaitable<WriteResult> StoreConnection::put(ObjectKind kind, const std::string &name,
                                                  const std::string &text, StoreRevision revision)
{
    if (cutOff) {
        co_await awaitAnswer();
        co_return WriteResult{WriteEnd::Unknown, {}};
    }
    const auto found = m_shared.objects[kind].find(name);
    const bool exists = found != m_shared.objects[kind].end();
    if (exists && found->second.revision != revision)
        co_return WriteResult{WriteEnd::Conflict, found->second};
    m_shared.set(kind, name, text);
    co_return WriteResult{WriteEnd::Stored, m_shared.objects[kind][name]};
}

} // namespace yuccaspan::gateway
