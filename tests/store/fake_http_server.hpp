/// \file
/// \brief HTTP server that answers with scripted responses.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace yuccaspan {

/// \brief A request that the server received.
struct ReceivedRequest
{
    std::string method;
    std::string target;
    std::string instance; ///< Value of the X-Instance header.
    std::string condition; ///< Value of If-Match or else of If-None-Match.
    std::string body;
    int connection = 0; ///< Number of the connection, from 1.
};

/// \brief A scripted response.
struct FakeResponse
{
    unsigned status = 200;
    std::string etag;
    std::string body;
    bool closeAfter =
        false; ///< Closes the connection after the response without a Connection: close header.
};

/// \brief Calls a script for each request; closes the connection if it returns nullopt.
class FakeHttpServer
{
public:
    using Script = std::function<std::optional<FakeResponse>(const ReceivedRequest &)>;

    explicit FakeHttpServer(Script script);
    ~FakeHttpServer();

    [[nodiscard]] unsigned short port() const;
    /// \brief Waits until the server has closed at least this many connections.
    void awaitClosed(int connections);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace yuccaspan
