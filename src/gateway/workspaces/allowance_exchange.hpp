/// \file
/// \brief Lending of workspaces' allowances between instances.
#pragma once

#include "gateway/workspaces/allowance.hpp"
#include "gateway/workspaces/allowance_message.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace yuccaspan::gateway {

/// \brief Parts that were given until several times, of which the largest counts at any time.
class Pledges
{
public:
    /// \brief Adds a part that holds before the end.
    void add(double part, TimePoint end);
    /// \brief The part that holds at a time.
    [[nodiscard]] double at(TimePoint time) const noexcept;
    /// \brief Forgets what ended before a time.
    void prune(TimePoint before);
    /// \brief Earliest end after a time, or the latest time there is.
    [[nodiscard]] TimePoint nextEnd(TimePoint after) const noexcept;
    /// \brief Adds all ends to a list.
    void appendEnds(std::vector<TimePoint> &ends) const;
    [[nodiscard]] bool empty() const noexcept { return m_pledges.empty(); }

private:
    struct Pledge
    {
        double part = 0;
        TimePoint end{};
    };
    std::vector<Pledge> m_pledges;
};

/// \brief Rate of a workspace's requests at this instance.
class DemandMeter
{
public:
    void arrived(TimePoint now) noexcept;
    /// \brief Requests a second. Rises within half a second and falls within several.
    [[nodiscard]] double perSecond(TimePoint now) const noexcept;

private:
    double m_fast = 0; ///< Requests, each fading.
    double m_slow = 0;
    TimePoint m_at{};
};

/// \brief What the exchange did since it was last asked.
struct AllowanceCounts
{
    std::uint64_t asked = 0; ///< Reports of something lacking.
    std::uint64_t lent = 0; ///< Loans given.
    std::uint64_t borrowed = 0; ///< Shares taken.
    std::uint64_t stale = 0; ///< Loans and shares that came after their end or restart.
    std::uint64_t refused = 0; ///< Requests.

    void add(const AllowanceCounts &other) noexcept
    {
        asked += other.asked;
        lent += other.lent;
        borrowed += other.borrowed;
        stale += other.stale;
        refused += other.refused;
    }
    [[nodiscard]] bool idle() const noexcept
    {
        return asked + lent + borrowed + stale + refused == 0;
    }
};

/// \brief This instance's parts of the workspaces' allowances, lent and borrowed by demand.
///
/// Answers the load pattern of callers that are spread unevenly: an instance that gets much of a
/// workspace's requests borrows from those that get few. Each instance owns an equal part. One that
/// lacks something reports it to the workspace's holder, one of a few instances that all derive
/// from the list of instances. While something is lacking, the holder sends rounds to all; those
/// with something to spare lend it for a second and stop using it at once, and the next round
/// passes it on. Every loan ends by itself, and its time starts no later at whoever uses it than at
/// whoever lent it: each span is counted from a time of the receiver's own clock that it said
/// earlier. So the parts add up to at most the whole with lost, late and repeated messages, cuts,
/// freezes, restarts and several holders at once, and an instance that hears nothing falls back to
/// its equal part.
class AllowanceExchange
{
public:
    /// \brief A message and the name of the instance that gets it.
    using Outgoing = std::vector<std::pair<std::string, AllowanceMessage>>;

    /// Time of a loan.
    static constexpr Duration loanSpan = std::chrono::milliseconds(1000);
    /// Least time between two rounds of a holder.
    static constexpr Duration roundInterval = std::chrono::milliseconds(200);

    /// \param self This start of this instance. An earlier start may have lent its part, so the
    /// part is not used until that has ended.
    AllowanceExchange(InstanceStart self, TimePoint now);

    /// \brief Sets the known instances, by name.
    void setInstances(const std::vector<std::string> &names, TimePoint now);
    /// \brief Sets the limits of all workspaces.
    void setLimits(const std::map<std::string, AllowanceLimit, std::less<>> &limits, TimePoint now);
    /// \brief Takes one request.
    /// \returns Zero if it may be passed on, or the time after which to try again.
    [[nodiscard]] Duration take(std::string_view workspace, TimePoint now);
    /// \brief What to send now; to be called several times in a round's interval.
    [[nodiscard]] Outgoing tick(TimePoint now);
    /// \brief Takes in a message.
    /// \returns What to send in answer.
    [[nodiscard]] Outgoing receive(const AllowanceMessage &message, TimePoint now);

    /// \brief The part of a workspace's allowance that this instance may use.
    [[nodiscard]] double part(std::string_view workspace, TimePoint now) const;
    /// \brief Returns the counts and starts them anew.
    [[nodiscard]] AllowanceCounts takeCounts() noexcept { return std::exchange(m_counts, {}); }
    /// \brief Number of workspaces of which this instance uses a borrowed part.
    [[nodiscard]] std::size_t borrowing(TimePoint now) const;

private:
    using PledgesByStart = std::map<InstanceStart, Pledges>;

    /// What this instance uses of a workspace.
    struct Own
    {
        AllowanceLimit limit;
        Allowance bucket;
        DemandMeter demand;
        PledgesByStart lent; ///< By holder.
        PledgesByStart shares; ///< By holder.
        TimePoint filledAt{};
    };
    /// What this instance, as holder, knows of a workspace.
    struct Pool
    {
        struct Need
        {
            double part = 0;
            TimePoint at{};
        };
        PledgesByStart loans; ///< By lender.
        PledgesByStart shares; ///< By borrower.
        std::map<InstanceStart, Need> needs;
    };
    /// Last report of an instance to this holder.
    struct Reporter
    {
        TimePoint said{}; ///< By the clock of the reporter.
        TimePoint at{}; ///< By ours.
    };
    /// What this instance knows of a holder.
    struct Holder
    {
        TimePoint askedSince = TimePoint::max(); ///< Of the reports without a round since.
        TimePoint heardAt{};
        TimePoint avoidUntil{}; ///< It did not answer.
    };

    [[nodiscard]] double partOf(const Own &own, TimePoint now) const noexcept;
    [[nodiscard]] double spareOf(const Own &own, TimePoint now) const noexcept;
    [[nodiscard]] double needOf(const Own &own, TimePoint now) const noexcept;
    void refill(Own &own, TimePoint now) const;
    [[nodiscard]] std::string holderOf(std::string_view workspace, TimePoint now) const;
    [[nodiscard]] Outgoing startRound(TimePoint now);
    [[nodiscard]] AllowanceMessage reportTo(const std::string &holder, TimePoint now);
    void receiveReport(const AllowanceMessage &message, TimePoint now);
    void lend(AllowanceMessage &report, const AllowanceMessage &round, TimePoint now);
    void takeShares(const AllowanceMessage &round, TimePoint now);
    void forget(TimePoint now);
    /// Delivers what is addressed to this instance itself, and returns the rest.
    [[nodiscard]] Outgoing deliverOwn(Outgoing &&messages, TimePoint now);

    const InstanceStart m_self;
    const TimePoint m_usableFrom;
    double m_base = 0; ///< Equal part; 0 while the instances are unknown.
    std::vector<std::string> m_instances;
    std::vector<std::string> m_holders;
    std::map<std::string, Own, std::less<>> m_own;
    std::map<std::string, Pool, std::less<>> m_pools;
    std::map<InstanceStart, Reporter> m_reporters;
    std::map<std::string, Holder, std::less<>> m_holderStates;
    TimePoint m_lastRound{};
    AllowanceCounts m_counts;
};

} // namespace yuccaspan::gateway
