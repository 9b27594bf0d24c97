#!/usr/bin/env bash
# Larger bounds of the models in spec/, each search bounded in time and memory. Takes about half an
# hour at most.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
export MODEL_LIST=$PWD/spec/deep-searches.txt MODEL_SECONDS=${MODEL_SECONDS:-400}
export MODEL_WORKERS=${MODEL_WORKERS:-2} MODEL_MEGABYTES=${MODEL_MEGABYTES:-1900}
exec bash tests/suites/model.sh
