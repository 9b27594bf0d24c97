#!/usr/bin/env bash
# Holds the decisions against the bounds of scripts/bench policy that they keep, at fixed seeds.
#   policy.sh         all bounds that are kept
#   policy.sh NAME    one bound that is known to be missed, as named in KNOWN-RED.txt
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
bench=${YUCCASPAN_BUILD:-build}/bench_policy

check() { # check SCENARIO FIGURE [OPTION..]
    local scenario=$1 figure=$2
    shift 2
    "$bench" --seeds 3 --scenario "$scenario" --figure "$figure" "$@" | grep -E 'MISSED|miss their bound'
    return "${PIPESTATUS[0]}"
}

case ${1:-} in
"")
    check 4 "" # restarts: service, balance, cold limit, repeats
    check 5 "" # overload
    check 3a "sent to a leaving zone"
    check 3b "weighted service" --shape kigali/depot-stock
    check 6a "sent after the deadline"
    check 7- "repeats over first tries"
    ;;
hot-keys-churn) check 1- "churn over" --shape peg-ledger ;;
one-straggler-other-keys) check 2b "p99 of other keys" --shape depot-issue ;;
two-stragglers-other-keys) check 2d "p99 of other keys" --shape flood-dispatch ;;
two-stragglers-slowed-keys) check 2d "p99 of slowed keys" --shape flood-dispatch ;;
zone-out-churn) check 3a "churn over" --shape depot-issue ;;
zone-out-imbalance) check 3a "imbalance" --shape peg-ledger ;;
zone-and-target-service) check 3b "weighted service" --shape flood-dispatch ;;
*)
    echo "unknown bound: $1" >&2
    exit 2
    ;;
esac
