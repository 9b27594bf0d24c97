#include "http_fetch.hpp"

#include <algorithm>
#include <cctype>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace yuccaspan::standins {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

struct Exchange
{
    http::request<http::string_body> request;
    http::response<http::string_body> response;
    error_code error;
};

asio::awaitable<void> run(asio::ip::tcp::endpoint endpoint, Duration timeout, Exchange &exchange)
{
    error_code &error = exchange.error;
    const auto token = [&error] { return asio::redirect_error(asio::use_awaitable, error); };
    boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    co_await stream.async_connect(endpoint, token());
    if (!error)
        co_await http::async_write(stream, exchange.request, token());
    boost::beast::flat_buffer buffer;
    if (!error)
        co_await http::async_read(stream, buffer, exchange.response, token());
}

std::string lower(boost::beast::string_view text)
{
    std::string lowered(text.data(), text.size());
    std::transform(lowered.begin(), lowered.end(), lowered.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lowered;
}

Fetched fetchedFrom(http::response<http::string_body> &response)
{
    Fetched fetched;
    fetched.status = response.result_int();
    fetched.body = std::move(response.body());
    for (const auto &field : response) {
        const auto value = field.value();
        fetched.headers[lower(field.name_string())] = std::string(value.data(), value.size());
    }
    return fetched;
}

} // namespace

Result<Fetched> fetch(const FetchCall &call)
{
    const std::size_t colon = std::min(call.address.rfind(':'), call.address.size());
    error_code error;
    const auto ip = asio::ip::make_address(call.address.substr(0, colon), error);
    const std::string port = call.address.substr(std::min(colon + 1, call.address.size()));
    if (error || port.empty() || port.find_first_not_of("0123456789") != std::string::npos)
        return Error{ErrorCode::InvalidArgument, "expected ip:port, found " + call.address, {}};
    Exchange exchange;
    exchange.request.version(11);
    exchange.request.method_string(call.method);
    exchange.request.target(call.path);
    exchange.request.set(http::field::host, call.address);
    for (const auto &[name, value] : call.headers)
        exchange.request.set(name, value);
    exchange.request.body() = call.body;
    exchange.request.prepare_payload();
    asio::io_context io{1};
    const asio::ip::tcp::endpoint endpoint(ip, static_cast<std::uint16_t>(std::stoul(port)));
    asio::co_spawn(io, run(endpoint, call.timeout, exchange), asio::detached);
    io.run();
    if (exchange.error)
        return Error{ErrorCode::Unavailable, call.address + ": " + exchange.error.message(), {}};
    return fetchedFrom(exchange.response);
}

} // namespace yuccaspan::standins
