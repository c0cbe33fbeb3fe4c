#!/usr/bin/env bash
# Builds what the scripts in review/6 to review/10 start besides the product: review/build-2-out/review-platform.
set -eu
cd "$(dirname "$0")"
cmake -S standin-2 -B build-2-out -DCMAKE_BUILD_TYPE=Release
cmake --build build-2-out -j "${JOBS:-4}" --target review-platform
