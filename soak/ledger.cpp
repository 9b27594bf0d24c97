#include "ledger.hpp"

#include <algorithm>
#include <array>

namespace yuccaspan::soak {

namespace {

constexpr unsigned statusNotFound = 404;
constexpr unsigned firstSuccess = 200;
constexpr unsigned firstRedirect = 300;
/// Violations that are kept; one fault can break a promise thousands of times.
constexpr std::size_t mostViolations = 50;
/// How much later than the caller's own a deadline may end (BUDGET).
constexpr Duration deadlineSlack = std::chrono::milliseconds(500);
/// Requests that may reach a target half a second after their caller left (GONE).
constexpr Duration goneSlack = std::chrono::milliseconds(500);
constexpr std::size_t mostAfterGone = 3;
/// Part of the requests that must be served after a recovery (RECOVER).
constexpr double recoveredPart = 0.25;

bool promisesNotRun(unsigned status)
{
    constexpr std::array<unsigned, 4> promises{408, 421, 429, 503};
    return std::ranges::find(promises, status) != promises.end();
}

} // namespace

void Ledger::broken(const std::string &rule, const std::string &what)
{
    if (m_violations.size() < mostViolations)
        m_violations.push_back(rule + ": " + what);
}

bool Ledger::calmSince(TimePoint when) const
{
    return m_troubles == 0 && m_lastTrouble + m_bounds.stability < when;
}

void Ledger::troubleEnds()
{
    --m_troubles;
    m_lastTrouble = m_now();
}

void Ledger::stopping(const std::string &instance, bool begins)
{
    if (begins)
        m_stopping.insert(instance);
    else
        m_stopping.erase(instance);
}

void Ledger::sent(const CallerRequest &request)
{
    m_requests[request.id].sent = request;
}

void Ledger::answered(const std::string &id, const CallerAnswer &answer)
{
    Request &request = m_requests.at(id);
    const bool success = answer.status >= firstSuccess && answer.status < firstRedirect;
    if (success) {
        m_signals.passedOn(request.sent.instance, request.answeredBy, request.heard, m_now());
        request.served = true;
        ++m_served;
        const bool whole = answer.body == platform_standins::answerBody(id)
            && answer.signature == platform_standins::answerSignature(id);
        if (!whole)
            broken("MIXED", "success for " + id + " is not its target's answer");
        if (request.runs == 0)
            broken("MIXED", "success for " + id + ", which no target ran");
    }
    if (!answer.requestId.empty() && answer.requestId != id)
        broken("MIXED", id + " got the answer to " + answer.requestId);
    if (answer.status == statusNotFound)
        broken("DENIED", id + " got 404 on a route that all desired states have");
    if (promisesNotRun(answer.status) && !request.sent.idempotent) {
        request.promisedNotRun = true;
        if (request.runs > 0)
            broken("REFUSED", id + " got " + std::to_string(answer.status) + " and had run");
    }
}

void Ledger::cut(const std::string &id)
{
    const Request &request = m_requests.at(id);
    const std::string &instance = request.sent.instance;
    if (m_stopping.contains(instance) && calmSince(request.sent.sentAt))
        broken("LOST", id + " was cut by the planned stop of " + instance);
}

void Ledger::gaveUp(const std::string &id)
{
    Request &request = m_requests.at(id);
    request.gone = true;
    request.goneAt = m_now();
}

void Ledger::strayBytes(const std::string &instance)
{
    broken("MIXED", instance + " sent bytes that are no answer");
}

void Ledger::arrived(const TargetRun &run)
{
    const auto found = m_requests.find(run.requestId);
    if (found == m_requests.end())
        return;
    Request &request = found->second;
    ServiceTraffic &traffic = m_traffic[run.service];
    (request.arrivals++ == 0 ? traffic.firsts : traffic.repeats).push_back(run.at);
    if (request.gone && run.at - request.goneAt > goneSlack && calmSince(request.goneAt))
        ++m_afterGone;
    if (const auto wrong = m_signals.arrived(request.sent.instance, run, request.sent.sentAt))
        broken(wrong->first, wrong->second);
    checkPlaces(run, request);
    checkRoute(run, request);
    const Duration left = request.sent.deadline - (run.at - request.sent.sentAt);
    if (!run.deadline)
        broken("BUDGET", run.requestId + " reached " + run.target + " without a deadline");
    else if (calmSince(request.sent.sentAt) && *run.deadline > left + deadlineSlack)
        broken("BUDGET", run.requestId + " was given more time than its caller has");
}

void Ledger::began(const TargetRun &run)
{
    ++m_runCount;
    const auto found = m_requests.find(run.requestId);
    if (found == m_requests.end()) {
        broken("UNASKED", run.requestId + " ran at " + run.target + " and nobody sent it");
        return;
    }
    Request &request = found->second;
    const CallerRequest &sent = request.sent;
    if (run.method != sent.method || run.path != sent.path || run.body != sent.body)
        broken("UNASKED", run.requestId + " ran with another method, path or body");
    ++request.runs;
    if (!sent.idempotent && request.runs > 1)
        broken("TWICE", run.requestId + " ran again at " + run.target);
    if (request.promisedNotRun)
        broken("REFUSED", run.requestId + " runs at " + run.target + " after a promise");
    if (const auto wrong = m_keys[run.service].began(run))
        broken("OWNER", *wrong);
}

void Ledger::ended(const TargetRun &run)
{
    m_keys[run.service].ended(run);
}

void Ledger::checkPlaces(const TargetRun &run, const Request &request)
{
    const auto drain = m_drains.find(run.target);
    const bool drained = drain != m_drains.end() && run.at - drain->second > m_bounds.drain
        && calmSince(drain->second);
    if (drained)
        broken("DRAIN", request.sent.id + " reached " + run.target + " too late");
    const auto out = m_zonesOut.find(run.zone);
    const bool evacuated = out != m_zonesOut.end() && run.at - out->second > m_bounds.evacuation
        && calmSince(out->second);
    if (evacuated)
        broken("EVAC", request.sent.id + " reached " + run.target + " in a zone that is out");
}

void Ledger::checkRoute(const TargetRun &run, const Request &request)
{
    bool everAllowed = false;
    bool allowed = true;
    TimePoint inForceSince{};
    for (const RouteChange &change : m_routes) {
        if (!run.path.starts_with(change.prefix))
            continue;
        const bool here = change.services.contains(run.service);
        everAllowed = everAllowed || here;
        // Of two versions that may be in force, either one will do.
        if (change.acknowledged + m_bounds.configApply < request.sent.sentAt) {
            allowed = here;
            inForceSince = change.acknowledged;
        } else {
            allowed = allowed || here;
        }
    }
    if (!everAllowed)
        broken("ROUTE", request.sent.id + " reached a target of " + run.service);
    else if (!allowed && calmSince(inForceSince))
        broken("CONFIG", request.sent.id + " went to " + run.service + " by an old version");
}

void Ledger::granted(const TargetTraits &target, const KeyOrder &order, TimePoint until, bool late)
{
    const TimePoint now = m_now();
    const bool excused = late || now - m_thawedAt < m_bounds.thaw;
    if (const auto wrong = m_keys[target.service].granted(target, order, until, now, excused))
        broken("OWNER", *wrong);
}

void Ledger::released(const TargetTraits &target, const KeyOrder &order)
{
    m_keys[target.service].released(target, order, m_now());
}

void Ledger::died(const TargetTraits &target)
{
    m_signals.changed(target.id);
    m_keys[target.service].died(target, m_now());
}

void Ledger::said(const TargetRun &run, const platform_standins::TargetSpeech &says)
{
    const auto found = m_requests.find(run.requestId);
    if (found == m_requests.end())
        return;
    Request &request = found->second;
    request.answeredBy = run;
    request.heard = says;
    // A cut may lose the answer, so that the instance was not told.
    if (says.pause > Duration::zero() && calmSince(m_now()))
        m_signals.rejected(request.sent.instance, run, says.pause, m_now());
}

void Ledger::checkBudget(const std::string &service, const ServiceTraffic &traffic)
{
    const auto within = [this](const std::vector<TimePoint> &times, TimePoint end) {
        const auto first = std::ranges::upper_bound(times, end - m_bounds.repeatWindow);
        return static_cast<double>(std::ranges::upper_bound(times, end) - first);
    };
    for (const TimePoint at : traffic.repeats) {
        const double repeats = within(traffic.repeats, at);
        const double requests = std::max({within(traffic.firsts, at),
                                          within(traffic.firsts, at - m_bounds.repeatWindow),
                                          within(traffic.firsts, at - m_bounds.repeatWindow / 2)});
        if (repeats <= m_bounds.repeatRatio * requests + m_bounds.repeatSlack)
            continue;
        broken("BUDGET", std::to_string(repeats) + " repeats at " + service + " in 10 s");
        return;
    }
}

void Ledger::finish(TimePoint recoveredAt)
{
    for (const auto &[service, traffic] : m_traffic)
        checkBudget(service, traffic);
    if (m_afterGone > mostAfterGone)
        broken("GONE",
               std::to_string(m_afterGone) + " requests reached targets after callers left");
    double sent = 0;
    double served = 0;
    for (const auto &[id, request] : m_requests) {
        if (request.sent.sentAt < recoveredAt || request.gone)
            continue;
        ++sent;
        served += request.served ? 1 : 0;
    }
    if (served < sent * recoveredPart || sent == 0)
        broken("RECOVER",
               std::to_string(served) + " of " + std::to_string(sent)
                   + " requests served after the troubles");
}

} // namespace yuccaspan::soak
