// Builds a routing table of one service and looks up the owner of a key.
#include <yuccaspan/key_range.hpp>
#include <yuccaspan/route_table.hpp>

#include <iostream>
#include <memory>
#include <utility>

namespace {

using namespace yuccaspan;

constexpr KeyHash middle = KeyHash(1) << 63U;
constexpr KeyRange lowerHalf{0, middle - 1};
constexpr KeyRange upperHalf{middle, ~KeyHash(0)};

std::shared_ptr<const CellRoutes> makeRoutes()
{
    CellRoutes cell;
    cell.cell = {ServiceName("depot-stock"), ZoneId("kigali-a"), 0};
    cell.term = {1};
    cell.routes.push_back({lowerHalf, TargetId("stock-1"), {7}, RouteState::Open});
    cell.routes.push_back({upperHalf, TargetId("stock-2"), {8}, RouteState::Open});
    return std::make_shared<const CellRoutes>(std::move(cell));
}

} // namespace

int main()
{
    const auto table = RouteTable().with(makeRoutes());
    const KeyHash hash = hashKey("depot-17");
    const auto match = table->find(ServiceName("depot-stock"), hash);
    if (match.route == nullptr)
        return 1;
    std::cout << "depot-17 belongs to " << match.route->owner << " under token "
              << match.route->token << '\n';

    const TargetId expected(lowerHalf.contains(hash) ? "stock-1" : "stock-2");
    const bool unknownIsEmpty = table->find(ServiceName("unknown"), hash).cell == nullptr;
    return match.route->owner == expected && unknownIsEmpty ? 0 : 1;
}
