#!/usr/bin/env bash
# Runs the linter on each source file, several at the same time. Skips a file if the file, the headers, the rules and
# the linter are the same as at its last run without findings.
set -u
build=$1
jobs=$2
cd "$(dirname "$0")/.." || exit 1
cache=${LINT_CACHE:-$HOME/.cache/primrosecroft-lint}
mkdir -p "$cache"
common=$( (cat .clang-tidy; tools/sources.sh | grep '\.h$' | xargs cat; clang-tidy-19 --version) | sha256sum)
lintOne() {
    local file=$1 mark
    mark=$cache/$( (echo "$common"; cat "$file") | sha256sum | cut -d' ' -f1)
    [ -e "$mark" ] && return 0
    if clang-tidy-19 --quiet -p "$build" "$file" 2>/dev/null; then
        touch "$mark"
    else
        echo "lint: $file has findings" >&2
        return 1
    fi
}
export -f lintOne
export build cache common
tools/sources.sh | grep '\.cpp$' | xargs -P "$jobs" -I{} bash -c 'lintOne {}'
