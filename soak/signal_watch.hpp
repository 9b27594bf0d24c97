/// \file
/// \brief Checks that instances respect what targets said of themselves in answers.
#pragma once

#include "target_standin.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace yuccaspan::soak {

using platform_standins::TargetRun;

/// \brief Bounds that the users set for these signals.
struct SignalBounds
{
    Duration drain = std::chrono::seconds(2);
    Duration stability = std::chrono::seconds(3);
    Duration grace = std::chrono::milliseconds(500); ///< For requests that were under way.
    Duration rateWindow = std::chrono::seconds(4);
    double rateFactor = 1.5;
    double rateSlack = 5;
    std::size_t requestsInPause = 2; ///< From one instance.
};

/// \brief Which instances were told what by which incarnations of targets. Used on one thread.
class SignalWatch
{
public:
    /// \brief An instance passed on an answer that carried signals.
    void passedOn(const std::string &instance, const TargetRun &run,
                  const platform_standins::TargetSpeech &says, TimePoint now);
    /// \brief A target rejected a request of an instance and asked for a pause.
    void rejected(const std::string &instance, const TargetRun &run, Duration pause, TimePoint now);
    /// \brief An instance restarted or was frozen: it may have forgotten all.
    void disturbed(const std::string &instance);
    /// \brief A target says something else from now on, or has ended.
    void changed(const std::string &target);
    /// \brief A request reaches a target.
    /// \param sentAt When its caller sent it.
    /// \returns What is wrong: the rule and a text.
    [[nodiscard]] std::optional<std::pair<std::string, std::string>>
    arrived(const std::string &instance, const TargetRun &run, TimePoint sentAt);

private:
    struct Told
    {
        std::optional<TimePoint> leavingAt;
        std::optional<TimePoint> rateAt;
        TimePoint pauseFrom{};
        TimePoint pauseUntil{};
        std::size_t inPause = 0;
    };
    struct Rate
    {
        double perSecond = 0;
        TimePoint firstNamed{};
        std::deque<TimePoint> arrivals; ///< From instances that were told.
    };
    /// Instance, target and its incarnation.
    using Pair = std::tuple<std::string, std::string, std::int64_t>;

    [[nodiscard]] bool rateExceeded(const Told &told, const TargetRun &run);

    SignalBounds m_bounds;
    std::map<Pair, Told> m_told;
    std::map<std::string, Rate> m_rates; ///< By target.
};

} // namespace yuccaspan::soak
