#include "yuccaspan/route_table.hpp"

#include <algorithm>
#include <utility>

namespace yuccaspan {

std::shared_ptr<const RouteTable> RouteTable::with(std::shared_ptr<const CellRoutes> cell) const
{
    auto copy = std::make_shared<RouteTable>(*this);
    ServiceCells &cells = copy->m_cells[cell->cell.service];
    std::erase_if(cells, [&](const auto &other) { return other->cell == cell->cell; });
    const auto startsBefore = [](const auto &left, const auto &right) {
        return left->range.first < right->range.first;
    };
    cells.insert(std::upper_bound(cells.begin(), cells.end(), cell, startsBefore), cell);
    return copy;
}

std::shared_ptr<const RouteTable> RouteTable::without(const ServiceName &service) const
{
    auto copy = std::make_shared<RouteTable>(*this);
    copy->m_cells.erase(service);
    return copy;
}

RouteTable::Match RouteTable::find(const ServiceName &service, KeyHash hash) const noexcept
{
    const auto found = m_cells.find(service);
    if (found == m_cells.end())
        return {};
    const ServiceCells &cells = found->second;
    const auto cellAfter =
        std::upper_bound(cells.begin(), cells.end(), hash,
                         [](KeyHash value, const auto &cell) { return value < cell->range.first; });
    if (cellAfter == cells.begin())
        return {};
    const CellRoutes &cell = **std::prev(cellAfter);
    if (!cell.range.contains(hash))
        return {};
    const auto routeAfter = std::upper_bound(
        cell.routes.begin(), cell.routes.end(), hash,
        [](KeyHash value, const Route &route) { return value < route.range.first; });
    if (routeAfter == cell.routes.begin())
        return {&cell, nullptr};
    const Route &route = *std::prev(routeAfter);
    return {&cell, route.range.contains(hash) ? &route : nullptr};
}

std::vector<std::shared_ptr<const CellRoutes>> RouteTable::cells(const ServiceName &service) const
{
    const auto found = m_cells.find(service);
    return found == m_cells.end() ? ServiceCells{} : found->second;
}

} // namespace yuccaspan
