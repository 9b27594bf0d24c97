/// \file
/// \brief Aliases for the HTTP and I/O types that the gateway uses.
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace yuccaspan::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using asio::ip::tcp;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/// \brief Completion token with which a coroutine gets errors as values.
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr unsigned httpVersion11 = 11;

} // namespace yuccaspan::gateway
