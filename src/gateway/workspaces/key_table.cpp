#include "gateway/workspaces/key_table.hpp"

#include <xxhash.h>

namespace yuccaspan::gateway {

namespace {

std::uint64_t hashOf(std::string_view key, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

/// Compares all bytes, wherever the first difference is.
bool equalInConstantTime(std::string_view left, std::string_view right) noexcept
{
    if (left.size() != right.size())
        return false;
    unsigned difference = 0;
    for (std::size_t index = 0; index < left.size(); ++index)
        difference |=
            static_cast<unsigned char>(left[index]) ^ static_cast<unsigned char>(right[index]);
    return difference == 0;
}

} // namespace

KeyTable KeyTable::create(const DesiredState &state, std::uint64_t seed)
{
    KeyTable table;
    table.m_seed = seed;
    std::size_t count = 0;
    for (const Workspace &workspace : state.workspaces)
        count += workspace.keys.size();
    table.m_entries.reserve(count);
    for (const Workspace &workspace : state.workspaces) {
        for (const std::string &key : workspace.keys)
            table.m_entries.emplace(hashOf(key, seed), Entry{key, &workspace});
    }
    return table;
}

const Workspace *KeyTable::find(std::string_view key) const noexcept
{
    const auto [first, last] = m_entries.equal_range(hashOf(key, m_seed));
    for (auto at = first; at != last; ++at) {
        if (equalInConstantTime(at->second.key, key))
            return at->second.workspace;
    }
    return nullptr;
}

} // namespace yuccaspan::gateway
