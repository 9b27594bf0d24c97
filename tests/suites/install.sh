#!/usr/bin/env bash
# Installs the product to a temporary prefix, then builds and runs a program that finds it by
# find_package(yuccaspan).
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
BUILD=${YUCCASPAN_BUILD:-$PWD/build}
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT

cmake --install "$BUILD" --prefix "$WORK/prefix" >/dev/null
for program in yuccaspand yuccaspanctl yuccaspan-load; do
    if [ -x "$BUILD/$program" ]; then
        "$WORK/prefix/bin/$program" --help >/dev/null || { echo "installed $program does not run"; exit 1; }
    fi
done

mkdir "$WORK/consumer"
cp examples/route_lookup.cpp examples/check_settings.cpp "$WORK/consumer/"
cat >"$WORK/consumer/CMakeLists.txt" <<'CMAKE'
cmake_minimum_required(VERSION 3.25)
project(consumer LANGUAGES CXX)
find_package(yuccaspan REQUIRED)
foreach(name IN ITEMS route_lookup check_settings)
    add_executable(${name} ${name}.cpp)
    target_link_libraries(${name} PRIVATE yuccaspan::yuccaspan)
endforeach()
CMAKE
cmake -S "$WORK/consumer" -B "$WORK/build" -DCMAKE_PREFIX_PATH="$WORK/prefix" >"$WORK/log" 2>&1 &&
    cmake --build "$WORK/build" >>"$WORK/log" 2>&1 || { tail -n 30 "$WORK/log"; exit 1; }
"$WORK/build/route_lookup"
"$WORK/build/check_settings"
echo "a program built against the installed package works"
