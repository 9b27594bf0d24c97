// JSON form of cell records.
#include "yuccaspan/cell_record.hpp"

#include "placement/record_json.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace yuccaspan {

std::string CellId::path() const
{
    return "placement/" + service.text() + "/" + zone.text() + "/" + std::to_string(index);
}

namespace impl {
namespace {

using Json = nlohmann::json;

constexpr int recordSchema = 1;

Json sliceToJson(const SliceRecord &slice)
{
    Json json{{"first", keyHashText(slice.range.first)},
              {"last", keyHashText(slice.range.last)},
              {"owner", slice.owner.text()},
              {"token", slice.token.value}};
    if (slice.phase == SlicePhase::Moving) {
        json["phase"] = toString(slice.phase);
        json["nextOwner"] = slice.nextOwner.text();
        json["nextToken"] = slice.nextToken.value;
    }
    return json;
}

bool readSlice(const Json &json, SliceRecord &slice)
{
    std::string owner;
    bool isValid = readRange(json, slice.range) && readText(json, "owner", owner)
        && readNumber(json, "token", slice.token.value);
    slice.owner = TargetId(owner);
    if (!isValid || !json.contains("phase"))
        return isValid;
    std::string phase;
    std::string nextOwner;
    isValid = readText(json, "phase", phase) && readText(json, "nextOwner", nextOwner)
        && readNumber(json, "nextToken", slice.nextToken.value);
    slice.nextOwner = TargetId(nextOwner);
    slice.phase = SlicePhase::Moving;
    return isValid && fromString<SlicePhase>(phase) == SlicePhase::Moving;
}

bool readCandidates(const Json &json, std::vector<InstanceId> &candidates)
{
    const auto found = json.find("candidates");
    if (found == json.end() || !found->is_array())
        return false;
    for (const Json &entry : *found) {
        if (!entry.is_string())
            return false;
        candidates.emplace_back(entry.get<std::string>());
    }
    return true;
}

bool readSlices(const Json &json, std::vector<SliceRecord> &slices)
{
    const auto found = json.find("slices");
    if (found == json.end() || !found->is_array())
        return false;
    slices.resize(found->size());
    for (std::size_t i = 0; i < slices.size(); ++i) {
        if (!readSlice((*found)[i], slices[i]))
            return false;
    }
    return true;
}

bool readRecord(const Json &json, CellRecord &record)
{
    std::string placer;
    const bool isValid = readCellId(json, record.cell) && readRange(json, record.range)
        && readNumber(json, "term", record.term.value) && readText(json, "placer", placer)
        && readCandidates(json, record.candidates)
        && readNumber(json, "lastToken", record.lastToken.value)
        && readNumber(json, "settingsVersion", record.settingsVersion.value)
        && readSlices(json, record.slices);
    record.placer = InstanceId(placer);
    return isValid;
}

bool tokensAreConsistent(const CellRecord &record)
{
    return std::ranges::all_of(record.slices, [&](const SliceRecord &slice) {
        if (slice.token > record.lastToken || slice.nextToken > record.lastToken)
            return false;
        return slice.phase == SlicePhase::Settled
            || (!slice.nextOwner.empty() && slice.nextToken > slice.token);
    });
}

} // namespace

bool coversWithoutGaps(const CellRecord &record)
{
    if (record.slices.empty() || record.slices.front().range.first != record.range.first
        || record.slices.back().range.last != record.range.last)
        return false;
    for (std::size_t i = 0; i < record.slices.size(); ++i) {
        const KeyRange &range = record.slices[i].range;
        if (range.first > range.last)
            return false;
        if (i == 0)
            continue;
        // Adding 1 to the highest hash wraps around to 0, so the order is checked as well.
        const KeyHash before = record.slices[i - 1].range.last;
        if (before >= range.first || before + 1 != range.first)
            return false;
    }
    return true;
}

} // namespace impl

Result<std::string> encodeCellRecord(const CellRecord &record)
{
    impl::Json json = impl::cellIdToJson(record.cell);
    json["schema"] = impl::recordSchema;
    json["first"] = keyHashText(record.range.first);
    json["last"] = keyHashText(record.range.last);
    json["term"] = record.term.value;
    json["placer"] = record.placer.text();
    json["lastToken"] = record.lastToken.value;
    json["settingsVersion"] = record.settingsVersion.value;
    json["candidates"] = impl::Json::array();
    for (const InstanceId &candidate : record.candidates)
        json["candidates"].push_back(candidate.text());
    json["slices"] = impl::Json::array();
    for (const SliceRecord &slice : record.slices)
        json["slices"].push_back(impl::sliceToJson(slice));
    std::string text = json.dump(-1, ' ', false, impl::Json::error_handler_t::replace);
    if (text.size() > maxCellRecordBytes) {
        return Error{ErrorCode::LimitExceeded,
                     "the record of cell " + record.cell.path() + " has "
                         + std::to_string(text.size()) + " bytes; the limit is "
                         + std::to_string(maxCellRecordBytes) + " bytes",
                     {}};
    }
    return text;
}

Result<CellRecord> decodeCellRecord(std::string_view text)
{
    const impl::Json json = impl::Json::parse(text, nullptr, false);
    if (json.is_discarded())
        return Error{ErrorCode::ParseFailed, "the cell record is not valid JSON", {}};
    std::uint64_t schema = 0;
    if (!json.is_object() || !impl::readNumber(json, "schema", schema))
        return Error{ErrorCode::SchemaViolation, "the cell record has no schema number", {}};
    if (schema > impl::recordSchema)
        return Error{ErrorCode::UnsupportedSchema, "the cell record has a newer schema", {}};
    CellRecord record;
    if (!impl::readRecord(json, record))
        return Error{ErrorCode::SchemaViolation, "a field of the cell record is invalid", {}};
    if (!impl::coversWithoutGaps(record))
        return Error{ErrorCode::SchemaViolation, "the slices do not cover the cell", {}};
    if (!impl::tokensAreConsistent(record))
        return Error{ErrorCode::SchemaViolation, "a token of the cell record is invalid", {}};
    return record;
}

} // namespace yuccaspan
