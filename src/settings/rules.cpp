#include "settings/rules.hpp"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <array>
#include <map>

namespace yuccaspan::impl {

namespace {

/// The input of the validation rules and the errors that they report.
class Check
{
public:
    Check(const Settings &settings, const Json &document)
        : m_settings(settings), m_document(document)
    { }

    [[nodiscard]] const Settings &settings() const { return m_settings; }

    void report(std::string pointer, std::string text)
    {
        m_errors.push_back({ErrorCode::InvalidArgument, std::move(text),
                            SourcePlace{"", std::move(pointer), 0, 0}});
    }

    /// \name JSON pointers
    /// @{
    [[nodiscard]] static std::string pointer(const ServiceSettings &service)
    {
        return childPointer("/services", service.name.text());
    }
    [[nodiscard]] static std::string pointer(const ServiceSettings &service,
                                             const TargetSettings &target)
    {
        return childPointer(pointer(service) + "/targets", target.id.text());
    }
    [[nodiscard]] std::string ruleName(const ServiceSettings &service, std::size_t index) const
    {
        const Json &rules = m_document.at("services").at(service.name.text()).at("rules");
        return std::next(rules.begin(), static_cast<std::ptrdiff_t>(index)).key();
    }
    [[nodiscard]] std::string rulePointer(const ServiceSettings &service, std::size_t index) const
    {
        return childPointer(pointer(service) + "/rules", ruleName(service, index));
    }
    /// @}

