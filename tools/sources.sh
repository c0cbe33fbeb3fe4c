#!/usr/bin/env bash
# Lists the C++ sources, without generated code.
cd "$(dirname "$0")/.." && find src platform tests -name gen-cpp -prune -o \( -name '*.cpp' -o -name '*.h' \) -print | sort
