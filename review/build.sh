#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into target/review. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O2 -Wall -Wextra -o target/review/standin review/standin/standin.cpp
