/// \file
/// \brief All that callers and targets saw, and whether it keeps the promises to the users.
#pragma once

#include "key_watch.hpp"
#include "signal_watch.hpp"
#include "target_standin.hpp"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace yuccaspan::soak {

/// \brief A request as its caller sent it.
struct CallerRequest
{
    std::string id;
    std::string method;
    std::string path;
    std::string body;
    std::string instance; ///< Which instance it was sent to.
    bool idempotent = false;
    Duration deadline{};
    TimePoint sentAt;
};

/// \brief An answer as its caller read it.
struct CallerAnswer
{
    unsigned status = 0;
    std::string body;
    std::string signature;
    std::string requestId; ///< Of the request that it answers.
};

/// \brief Bounds that the users set.
struct Bounds
{
    Duration drain = std::chrono::seconds(2);
    Duration evacuation = std::chrono::seconds(5);
    Duration configApply = std::chrono::seconds(2);
    Duration thaw = std::chrono::milliseconds(300);
    Duration stability = std::chrono::seconds(3);
    double repeatRatio = 0.2;
    double repeatSlack = 56;
    Duration repeatWindow = std::chrono::seconds(10);
};

/// \brief Which service a path goes to since a time; no service where the route is gone.
struct RouteChange
{
    std::string prefix;
    std::set<std::string> services; ///< Services that may run its requests.
    TimePoint acknowledged;
};

/// \brief Takes notes of a run and finds broken promises. Used on one thread.
class Ledger final : public platform_standins::TargetObserver
{
public:
    using Now = std::function<TimePoint()>;

    explicit Ledger(Now now, Bounds bounds = {}) : m_now(std::move(now)), m_bounds(bounds) { }

    /// \name What callers see
    /// @{
    void sent(const CallerRequest &request);
    void answered(const std::string &id, const CallerAnswer &answer);
    /// \brief The connection ended after the request was sent and before its answer was whole.
    void cut(const std::string &id);
    void gaveUp(const std::string &id);
    /// \brief Bytes came that are no answer, or none was due.
    void strayBytes(const std::string &instance);
    /// @}

    /// \name What targets see
    /// @{
    void arrived(const TargetRun &run) override;
    void began(const TargetRun &run) override;
    void ended(const TargetRun &run) override;
    void granted(const TargetTraits &target, const KeyOrder &order, TimePoint until,
                 bool late) override;
    void released(const TargetTraits &target, const KeyOrder &order) override;
    void died(const TargetTraits &target) override;
    void said(const TargetRun &run, const platform_standins::TargetSpeech &says) override;
    /// @}

    /// \name What the operator does
    /// @{
    void targetDrains(const std::string &id) { m_drains[id] = m_now(); }
    void zoneOut(const std::string &zone) { m_zonesOut[zone] = m_now(); }
    void zoneIn(const std::string &zone) { m_zonesOut.erase(zone); }
    void routeChanged(RouteChange change) { m_routes.push_back(std::move(change)); }
    /// @}

    /// \name Troubles
    /// @{
    void troubleBegins() { ++m_troubles; }
    void troubleEnds();
    /// \brief An instance restarted or was frozen.
    void disturbed(const std::string &instance) { m_signals.disturbed(instance); }
    /// \brief What a target says of itself changes.
    void targetSaysElse(const std::string &target) { m_signals.changed(target); }
    /// \brief A frozen instance runs again.
    void thawed() { m_thawedAt = m_now(); }
    /// \brief An instance was asked to stop, or has ended after that.
    void stopping(const std::string &instance, bool begins);
    /// @}

    /// \brief Looks at what only the whole shows.
    /// \param recoveredAt From then on requests must be served again.
    void finish(TimePoint recoveredAt);
    /// \brief Notes a broken promise.
    void broken(const std::string &rule, const std::string &what);
    [[nodiscard]] const std::vector<std::string> &violations() const noexcept
    {
        return m_violations;
    }
    [[nodiscard]] std::size_t requests() const noexcept { return m_requests.size(); }
    [[nodiscard]] std::size_t served() const noexcept { return m_served; }
    [[nodiscard]] std::size_t runs() const noexcept { return m_runCount; }

private:
    struct Request
    {
        CallerRequest sent;
        int runs = 0;
        int arrivals = 0;
        bool promisedNotRun = false;
        bool served = false;
        bool gone = false;
        TimePoint goneAt{};
        TargetRun answeredBy; ///< Last answer of a target.
        platform_standins::TargetSpeech heard; ///< What that answer said of the target.
    };
    struct ServiceTraffic
    {
        std::vector<TimePoint> firsts;
        std::vector<TimePoint> repeats;
    };

    [[nodiscard]] bool calmSince(TimePoint when) const;
    void checkPlaces(const TargetRun &run, const Request &request);
    void checkRoute(const TargetRun &run, const Request &request);
    void checkBudget(const std::string &service, const ServiceTraffic &traffic);

    Now m_now;
    Bounds m_bounds;
    std::map<std::string, Request> m_requests;
    std::map<std::string, KeyWatch> m_keys; ///< By service.
    std::map<std::string, ServiceTraffic> m_traffic;
    SignalWatch m_signals;
    std::map<std::string, TimePoint> m_drains;
    std::map<std::string, TimePoint> m_zonesOut;
    std::vector<RouteChange> m_routes;
    std::set<std::string> m_stopping;
    int m_troubles = 0;
    TimePoint m_lastTrouble{};
    TimePoint m_thawedAt{};
    std::size_t m_served = 0;
    std::size_t m_runCount = 0;
    std::size_t m_afterGone = 0;
    std::vector<std::string> m_violations;
};

} // namespace yuccaspan::soak
