#include "event_loop_context.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace yuccaspan::standins {

EventLoop::EventLoop() : m_context(std::make_unique<Context>())
{ }

EventLoop::~EventLoop() = default;

void EventLoop::run()
{
    m_context->io.run();
}

void EventLoop::stop()
{
    m_context->io.stop();
}

void EventLoop::post(std::function<void()> callback)
{
    boost::asio::post(m_context->io, std::move(callback));
}

void EventLoop::runAfter(Duration delay, std::function<void()> callback)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context->io, delay);
    timer->async_wait([timer, callback = std::move(callback)](boost::system::error_code error) {
        if (!error)
            callback();
    });
}

} // namespace yuccaspan::standins
