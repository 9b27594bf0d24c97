#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases into target/review/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
pids=()
for source in review/[1-5]/case.cpp review/more/*/case.cpp; do
    [ -e "$source" ] || continue
    name=${source#review/}
    name=${name%/case.cpp}
    ${CXX:-g++} -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "target/review/case-${name//\//-}" &
    pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
