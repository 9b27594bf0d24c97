#include "ctl/document_diff.hpp"

#include <array>

namespace yuccaspan::impl {

namespace {

void diffInto(std::vector<DocumentChange> &changes, const Json &before, const Json &after,
              const std::string &pointer)
{
    if (before == after)
        return;
    if (!before.is_object() || !after.is_object()) {
        changes.push_back({pointer, before, after});
        return;
    }
    Json names = before;
    names.update(after);
    for (const auto &[name, ignored] : names.items())
        diffInto(changes, before.value(name, Json()), after.value(name, Json()),
                 childPointer(pointer, name));
}

/// A member that is an object, or an empty object.
Json objectMember(const Json &json, const std::string &name)
{
    const bool isObject = json.is_object() && json.contains(name) && json.at(name).is_object();
    return isObject ? json.at(name) : Json::object();
}

/// Copies fields that the folder does not set, for members that both documents have.
template <std::size_t count>
void keepFields(Json &folder, const Json &stored, const std::array<const char *, count> &fields)
{
    for (auto &[name, member] : folder.items()) {
        const Json before = objectMember(stored, name);
        for (const char *field : fields) {
            if (!member.contains(field) && before.contains(field))
                member[field] = before[field];
        }
    }
}

constexpr std::array zoneFields{"out", "stopped"};
constexpr std::array targetFields{"drain"};

} // namespace

std::vector<DocumentChange> diffDocuments(const Json &before, const Json &after)
{
    std::vector<DocumentChange> changes;
    diffInto(changes, before.is_null() ? Json::object() : before, after, "");
    return changes;
}

Json keepOperationalFields(Json folder, const Json &stored)
{
    keepFields(folder["zones"], objectMember(stored, "zones"), zoneFields);
    const Json storedServices = objectMember(stored, "services");
    for (auto &[name, service] : folder["services"].items()) {
        const Json storedService = objectMember(storedServices, name);
        keepFields(service["targets"], objectMember(storedService, "targets"), targetFields);
    }
    return folder;
}

} // namespace yuccaspan::impl
