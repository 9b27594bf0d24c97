/// \file
/// \brief Several instances that choose targets for the same load, without any network.
#pragma once

#include "gateway/control_doubles.hpp"
#include "gateway/target_choice.hpp"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace yuccaspan::gateway {

/// \brief A request that a target got.
struct Arrival
{
    std::size_t instance = 0;
    std::string target;
    TimePoint at;
};

/// \brief Instances with a common paused clock, one service "s" and one route "r".
///
/// Targets answer after a fixed time and take any number of requests; a test sets what an instance
/// learns from an answer.
class Fleet
{
public:
    /// \param instances Number of instances, named "i000", "i001", ...
    Fleet(std::size_t instances, Service service);

    [[nodiscard]] Gateway &gateway(std::size_t index) { return *m_instances.at(index)->gateway; }
    [[nodiscard]] std::size_t size() const noexcept { return m_instances.size(); }
    [[nodiscard]] TimePoint now() const noexcept { return m_clock.now(); }
    /// \brief Lists a target at all instances.
    void addTarget(const std::string &id, Duration warmupLeft);
    /// \brief Lets the proofs of all instances grow old, or renews them all the time.
    void setProving(bool proving) noexcept { m_proving = proving; }
    /// \brief Lets a target refuse connections, or listen again.
    void setListening(const std::string &id, bool listens);
    /// \brief Lets a target reject all requests at once.
    /// \param pause Pause that it asks for; nothing if it names none.
    void setRejecting(const std::string &id, std::optional<Duration> pause);
    /// \brief Makes a target the owner of all keys at all instances.
    void setOwner(const std::string &id);
    /// \brief Hands a request to an instance.
    /// \param patience Time until its deadline.
    void offer(std::size_t instance, Duration patience);
    /// \brief What an instance decides for a new request, which is not sent.
    [[nodiscard]] TargetChoice chooseAt(std::size_t instance, Duration patience);
    /// \brief Offers requests to all instances in turn at a rate, and serves them.
    void run(double perSecond, Duration span, Duration patience);
    /// \brief Called when a target answers a request.
    std::function<void(LiveTarget &target, const Arrival &arrival)> onAnswer;

    [[nodiscard]] const std::vector<Arrival> &arrivals() const noexcept { return m_arrivals; }
    void forgetArrivals() noexcept { m_arrivals.clear(); }
    /// \brief Largest number of requests that a target got within a span.
    [[nodiscard]] std::size_t mostWithin(const std::string &target, Duration span) const;
    [[nodiscard]] std::size_t rejected() const noexcept { return m_rejected; }

private:
    struct Instance
    {
        std::unique_ptr<EventLog> log;
        std::unique_ptr<Gateway> gateway;
    };
    struct Pending
    {
        std::size_t instance = 0;
        std::shared_ptr<Flow> flow;
        TimePoint recheckAt;
        std::vector<std::string> tried; ///< Targets that rejected it.
    };
    struct Running
    {
        std::shared_ptr<LiveTarget> target;
        Arrival arrival;
        TimePoint endsAt;
    };

    void prove();
    [[nodiscard]] std::shared_ptr<Flow> newFlow(Duration patience) const;
    void step(Duration span);
    void finishDue();
    /// \returns Whether the request no longer waits.
    bool choose(Pending &pending);

    asio::io_context m_loop;
    ManualClock m_clock{TimePoint(std::chrono::seconds(1000))};
    NoProtocol m_protocol;
    NoStore m_store;
    NoCodec m_codec;
    std::shared_ptr<DesiredState> m_state;
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::map<std::string, std::optional<Duration>> m_rejecting; ///< By target.
    std::set<std::string> m_refusing; ///< Targets that do not listen.
    std::deque<Pending> m_pending;
    std::vector<Running> m_running;
    std::vector<Arrival> m_arrivals;
    std::size_t m_rejected = 0;
    bool m_proving = true;
    std::size_t m_next = 0;
};

} // namespace yuccaspan::gateway
