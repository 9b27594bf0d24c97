/// \file
/// \brief A keep-alive connection of a caller that carries one request at a time.
#pragma once

#include "load/load_runner.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace yuccaspan::load {

/// \brief A request to be sent.
struct CallRequest
{
    std::string method; ///< HTTP method.
    std::string path; ///< Path with query.
    std::string body; ///< Body; may be empty.
    std::vector<std::pair<std::string, std::string>> headers; ///< Further headers.
};

/// \brief An answer, or its absence.
struct CallAnswer
{
    bool complete = false; ///< Whether the whole answer came.
    unsigned status = 0; ///< HTTP status.
    std::string outcome; ///< Header Yuccaspan-Outcome.
    std::string reason; ///< Header Yuccaspan-Reason.
    std::string refused; ///< Header Yuccaspan-Refused.
    std::string body; ///< Body.
    bool closing = false; ///< Whether the server announced that it closes the connection.
};

/// \brief One connection. Used on its io_context's thread only.
class CallerConnection
{
public:
    /// \brief Receives whether the connection was opened.
    using Opened = std::function<void(bool opened)>;
    /// \brief Receives the answer. The connection may be used again if usable().
    using Answered = std::function<void(CallAnswer answer)>;

    CallerConnection() = default;
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;
    virtual ~CallerConnection() = default;

    /// \brief Opens the connection.
    virtual void open(Opened opened) = 0;
    /// \brief Sends a request.
    /// \warning Call only if usable() and no answer is awaited.
    virtual void send(const CallRequest &request, Answered answered) = 0;
    /// \brief Whether a request can be sent on it.
    [[nodiscard]] virtual bool usable() const = 0;
    /// \brief Closes it; an awaited answer is reported as not complete.
    virtual void close() = 0;
};

/// \brief Creates a connection that is not open yet.
[[nodiscard]] std::shared_ptr<CallerConnection> makeCallerConnection(boost::asio::io_context &io,
                                                                     const Endpoint &endpoint);

} // namespace yuccaspan::load
