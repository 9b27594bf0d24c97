#include "ctl/command.hpp"
#include "ctl/document_diff.hpp"
#include "ctl/publish.hpp"
#include "ctl/wait_in_force.hpp"
#include "yuccaspan/settings_io.hpp"

#include <sstream>

namespace yuccaspan::impl {

namespace {

/// The changes that applying a folder makes.
struct Plan
{
    StoredSettings stored;
    Json document;
    std::vector<DocumentChange> changes;
};

/// A plan, or the output of a failure.
using PlanResult = std::variant<Plan, CommandOutput>;

PlanResult makePlan(CommandContext &context)
{
    const SettingsResult folder = readSettingsFolder(context.options.arguments.front());
    if (const auto *errors = std::get_if<std::vector<Error>>(&folder))
        return failure(*errors);
    const std::optional<std::uint64_t> expect = context.options.expect;
    Result<StoredSettings> stored =
        expect ? readStoredAt(*context.store, {*expect}) : readStored(*context.store);
    if (!stored)
        return failure(stored.error());
    Plan plan;
    plan.document = keepOperationalFields(Json::parse(std::get<LoadedSettings>(folder).document),
                                          stored->document);
    const SettingsResult checked = checkSettings(plan.document.dump());
    if (const auto *errors = std::get_if<std::vector<Error>>(&checked))
        return failure(*errors);
    plan.changes = diffDocuments(stored->document, plan.document);
    plan.stored = std::move(*stored);
    return plan;
}

Json changesJson(const std::vector<DocumentChange> &changes)
{
    Json json = Json::array();
    for (const DocumentChange &change : changes)
        json.push_back(
            {{"pointer", change.pointer}, {"before", change.before}, {"after", change.after}});
    return json;
}

std::string changesText(const std::vector<DocumentChange> &changes)
{
    std::string text;
    for (const DocumentChange &change : changes) {
        if (change.before.is_null())
            text += "+ " + change.pointer + ": " + change.after.dump() + '\n';
        else if (change.after.is_null())
            text += "- " + change.pointer + ": " + change.before.dump() + '\n';
        else
            text += "~ " + change.pointer + ": " + change.before.dump() + " -> "
                + change.after.dump() + '\n';
    }
    return text;
}

/// Waits for all instances if the command line requests it, and extends the output.
CommandOutput waitIfRequested(CommandContext &context, CommandOutput output, ObjectVersion version)
{
    if (!context.options.wait)
        return output;
    return waitInForce(context, std::move(output), version);
}

} // namespace

CommandOutput runCheck(CommandContext &context)
{
    const SettingsResult folder = readSettingsFolder(context.options.arguments.front());
    if (const auto *errors = std::get_if<std::vector<Error>>(&folder))
        return failure(*errors);
    const Settings &settings = std::get<LoadedSettings>(folder).settings;
    std::size_t targets = 0;
    for (const ServiceSettings &service : settings.services)
        targets += service.targets.size();
    CommandOutput output;
    output.json = {{"ok", true},
                   {"zones", settings.zones.size()},
                   {"services", settings.services.size()},
                   {"targets", targets}};
    output.text = "ok: " + std::to_string(settings.zones.size()) + " zones, "
        + std::to_string(settings.services.size()) + " services, " + std::to_string(targets)
        + " targets\n";
    return output;
}

CommandOutput runDiff(CommandContext &context)
{
    PlanResult made = makePlan(context);
    if (auto *output = std::get_if<CommandOutput>(&made))
        return std::move(*output);
    const Plan &plan = std::get<Plan>(made);
    CommandOutput output;
    output.json = {{"version", plan.stored.version.value}, {"changes", changesJson(plan.changes)}};
    output.text = changesText(plan.changes) + std::to_string(plan.changes.size())
        + " changes to version " + std::to_string(plan.stored.version.value) + '\n';
    return output;
}

CommandOutput runApply(CommandContext &context)
{
    PlanResult made = makePlan(context);
    if (auto *output = std::get_if<CommandOutput>(&made))
        return std::move(*output);
    const Plan &plan = std::get<Plan>(made);
    ObjectVersion version = plan.stored.version;
    if (!plan.changes.empty()) {
        const Result<ObjectVersion> published = publish(*context.store, version, plan.document);
        if (!published)
            return failure(published.error());
        version = *published;
    }
    CommandOutput output;
    output.json = {
        {"ok", true}, {"version", version.value}, {"changes", changesJson(plan.changes)}};
    output.text = changesText(plan.changes) + "version " + std::to_string(version.value)
        + (plan.changes.empty() ? " is unchanged\n" : " published\n");
    return waitIfRequested(context, std::move(output), version);
}

namespace {

CommandOutput runEdit(CommandContext &context, const SettingsEdit &edit)
{
    const Result<EditResult> edited = editStored(*context.store, edit);
    if (!edited)
        return failure(edited.error());
    const std::string version = std::to_string(edited->version.value);
    CommandOutput output;
    output.json = {{"ok", true}, {"version", edited->version.value}, {"changed", edited->changed}};
    output.text = edited->changed ? "version " + version + " published\n"
                                  : "version " + version + " is unchanged\n";
    return waitIfRequested(context, std::move(output), edited->version);
}

} // namespace

CommandOutput runZone(CommandContext &context)
{
    const std::string &direction = context.options.arguments.at(0);
    if (direction != "out" && direction != "in")
        return usageFailure("expected zone out ZONE or zone in ZONE");
    const bool out = direction == "out";
    if (!out && context.options.stopped)
        return usageFailure("--stopped is only valid with zone out");
    SettingsEdit edit;
    edit.pointer = childPointer("/zones", context.options.arguments.at(1));
    edit.patch = {{"out", out}};
    if (!out)
        edit.patch["stopped"] = false;
    else if (context.options.stopped)
        edit.patch["stopped"] = true;
    return runEdit(context, edit);
}

CommandOutput runDrain(CommandContext &context)
{
    const TargetId target(context.options.arguments.front());
    const Result<StoredSettings> stored = readStored(*context.store);
    if (!stored)
        return failure(stored.error());
    if (stored->document.is_null())
        return failure({ErrorCode::NotFound, "the store holds no settings", {}});
    const Result<Settings> settings = parseSettings(stored->document.dump());
    if (!settings)
        return failure(settings.error());
    for (const ServiceSettings &service : settings->services) {
        for (const TargetSettings &candidate : service.targets) {
            if (candidate.id != target)
                continue;
            const std::string targets = childPointer("/services", service.name.text()) + "/targets";
            const SettingsEdit edit{childPointer(targets, target.text()),
                                    {{"drain", !context.options.undo}}};
            return runEdit(context, edit);
        }
    }
    return failure({ErrorCode::NotFound, "no target \"" + target.text() + "\"", {}});
}

} // namespace yuccaspan::impl
