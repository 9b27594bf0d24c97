/// \file
/// \brief Finds the workspace that holds a caller's key.
#pragma once

#include "gateway/desired_state.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace yuccaspan::gateway {

/// \brief The keys of a desired state, which must outlive the table.
///
/// A look-up takes constant time on average, and its time does not tell how much of a key matched:
/// keys are found by a hash with a secret seed and then compared in full.
class KeyTable
{
public:
    KeyTable() = default;
    /// \brief Indexes the keys of a desired state.
    /// \param seed Secret random number of this process.
    [[nodiscard]] static KeyTable create(const DesiredState &state, std::uint64_t seed);

    /// \brief The workspace that holds the key, or null.
    [[nodiscard]] const Workspace *find(std::string_view key) const noexcept;
    /// \brief Number of keys.
    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }

private:
    struct Entry
    {
        std::string_view key;
        const Workspace *workspace = nullptr;
    };

    std::uint64_t m_seed = 0;
    std::unordered_multimap<std::uint64_t, Entry> m_entries; ///< By hash of the key.
};

} // namespace yuccaspan::gateway
