#include "gateway/evidence/store_mark.hpp"

#include "gateway/datagram_key.hpp"
#include "gateway/news/object_json.hpp"

#include <nlohmann/json.hpp>

namespace yuccaspan::gateway {

namespace {

using nlohmann::json;

constexpr char questionKey = '?';
constexpr char answerKey = '!';
/// Ages are capped, so that one of a clock that was never set can be written.
constexpr Duration maxAge = std::chrono::hours(1);

json ageJson(Duration age)
{
    // Rounded up to whole milliseconds: a greater age is the safe error.
    const auto whole = std::chrono::ceil<std::chrono::milliseconds>(std::min(age, maxAge));
    return whole.count();
}

Duration ageOf(const json &value)
{
    const std::chrono::milliseconds age(value.get<std::int64_t>());
    if (age < Duration::zero() || age > maxAge)
        throw json::other_error::create(0, "age out of range", &value);
    return age;
}

json timeJson(TimePoint time)
{
    return time.time_since_epoch().count();
}

TimePoint timeOf(const json &value)
{
    return TimePoint(Duration(value.get<Duration::rep>()));
}

} // namespace

std::vector<std::uint8_t> encodeMarkQuestion(const MarkQuestion &question)
{
    json root{{std::string(1, questionKey), timeJson(question.askedAt)}};
    for (const auto &[kind, revision] : question.lacks)
        root["lacks"][toString(kind)] = revisionJson(revision);
    return json::to_cbor(root);
}

std::optional<MarkQuestion> decodeMarkQuestion(const std::vector<std::uint8_t> &bytes)
{
    if (!startsWithKey(bytes, questionKey))
        return std::nullopt;
    try {
        const json root = json::from_cbor(bytes);
        MarkQuestion question;
        question.askedAt = timeOf(root.at(std::string(1, questionKey)));
        const json lacks = root.value("lacks", json::object());
        for (const auto &item : lacks.items()) {
            if (const auto kind = fromString<ObjectKind>(item.key()))
                question.lacks[*kind] = revisionOf(item.value());
        }
        return question;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::vector<std::uint8_t> encodeMarkAnswer(const MarkAnswer &answer)
{
    json kinds = json::object();
    for (const auto &[kind, marked] : answer.mark.kinds)
        kinds[toString(kind)] = {revisionJson(marked.lastChange), revisionJson(marked.lastList),
                                 ageJson(marked.age)};
    json revisions = json::array();
    for (const auto &[revision, age] : answer.mark.revisions)
        revisions.push_back({revisionJson(revision), ageJson(age)});
    json root{{std::string(1, answerKey), timeJson(answer.askedAt)},
              {"kinds", std::move(kinds)},
              {"revisions", std::move(revisions)}};
    for (const auto &[kind, changes] : answer.changes)
        root["changes"][toString(kind)] = storedObjectsJson(changes);
    return json::to_cbor(root);
}

bool isMarkAnswer(const std::vector<std::uint8_t> &bytes) noexcept
{
    return startsWithKey(bytes, answerKey);
}

Result<MarkAnswer> decodeMarkAnswer(const std::vector<std::uint8_t> &bytes)
{
    try {
        const json root = json::from_cbor(bytes);
        MarkAnswer answer;
        answer.askedAt = timeOf(root.at(std::string(1, answerKey)));
        for (const auto &item : root.at("kinds").items()) {
            // An instance of a later version may know further kinds.
            if (const auto kind = fromString<ObjectKind>(item.key()))
                answer.mark.kinds[*kind] = {revisionOf(item.value().at(0)),
                                            revisionOf(item.value().at(1)),
                                            ageOf(item.value().at(2))};
        }
        for (const json &item : root.at("revisions"))
            answer.mark.revisions.emplace_back(revisionOf(item.at(0)), ageOf(item.at(1)));
        const json changed = root.value("changes", json::object());
        for (const auto &item : changed.items()) {
            if (const auto kind = fromString<ObjectKind>(item.key()))
                answer.changes[*kind] = storedObjectsOf(item.value());
        }
        return answer;
    } catch (const json::exception &failure) {
        return Error{ErrorCode::ParseFailed, failure.what(), {}};
    }
}

} // namespace yuccaspan::gateway
