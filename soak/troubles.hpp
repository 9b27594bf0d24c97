/// \file
/// \brief Faults and planned work that strike a deployment from outside, chosen by a seed.
#pragma once

#include "deployment.hpp"

#include <boost/asio/awaitable.hpp>

#include <array>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaspan::soak {

/// \brief Strikes a deployment. Used on the loop's thread.
class Troubles
{
public:
    /// \brief Starts to note what it does.
    /// \param note Is told of each step, for the report of a failed seed.
    Troubles(Deployment &deployment, std::function<void(const std::string &)> note);

    /// \brief Strikes again and again until a time. Several may run at once.
    /// \param plannedOnly Only work that operators plan: stops, drains, changes of the settings.
    boost::asio::awaitable<void> strike(TimePoint until, bool plannedOnly);
    /// \brief Lets one target after the other say something of itself until a time, beside the
    /// troubles.
    boost::asio::awaitable<void> speak(TimePoint until);
    /// \brief Everything dies at once, just after a change of the desired state.
    boost::asio::awaitable<void> killAll();
    /// \brief Waits until what is under way has ended.
    boost::asio::awaitable<void> settle();

private:
    using Action = boost::asio::awaitable<void> (Troubles::*)();
    struct Kind
    {
        std::string_view name;
        Action action;
        bool planned; ///< Nothing that a caller may be cut or delayed by.
    };
    static const std::array<Kind, 20> kinds;

    // Instances.
    boost::asio::awaitable<void> killInstance();
    boost::asio::awaitable<void> stopInstance();
    boost::asio::awaitable<void> freezeInstance();
    boost::asio::awaitable<void> reloadInstance();
    boost::asio::awaitable<void> killPlacerAfterChange();
    // The store, and the way to it.
    boost::asio::awaitable<void> storeOutage();
    boost::asio::awaitable<void> storeSlow();
    boost::asio::awaitable<void> storeLosesAnswers();
    boost::asio::awaitable<void> storeForgets();
    boost::asio::awaitable<void> cutFromStore();
    boost::asio::awaitable<void> silenceWatches();
    // Targets, and the way to them.
    boost::asio::awaitable<void> crashTarget();
    boost::asio::awaitable<void> cutTarget();
    boost::asio::awaitable<void> lapseTarget();
    boost::asio::awaitable<void> slowTarget();
    boost::asio::awaitable<void> damageAnswers();
    boost::asio::awaitable<void> lateGrants();
    // Planned work.
    boost::asio::awaitable<void> targetSpeaks();
    boost::asio::awaitable<void> replaceTarget(TargetPlace &place);
    boost::asio::awaitable<void> drainTarget();
    boost::asio::awaitable<void> evacuateZone();
    boost::asio::awaitable<void> changeSettings();

    boost::asio::awaitable<void> pause(Duration span);
    boost::asio::awaitable<void> endInstance(Instance &instance, Duration down);
    [[nodiscard]] Duration between(int leastMs, int mostMs);
    [[nodiscard]] Instance *takeInstance(const std::string &name = {});
    [[nodiscard]] TargetPlace *takeTarget();
    void note(const std::string &text) { m_note(text); }

    Deployment &m_deployment;
    std::function<void(const std::string &)> m_note;
    int m_underWay = 0;
    bool m_zoneOut = false;
    bool m_storeFaulty = false;
};

} // namespace yuccaspan::soak
