#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases 6 to 10 into target/review-2. Uses no network.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -pthread -Iinclude -Isrc -Istandins -Iplatform/standins
    -DBOOST_ASIO_SEPARATE_COMPILATION -DBOOST_BEAST_SEPARATE_COMPILATION)
sources=(src/impl/boost_sources.cpp standins/event_loop.cpp standins/http_server.cpp
    standins/process.cpp platform/standins/object_table.cpp platform/standins/store_standin.cpp
    review/standins-2/*.cpp)
objects=()
jobs=()
for source in "${sources[@]}"; do
    object="$out/$(basename "$source" .cpp).o"
    g++ "${flags[@]}" -c "$source" -o "$object" &
    jobs+=($!)
    objects+=("$object")
done
for job in "${jobs[@]}"; do
    wait "$job"
done
g++ -pthread "${objects[@]}" -o "$out/review-lab"
