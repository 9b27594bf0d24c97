// The fake store of a cluster, with delays, outages, lost answers and watches.
#include "cluster.hpp"

#include <algorithm>

namespace yuccaspan::test {

using std::chrono::milliseconds;

namespace {

constexpr Duration storeTimeout = milliseconds(300);

} // namespace

bool Cluster::reachesStore(int index) const
{
    return m_storeUp && !m_nodes[index].storeCut;
}

void Cluster::write(int index, const WriteAction &action)
{
    ++m_storeWrites;
    const int start = m_nodes[index].start;
    const bool reaches = reachesStore(index);
    if (!reaches && chance(0.5)) {
        schedule(milliseconds(2), [=, this] {
            runOnInstance(index, start, [=, this] {
                handle(index, StoreWrittenEvent{action.writeId, WriteResult::NotDone, {}});
            });
        });
        return;
    }
    const bool isLost = !reaches || m_answersToLose > 0;
    if (m_answersToLose > 0)
        --m_answersToLose;
    // A write whose answer is lost takes effect immediately, late, or never.
    if (!isLost) {
        schedule(linkDelay(), [=, this] { applyWrite(index, action, true); });
        return;
    }
    schedule(storeTimeout, [=, this] {
        runOnInstance(index, start, [=, this] {
            handle(index, StoreWrittenEvent{action.writeId, WriteResult::Unknown, {}});
        });
    });
    if (chance(0.7))
        schedule(milliseconds(draw(chance(0.5) ? 5 : 3000)),
                 [=, this] { applyWrite(index, action, false); });
}

void Cluster::applyWrite(int index, const WriteAction &action, bool answered)
{
    Object &object = m_objects[action.path];
    const bool matches = object.version == action.expected;
    if (matches) {
        checkWrite(action.path, object.value, action.value);
        object = {ObjectVersion{++m_revision}, action.value};
        notifyWatchers(action.path);
    }
    if (!answered)
        return;
    const StoreWrittenEvent event{
        action.writeId, matches ? WriteResult::Committed : WriteResult::Conflict, object.version};
    const int start = m_nodes[index].start;
    schedule(linkDelay(),
             [=, this] { runOnInstance(index, start, [=, this] { handle(index, event); }); });
}

void Cluster::readObject(int index, const ReadAction &action)
{
    ++m_storeReads;
    const int start = m_nodes[index].start;
    StoreReadEvent event;
    event.readId = action.readId;
    event.answered = reachesStore(index);
    if (event.answered) {
        event.version = m_objects[action.path].version;
        event.value = m_objects[action.path].value;
    }
    schedule(event.answered ? linkDelay() + milliseconds(draw(100)) : storeTimeout,
             [=, this] { runOnInstance(index, start, [=, this] { handle(index, event); }); });
}

void Cluster::notifyWatchers(const std::string &path)
{
    for (int i = 0; i < static_cast<int>(m_nodes.size()); ++i)
        watch(i, m_nodes[i].start, path);
}

void Cluster::watch(int index, int start, const std::string &path)
{
    schedule(linkDelay(), [=, this] {
        if (!reachesStore(index)) {
            schedule(milliseconds(200), [=, this] { watch(index, start, path); });
            return;
        }
        runOnInstance(index, start, [=, this] {
            const Object &object = m_objects[path];
            if (object.version <= m_nodes[index].seenVersions[path])
                return;
            m_nodes[index].seenVersions[path] = object.version;
            handle(index, StoreValueEvent{path, object.version, object.value});
        });
    });
}

} // namespace yuccaspan::test
