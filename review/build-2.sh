#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10, with the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-2 -B target/review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2
