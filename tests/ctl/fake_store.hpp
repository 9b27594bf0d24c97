/// \file
/// \brief An in-memory store with fault injection.
#pragma once

#include "yuccaspan/store.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace yuccaspan {

/// \brief Completes every call synchronously, on the caller's thread.
class FakeStore : public Store
{
public:
    void get(std::string path, Callback<StoreObject> done) override
    {
        if (down)
            return done(unavailable());
        const std::vector<StoreObject> &history = objects[path];
        const std::size_t lag = consumeLag();
        if (history.size() <= lag)
            return done(Error{ErrorCode::NotFound, "absent", {}});
        done(history[history.size() - 1 - lag]);
    }

    void put(std::string path, ObjectVersion expected, std::string value,
             Callback<ObjectVersion> done) override
    {
        if (const auto race = std::exchange(beforeWrite, nullptr))
            race();
        if (down)
            return done(unavailable());
        const bool lost = loseRequests > 0 || loseAnswers > 0;
        if (loseRequests > 0) {
            --loseRequests;
            return done(Error{ErrorCode::UnknownResult, "lost", {}});
        }
        const Result<ObjectVersion> written = write(path, expected, std::move(value));
        if (lost) {
            --loseAnswers;
            downAfterLoss ? void(down = true) : void();
            return done(Error{ErrorCode::UnknownResult, "lost", {}});
        }
        done(written);
    }

    void watch(std::string prefix, std::uint64_t, Callback<StoreChanges> done) override
    {
        if (down)
            return done(unavailable());
        const std::size_t lag = consumeLag();
        StoreChanges changes{revision, true, {}};
        for (const auto &[path, history] : objects) {
            if (path.starts_with(prefix) && history.size() > lag)
                changes.objects.push_back(history[history.size() - 1 - lag]);
        }
        done(std::move(changes));
    }

    void listInstances(Callback<std::vector<ListedInstance>> done) override { done(instances); }

    /// Writes without injected faults, as another operator would.
    Result<ObjectVersion> write(const std::string &path, ObjectVersion expected, std::string value)
    {
        std::vector<StoreObject> &history = objects[path];
        const ObjectVersion present = history.empty() ? ObjectVersion{} : history.back().version;
        if (present != expected)
            return Error{ErrorCode::Conflict, "the object has another version", {}};
        history.push_back({path, {++revision}, std::move(value)});
        return ObjectVersion{revision};
    }

    [[nodiscard]] const StoreObject &latest(const std::string &path)
    {
        return objects.at(path).back();
    }

    std::map<std::string, std::vector<StoreObject>> objects;
    std::vector<ListedInstance> instances;
    std::uint64_t revision = 0;
    std::size_t staleReads = 0; ///< Number of reads that return the version before the latest.
    int loseAnswers = 0; ///< Number of writes that take effect but whose answer is lost.
    int loseRequests = 0; ///< Number of writes that are lost before they take effect.
    bool downAfterLoss =
        false; ///< Whether the store becomes unavailable after the next lost answer.
    bool down = false; ///< Whether every call fails with Unavailable.
    std::function<void()> beforeWrite; ///< Runs once, before the next write.

private:
    /// Number of versions by which the next read is stale.
    std::size_t consumeLag()
    {
        const std::size_t lag = staleReads > 0 ? 1 : 0;
        staleReads -= lag;
        return lag;
    }

    static Error unavailable() { return {ErrorCode::Unavailable, "down", {}}; }
};

} // namespace yuccaspan
