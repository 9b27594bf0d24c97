#include "gateway/news/object_json.hpp"

namespace yuccaspan::gateway {

namespace {

using nlohmann::json;

/// Levels of an object that are passed on; writing JSON recurses for each.
constexpr int maxLevels = 32;
json upToLevel(const json &value, int levels)
{
    if (!value.is_structured())
        return value;
    if (levels == 0)
        return nullptr;
    json out = value.is_array() ? json::array() : json::object();
    for (const auto &item : value.items()) {
        if (value.is_array())
            out.push_back(upToLevel(item.value(), levels - 1));
        else
            out[item.key()] = upToLevel(item.value(), levels - 1);
    }
    return out;
}

} // namespace

json storedObjectJson(const StoredObject &object)
{
    json out{{"name", object.name}, {"revision", revisionJson(object.revision)}};
    if (object.deleted)
        out["deleted"] = true;
    if (!object.text.empty())
        out["text"] = object.text;
    else if (object.body && !object.deleted)
        out["body"] = upToLevel(*object.body, maxLevels);
    return out;
}

StoredObject storedObjectOf(const json &value)
{
    StoredObject object;
    object.name = value.at("name").get<std::string>();
    object.revision = revisionOf(value.at("revision"));
    object.deleted = value.value("deleted", false);
    object.text = value.value("text", std::string());
    if (const auto body = value.find("body"); body != value.end())
        object.body = std::make_shared<const json>(*body);
    return object;
}

json storedObjectsJson(const StoredObjects &objects)
{
    json items = json::array();
    for (const StoredObject &object : objects.objects)
        items.push_back(storedObjectJson(object));
    return {{"upTo", revisionJson(objects.revision)}, {"objects", std::move(items)}};
}

StoredObjects storedObjectsOf(const json &value)
{
    StoredObjects objects;
    objects.revision = revisionOf(value.at("upTo"));
    for (const json &item : value.at("objects"))
        objects.objects.push_back(storedObjectOf(item));
    return objects;
}

} // namespace yuccaspan::gateway
