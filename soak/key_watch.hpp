/// \file
/// \brief Watches that no key has two owners, from what targets take and run.
#pragma once

#include "target_standin.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yuccaspan::soak {

using platform_standins::KeyOrder;
using platform_standins::TargetRun;
using platform_standins::TargetTraits;

/// \brief The holders of each key of one service, as the targets themselves count.
class KeyWatch
{
public:
    KeyWatch() : m_keys(platform_standins::keyCount) { }

    /// \brief A target took keys.
    /// \param excused Whether an overlap that begins now does not count.
    /// \returns What is wrong with it, if anything.
    [[nodiscard]] std::optional<std::string> granted(const TargetTraits &target,
                                                     const KeyOrder &order, TimePoint until,
                                                     TimePoint now, bool excused);
    void released(const TargetTraits &target, const KeyOrder &order, TimePoint now);
    void died(const TargetTraits &target, TimePoint now);
    /// \brief A target began to work on a request.
    [[nodiscard]] std::optional<std::string> began(const TargetRun &run);
    /// \brief A target ended its work on a request.
    void ended(const TargetRun &run);

private:
    /// One life of a target that has or had a key.
    struct Holder
    {
        int life = 0; ///< 0: nobody.
        std::string target;
        std::uint64_t fence = 0;
        TimePoint until{}; ///< End of the hold.
        TimePoint grantedUntil{}; ///< The same, but for a release.
        bool began = false; ///< It began a request while both held the key.
    };
    struct KeyState
    {
        Holder holder;
        Holder before; ///< The one before it.
        bool excused = false; ///< Whether their overlap does not count.
    };
    struct Work
    {
        std::uint32_t key = 0;
        int life = 0;
    };

    [[nodiscard]] int lifeOf(const std::string &target, std::int64_t incarnation);

    std::vector<KeyState> m_keys;
    std::map<std::pair<std::string, std::int64_t>, int> m_lives;
    std::map<std::string, Work> m_work; ///< By request and target.
};

} // namespace yuccaspan::soak
