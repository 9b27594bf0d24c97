#include "serving_instance.hpp"

namespace yuccaspan::platform {

namespace {

constexpr std::size_t bodyMemory = 4'000'000;

class LargeMessages : public ServingInstance
{
protected:
    LargeMessages()
        : ServingInstance([](GatewayOptions &options) { options.bodyMemory = bodyMemory; })
    { }

    /// Sends bytes as the instance reads them, until it answers or a limit is reached.
    std::size_t sendUntilAnswered(Caller &caller, const std::string &piece, std::size_t limit)
    {
        std::size_t sent = 0;
        while (sent < limit && caller.received().empty() && !caller.ended()) {
            sent += caller.sendSome(piece);
            runUntil([] { return true; });
            m_world.poll();
            m_loop->poll();
        }
        return sent;
    }
};

/// Guards against a caller whose chunk-size line never ends (related to review/4).
TEST_F(LargeMessages, anEndlessChunkLineOfACallerIsRejected)
{
    const auto caller = connect();
    caller->send(requestHead("q", 0, 5000, "Transfer-Encoding: chunked\r\n") + "1;");
    const std::string piece(16384, 'x');
    sendUntilAnswered(*caller, piece, std::size_t{64} << 20);
    ASSERT_TRUE(runUntil([&] { return caller->ended(); }));
    EXPECT_EQ(caller->count("HTTP/1.1 400 Bad Request\r\n"), 1U) << caller->received();
}

/// Guards against bodies of many callers that together need more memory than the process may use.
TEST_F(LargeMessages, requestsBeyondTheMemoryAreRejectedAndSmallOnesAreServed)
{
    const std::string head =
        requestHead("large", 0, 5000, "Content-Length: " + std::to_string(bodyMemory) + "\r\n");
    const auto large = connect();
    large->send(head);
    sendUntilAnswered(*large, std::string(16384, 'x'), bodyMemory);
    const auto small = connect();
    small->send(request("small", 0, 5000));
    ASSERT_TRUE(runUntil([&] { return small->count(success) == 1; }));
    ASSERT_TRUE(runUntil([&] { return large->count(rejected) == 1; })) << large->received();
    EXPECT_NE(large->received().find("Retry-After: "), std::string::npos);
    EXPECT_FALSE(m_target.got("large"));
    EXPECT_LE(m_gateway->bodies->used(), bodyMemory);
}

/// A long body that fits arrives whole, in both directions.
TEST_F(LargeMessages, aLongBodyThatFitsIsDelivered)
{
    m_target.setBody(std::string(bodyMemory / 3, 'b'));
    const auto caller = connect();
    const std::string body(bodyMemory / 6, 'a');
    caller->send(
        requestHead("q", 0, 9000, "Content-Length: " + std::to_string(body.size()) + "\r\n"));
    caller->sendInBackground(body);
    ASSERT_TRUE(runUntil([&] { return caller->received().size() > bodyMemory / 3; }))
        << caller->received().substr(0, 200);
    EXPECT_EQ(caller->count(success), 1U);
    EXPECT_TRUE(m_target.got("q"));
    ASSERT_TRUE(runUntil([&] { return m_gateway->bodies->used() == 0; }));
}

/// Guards against responses that pile up for callers that do not read.
TEST_F(LargeMessages, responsesForCallersThatDoNotReadDoNotDisplaceOthers)
{
    m_target.setBody(std::string(bodyMemory / 3, 'b'));
    std::vector<std::unique_ptr<tcp::socket>> silent;
    for (int index = 0; index < 8; ++index) {
        silent.push_back(std::make_unique<tcp::socket>(m_world));
        silent.back()->open(tcp::v4());
        silent.back()->set_option(asio::socket_base::receive_buffer_size(4096));
        silent.back()->connect(*parseEndpoint(m_address));
        asio::write(*silent.back(), asio::buffer(request("q" + std::to_string(index), 0, 9000)));
    }
    ASSERT_TRUE(runUntil([&] { return m_target.got("q7") && m_gateway->active < 8; }));
    EXPECT_LE(m_gateway->bodies->used(), bodyMemory);
    m_target.setBody("done");
    const auto caller = connect();
    caller->send(request("small", 0, 9000));
    ASSERT_TRUE(runUntil([&] { return caller->count(success) == 1; })) << caller->received();
}

} // namespace

} // namespace yuccaspan::platform
