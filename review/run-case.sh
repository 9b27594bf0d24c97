#!/usr/bin/env bash
# Runs the driver of one case: run-case.sh FOLDER, relative to this one. Exits with 1 if the rule was
# broken, with 0 if it held, with 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
folder=$1
program=target/review/case-${folder//\//-}
cd "$(dirname "$0")/.." || exit 2
[ -x target/yuccaspan-gateway ] && [ -x "$program" ] || {
    echo "build the deploy file's program and run review/build.sh first"; exit 2; }
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout -k 1 115 "$program" "review/$folder" "$temporary"
status=$?
case $status in 0 | 1 | 2) exit $status ;; *) echo "the case ended with $status"; exit 2 ;; esac
