/**
 * Messages between entry instances. include/yuccaspan/peer_message.hpp documents each field.
 * Generated code lies in gen-cpp; scripts/generate makes it anew.
 */
namespace cpp yuccaspan.idl

struct Cell {
    1: string serviceName,
    2: string zone,
    3: i32 index,
}

struct Range {
    1: i64 first,
    2: i64 last,
}

struct Heartbeat {
    1: string zone,
    2: i64 sequence,
    3: bool leaving,
    4: i64 settingsVersion,
    5: bool storeReachable,
    6: list<string> hears,
    7: list<Cell> places,
}

struct PromiseRequest {
    1: Cell cell,
    2: i64 term,
    3: i64 sequence,
    4: i64 durationUs,
}

struct PromiseAnswer {
    1: Cell cell,
    2: i64 term,
    3: i64 sequence,
    4: bool granted,
    5: i64 knownTerm,
}

struct CapacityShare {
    1: string target,
    2: double slots,
    3: i32 connections,
    4: i32 coldSlots,
}

struct Route {
    1: Range range,
    2: string owner,
    3: i64 token,
    4: i32 state,
}

struct RouteUpdate {
    1: Cell cell,
    2: Range range,
    3: i64 term,
    4: i64 sequence,
    5: i64 baseSequence,
    6: bool full,
    7: i64 leaseSequence,
    8: i64 viewLeaseUs,
    9: i64 echoSequence,
    10: list<Route> routes,
    11: list<CapacityShare> shares,
}

struct RouteAck {
    1: Cell cell,
    2: i64 term,
    3: i64 sequence,
    4: i64 leaseSequence,
    5: i64 ackSequence,
    6: list<Range> idle,
}

struct SliceLoad {
    1: Range range,
    2: double requestsPerSecond,
    3: double busySlots,
}

struct TargetObservation {
    1: string target,
    2: double slowdown,
    3: double demandSlots,
    4: i32 consecutiveFailures,
}

struct LoadReport {
    1: Cell cell,
    2: i64 sequence,
    3: list<SliceLoad> slices,
    4: list<TargetObservation> targets,
}

struct StateRequest {
    1: i64 settingsVersion,
}

struct StateOffer {
    1: string path,
    2: i64 version,
    3: string value,
}

union Message {
    1: Heartbeat heartbeat,
    2: PromiseRequest promiseRequest,
    3: PromiseAnswer promiseAnswer,
    4: RouteUpdate routeUpdate,
    5: RouteAck routeAck,
    6: LoadReport loadReport,
    7: StateRequest stateRequest,
    8: StateOffer stateOffer,
}

struct Envelope {
    1: string sender,
    2: Message message,
}
