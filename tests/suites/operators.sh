#!/usr/bin/env bash
# yuccaspanctl against the stand-in store, between processes: operators who race, answers that are
# lost, a store that is down.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
BUILD=${YUCCASPAN_BUILD:-build}
WORK=$(mktemp -d)
"$BUILD/yuccaspan-standin" store >"$WORK/store.log" &
STORE_PID=$!
trap 'kill $STORE_PID; wait $STORE_PID || true; rm -rf "$WORK"' EXIT
for _ in $(seq 100); do grep -q '^listening' "$WORK/store.log" && break; sleep 0.05; done
STORE=$(awk '{print $2}' "$WORK/store.log")

ctl() { "$BUILD/yuccaspanctl" --store "$STORE" --json "$@"; }
stored() { curl -sf "http://$STORE/v1/objects/settings" | jq -c "$1"; }
faults() { curl -sf -X PUT "http://$STORE/control/faults" -d "$1" >/dev/null; }
fail() { echo "FAILED: $*"; exit 1; }
expect() { [ "$2" = "$3" ] || fail "$1: expected $2, found $3"; }

# Runs a command and prints its exit code.
code() { local status=0; "$@" >"$WORK/last.json" || status=$?; echo $status; }

expect 'first apply' 0 "$(code ctl apply examples/kigali)"
version=$(jq .version "$WORK/last.json")
expect 'version' 1 "$version"

# Operators who saw the same version and apply different folders: one wins, the others change nothing.
for n in 1 2 3 4 5 6; do
    cp -r examples/kigali "$WORK/folder$n"
    echo "{\"services\":{\"depot-stock\":{\"queueLimit\":$n}}}" >"$WORK/folder$n/80-queue.json"
done
pids=()
for n in 1 2 3 4 5 6; do
    ctl apply "$WORK/folder$n" --expect "$version" >"$WORK/race$n.json" & pids+=($!)
done
winners=()
for n in 1 2 3 4 5 6; do
    status=0; wait "${pids[n-1]}" || status=$?
    case $status in
    0) winners+=("$n") ;;
    1) expect "loser $n" '"conflict"' "$(jq '.errors[0].code' "$WORK/race$n.json")" ;;
    *) fail "operator $n ended with $status" ;;
    esac
done
expect 'number of winners' 1 "${#winners[@]}"
expect 'settings in force' "${winners[0]}" "$(stored '.services["depot-stock"].queueLimit')"

# Operators who change different things at once: all succeed and nothing is lost.
pids=()
ctl zone out a >/dev/null & pids+=($!)
for n in 02 05 08; do ctl drain "depot-stock-$n" >/dev/null & pids+=($!); done
for pid in "${pids[@]}"; do wait "$pid" || fail "an operator lost a race without need"; done
expect 'zone' true "$(stored .zones.a.out)"
expect 'drained' 3 "$(stored '[.services[].targets[] | select(.drain)] | length')"

# A lost answer is resolved before the command reports.
faults '{"loseAnswers":2}'
expect 'zone in, answers lost' 0 "$(code ctl zone in a)"
expect 'zone is in' false "$(stored .zones.a.out)"

# Applying a folder keeps what drain has set.
expect 'apply again' 0 "$(code ctl apply examples/kigali)"
expect 'still drained' 3 "$(stored '[.services[].targets[] | select(.drain)] | length')"

# A store that is down, and instances that do not report, give exit code 1; bad settings give 2.
expect 'nobody reports' 1 "$(code ctl apply examples/kigali --wait --timeout-ms 0)"
faults '{"down":true}'
expect 'store down' 1 "$(code ctl zone out b)"
expect 'error code' '"unavailable"' "$(jq '.errors[0].code' "$WORK/last.json")"
echo '{"zones":{"a":{"regoin":"x"}}}' >"$WORK/folder1/90-typo.json"
expect 'bad settings' 2 "$(code ctl check "$WORK/folder1")"
expect 'file of the error' '"90-typo.json"' "$(jq '.errors[0].file' "$WORK/last.json")"
echo 'operators: all expectations met'
