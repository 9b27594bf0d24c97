#include "deployment.hpp"

namespace yuccaspan::review {

namespace {

constexpr std::size_t targetCount = 5;
constexpr std::chrono::seconds settleTimeout{30};
/// Time to watch after the evacuation; longer than any grant lasts.
constexpr std::chrono::seconds watchTime{9};
/// "may be applied seconds later": the kinds say 2 to 12 s.
constexpr std::chrono::milliseconds lateness{2500};
/// Two targets may share a key for that long by the rule OWNER, in seconds.
constexpr double sharedLimit = 0.5;

} // namespace

Verdict falseGrantAnswer(const CaseOptions &options, Record &record)
{
    LabDeployment deployment(options, record, {targetCount, true});
    if (!deployment.settled(settleTimeout)) {
        record.line("not settled; " + deployment.summary());
        return Verdict::NotRun;
    }
    // All grants are given and renewed for some seconds before the trouble.
    std::this_thread::sleep_for(std::chrono::seconds(4));
    std::atomic<bool> happened{!options.trouble};
    LabTarget &target = deployment.target(0);
    if (options.trouble)
        target.armLateGrant({lateness, true, [&happened] { happened = true; }});
    const bool armed = standins::waitUntil([&happened] { return happened.load(); }, settleTimeout);
    deployment.evacuate(target.zone());
    std::this_thread::sleep_for(watchTime);
    const bool run = deployment.gatewaysRun();
    record.line(deployment.summary());
    record.line("stale takes: " + std::to_string(deployment.judge().staleTakes())
                + " keys; longest shared hold: "
                + std::to_string(deployment.judge().longestShared()) + " s (more than "
                + std::to_string(sharedLimit) + " s is not judged if a grant was "
                + "taken late); requests begun on shared keys: "
                + std::to_string(deployment.judge().sharedStarts()));
    if (!armed || !run)
        return Verdict::NotRun;
    return deployment.judge().staleTakes() > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace yuccaspan::review
