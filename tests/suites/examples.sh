#!/usr/bin/env bash
# Runs the example programs, each of which returns nonzero on a wrong result.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
BUILD=${YUCCASPAN_BUILD:-$PWD/build}
count=0
for source in examples/*.cpp; do
    name=$(basename "$source" .cpp)
    echo "== $name"
    timeout 60 "$BUILD/example_$name" || { echo "example $name failed"; exit 1; }
    count=$((count + 1))
done
echo "$count examples passed"
[ "$count" -ge 3 ]
