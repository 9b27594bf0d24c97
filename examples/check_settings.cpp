// Merges settings files and prints the settings in force, or every error with its place.
#include <yuccaspan/settings_io.hpp>

#include <iostream>
#include <variant>
#include <vector>

namespace {

using namespace yuccaspan;

const SettingsFile base{"10-base.json", R"({
  "schema": 1,
  "zones": {"a": {"region": "rwanda"}, "b": {"region": "rwanda"}},
  "services": {"depot-stock": {
    "pathPrefix": "/depot-stock",
    "targets": {
      "stock-1": {"zone": "a", "address": "127.0.0.1", "port": 9001, "slots": 6},
      "stock-2": {"zone": "b", "address": "127.0.0.1", "port": 9002, "slots": 6}},
    "rules": {"10-lookup": {"kind": "lookup", "method": "GET", "repeatable": true,
                            "keySource": "path-segment"}}
  }}
})"};
const SettingsFile drain{"20-drain.json",
                         R"({"services":{"depot-stock":{"targets":{"stock-1":{"drain":true}}}}})"};
const SettingsFile mistake{"30-mistake.json",
                           R"({"services":{"depot-stock":{"targets":{"stock-1":{"zone":"c"}}}}})"};

void printErrors(const std::vector<Error> &errors)
{
    for (const Error &error : errors)
        std::cout << error << '\n';
}

/// Whether the second file drains the target that the first one brings in.
bool mergesFiles()
{
    const SettingsResult result = mergeSettings({drain, base});
    if (const auto *errors = std::get_if<std::vector<Error>>(&result)) {
        printErrors(*errors);
        return false;
    }
    const Settings &settings = std::get<LoadedSettings>(result).settings;
    const TargetSettings *target = settings.findTarget(TargetId("stock-1"));
    if (target == nullptr)
        return false;
    std::cout << target->id << " may receive work: " << settings.mayReceiveWork(*target) << '\n';
    return !settings.mayReceiveWork(*target);
}

/// Whether an unknown availability zone is reported at the file that names it.
bool reportsMistake()
{
    const SettingsResult result = mergeSettings({base, mistake});
    const auto *errors = std::get_if<std::vector<Error>>(&result);
    if (errors == nullptr)
        return false;
    printErrors(*errors);
    return errors->front().place.file == mistake.name;
}

} // namespace

int main()
{
    const bool merged = mergesFiles();
    const bool reported = reportsMistake();
    return merged && reported ? 0 : 1;
}
