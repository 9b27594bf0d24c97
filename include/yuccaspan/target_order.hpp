/// \file
/// \brief Orders from a placer to a target, and their answers. docs/TARGET-API.md has the HTTP
/// form.
#pragma once

#include "yuccaspan/cell_record.hpp"
#include "yuccaspan/clock.hpp"
#include "yuccaspan/ids.hpp"
#include "yuccaspan/key_range.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace yuccaspan {

/// \brief A slice with the token under which a target may hold it.
struct GrantedSlice
{
    KeyRange range; ///< The slice.
    FencingToken token; ///< The fencing token.

    [[nodiscard]] friend bool operator==(const GrantedSlice &, const GrantedSlice &) = default;
};

/// \brief Grants or renews all slices of one cell that the target shall hold.
///
/// The expiry is a time of the target's own clock, computed from a reading that the target returned
/// earlier. No clocks need to be synchronised, and the target refuses a late order.
struct GrantOrder
{
    CellId cell; ///< Which cell.
    Term term; ///< Term of the placer.
    std::uint64_t sequence = 0; ///< Grows with each order in the term; lower ones are refused.
    std::string startId; ///< Start id that the target must still have.
    Duration validUntil{}; ///< Expiry on the target's clock, since its own origin.
    std::uint64_t setVersion = 0; ///< Version of the set of slices.
    bool full =
        true; ///< Whether `slices` has the set; if not, the set that has this version is renewed.
    std::vector<GrantedSlice> slices; ///< The set.
};

/// \brief Revokes one slice. Acknowledged when no request for it is in flight any more.
struct RevokeOrder
{
    CellId cell; ///< Which cell.
    Term term; ///< Term of the placer.
    std::uint64_t sequence = 0; ///< As in GrantOrder.
    std::string startId; ///< As in GrantOrder.
    KeyRange range; ///< The slice.
    FencingToken token; ///< Revokes grants with this token or a lower one.
};

/// \brief Asks for the target's clock, start id and state; changes nothing.
struct ProbeOrder
{
    CellId cell; ///< Which cell.
};

/// \brief Any order to a target.
using TargetOrder = std::variant<GrantOrder, RevokeOrder, ProbeOrder>;

/// \brief How a target answered an order.
enum class TargetVerdict {
    Accepted, ///< The order is in force.
    Refused, ///< The order was expired, superseded, or for another start id.
    NeedFull, ///< The target does not have the set; it must be sent in full.
    NoAnswer, ///< No answer came; the order may or may not be in force.
};

template <>
struct EnumNames<TargetVerdict>
{
    static constexpr std::array<EnumName<TargetVerdict>, 4> table{{
        {TargetVerdict::Accepted, "accepted"},
        {TargetVerdict::Refused, "refused"},
        {TargetVerdict::NeedFull, "need-full"},
        {TargetVerdict::NoAnswer, "no-answer"},
    }};
};

/// \brief How a target describes itself.
enum class TargetState {
    Cold, ///< Started recently; can take little load.
    Warm, ///< Can take its full load.
    Draining, ///< Is shutting down.
};

template <>
struct EnumNames<TargetState>
{
    static constexpr std::array<EnumName<TargetState>, 3> table{{
        {TargetState::Cold, "cold"},
        {TargetState::Warm, "warm"},
        {TargetState::Draining, "draining"},
    }};
};

/// \brief A target's answer to an order.
struct TargetAnswer
{
    std::uint64_t orderId = 0; ///< Id of the SendOrder action that it answers.
    TargetVerdict verdict = TargetVerdict::NoAnswer; ///< How it answered.
    std::string startId; ///< Changes with each start of the target.
    Duration clock{}; ///< The target's clock when it answered.
    TargetState state = TargetState::Warm; ///< How it describes itself.
    Term knownTerm; ///< Highest term the target has seen for the cell.
    std::vector<GrantedSlice> holds; ///< Unexpired grants in the cell, on a ProbeOrder.
};

} // namespace yuccaspan
