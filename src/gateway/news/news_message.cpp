#include "gateway/news/news_message.hpp"

#include "gateway/news/object_json.hpp"

#include <nlohmann/json.hpp>

#include <array>

namespace yuccaspan::gateway {

namespace {

using nlohmann::json;

/// Ages are capped, so that one of a clock that was never set can be written.
constexpr Duration maxAge = std::chrono::hours(1);

constexpr std::array<std::pair<ObjectKind, const char *>, 4> kindNames{{
    {ObjectKind::Settings, "settings"},
    {ObjectKind::Targets, "targets"},
    {ObjectKind::Evacuations, "evacuations"},
    {ObjectKind::Instances, "instances"},
}};

double milliseconds(Duration span)
{
    return std::chrono::duration<double, std::milli>(std::min(span, maxAge)).count();
}

Duration spanOf(const json &value)
{
    const double count = value.get<double>();
    const double most = std::chrono::duration<double, std::milli>(maxAge).count();
    if (!(count >= 0 && count <= most))
        throw json::other_error::create(0, "span out of range", &value);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(count));
}

std::vector<StoredObject> objectsOf(const json &values)
{
    if (values.size() > maxNewsObjects)
        throw json::other_error::create(0, "too many objects", &values);
    std::vector<StoredObject> objects;
    for (const json &value : values)
        objects.push_back(storedObjectOf(value));
    return objects;
}

json objectsJson(const std::vector<StoredObject> &objects)
{
    json out = json::array();
    for (const StoredObject &object : objects)
        out.push_back(storedObjectJson(object));
    return out;
}

std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string encodeNews(const NewsQuestion &question)
{
    json kinds = json::object();
    for (const auto &[kind, name] : kindNames) {
        if (const auto found = question.kinds.find(kind); found != question.kinds.end())
            kinds[name] = revisionJson(found->second);
    }
    json maps = json::object();
    for (const auto &[service, revision] : question.maps)
        maps[service] = revisionJson(revision);
    return dump({{"from", question.from},
                 {"waitMs", milliseconds(question.wait)},
                 {"kinds", std::move(kinds)},
                 {"maps", std::move(maps)},
                 {"lease", revisionJson(question.lease)}});
}

Result<NewsQuestion> decodeNewsQuestion(std::string_view text)
{
    try {
        const json root = json::parse(text);
        NewsQuestion question;
        question.from = root.at("from").get<std::string>();
        question.wait = spanOf(root.at("waitMs"));
        for (const auto &[kind, name] : kindNames) {
            if (const auto found = root.at("kinds").find(name); found != root.at("kinds").end())
                question.kinds[kind] = revisionOf(*found);
        }
        for (const auto &item : root.at("maps").items())
            question.maps[item.key()] = revisionOf(item.value());
        question.lease = revisionOf(root.at("lease"));
        return question;
    } catch (const json::exception &failure) {
        return Error{ErrorCode::ParseFailed, failure.what(), {}};
    }
}

std::string encodeNews(const NewsAnswer &answer)
{
    json kinds = json::object();
    for (const auto &[kind, name] : kindNames) {
        const auto found = answer.kinds.find(kind);
        if (found == answer.kinds.end())
            continue;
        const KindNews &news = found->second;
        kinds[name] = {{"revision", revisionJson(news.changes.revision)},
                       {"ageMs", milliseconds(news.age)},
                       {"gap", news.gap},
                       {"more", news.changes.mayHaveMore},
                       {"changes", objectsJson(news.changes.objects)}};
    }
    json root{{"heldMs", milliseconds(answer.held)},
              {"kinds", std::move(kinds)},
              {"maps", objectsJson(answer.maps)}};
    if (answer.lease) {
        root["lease"] = storedObjectJson(*answer.lease);
        root["leaseAgeMs"] = milliseconds(answer.leaseAge);
    }
    return dump(root);
}

Result<NewsAnswer> decodeNewsAnswer(std::string_view text)
{
    try {
        const json root = json::parse(text);
        NewsAnswer answer;
        answer.held = spanOf(root.at("heldMs"));
        for (const auto &[kind, name] : kindNames) {
            const auto found = root.at("kinds").find(name);
            if (found == root.at("kinds").end())
                continue;
            KindNews &news = answer.kinds[kind];
            news.gap = found->at("gap").get<bool>();
            news.age = spanOf(found->at("ageMs"));
            news.changes.revision = revisionOf(found->at("revision"));
            news.changes.mayHaveMore = found->at("more").get<bool>();
            news.changes.objects = objectsOf(found->at("changes"));
        }
        answer.maps = objectsOf(root.at("maps"));
        if (const auto lease = root.find("lease"); lease != root.end()) {
            answer.lease = storedObjectOf(*lease);
            answer.leaseAge = spanOf(root.at("leaseAgeMs"));
        }
        return answer;
    } catch (const json::exception &failure) {
        return Error{ErrorCode::ParseFailed, failure.what(), {}};
    }
}

} // namespace yuccaspan::gateway
