#include "shape.hpp"

#include <chrono>

namespace yuccaspan::bench {

namespace {

using std::chrono::milliseconds;

KindShape makeKind(const char *name, double part, bool repeatable, double worth, Duration deadline,
                   Duration serviceTime)
{
    KindShape kind;
    kind.rule.kind = name;
    kind.rule.repeatable = repeatable;
    kind.rule.worth = worth;
    kind.rule.deadline = deadline;
    kind.part = part;
    kind.serviceTime = serviceTime;
    return kind;
}

void addTargets(Shape &shape, std::uint32_t count, std::uint32_t slots, std::uint32_t connections)
{
    for (std::uint32_t index = 0; index < count; ++index) {
        TargetSettings target;
        const char *pad = index < 10 ? "0" : "";
        target.id = TargetId(shape.service.name.text() + "-" + pad + std::to_string(index));
        target.zone = Shape::zoneId(index % shape.zones);
        target.slots = slots;
        target.connections = connections;
        shape.service.targets.push_back(target);
    }
}

Shape makeKigali(const char *service, std::uint32_t targets)
{
    Shape shape;
    shape.name = std::string("kigali/") + service;
    shape.zones = 3;
    shape.zoneLink = Duration(500);
    shape.service.name = ServiceName(service);
    shape.connectCost = milliseconds(1);
    shape.probeCost = milliseconds(6);
    shape.keys = 20000;
    shape.zipfExponent = 0.8;
    addTargets(shape, targets, 6, 100);
    return shape;
}

Shape makeBatinah(const char *service, std::uint32_t targets)
{
    Shape shape;
    shape.name = std::string("batinah/") + service;
    shape.zones = 4;
    shape.zoneLink = milliseconds(1);
    shape.service.name = ServiceName(service);
    shape.connectCost = milliseconds(1);
    shape.probeCost = milliseconds(1);
    shape.keys = 20000;
    shape.zipfExponent = 0.8;
    addTargets(shape, targets, 2, 50);
    return shape;
}

std::vector<Shape> makeShapes()
{
    Shape stock = makeKigali("depot-stock", 20);
    stock.kinds = {makeKind("stock-lookup", 0.85, true, 1, milliseconds(800), milliseconds(10)),
                   makeKind("depot-hours", 0.15, true, 0.3, milliseconds(800), milliseconds(10))};
    Shape dispatch = makeKigali("flood-dispatch", 6);
    dispatch.kinds = {
        makeKind("dispatch-order", 0.5, false, 10, milliseconds(3000), milliseconds(12)),
        makeKind("order-status", 0.5, true, 2, milliseconds(800), milliseconds(8))};
    Shape ledger = makeBatinah("peg-ledger", 30);
    ledger.kinds = {makeKind("peg-check", 0.7, true, 1, milliseconds(800), milliseconds(10)),
                    makeKind("peg-reserve", 0.3, false, 5, milliseconds(2000), milliseconds(10))};
    Shape issue = makeBatinah("depot-issue", 8);
    issue.kinds = {makeKind("issue-record", 0.6, false, 5, milliseconds(2000), milliseconds(10)),
                   makeKind("issue-check", 0.4, true, 1, milliseconds(800), milliseconds(10))};
    return {stock, dispatch, ledger, issue};
}

} // namespace

double Shape::slots() const
{
    double sum = 0;
    for (const TargetSettings &target : service.targets)
        sum += target.slots;
    return sum;
}

double Shape::meanServiceSeconds() const
{
    double sum = 0;
    for (const KindShape &kind : kinds)
        sum += kind.part * std::chrono::duration<double>(kind.serviceTime).count();
    return sum;
}

const std::vector<Shape> &allShapes()
{
    static const std::vector<Shape> shapes = makeShapes();
    return shapes;
}

} // namespace yuccaspan::bench
