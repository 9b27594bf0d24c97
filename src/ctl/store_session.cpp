#include "ctl/store_session.hpp"

#include <future>

namespace yuccaspan::impl {

namespace {

/// Starts an asynchronous call and waits for its result.
template <typename T, typename Start>
Result<T> await(Start start)
{
    auto promise = std::make_shared<std::promise<Result<T>>>();
    start([promise](Result<T> result) { promise->set_value(std::move(result)); });
    return promise->get_future().get();
}

} // namespace

Result<StoreObject> StoreSession::read(const std::string &path)
{
    Result<StoreObject> object =
        await<StoreObject>([&](auto done) { m_store.get(path, std::move(done)); });
    if (!object && object.error().code == ErrorCode::NotFound)
        object = StoreObject{path, {}, {}};
    const Result<StoreChanges> changes = list(path);
    if (!object || !changes)
        return object;
    for (const StoreObject &listed : changes->objects) {
        if (listed.path == path && listed.version > object->version)
            object = listed;
    }
    return object;
}

Result<ObjectVersion> StoreSession::write(const std::string &path, ObjectVersion expected,
                                          const std::string &value)
{
    return await<ObjectVersion>(
        [&](auto done) { m_store.put(path, expected, value, std::move(done)); });
}

Result<StoreChanges> StoreSession::list(const std::string &prefix)
{
    return await<StoreChanges>([&](auto done) { m_store.watch(prefix, 0, std::move(done)); });
}

Result<std::vector<ListedInstance>> StoreSession::instances()
{
    return await<std::vector<ListedInstance>>(
        [&](auto done) { m_store.listInstances(std::move(done)); });
}

} // namespace yuccaspan::impl
