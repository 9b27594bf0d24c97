/// \file
/// \brief One keep-alive HTTP connection of a client.
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

/// \brief A request.
struct HttpCall
{
    std::string method; ///< GET, PUT or POST.
    std::string target; ///< Path and query, percent-encoded.
    std::vector<std::pair<std::string, std::string>> headers; ///< Besides Host and length.
    std::string body; ///< Body; empty for GET.
    Duration timeout{}; ///< Longest time for connecting, sending and answering together.
};

/// \brief An answer.
struct HttpAnswer
{
    unsigned status = 0; ///< Status code.
    std::string etag; ///< Header ETag with its quotes, or empty.
    std::string body; ///< Body.
};

/// \brief No answer came.
struct HttpFailure
{
    bool sent = false; ///< Whether a byte of the request was handed to the network.
    bool timedOut = false; ///< Whether the time was up.
    std::string text; ///< What failed.
};

/// \brief How a call ended.
using HttpResult = std::variant<HttpAnswer, HttpFailure>;

/// \brief A connection that carries one call at a time and stays open between calls. Used on the
/// thread of its io_context only.
class HttpConnection
{
public:
    using Done = std::function<void(HttpResult)>;

    HttpConnection() = default;
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;
    virtual ~HttpConnection() = default;

    /// \brief Sends a call and waits for its answer; connects first if need be.
    /// \warning One call at a time.
    virtual void call(HttpCall request, Done done) = 0;
    /// \brief Closes the connection; a call under way fails.
    virtual void close() = 0;
};

/// \brief Creates a connection that is not yet open.
/// \param context Runs the input and output.
/// \param peer Where to connect to.
/// \param opened Called each time a connection is being opened.
[[nodiscard]] std::shared_ptr<HttpConnection>
makeHttpConnection(boost::asio::io_context &context, HostPort peer, std::function<void()> opened);

/// \brief Makes one call on a connection of its own and waits for it.
/// \param peer Where to connect to.
/// \param request The call.
[[nodiscard]] HttpResult callOnce(const HostPort &peer, HttpCall request);

/// \brief Percent-encodes a text.
/// \param text The text.
/// \param keep Letters that stay as they are, besides letters, digits and "-._~".
[[nodiscard]] std::string percentEncode(std::string_view text, std::string_view keep = {});

} // namespace yuccaspan::impl
