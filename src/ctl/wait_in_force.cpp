#include "ctl/wait_in_force.hpp"

#include "yuccaspan/instance_status.hpp"

#include <algorithm>
#include <map>

namespace yuccaspan::impl {

namespace {

constexpr Duration pollInterval = std::chrono::milliseconds(200);
constexpr Duration adminTimeout = std::chrono::seconds(2);

InstanceVersion queryInstance(CommandContext &context, const std::string &url)
{
    InstanceVersion instance;
    instance.name = url;
    const Result<HostPort> peer = parseHostPort(url);
    if (!peer)
        return instance;
    const HttpResult result =
        context.callAdmin(*peer, HttpCall{"GET", "/v1/status", {}, {}, adminTimeout});
    const auto *answer = std::get_if<HttpAnswer>(&result);
    if (answer == nullptr)
        return instance;
    const auto json = nlohmann::json::parse(answer->body, nullptr, false);
    if (!json.is_object() || !json.contains("settingsVersion")
        || !json["settingsVersion"].is_number_unsigned())
        return instance;
    instance.name = json.value("instance", url);
    instance.settingsVersion = {json["settingsVersion"].get<std::uint64_t>()};
    instance.leaving = json.value("leaving", false);
    instance.answered = true;
    return instance;
}

/// Latest records by full id and by name without start id; the platform's list may contain
/// either.
std::map<std::string, InstanceStatusRecord> latestRecords(StoreChanges objects)
{
    std::ranges::sort(objects.objects, {}, &StoreObject::version);
    std::map<std::string, InstanceStatusRecord> records;
    for (const StoreObject &object : objects.objects) {
        const Result<InstanceStatusRecord> record = decodeInstanceStatus(object.value);
        if (!record)
            continue;
        const std::string &id = record->id.text();
        records[id] = *record;
        records[id.substr(0, id.find('#'))] = *record;
    }
    return records;
}

Result<std::vector<InstanceVersion>> versionsFromStore(StoreSession &store)
{
    const Result<std::vector<ListedInstance>> listed = store.instances();
    if (!listed)
        return listed.error();
    const Result<StoreChanges> objects = store.list("status/");
    if (!objects)
        return objects.error();
    const std::map<std::string, InstanceStatusRecord> records = latestRecords(*objects);
    std::vector<InstanceVersion> versions;
    for (const ListedInstance &instance : *listed) {
        if (instance.role != "entry")
            continue;
        const auto record = records.find(instance.id);
        const bool known = record != records.end();
        versions.push_back({instance.id, known ? record->second.settingsVersion : ObjectVersion{},
                            instance.leaving || (known && record->second.leaving), known});
    }
    return versions;
}

/// Names of the instances that have not reached a version.
std::vector<std::string> lagging(const std::vector<InstanceVersion> &instances,
                                 ObjectVersion version)
{
    std::vector<std::string> names;
    for (const InstanceVersion &instance : instances) {
        if (!instance.leaving && instance.settingsVersion < version)
            names.push_back(instance.name);
    }
    return names;
}

CommandOutput inForce(CommandOutput output, std::size_t instances)
{
    output.json["inForce"] = true;
    output.json["lagging"] = nlohmann::json::array();
    output.text += "in force on all " + std::to_string(instances) + " instances\n";
    return output;
}

CommandOutput notInForce(CommandOutput output, const std::vector<std::string> &names)
{
    output.exitCode = exitNegative;
    output.json["inForce"] = false;
    output.json["lagging"] = names;
    output.text += "timed out waiting for the settings to be in force on:";
    for (const std::string &name : names)
        output.text += ' ' + name;
    output.text += '\n';
    return output;
}

} // namespace

Result<std::vector<InstanceVersion>> instanceVersions(CommandContext &context)
{
    if (context.options.admins.empty())
        return versionsFromStore(*context.store);
    std::vector<InstanceVersion> versions;
    for (const std::string &url : context.options.admins)
        versions.push_back(queryInstance(context, url));
    return versions;
}

CommandOutput waitInForce(CommandContext &context, CommandOutput output, ObjectVersion version)
{
    const TimePoint deadline = context.now() + context.options.timeout;
    for (;;) {
        const Result<std::vector<InstanceVersion>> instances = instanceVersions(context);
        const bool known = instances && !instances->empty();
        const std::vector<std::string> names =
            known ? lagging(*instances, version) : std::vector<std::string>{"(no known instances)"};
        if (names.empty())
            return inForce(std::move(output), instances->size());
        if (context.now() >= deadline)
            return notInForce(std::move(output), names);
        context.store->sleep(pollInterval);
    }
}

} // namespace yuccaspan::impl
