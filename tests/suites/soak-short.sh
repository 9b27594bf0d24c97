#!/usr/bin/env bash
# A short run of the soak: seeds 2 and 10, which once broke OWNER (a later life of a target held keys
# that renewals had brought it), and one more, with fewer troubles than by hand.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
BUILD=${YUCCASPAN_BUILD:-$PWD/build}
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT
for seed in 2 10 101; do
    timeout 240 "$BUILD/yuccaspan-soak" --from "$seed" --seeds 1 --folder "$WORK" --callers 20 --calm-s 6
done
