/// \file
/// \brief What an instance knows of one kind of store object, as changes after a revision.
#pragma once

#include "gateway/platform.hpp"
#include "yuccaspan/clock.hpp"

#include <map>
#include <string>

namespace yuccaspan::gateway {

/// \brief The last change of each object of a kind. Sans-IO.
///
/// An earlier change of an object that changed again is not kept, so the memory is bounded by the
/// number of objects and of deletions kept. Revisions never go back.
class NewsLog
{
public:
    /// \brief Deletions that are kept; a peer that misses an older one has to list anew.
    static constexpr std::size_t maxDeletions = 2000;

    /// \brief Takes in a complete list.
    /// \param asOf When the store gave it.
    void listed(const StoredObjects &list, TimePoint asOf);
    /// \brief Takes in the changes after a revision.
    /// \returns Whether there were new ones.
    bool changed(const StoredObjects &changes, StoreRevision from, TimePoint asOf);
    /// \brief The store had nothing newer at this time.
    void confirmed(TimePoint asOf) noexcept;

    /// \brief Whether a list was taken in.
    [[nodiscard]] bool known() const noexcept { return m_newest.known(); }
    /// \brief Revision of the newest knowledge.
    [[nodiscard]] StoreRevision newest() const noexcept { return m_newest; }
    /// \brief When the store was known to have nothing newer.
    [[nodiscard]] TimePoint asOf() const noexcept { return m_asOf; }
    /// \brief Whether all changes after a revision are known.
    [[nodiscard]] bool covers(StoreRevision revision) const noexcept
    {
        return known() && revision >= m_base;
    }
    /// \brief Revision of the last change, where that of a deletion may be a later one.
    [[nodiscard]] StoreRevision lastChange() const noexcept { return m_lastChange; }
    /// \brief Whether an object has changed after a revision.
    [[nodiscard]] bool hasAfter(StoreRevision revision) const noexcept
    {
        return m_lastChange > revision;
    }
    /// \brief Changes after a revision, in the order of their revisions.
    /// \param most Changes after which the answer is cut; those of one revision stay together.
    [[nodiscard]] StoredObjects changesAfter(StoreRevision revision, std::size_t most) const;
    /// \brief All objects.
    /// \param most Objects after which the list is cut.
    [[nodiscard]] StoredObjects all(std::size_t most) const;

private:
    void put(StoredObject object);
    void limitDeletions();

    std::map<std::string, StoredObject, std::less<>> m_entries;
    std::size_t m_deletions = 0;
    StoreRevision m_base; ///< Changes up to this one may be missing.
    StoreRevision m_newest;
    StoreRevision m_lastChange;
    TimePoint m_asOf{};
};

} // namespace yuccaspan::gateway
