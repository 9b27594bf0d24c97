/// \file
/// \brief Generators of random messages and records, and random corruption of encoded bytes.
#pragma once

#include "yuccaspan/peer_message.hpp"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace yuccaspan::fuzz {

/// Number of corrupted inputs in each case of a property.
inline constexpr int corruptionsPerCase = 30;

template <typename T>
T any()
{
    return *rc::gen::arbitrary<T>();
}

template <typename NameType>
NameType anyName()
{
    return NameType(any<std::string>());
}

template <typename Function>
auto listOf(Function make)
{
    std::vector<decltype(make())> list;
    const int size = *rc::gen::inRange(0, 5);
    for (int i = 0; i < size; ++i)
        list.push_back(make());
    return list;
}

inline double anyShare()
{
    return *rc::gen::inRange(-1000000, 1000000) / 1024.0;
}

inline CellId anyCell()
{
    return {anyName<ServiceName>(), anyName<ZoneId>(), *rc::gen::inRange<std::uint32_t>(0, 1000)};
}

inline KeyRange anyRange()
{
    return {any<KeyHash>(), any<KeyHash>()};
}

inline Route anyRoute()
{
    return {anyRange(),
            anyName<TargetId>(),
            {any<std::uint64_t>()},
            *rc::gen::element(RouteState::Open, RouteState::Held, RouteState::Unowned)};
}

inline CapacityShare anyCapacityShare()
{
    return {anyName<TargetId>(), anyShare(), *rc::gen::inRange<std::uint32_t>(0, 1U << 30U)};
}

inline RouteUpdate anyRouteUpdate()
{
    RouteUpdate update;
    update.cell = anyCell();
    update.range = anyRange();
    update.term = {any<std::uint64_t>()};
    update.sequence = any<std::uint64_t>();
    update.baseSequence = any<std::uint64_t>();
    update.full = any<bool>();
    update.leaseSequence = any<std::uint64_t>();
    update.viewLease = Duration(any<std::int64_t>());
    update.echoSequence = any<std::uint64_t>();
    update.routes = listOf(anyRoute);
    update.shares = listOf(anyCapacityShare);
    return update;
}

inline LoadReport anyLoadReport()
{
    const auto slice = [] { return SliceLoad{anyRange(), anyShare(), anyShare()}; };
    const auto target = [] {
        return TargetObservation{anyName<TargetId>(), anyShare(), anyShare(),
                                 *rc::gen::inRange<std::uint32_t>(0, 1000)};
    };
    return {anyCell(), any<std::uint64_t>(), listOf(slice), listOf(target)};
}

inline PeerMessage anyMessage()
{
    const auto number = [] { return any<std::uint64_t>(); };
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
        return Heartbeat{anyName<ZoneId>(), number(),    any<bool>(),
                         {number()},        any<bool>(), listOf(anyName<InstanceId>),
                         listOf(anyCell)};
    case 1:
        return PromiseRequest{anyCell(), {number()}, number(), Duration(any<std::int64_t>())};
    case 2:
        return PromiseAnswer{anyCell(), {number()}, number(), any<bool>(), {number()}};
    case 3:
        return anyRouteUpdate();
    case 4:
        return RouteAck{anyCell(), {number()}, number(), number(), number(), listOf(anyRange)};
    case 5:
        return anyLoadReport();
    case 6:
        return StateRequest{{number()}};
    default:
        return StateOffer{any<std::string>(), {number()}, any<std::string>()};
    }
}

/// Overwrites, deletes, duplicates or inserts a few bytes.
inline std::string corrupted(std::string bytes)
{
    const int changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes && !bytes.empty(); ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            bytes[at] = any<char>();
            break;
        case 1:
            bytes.erase(at, *rc::gen::inRange<std::size_t>(1, 9));
            break;
        case 2:
            bytes.insert(at, bytes.substr(0, at));
            break;
        default:
            bytes.insert(at, 1, *rc::gen::element('\xff', '\0', '\x7f', '"', '{', '['));
        }
    }
    return bytes;
}

} // namespace yuccaspan::fuzz
