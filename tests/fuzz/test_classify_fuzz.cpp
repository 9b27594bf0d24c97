#include "fuzz/generators.hpp"

#include "http/classify.hpp"

namespace yuccaspan::impl {
namespace {

Settings makeSettings()
{
    ServiceSettings service;
    service.name = ServiceName("stock");
    service.pathPrefix = "/stock";
    for (const KeySource source : {KeySource::Header, KeySource::PathSegment, KeySource::Query}) {
        RequestRule rule;
        rule.kind = toString(source);
        rule.path = std::string("/") + rule.kind;
        rule.keySource = source;
        rule.keyName = "key";
        rule.keySegment = 1;
        service.rules.push_back(rule);
    }
    Settings settings;
    settings.services = {service};
    return settings;
}

/// A request target similar to the valid ones.
std::string anyTarget()
{
    const auto start = *rc::gen::element<std::string>("/stock", "/stock/header", "/stock/query",
                                                      "/stock/path-segment", "", "/", "http://x");
    const auto middle = *rc::gen::element<std::string>("", "/", "?key=", "/k%2", "/%", "?%%%=&&key",
                                                       "/../stock", "//", "#");
    return start + middle + fuzz::any<std::string>();
}

RC_GTEST_PROP(ClassifyFuzz, ReturnsKeyOrReasonForEveryTarget, ())
{
    const Settings settings = makeSettings();
    const auto header = fuzz::any<std::string>();
    for (int i = 0; i < fuzz::corruptionsPerCase; ++i) {
        const std::string target = anyTarget();
        const RequestHead head{"GET", target,
                               [&](std::string_view) { return std::string_view(header); }};
        const auto result = classify(settings, head);
        if (const auto *reason = std::get_if<Reason>(&result)) {
            RC_ASSERT(*reason == Reason::NoRule || *reason == Reason::KeyMissing
                      || *reason == Reason::BadRequest);
            continue;
        }
        const auto &place = std::get<Classified>(result);
        RC_ASSERT(place.rule != nullptr && !place.key.empty());
        RC_ASSERT(place.hash == hashKey(place.key));
    }
}

} // namespace
} // namespace yuccaspan::impl
