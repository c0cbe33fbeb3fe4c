#!/usr/bin/env bash
# Runs the linter on each source file, several at the same time. Skips a file if the file, its compile commands, the
# headers, the rules and the linter are the same as at its last run without findings.
set -u
build=$1
jobs=$2
cd "$(dirname "$0")/.." || exit 1
cache=${LINT_CACHE:-$HOME/.cache/primrosecroft-lint}
mkdir -p "$cache"
common=$( (cat .clang-tidy; tools/sources.sh | grep '\.h$' | xargs cat; clang-tidy-19 --version) | sha256sum)
root=$PWD
buildPath=$(cd "$build" && pwd) || exit 1
# Prints the compile commands of a file without the paths of this tree and of the build folder, so that work trees share
# marks.
compileCommands() {
    grep -F -B1 "\"file\": \"$root/$1\"" "$buildPath/compile_commands.json" | grep -F '"command": ' \
        | sed -e "s|$buildPath|BUILD|g" -e "s|$root|SOURCE|g"
}
lintOne() {
    local file=$1 mark
    mark=$cache/$( (echo "$common"; compileCommands "$file"; cat "$file") | sha256sum | cut -d' ' -f1)
    [ -e "$mark" ] && return 0
    if clang-tidy-19 --quiet -p "$build" "$file" 2>/dev/null; then
        touch "$mark"
    else
        echo "lint: $file has findings" >&2
        return 1
    fi
}
export -f lintOne compileCommands
export build buildPath root cache common
tools/sources.sh | grep '\.cpp$' | xargs -P "$jobs" -I{} bash -c 'lintOne {}'
