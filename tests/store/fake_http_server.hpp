/// \file
/// \brief A small HTTP server whose answers a test scripts.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace yuccaspan {

/// \brief A request as the server got it.
struct SeenRequest
{
    std::string method;
    std::string target;
    std::string instance; ///< X-Instance.
    std::string condition; ///< If-Match, or If-None-Match.
    std::string body;
    int connection = 0; ///< Counts connections from 1.
};

/// \brief A scripted answer.
struct FakeAnswer
{
    unsigned status = 200;
    std::string etag;
    std::string body;
    bool closeAfter = false; ///< Closes the connection after the answer, unannounced.
};

/// \brief Runs a script for each request; nothing as answer closes the connection.
class FakeHttpServer
{
public:
    using Script = std::function<std::optional<FakeAnswer>(const SeenRequest &)>;

    explicit FakeHttpServer(Script script);
    ~FakeHttpServer();

    [[nodiscard]] unsigned short port() const;
    /// \brief Waits until the server has closed so many connections.
    void awaitClosed(int connections);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace yuccaspan
