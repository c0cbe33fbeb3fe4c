#!/usr/bin/env bash
# Lists our own C++ sources; generated code is left out.
cd "$(dirname "$0")/.." && find src platform tests -name gen-cpp -prune -o \( -name '*.cpp' -o -name '*.h' \) -print | sort
