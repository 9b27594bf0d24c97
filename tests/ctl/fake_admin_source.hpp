/// \file
/// \brief An AdminSource with fixed answers.
#pragma once

#include "yuccaspan/admin.hpp"
#include "yuccaspan/settings_io.hpp"

namespace yuccaspan {

/// \brief Describes one service, "stock", with two targets.
class FakeAdminSource : public AdminSource
{
public:
    FakeAdminSource()
    {
        Settings settings;
        settings.version = {7};
        settings.zones = {{ZoneId("a"), RegionId("r"), false, false}};
        ServiceSettings service;
        service.name = ServiceName("stock");
        service.pathPrefix = "/stock";
        service.targets = {{TargetId("t1"), ZoneId("a"), "127.0.0.1", 9001, 6, 100, true, false},
                           {TargetId("t2"), ZoneId("a"), "127.0.0.1", 9002, 6, 100, true, true}};
        settings.services = {service};
        current = std::make_shared<Settings>(settings);
        CellStatus cell;
        cell.cell = {ServiceName("stock"), ZoneId("a"), 0};
        cell.record.slices = {
            {{0, 99}, TargetId("t1"), {3}, SlicePhase::Settled, {}, {}},
            {{100, ~0ULL}, TargetId("t1"), {4}, SlicePhase::Moving, TargetId("t2"), {5}}};
        cellList = {cell};
    }

    InstanceReport status() const override
    {
        InstanceReport report;
        report.id = InstanceId("entry-1#1");
        report.zone = ZoneId("a");
        report.settingsVersion = {7};
        return report;
    }
    std::shared_ptr<const Settings> settings() const override { return current; }
    std::vector<TargetReport> targets() const override
    {
        TargetReport report;
        report.id = TargetId("t1");
        report.allowance = 2.5;
        return {report};
    }
    std::vector<CellStatus> cells() const override { return cellList; }
    Result<Explanation> explain(const ServiceName &service, const std::string &key) const override
    {
        if (service != ServiceName("stock"))
            return Error{ErrorCode::NotFound, "no service " + service.text(), {}};
        Explanation explanation;
        explanation.hash = hashKey(key);
        explanation.cell = {service, ZoneId("a"), 0};
        explanation.route = {{0, 99}, TargetId("t1"), {3}, RouteState::Open};
        explanation.reasons = {"key " + key};
        return explanation;
    }
    std::string metrics() const override { return "yuccaspan_up 1\n"; }
    Status health() const override { return ok(); }
    Status readiness() const override { return Error{ErrorCode::Unavailable, "no routes yet", {}}; }
    Status requestMove(const MoveOrder &order) override
    {
        if (order.to != TargetId("t2"))
            return Error{ErrorCode::Conflict, "not the placer", {}};
        lastOrder = order;
        return ok();
    }

    std::shared_ptr<const Settings> current;
    std::vector<CellStatus> cellList;
    MoveOrder lastOrder;
};

} // namespace yuccaspan
