#!/usr/bin/env bash
# Builds the stand-ins that the cases of the third review start, the project's own among them, to build-review-3/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-review-3 -G Ninja -DCMAKE_BUILD_TYPE=Release \
    -DCMAKE_PROJECT_bergamotwinch_INCLUDE="$PWD/review/standins-3/defer.cmake" >/dev/null
cmake --build build-review-3 --target review-3
