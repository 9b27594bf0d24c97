#include "deployment.hpp"

namespace yuccaspan::review {

namespace {

constexpr std::size_t targetCount = 7;
constexpr std::size_t callersPerGateway = 8;
constexpr std::chrono::seconds settleTimeout{30};
constexpr std::chrono::milliseconds darkTime{2000};
/// The warmup_s of the service.
constexpr std::chrono::milliseconds coldTime{3000};
/// warmup_per_s x warmup_factor + warmup_slack.
constexpr double coldBound = 11.0 * 1.5 + 5;
/// Well above the bound: half as much again.
constexpr std::size_t crashAbove = 32;
/// Time from the outage of the store to that of the upstream.
constexpr std::chrono::milliseconds lead{500};

} // namespace

Verdict coldReturn(const CaseOptions &options, Record &record)
{
    LabDeployment deployment(options, record, {targetCount, false, false, callersPerGateway});
    if (!deployment.settled(settleTimeout)) {
        record.line("not settled; " + deployment.summary());
        return Verdict::NotRun;
    }
    std::this_thread::sleep_for(std::chrono::seconds(5));
    LabTarget &target = deployment.target(0);
    if (options.trouble)
        deployment.setStoreBusy(true);
    std::this_thread::sleep_for(lead);
    target.goDark();
    std::this_thread::sleep_for(darkTime);
    target.comeBackCold(coldTime, crashAbove);
    constexpr std::int64_t secondLife = 2;
    if (!options.trouble)
        deployment.registerTarget(0, secondLife);
    std::this_thread::sleep_for(coldTime);
    if (options.trouble) {
        deployment.setStoreBusy(false);
        deployment.registerTarget(0, secondLife);
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const bool run = deployment.gatewaysRun();
    const std::size_t most = target.mostWhileCold();
    record.line(deployment.summary());
    record.line("most requests within a second at the cold upstream: " + std::to_string(most)
                + ", bound " + std::to_string(coldBound));
    if (!run)
        return Verdict::NotRun;
    return static_cast<double>(most) > coldBound ? Verdict::Broken : Verdict::Held;
}

} // namespace yuccaspan::review
