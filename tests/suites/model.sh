#!/usr/bin/env bash
# Checks the ownership protocol's models in spec/ with Spin: each search must be exhaustive and find
# no error, and each mutation of a model must be found.
# A search of kind 'bounded' may be cut off by time, memory or depth, and says so.
# MODEL_LIST names another list of searches, MODEL_SECONDS the time limit of one search.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."

LIST=${MODEL_LIST:-spec/searches.txt}
SECONDS_EACH=${MODEL_SECONDS:-150}
WORKERS=${MODEL_WORKERS:-3}
MEGABYTES=${MODEL_MEGABYTES:-1300}
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT
export LIST SECONDS_EACH MEGABYTES WORK SPEC=$PWD/spec

# search KIND NAME MODEL [DEFINITION..]: one search; prints one line.
search() {
    local kind=$1 name=$2 model=$3; shift 3
    local dir=$WORK/$name; mkdir "$dir"; cd "$dir"
    spin "$@" -a "$SPEC/$model.pml" >spin.log 2>&1 || { echo "FAILED $name: spin: $(tail -n 1 spin.log)"; return 1; }
    local level=2; [ "$kind" = mutation ] && level=0
    gcc -O$level -w -DSAFETY -DMEMLIM="$MEGABYTES" -o pan pan.c || { echo "FAILED $name: gcc"; return 1; }
    local status=0
    timeout -s INT "$SECONDS_EACH" ./pan -m2000000 -w22 >pan.log 2>&1 || status=$?
    local states; states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log | tail -n 1)
    local errors; errors=$(sed -n 's/.*errors: \([0-9]*\)$/\1/p' pan.log | tail -n 1)
    local violation; violation=$(grep -m 1 -E '^pan:[0-9]+: ' pan.log || true)
    if [ "$kind" = mutation ]; then
        [ "${errors:-0}" -gt 0 ] && [[ $violation == *"assertion violated"* ]] && { echo "found   $name ($states states)"; return 0; }
        echo "FAILED $name: the mutation was not found (${states:-no} states)"; return 1
    fi
    [ -z "$violation" ] || { echo "FAILED $name: $violation"; tail -n 40 pan.log; return 1; }
    if [ "$status" -ne 0 ] || [ "${errors:-1}" -ne 0 ] || grep -qE 'Search not completed|too small|MEMLIM|out of memory|Bitstate|Hash-Compact' pan.log; then
        [ "$kind" = bounded ] && { echo "no error in $name: ${states:-?} states stored, search cut off"; return 0; }
        echo "FAILED $name: the search is not exhaustive (status $status, ${states:-?} states)"; tail -n 5 pan.log; return 1
    fi
    echo "proved  $name: $states states stored, exhaustive"
}
export -f search

grep -vE '^(#|$)' "$LIST" | xargs -P "$WORKERS" -I{} bash -c 'search {}' || { echo "model: failed"; exit 1; }
echo "$(basename "$LIST" .txt): $(grep -cE "^(model|bounded) " "$LIST") searches without error, $(grep -c '^mutation ' "$LIST" || true) mutations found"
