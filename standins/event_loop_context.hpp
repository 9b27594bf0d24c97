/// \file
/// \brief The Asio parts of EventLoop.
#pragma once

#include "event_loop.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace yuccaspan::standins {

struct EventLoop::Context
{
    using WorkGuard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

    boost::asio::io_context io{1}; ///< Used by one thread.
    WorkGuard work{io.get_executor()}; ///< Keeps run() from returning when idle.
};

} // namespace yuccaspan::standins
