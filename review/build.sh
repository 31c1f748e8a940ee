#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. The nodes come from the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-review -G Ninja -DCMAKE_BUILD_TYPE=Release -DCMAKE_PROJECT_INCLUDE="$PWD/review/standins.cmake" >/dev/null
cmake --build build-review --target review-platform
