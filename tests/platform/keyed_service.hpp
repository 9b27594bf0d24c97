/// \file
/// \brief A keyed service and its store, for tests of the orders to targets.
#pragma once

#include "../gateway/control_doubles.hpp"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <string>

namespace yuccaspan::gateway {

/// \brief One keyed service, whose targets the test adds to the directory.
class KeyedServiceCodec final : public PlatformCodec
{
public:
    [[nodiscard]] Result<TargetEntry> target(const StoredObject & /*object*/) const override
    {
        return Error{ErrorCode::NotFound, "none", {}};
    }
    [[nodiscard]] Result<DesiredState> desiredState(const StoredObject &object) const override
    {
        DesiredState state;
        state.version = object.revision.number;
        Service service;
        service.name = "s";
        service.keyed = true;
        state.services.emplace("s", service);
        return state;
    }
};

/// \brief A store that stores what it is given, and whose watches see nothing.
class QuietStore final : public MetadataStore
{
public:
    explicit QuietStore(asio::io_context &loop) : m_loop(loop) { }

    asio::awaitable<Result<StoredObjects>> list(ObjectKind kind) override
    {
        StoredObjects objects;
        objects.revision = m_revision;
        if (kind == ObjectKind::Settings)
            objects.objects.push_back({"main", {0, 1}, false, nullptr, {}});
        co_return objects;
    }
    asio::awaitable<Result<StoredObjects>> watch(ObjectKind /*kind*/, StoreRevision revision,
                                                 Duration wait, CancelSink onCancel) override
    {
        asio::steady_timer timer(m_loop, wait);
        onCancel([&timer] { timer.cancel(); });
        co_await timer.async_wait(asTuple);
        onCancel({});
        StoredObjects none;
        none.revision = revision;
        co_return none;
    }
    asio::awaitable<Result<StoredObject>> get(ObjectKind kind, const std::string & /*name*/,
                                              bool /*maybeOld*/) override
    {
        const auto found = m_objects.find(kind);
        if (found == m_objects.end())
            co_return Error{ErrorCode::NotFound, "none", {}};
        co_return found->second;
    }
    asio::awaitable<WriteResult> put(ObjectKind kind, const std::string &name,
                                     const std::string &text, StoreRevision expected) override
    {
        StoredObject &object = m_objects[kind];
        if (object.revision != expected)
            co_return WriteResult{WriteEnd::Conflict, object};
        object = {name, {0, ++m_revision.number}, false, nullptr, text};
        co_return WriteResult{WriteEnd::Stored, object};
    }

private:
    asio::io_context &m_loop;
    StoreRevision m_revision{0, 7};
    std::map<ObjectKind, StoredObject> m_objects;
};

} // namespace yuccaspan::gateway
