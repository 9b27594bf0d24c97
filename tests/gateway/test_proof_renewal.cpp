#include "gateway/evidence/proof_renewal.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace yuccaspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint start{seconds(1000)};
constexpr Duration limit = milliseconds(1800);
constexpr Duration step = milliseconds(100);

std::vector<std::string> namesOf(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t index = 0; index < count; ++index)
        names.push_back("i" + std::to_string(index));
    return names;
}

/// Instances that renew their proofs; the first holds the lease. A check is answered at once.
struct Group
{
    struct Member
    {
        ProofRenewal renewal;
        StoreEvidence evidence;
        std::size_t checks = 0;
        bool running = true;
        bool reachesStore = true;
    };

    explicit Group(std::size_t count) : names(namesOf(count))
    {
        for (const std::string &name : names) {
            members.push_back({ProofRenewal(name, {{ObjectKind::Targets, limit}}), {}});
            members.back().renewal.setInstances(names);
            members.back().evidence.applied(ObjectKind::Targets, {0, 1}, {0, 1});
            members.back().evidence.proven(ObjectKind::Targets, start);
        }
    }

    void run(Duration span)
    {
        for (const TimePoint end = now + span; now < end;) {
            now += step;
            ++ticks;
            for (std::size_t index = 0; index < members.size(); ++index)
                tick(index);
        }
    }
    void tick(std::size_t index)
    {
        Member &member = members[index];
        if (!member.running)
            return;
        std::vector<std::string> peers = member.renewal.peersToAsk(member.evidence, now);
        constexpr std::size_t ticksPerQuestion = 5;
        if (ticks % ticksPerQuestion == 0 || member.renewal.isDeputy())
            peers.push_back(names.front());
        for (const std::string &peer : peers) {
            const auto found = std::ranges::find(names, peer);
            const Member &asked = members[static_cast<std::size_t>(found - names.begin())];
            if (asked.running)
                member.evidence.take(asked.evidence.mark(now), now, now);
        }
        if (member.renewal.checkDue(member.evidence, index == 0, now)) {
            ++member.checks;
            member.renewal.checking(now);
            if (member.reachesStore) {
                member.renewal.storeAnswered();
                member.evidence.proven(ObjectKind::Targets, now);
            } else {
                member.renewal.storeFailed(member.evidence, now);
            }
        }
        oldest = std::max(oldest, now - member.evidence.provenAt(ObjectKind::Targets));
    }
    [[nodiscard]] std::size_t checksOfOthers() const
    {
        std::size_t checks = 0;
        for (std::size_t index = 1; index < members.size(); ++index)
            checks += members[index].checks;
        return checks;
    }

    std::vector<std::string> names;
    std::vector<Member> members;
    TimePoint now = start;
    std::size_t ticks = 0;
    Duration oldest{};
};

TEST(ProofRenewal, onlyThePlacerChecksWhileAllIsWell)
{
    Group group(118);
    group.run(seconds(20));
    EXPECT_EQ(group.checksOfOthers(), 0U);
    EXPECT_LE(group.members.front().checks, 50U);
    EXPECT_LT(group.oldest, limit);
}

TEST(ProofRenewal, noProofRunsOutWhenThePlacerIsLost)
{
    for (const std::size_t count : {2U, 6U, 28U, 118U}) {
        Group group(count);
        group.run(seconds(5));
        group.members.front().running = false;
        group.run(seconds(5));
        EXPECT_LT(group.oldest, limit) << count;
        // About a check a second and deputy, whatever the number of instances.
        EXPECT_LE(group.checksOfOthers(), 5 * 5 * ProofRenewal::deputies) << count;
    }
}

TEST(ProofRenewal, noProofRunsOutWhenThePlacerAndAllDeputiesAreLost)
{
    Group group(118);
    group.run(seconds(5));
    for (std::size_t index = 0; index < group.members.size(); ++index)
        group.members[index].running = index != 0 && !group.members[index].renewal.isDeputy();
    group.run(seconds(5));
    EXPECT_LT(group.oldest, limit);
}

