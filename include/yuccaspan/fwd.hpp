/// \file
/// \brief Forward declarations of the public types.
#pragma once

namespace yuccaspan {

class Clock;
class ManualClock;
class RouteTable;
struct CellId;
struct CellRecord;
struct Error;
struct KeyRange;
struct RequestRule;
struct ServiceSettings;
struct Settings;
struct SliceRecord;
struct TargetSettings;
struct ZoneSettings;
enum class ErrorCode;
enum class Outcome;
enum class Reason;
enum class SlicePhase;

} // namespace yuccaspan
