/// \file
/// \brief Whole instances in one process that follow a shared store in memory.
#pragma once

#include "gateway/boottime_clock.hpp"
#include "gateway/control.hpp"
#include "gateway/control_doubles.hpp"
#include "gateway/gateway_server.hpp"
#include "gateway/news/news_store.hpp"
#include "gateway/shared_store.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace yuccaspan::gateway {

/// \brief The text of a target is its state, that of the settings their version.
///
/// Each version adds a route: version 2 has the prefixes "/1/" and "/2/".
class TextCodec final : public PlatformCodec
{
public:
    [[nodiscard]] Result<TargetEntry> target(const StoredObject &object) const override
    {
        TargetEntry entry;
        entry.id = object.name;
        entry.incarnation = 1;
        entry.service = "s";
        entry.address = "127.0.0.1:1";
        entry.zone = "z";
        entry.draining = object.text == "draining";
        return entry;
    }
    [[nodiscard]] Result<DesiredState> desiredState(const StoredObject &object) const override
    {
        DesiredState state;
        state.version = std::stoull(object.text);
        Service service;
        service.name = "s";
        state.services.emplace("s", service);
        for (std::uint64_t number = 1; number <= state.version; ++number) {
            Route route;
            route.name = "r" + std::to_string(number);
            route.host = "h";
            route.prefix = "/" + std::to_string(number) + "/";
            route.services.push_back({"s", 1});
            state.routes.push_back(route);
        }
        return state;
    }
};

/// \brief An instance with its tasks and its server for peers.
struct Instance
{
    Instance(asio::io_context &loop, SharedStore &shared, const std::string &name,
             const std::string &address, const std::string &callers,
             std::uint32_t newsFromInstances)
        : store(loop, shared),
          news(loop, store,
               {.name = name, .zone = "z", .fromInstances = newsFromInstances, .timing = {}}),
          log(std::make_unique<SilentLog>(), clock, name),
          gateway(loop, clock, log, protocol, news, codec, options(name, address, callers)),
          control(gateway, "1")
    {
        auto created = GatewayServer::create(
            gateway, [this](const std::string &asked) { return control.answerState(asked); });
        EXPECT_TRUE(created);
        server = std::move(*created);
        server->setNewsHandler([this](std::string asked) { return news.answer(std::move(asked)); });
        news.start(gateway, [this] { return control.placing(); });
        server->start();
    }

    static GatewayOptions options(const std::string &name, const std::string &address,
                                  const std::string &callers)
    {
        GatewayOptions out;
        out.name = name;
        out.zone = "z";
        out.callerAddress = callers;
        out.readinessAddress = "127.0.0.1:0";
        out.peerAddress = address;
        return out;
    }

    [[nodiscard]] std::optional<TimePoint> leavingSince() const
    {
        const Target *target = gateway.directory.find("t");
        return target == nullptr ? std::nullopt : target->leavingSince;
    }
    [[nodiscard]] std::uint64_t version() const
    {
        return gateway.desired ? gateway.desired->version : 0;
    }

    BoottimeClock clock;
    StoreConnection store;
    NewsStore news;
    EventLog log;
    NoProtocol protocol;
    TextCodec codec;
    Gateway gateway;
    Control control;
    std::unique_ptr<GatewayServer> server;
};

/// \brief Instances of one zone: two readers of the store and their children.
struct StoreFleet
{
    StoreFleet(const std::vector<std::string> &names, std::uint32_t newsFromInstances)
    {
        shared.set(ObjectKind::Settings, "main", "1");
        shared.set(ObjectKind::Targets, "t", "ready");
        for (const std::string &name : names) {
            const std::string address = freeAddress();
            all.push_back(std::make_unique<Instance>(loop, shared, name, address, freeAddress(),
                                                     newsFromInstances));
            const bool reader = newsPlace(names, name).reader;
            (reader ? readers : children).push_back(all.back().get());
        }
    }

    std::string freeAddress()
    {
        const tcp::acceptor free(loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        return "127.0.0.1:" + std::to_string(free.local_endpoint().port());
    }
    /// \brief A reader takes the placer lease.
    void start()
    {
        for (Instance *reader : readers)
            EXPECT_TRUE(reader->control.start());
        loop.run_for(std::chrono::milliseconds(500));
        for (Instance *child : children)
            EXPECT_TRUE(child->control.start());
        loop.run_for(std::chrono::seconds(2));
    }
    void setSilent(bool silent)
    {
        for (const auto &instance : all)
            instance->store.watchesSilent = silent;
    }
    [[nodiscard]] TimePoint now() const { return all.front()->gateway.now(); }

    asio::io_context loop;
    SharedStore shared;
    std::vector<std::unique_ptr<Instance>> all;
    std::vector<Instance *> readers;
    std::vector<Instance *> children;
};

/// \brief Three instances of one zone.
struct Fleet3 : StoreFleet
{
    explicit Fleet3(std::uint32_t newsFromInstances)
        : StoreFleet({"a", "b", "c"}, newsFromInstances)
    { }
};

} // namespace yuccaspan::gateway
