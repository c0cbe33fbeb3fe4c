#!/usr/bin/env bash
# Builds what the scripts in review/6 to review/10 start besides the product: target/review-2/review-platform.
set -eu
cd "$(dirname "$0")"
cmake -S standin-2 -B ../target/review-2 -DCMAKE_BUILD_TYPE=Release
cmake --build ../target/review-2 -j "${JOBS:-4}" --target review-platform
