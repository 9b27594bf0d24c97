/// \file
/// \brief HTTP client connection with keep-alive.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/store_http.hpp"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace yuccaspan::impl {

/// \brief An HTTP request.
struct HttpCall
{
    std::string method; ///< GET, PUT or POST.
    std::string target; ///< Path and query, percent-encoded.
    std::vector<std::pair<std::string, std::string>>
        headers; ///< Headers other than Host and Content-Length.
    std::string body; ///< Body; empty for GET.
    Duration timeout{}; ///< Total time for connecting, sending and receiving.
};

/// \brief An HTTP response.
struct HttpAnswer
{
    unsigned status = 0; ///< Status code.
    std::string etag; ///< ETag header including its quotes, or empty.
    std::string body; ///< Body.
};

/// \brief A call that ended without a response.
struct HttpFailure
{
    bool sent = false; ///< Whether any byte of the request was sent.
    bool timedOut = false; ///< Whether the timeout expired.
    std::string text; ///< Description of the failure.
};

/// \brief Result of a call.
using HttpResult = std::variant<HttpAnswer, HttpFailure>;

/// \brief A connection that handles one call at a time and stays open between calls. Must only be
/// used on the thread of its io_context.
class HttpConnection
{
public:
    using Done = std::function<void(HttpResult)>;

    HttpConnection() = default;
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;
    virtual ~HttpConnection() = default;

    /// \brief Sends a request and receives the response; connects first if not connected.
    /// \warning Must not be called while another call is in flight.
    virtual void call(HttpCall request, Done done) = 0;
    /// \brief Closes the connection; a call in flight fails.
    virtual void close() = 0;
};

/// \brief Creates a connection, which opens at the first call.
/// \param context Runs the asynchronous I/O.
/// \param peer Where to connect to.
/// \param onConnect Called at each attempt to connect.
[[nodiscard]] std::shared_ptr<HttpConnection> makeHttpConnection(boost::asio::io_context &context,
                                                                 HostPort peer,
                                                                 std::function<void()> onConnect);

/// \brief Makes one blocking call on a new connection.
/// \param peer Where to connect to.
/// \param request The request.
[[nodiscard]] HttpResult callOnce(const HostPort &peer, HttpCall request);

/// \brief Percent-encodes a string.
/// \param text The string.
/// \param keep Characters not to encode, besides letters, digits and "-._~".
[[nodiscard]] std::string percentEncode(std::string_view text, std::string_view keep = {});

} // namespace yuccaspan::impl
