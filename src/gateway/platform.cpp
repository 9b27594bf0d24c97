#include "gateway/platform.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

#include <utility>

namespace yuccaspan::gateway {

asio::awaitable<Result<StoredObjects>>
MetadataStore::changes(ObjectKind kind, StoreRevision revision, Duration within)
{
    constexpr Duration shortestWait = std::chrono::milliseconds(1);
    asio::steady_timer timer(co_await asio::this_coro::executor, within);
    const auto cancel = std::make_shared<std::function<void()>>();
    timer.async_wait([cancel](const boost::system::error_code &failure) {
        if (const auto call = std::exchange(*cancel, {}); call && !failure)
            call();
    });
    // Not a temporary: gcc 12 destroys one with captures twice in a co_await expression.
    const CancelSink keepCancel = [cancel](std::function<void()> next) {
        *cancel = std::move(next);
    };
    co_return co_await watch(kind, revision, shortestWait, keepCancel);
}

} // namespace yuccaspan::gateway
