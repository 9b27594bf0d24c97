#!/usr/bin/env bash
# Runs the driver of one case: run-case.sh FOLDER TROUBLE. The folder is relative to this one; TROUBLE
# is 0 to leave the disruption out. Exits with 1 if the rule was broken, with 0 if it held, with 2 if
# the case couldn't run. Gateways end with the driver that started them.
folder=$1
trouble=$2
program=target/review/case-${folder//\//-}
cd "$(dirname "$0")/.." || exit 2
[ -x target/yuccaspan-gateway ] && [ -x "$program" ] || {
    echo "build the deploy file's program and run review/build.sh first"; exit 2; }
temporary=$(mktemp -d) || exit 2
driver=
finish() { [ -n "$driver" ] && kill "$driver" 2>/dev/null; wait; rm -rf "$temporary"; }
trap finish EXIT
trap 'exit 2' INT TERM
timeout -k 1 115 "$program" "review/$folder" "$temporary" "$trouble" &
driver=$!
wait "$driver"
status=$?
driver=
case $status in 0 | 1 | 2) exit $status ;; *) echo "the case ended with $status"; exit 2 ;; esac