TEST(ProofRenewal, noProofRunsOutWhenTheStoreTurnsAThirdAway)
{
    Group group(118);
    group.run(seconds(5));
    for (std::size_t index = 0; index < group.members.size(); ++index)
        group.members[index].reachesStore =
            index % 3 != 0 && !group.members[index].renewal.isDeputy();
    group.run(seconds(5));
    EXPECT_LT(group.oldest, limit);
    for (Group::Member &member : group.members)
        EXPECT_FALSE(member.renewal.storeAway(member.evidence, group.now));
}

TEST(ProofRenewal, aStoreThatAnswersNobodyCountsAsAwayAndIsAskedLessOften)
{
    Group group(118);
    for (Group::Member &member : group.members)
        member.reachesStore = false;
    group.run(milliseconds(2300));
    for (Group::Member &member : group.members)
        EXPECT_TRUE(member.renewal.storeAway(member.evidence, group.now));
    const std::size_t before = group.checksOfOthers();
    group.run(seconds(10));
    // A check in two seconds each.
    EXPECT_LE(group.checksOfOthers() - before, 117U * 7U);
    for (Group::Member &member : group.members)
        member.reachesStore = true;
    group.run(milliseconds(2300));
    for (Group::Member &member : group.members)
        EXPECT_FALSE(member.renewal.storeAway(member.evidence, group.now));
}

/// An instance that was turned away once and then had proofs from others was cut off from all.
TEST(ProofRenewal, aStoreCountsAsAwayAgainAfterProofsOfOthers)
{
    Group group(4);
    Group::Member &member = group.members.back();
    member.reachesStore = false;
    member.renewal.storeFailed(member.evidence, group.now);
    group.run(seconds(5));
    EXPECT_FALSE(member.renewal.storeAway(member.evidence, group.now));
    for (std::size_t index = 0; index + 1 < group.members.size(); ++index)
        group.members[index].running = false;
    group.run(limit + ProofRenewal::answerTime);
    EXPECT_TRUE(member.renewal.storeAway(member.evidence, group.now));
}

/// A placer that could not keep up with the changes of targets sent on as if the store were away.
TEST(ProofRenewal, theStoreIsntAwayForAnInstanceThatKnowsOfChangesThatItLacks)
{
    ProofRenewal renewal("a", {{ObjectKind::Targets, limit}});
    const TimePoint now = start + limit + ProofRenewal::answerTime;
    for (const ObjectKind kind : {ObjectKind::Targets, ObjectKind::Evacuations}) {
        StoreEvidence evidence;
        evidence.applied(kind, {0, 1}, {0, 1});
        evidence.proven(ObjectKind::Targets, start);
        renewal.storeFailed(evidence, start + step);
        EXPECT_TRUE(renewal.storeAway(evidence, now));
        evidence.told(kind, {0, 2}, now);
        EXPECT_FALSE(renewal.storeAway(evidence, now));
        evidence.applied(kind, {0, 2}, {0, 2});
        EXPECT_TRUE(renewal.storeAway(evidence, now));
    }
}

TEST(ProofRenewal, settingsArentUnprovableWhileSomebodyProvesTheTargets)
{
    ProofRenewal renewal("a", {{ObjectKind::Targets, limit}, {ObjectKind::Settings, limit}});
    StoreEvidence evidence;
    evidence.proven(ObjectKind::Settings, start);
    evidence.proven(ObjectKind::Targets, start);
    renewal.storeFailed(evidence, start + step);
    evidence.proven(ObjectKind::Targets, start + seconds(2));
    TimePoint now = start + seconds(3);
    EXPECT_FALSE(renewal.unprovable(ObjectKind::Settings, evidence, now));
    now = start + seconds(2) + limit;
    EXPECT_TRUE(renewal.unprovable(ObjectKind::Settings, evidence, now));
    EXPECT_FALSE(renewal.storeAway(evidence, now));
}

} // namespace

} // namespace yuccaspan::gateway
