#include "yuccaspan/cell_record.hpp"

#include "placement/directory.hpp"

#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

namespace yuccaspan {
namespace {

CellRecord randomRecord(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto name = [&](const char *prefix) { return prefix + std::to_string(random() % 100); };
    CellRecord record;
    record.cell = {ServiceName(name("s")), ZoneId(name("z")), static_cast<std::uint32_t>(random())};
    record.range = {random() % 1000, ~(random() % 1000)};
    record.term = {random()};
    record.placer = InstanceId(name("i") + "#1");
    record.candidates.assign(random() % 5, record.placer);
    record.settingsVersion = {random()};
    const std::size_t count = 1 + random() % 20;
    KeyHash first = record.range.first;
    for (std::size_t i = 0; i < count; ++i) {
        SliceRecord slice;
        slice.range = {first, i + 1 == count ? record.range.last : first + random() % 1000000};
        first = slice.range.last + 1;
        slice.owner = TargetId(random() % 4 == 0 ? "" : name("t\"\\\n"));
        slice.token = {random() % 1000};
        record.lastToken.value = std::max(record.lastToken.value, slice.token.value + 1);
        if (random() % 3 == 0) {
            slice.phase = SlicePhase::Moving;
            slice.nextOwner = TargetId(name("t"));
            slice.nextToken = slice.token.next();
        }
        record.slices.push_back(slice);
    }
    return record;
}

RC_GTEST_PROP(CellRecordCodec, RoundTripPreservesRecord, (std::uint64_t seed))
{
    const CellRecord record = randomRecord(seed);
    const auto text = encodeCellRecord(record);
    RC_ASSERT(text.hasValue());
    const auto back = decodeCellRecord(*text);
    RC_ASSERT(back.hasValue());
    RC_ASSERT(*back == record);
}

RC_GTEST_PROP(CellRecordCodec, DamagedTextIsRejectedOrDecodesConsistently, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    std::string text = *encodeCellRecord(randomRecord(seed));
    for (std::uint64_t change = 0; change <= random() % 3; ++change) {
        const std::size_t place = random() % text.size();
        if (random() % 2 == 0)
            text[place] = static_cast<char>(random());
        else
            text.erase(place, random() % 40);
        if (text.empty())
            break;
    }
    const auto decoded = decodeCellRecord(text);
    if (!decoded)
        return;
    RC_ASSERT(!decoded->slices.empty());
    RC_ASSERT(decoded->slices.front().range.first == decoded->range.first);
    RC_ASSERT(decoded->slices.back().range.last == decoded->range.last);
    for (const SliceRecord &slice : decoded->slices)
        RC_ASSERT(slice.token <= decoded->lastToken && slice.nextToken <= decoded->lastToken);
}

TEST(CellRecordCodec, RejectsGapsNewerSchemasAndLongRecords)
{
    CellRecord record = randomRecord(7);
    record.slices = {{{record.range.first, record.range.last - 1}, TargetId("t"), {}, {}, {}, {}}};
    EXPECT_EQ(decodeCellRecord(*encodeCellRecord(record)).error().code, ErrorCode::SchemaViolation);
    EXPECT_EQ(decodeCellRecord(R"({"schema":2})").error().code, ErrorCode::UnsupportedSchema);
    EXPECT_EQ(decodeCellRecord("{").error().code, ErrorCode::ParseFailed);
    record.slices.assign(20000, record.slices.front());
    EXPECT_EQ(encodeCellRecord(record).error().code, ErrorCode::LimitExceeded);
}

TEST(CellRecordCodec, FullCellOfMovingSlicesFits)
{
    CellRecord record = randomRecord(7);
    SliceRecord slice{record.range,       TargetId("depot-stock-target-0001"), {~0ULL},
                      SlicePhase::Moving, TargetId("depot-stock-target-0002"), {~0ULL}};
    record.slices.assign(4096, slice);
    EXPECT_TRUE(encodeCellRecord(record).hasValue());
}

RC_GTEST_PROP(DirectoryCodec, RoundTripPreservesPlannedCells, ())
{
    ServiceSettings service;
    service.name = ServiceName("s");
    service.cellsPerZone = *rc::gen::inRange(1U, 5U);
    std::vector<ZoneSettings> zones(*rc::gen::inRange<std::size_t>(1, 6));
    for (std::size_t i = 0; i < zones.size(); ++i)
        zones[i].id = ZoneId("z" + std::to_string(i));
    const impl::Directory planned = impl::planDirectory(service, zones);
    const auto back = impl::decodeDirectory(impl::encodeDirectory(planned));
    RC_ASSERT(back.hasValue());
    RC_ASSERT(*back == planned);
    RC_ASSERT(planned.cells.size() == zones.size() * service.cellsPerZone);
}

TEST(Paths, OnlyWellFormedPathsAreRecognised)
{
    const CellId cell{ServiceName("s"), ZoneId("z"), 3};
    EXPECT_EQ(impl::cellOfPath(cell.path()), cell);
    EXPECT_EQ(impl::directoryOfPath(impl::directoryPath(cell.service)), cell.service);
    for (const char *path : {"settings", "placement/s", "placement/s/z/", "placement/s/z/x",
                             "placement/s/z/3/4", "placement/s/z/99999999999"})
        EXPECT_FALSE(impl::cellOfPath(path)) << path;
}

} // namespace
} // namespace yuccaspan
