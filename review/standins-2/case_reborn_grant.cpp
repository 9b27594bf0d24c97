#include "deployment.hpp"

namespace yuccaspan::review {

namespace {

constexpr std::size_t targetCount = 5;
constexpr std::chrono::seconds settleTimeout{30};
/// Pause between the crash of a target and its next start.
constexpr std::chrono::milliseconds downTime{300};
/// Without the trouble, the store learns of the new life after that time.
constexpr std::chrono::milliseconds usualCut{2500};
/// Time from the unanswered grant to the end of the cut.
constexpr std::chrono::milliseconds cutLeft{300};
/// "may be applied seconds later": the kinds say 2 to 12 s.
constexpr std::chrono::milliseconds lateness{2500};
/// An entry goes after three check-in intervals of silence, of 0.87 s each.
constexpr std::chrono::milliseconds maxCut{2610};
/// Time to watch after the cut; longer than any grant lasts.
constexpr std::chrono::seconds watchTime{9};

} // namespace

Verdict rebornGrant(const CaseOptions &options, Record &record)
{
    LabDeployment deployment(options, record, {targetCount, true});
    if (!deployment.settled(settleTimeout)) {
        record.line("not settled; " + deployment.summary());
        return Verdict::NotRun;
    }
    std::this_thread::sleep_for(std::chrono::seconds(4));
    std::atomic<bool> happened{false};
    LabTarget &target = deployment.target(0);
    record.line(target.id() + " is cut off from the store");
    const auto cutSince = LabClock::now();
    target.restart(downTime);
    bool armed = true;
    if (options.trouble) {
        target.armLateGrant({lateness, false, [&happened] { happened = true; }});
        armed = standins::waitUntil([&happened] { return happened.load(); }, settleTimeout);
        std::this_thread::sleep_for(cutLeft);
    } else {
        std::this_thread::sleep_until(cutSince + usualCut);
    }
    const std::chrono::duration<double> cut = LabClock::now() - cutSince;
    record.line("the cut ends after " + std::to_string(cut.count()) + " s; the store learns of the "
                + "new life of " + target.id());
    constexpr std::int64_t secondLife = 2;
    deployment.registerTarget(0, secondLife);
    std::this_thread::sleep_for(watchTime);
    const bool run = deployment.gatewaysRun();
    record.line(deployment.summary());
    record.line("stale takes: " + std::to_string(deployment.judge().staleTakes())
                + " keys; longest shared hold: "
                + std::to_string(deployment.judge().longestShared())
                + " s; requests begun on shared keys: "
                + std::to_string(deployment.judge().sharedStarts()));
    if (!armed || !run || cut > maxCut)
        return Verdict::NotRun;
    return deployment.judge().staleTakes() > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace yuccaspan::review
