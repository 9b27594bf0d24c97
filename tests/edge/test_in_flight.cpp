#include "http/in_flight.hpp"

#include <gtest/gtest.h>

namespace yuccaspan::impl {
namespace {

TEST(InFlightTable, countsByServiceAndRange)
{
    InFlightTable table;
    const ServiceName stock("stock");
    const ServiceName orders("orders");
    table.add(stock, 5);
    table.add(stock, 5);
    table.add(stock, 100);
    table.add(orders, 5);
    EXPECT_EQ(table.count(stock, {0, 10}), 2U);
    EXPECT_EQ(table.count(stock, {6, 1000}), 1U);
    EXPECT_EQ(table.count(orders, {0, ~0ULL}), 1U);
    table.remove(stock, 5);
    EXPECT_EQ(table.count(stock, {0, 10}), 1U);
    table.remove(stock, 5);
    EXPECT_EQ(table.count(stock, {0, 10}), 0U);
    EXPECT_EQ(table.total(), 2U);
}

} // namespace
} // namespace yuccaspan::impl
