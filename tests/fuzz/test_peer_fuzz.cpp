#include "fuzz/generators.hpp"

namespace yuccaspan {
namespace {

/// Checks that bytes decode to a message that survives a round trip, or fail with ParseFailed.
void expectValueOrParseFailed(const std::string &bytes)
{
    const auto decoded = decodePeerEnvelope(bytes);
    if (!decoded) {
        RC_ASSERT(decoded.error().code == ErrorCode::ParseFailed);
        return;
    }
    const std::string again = encodePeerEnvelope(*decoded);
    const auto copy = decodePeerEnvelope(again);
    RC_ASSERT(copy.hasValue());
    RC_ASSERT(encodePeerEnvelope(*copy) == again);
}

RC_GTEST_PROP(PeerFuzz, RoundTripPreservesMessages, ())
{
    const PeerEnvelope envelope{fuzz::anyName<InstanceId>(), fuzz::anyMessage()};
    const auto decoded = decodePeerEnvelope(encodePeerEnvelope(envelope));
    RC_ASSERT(decoded.hasValue());
    RC_ASSERT(*decoded == envelope);
}

RC_GTEST_PROP(PeerFuzz, CorruptedMessagesNeverCrash, ())
{
    const PeerEnvelope envelope{InstanceId("e1#7"), fuzz::anyMessage()};
    const std::string bytes = encodePeerEnvelope(envelope);
    for (int i = 0; i < fuzz::corruptionsPerCase; ++i)
        expectValueOrParseFailed(fuzz::corrupted(bytes));
}

RC_GTEST_PROP(PeerFuzz, RandomBytesNeverCrash, ())
{
    expectValueOrParseFailed(fuzz::any<std::string>());
}

RC_GTEST_PROP(PeerFuzz, EveryTruncationIsRejected, ())
{
    const std::string bytes = encodePeerEnvelope({InstanceId("e1#7"), fuzz::anyMessage()});
    const auto length = *rc::gen::inRange<std::size_t>(0, bytes.size());
    const auto decoded = decodePeerEnvelope(std::string_view(bytes).substr(0, length));
    RC_ASSERT(!decoded.hasValue());
    RC_ASSERT(decoded.error().code == ErrorCode::ParseFailed);
}

/// Inputs that have caused or could cause faults: length prefixes beyond the input, deep nesting,
/// unknown field types.
TEST(PeerFuzz, CorpusIsRejected)
{
    const std::vector<std::string> corpus{
        "",
        std::string(1, '\0'),
        std::string(4096, '\x1c'), // nested structures
        std::string("\x18\xff\xff\xff\xff\x0f", 6), // string with a length prefix of 4 GB
        std::string("\x18\x04"
                    "e1#7"
                    "\x1c\x1c\x19\xfc\xff\xff\xff\xff\x07",
                    14), // list with a length prefix of 2 G structures
        std::string("\x18\x80\x80\x80\x80\x80\x80\x80\x80\x80\x80\x01", 12), // unterminated varint
        std::string("\x1d\x00\x00", 3), // unknown field type
        "{\"from\":\"e1#7\"}",
    };
    for (const std::string &bytes : corpus) {
        const auto decoded = decodePeerEnvelope(bytes);
        ASSERT_FALSE(decoded.hasValue());
        EXPECT_EQ(decoded.error().code, ErrorCode::ParseFailed);
    }
}

} // namespace
} // namespace yuccaspan
