/// \file
/// \brief Conversions between the public message types and their Thrift types.
#pragma once

#include "yuccaspan/peer_message.hpp"

#include "yuccaspan_types.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace yuccaspan::impl {

/// \name To Thrift types
/// @{
[[nodiscard]] idl::Cell toWire(const CellId &cell);
[[nodiscard]] idl::Range toWire(const KeyRange &range);
[[nodiscard]] idl::Route toWire(const Route &route);
[[nodiscard]] idl::CapacityShare toWire(const CapacityShare &share);
[[nodiscard]] idl::SliceLoad toWire(const SliceLoad &load);
[[nodiscard]] idl::TargetObservation toWire(const TargetObservation &observation);
[[nodiscard]] std::string toWire(const InstanceId &id);
[[nodiscard]] idl::Message toWire(const PeerMessage &message);
/// @}

/// \name From Thrift types
/// @{
[[nodiscard]] CellId fromWire(const idl::Cell &cell);
[[nodiscard]] KeyRange fromWire(const idl::Range &range);
[[nodiscard]] Route fromWire(const idl::Route &route);
[[nodiscard]] CapacityShare fromWire(const idl::CapacityShare &share);
[[nodiscard]] SliceLoad fromWire(const idl::SliceLoad &load);
[[nodiscard]] TargetObservation fromWire(const idl::TargetObservation &observation);
[[nodiscard]] Result<PeerMessage> fromWire(const idl::Message &message);
/// @}

/// \brief Converts all elements of a list to Thrift types.
template <typename T>
[[nodiscard]] auto listToWire(const std::vector<T> &list)
{
    std::vector<decltype(toWire(list.front()))> result;
    result.reserve(list.size());
    std::ranges::transform(list, std::back_inserter(result),
                           [](const T &item) { return toWire(item); });
    return result;
}

/// \brief Converts all elements of a list from Thrift types.
template <typename T>
[[nodiscard]] auto listFromWire(const std::vector<T> &list)
{
    std::vector<decltype(fromWire(list.front()))> result;
    result.reserve(list.size());
    std::ranges::transform(list, std::back_inserter(result),
                           [](const T &item) { return fromWire(item); });
    return result;
}

} // namespace yuccaspan::impl
