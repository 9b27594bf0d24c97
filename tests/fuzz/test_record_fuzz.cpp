#include "fuzz/generators.hpp"

#include "yuccaspan/cell_record.hpp"

#include <algorithm>
#include <limits>

namespace yuccaspan {
namespace {

constexpr KeyHash lastHash = std::numeric_limits<KeyHash>::max();

/// A name of printable characters, which JSON encodes without loss.
template <typename NameType>
NameType printableName()
{
    return NameType(*rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '\x7f')));
}

SliceRecord anySlice(KeyRange range, std::uint64_t &lastToken)
{
    SliceRecord slice{range, printableName<TargetId>(), {++lastToken}, {}, {}, {}};
    if (fuzz::any<bool>()) {
        slice.phase = SlicePhase::Moving;
        slice.nextOwner = TargetId("next");
        slice.nextToken = {++lastToken};
    }
    return slice;
}

CellRecord anyRecord()
{
    CellRecord record;
    record.cell = {printableName<ServiceName>(), printableName<ZoneId>(),
                   *rc::gen::inRange<std::uint32_t>(0, 1000)};
    record.term = {fuzz::any<std::uint64_t>()};
    record.placer = printableName<InstanceId>();
    record.candidates = fuzz::listOf(printableName<InstanceId>);
    record.settingsVersion = {fuzz::any<std::uint64_t>()};
    std::uint64_t token = *rc::gen::inRange<std::uint64_t>(0, 1000000);
    KeyHash first = 0;
    const int cuts = *rc::gen::inRange(0, 6);
    for (int i = 0; i < cuts; ++i) {
        const KeyHash last = *rc::gen::inRange<KeyHash>(first, lastHash / 8 * (i + 1) + 1);
        record.slices.push_back(anySlice({first, last}, token));
        first = last + 1;
    }
    record.slices.push_back(anySlice({first, lastHash}, token));
    record.lastToken = {token};
    return record;
}

/// Checks that bytes that decode give a record with contiguous slices that cover its range.
void expectValidOrError(const std::string &text)
{
    const auto record = decodeCellRecord(text);
    if (!record) {
        const ErrorCode code = record.error().code;
        RC_ASSERT(code == ErrorCode::ParseFailed || code == ErrorCode::SchemaViolation
                  || code == ErrorCode::UnsupportedSchema);
        return;
    }
    RC_ASSERT(record->slices.front().range.first == record->range.first);
    RC_ASSERT(record->slices.back().range.last == record->range.last);
    RC_ASSERT(std::ranges::is_sorted(record->slices, {}, &SliceRecord::range));
    const auto again = encodeCellRecord(*record);
    RC_ASSERT(again.hasValue());
    RC_ASSERT(*decodeCellRecord(*again) == *record);
}

RC_GTEST_PROP(RecordFuzz, RoundTripPreservesRecords, ())
{
    const CellRecord record = anyRecord();
    const auto text = encodeCellRecord(record);
    RC_ASSERT(text.hasValue());
    const auto copy = decodeCellRecord(*text);
    RC_ASSERT(copy.hasValue());
    RC_ASSERT(*copy == record);
}

RC_GTEST_PROP(RecordFuzz, CorruptedRecordsNeverCrash, ())
{
    const std::string text = *encodeCellRecord(anyRecord());
    for (int i = 0; i < fuzz::corruptionsPerCase; ++i)
        expectValidOrError(fuzz::corrupted(text));
}

std::string recordWithSlices(const std::string &slices)
{
    return R"({"schema":1,"service":"s","zone":"a","index":0,"first":"0000000000000000",)"
           R"("last":"ffffffffffffffff","term":1,"placer":"e#1","candidates":["e#1"],)"
           R"("lastToken":9,"settingsVersion":1,"slices":[)"
        + slices + "]}";
}

std::string sliceText(const std::string &first, const std::string &last)
{
    return R"({"first":")" + first + R"(","last":")" + last + R"(","owner":"t","token":3})";
}

TEST(RecordFuzz, SmallestRecordIsAccepted)
{
    const auto record =
        decodeCellRecord(recordWithSlices(sliceText("0000000000000000", "ffffffffffffffff")));
    EXPECT_TRUE(record.hasValue());
}

TEST(RecordFuzz, CorpusIsRejected)
{
    const std::vector<std::string> corpus{
        "",
        "null",
        "[]",
        "{}",
        R"({"schema":2})",
        R"({"schema":-1})",
        std::string(100000, '['),
        recordWithSlices(""),
        recordWithSlices("7"),
        recordWithSlices(sliceText("0000000000000000", "7fffffffffffffff")), // a gap at the end
        recordWithSlices(sliceText("8000000000000000", "7fffffffffffffff")), // inverted range
        recordWithSlices(sliceText("0", "ffffffffffffffffff")),
    };
    for (const std::string &text : corpus)
        EXPECT_FALSE(decodeCellRecord(text).hasValue()) << text.substr(0, 300);
}

/// The hash after the maximum wraps around to 0: two slices of the whole range must not be accepted
/// as contiguous.
TEST(RecordFuzz, SlicesThatWrapAroundAreRejected)
{
    const std::string whole = sliceText("0000000000000000", "ffffffffffffffff");
    EXPECT_FALSE(decodeCellRecord(recordWithSlices(whole + "," + whole)).hasValue());
}

} // namespace
} // namespace yuccaspan