    std::vector<Error> take() { return std::move(m_errors); }

private:
    const Settings &m_settings;
    const Json &m_document;
    std::vector<Error> m_errors;
};

/// Whether a path starts with a prefix that ends at a segment boundary.
bool isPathPrefix(const std::string &prefix, const std::string &path)
{
    if (!path.starts_with(prefix))
        return false;
    return path.size() == prefix.size() || path[prefix.size()] == '/';
}

/// Calls a function with each target and its service.
template <typename Function>
void forEachTarget(const Settings &settings, Function function)
{
    for (const ServiceSettings &service : settings.services) {
        for (const TargetSettings &target : service.targets)
            function(service, target);
    }
}

/// Calls a function with each request rule, its service and its index.
template <typename Function>
void forEachRule(const Settings &settings, Function function)
{
    for (const ServiceSettings &service : settings.services) {
        for (std::size_t index = 0; index < service.rules.size(); ++index)
            function(service, service.rules[index], index);
    }
}

void checkTargetZones(Check &check)
{
    forEachTarget(check.settings(), [&](const auto &service, const auto &target) {
        if (target.zone.empty() || check.settings().findZone(target.zone) != nullptr)
            return;
        check.report(check.pointer(service, target) + "/zone",
                     "unknown zone \"" + target.zone.text()
                         + "\": expected the name of a member of /zones");
    });
}

void checkTargetAddresses(Check &check)
{
    forEachTarget(check.settings(), [&](const auto &service, const auto &target) {
        boost::system::error_code failure;
        const auto address = boost::asio::ip::make_address(target.address, failure);
        if (target.address.empty() || (!failure && !address.is_unspecified()))
            return;
        check.report(check.pointer(service, target) + "/address",
                     "expected a numeric IP address, found \"" + target.address + "\"");
    });
}

void checkDuplicateAddresses(Check &check)
{
    std::map<std::pair<std::string, std::uint16_t>, TargetId> users;
    forEachTarget(check.settings(), [&](const auto &service, const auto &target) {
        if (target.address.empty() || target.port == 0)
            return;
        const auto [user, isFirst] =
            users.emplace(std::pair(target.address, target.port), target.id);
        if (isFirst)
            return;
        check.report(check.pointer(service, target) + "/port",
                     target.address + " port " + std::to_string(target.port)
                         + " is already used by target \"" + user->second.text() + "\"");
    });
}

void checkDuplicateTargets(Check &check)
{
    std::map<TargetId, ServiceName> owners;
    forEachTarget(check.settings(), [&](const auto &service, const auto &target) {
        const auto [owner, isFirst] = owners.emplace(target.id, service.name);
        if (isFirst)
            return;
        check.report(check.pointer(service, target),
                     "a target with this name exists in service \"" + owner->second.text()
                         + "\": expected a name that is unique across all services");
    });
}

void checkConnectionCounts(Check &check)
{
    forEachTarget(check.settings(), [&](const auto &service, const auto &target) {
        if (target.connections >= target.slots)
            return;
        check.report(check.pointer(service, target) + "/connections",
                     std::to_string(target.connections) + " connections cannot carry "
                         + std::to_string(target.slots)
                         + " slots: expected at least as many connections as slots");
    });
}

void checkServableZones(Check &check)
{
    for (const ServiceSettings &service : check.settings().services) {
        const bool anyKnown = std::ranges::any_of(service.targets, [&](const auto &target) {
            return check.settings().findZone(target.zone) != nullptr;
        });
        const bool anyUsable = std::ranges::any_of(service.targets, [&](const auto &target) {
            return check.settings().mayReceiveWork(target);
        });
        if (anyKnown && !anyUsable)
            check.report(check.pointer(service) + "/targets",
                         "every target is drained or in a zone that is out: expected at least one "
                         "that may receive work");
    }
}

void checkSliceBounds(Check &check)
{
    for (const ServiceSettings &service : check.settings().services) {
        const std::uint64_t slices =
            std::uint64_t{service.slicesPerTarget} * service.targets.size();
        const std::uint64_t bound = std::uint64_t{service.maxSlicesPerCell} * service.cellsPerZone;
        if (slices > bound)
            check.report(check.pointer(service) + "/slicesPerTarget",
                         std::to_string(slices)
                             + " slices for all targets: expected at most maxSlicesPerCell times "
                               "cellsPerZone, "
                             + std::to_string(bound));
    }
}

void checkPathPrefixes(Check &check)
{
    std::map<std::string, ServiceName> users;
    for (const ServiceSettings &service : check.settings().services) {
        if (service.pathPrefix.empty())
            continue;
        const auto [user, isFirst] = users.emplace(service.pathPrefix, service.name);
        if (!isFirst)
            check.report(check.pointer(service) + "/pathPrefix",
                         "\"" + service.pathPrefix + "\" already selects service \""
                             + user->second.text() + "\"");
    }
}

/// Reports rules that match nothing because a longer prefix selects another service.
void checkHiddenPaths(Check &check)
{
    forEachRule(check.settings(), [&](const auto &service, const auto &rule, std::size_t index) {
        if (service.pathPrefix.empty() || rule.path.empty())
            return;
        const std::string whole = service.pathPrefix + rule.path;
        for (const ServiceSettings &other : check.settings().services) {
            const bool isLonger = other.pathPrefix.size() > service.pathPrefix.size();
            if (isLonger && isPathPrefix(other.pathPrefix, whole))
                check.report(check.rulePointer(service, index) + "/path",
                             "matches nothing: \"" + whole + "\" selects service \""
                                 + other.name.text() + "\"");
        }
    });
}

void checkRulesPresent(Check &check)
{
    for (const ServiceSettings &service : check.settings().services) {
        if (service.rules.empty())
            check.report(check.pointer(service) + "/rules",
                         "no rule: expected at least one, since requests without a rule are "
                         "refused");
    }
}

/// Whether every request that the later rule matches is matched by the earlier one.
bool shadows(const RequestRule &earlier, const RequestRule &later)
{
    const bool method = earlier.method.empty() || earlier.method == later.method;
    return method && isPathPrefix(earlier.path, later.path);
}

void checkShadowedRules(Check &check)
{
    forEachRule(check.settings(), [&](const auto &service, const auto &rule, std::size_t index) {
        for (std::size_t earlier = 0; earlier < index; ++earlier) {
            if (!shadows(service.rules[earlier], rule))
                continue;
            check.report(check.rulePointer(service, index),
                         "matches nothing: rule \"" + check.ruleName(service, earlier)
                             + "\" comes first and matches all of it");
            return;
        }
    });
}

void checkKeySources(Check &check)
{
    forEachRule(check.settings(), [&](const auto &service, const auto &rule, std::size_t index) {
        const bool needsName = rule.keySource != KeySource::PathSegment;
        if (needsName && rule.keyName.empty())
            check.report(check.rulePointer(service, index),
                         "keySource \"" + std::string(toString(rule.keySource))
                             + "\" needs keyName");
    });
}

void checkKeySegments(Check &check)
{
    forEachRule(check.settings(), [&](const auto &service, const auto &rule, std::size_t index) {
        const auto fixed = std::ranges::count(rule.path, '/');
        if (rule.keySource != KeySource::PathSegment || rule.keySegment >= fixed)
            return;
        check.report(check.rulePointer(service, index) + "/keySegment",
                     "segment " + std::to_string(rule.keySegment) + " is the same in every path \""
                         + rule.path + "\" matches: expected at least " + std::to_string(fixed));
    });
}

void checkDeadlines(Check &check)
{
    forEachRule(check.settings(), [&](const auto &service, const auto &rule, std::size_t index) {
        if (rule.deadline <= Duration::zero())
            check.report(check.rulePointer(service, index) + "/deadlineMs",
                         "expected at least 0.001");
    });
}

void checkKinds(Check &check)
{
    std::map<std::string, bool> repeatableByKind;
    forEachRule(check.settings(), [&](const auto &service, const auto &rule, std::size_t index) {
        if (rule.kind.empty())
            return;
        const std::string key = service.name.text() + '/' + rule.kind;
        const auto [known, isFirst] = repeatableByKind.emplace(key, rule.repeatable);
        if (!isFirst && known->second != rule.repeatable)
            check.report(check.rulePointer(service, index) + "/repeatable",
                         "kind \"" + rule.kind
                             + "\" has another value in an earlier rule: expected the same");
    });
}

void checkStoppedZones(Check &check)
{
    for (const ZoneSettings &zone : check.settings().zones) {
        if (zone.stopped && !zone.out)
            check.report(childPointer("/zones", zone.id.text()) + "/stopped",
                         "expected only together with \"out\": true");
    }
}

using Rule = void (*)(Check &);

constexpr std::array<Rule, 16> allRules{
    checkStoppedZones,
    checkPathPrefixes,
    checkRulesPresent,
    checkSliceBounds,
    checkTargetZones,
    checkTargetAddresses,
    checkConnectionCounts,
    checkServableZones,
    checkDuplicateAddresses,
    checkDuplicateTargets,
    checkKeySources,
    checkDeadlines,
    checkKinds,
    checkShadowedRules,
    checkHiddenPaths,
    checkKeySegments,
};

} // namespace

std::vector<Error> checkRules(const Settings &settings, const Json &document)
{
    Check check(settings, document);
    for (const Rule rule : allRules)
        rule(check);
    return check.take();
}

} // namespace yuccaspan::impl
