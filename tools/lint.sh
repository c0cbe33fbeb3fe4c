#!/usr/bin/env bash
# Runs the linter on each source file, several at the same time. Skips a file if the file, its compile commands, its
# headers, the rules and the linter are the same as at its last run without findings. Which headers a file includes is
# known from its last build; if something has changed since then, all headers count.
set -u
build=$1
jobs=$2
cd "$(dirname "$0")/.." || exit 1
cache=${LINT_CACHE:-$HOME/.cache/primrosecroft-lint}
mkdir -p "$cache"
common=$( (cat .clang-tidy; clang-tidy-19 --version) | sha256sum)
allHeaders=$(tools/sources.sh | grep '\.h$' | xargs -r cat | sha256sum)
root=$PWD
buildPath=$(cd "$build" && pwd) || exit 1
# Prints the compile commands of a file without the paths of this tree and of the build folder, so that work trees share
# marks.
compileCommands() {
    grep -F -B1 "\"file\": \"$root/$1\"" "$buildPath/compile_commands.json" | grep -F '"command": ' \
        | sed -e "s|$buildPath|BUILD|g" -e "s|$root|SOURCE|g"
}
# Prints the file in which the last build of a source file has listed what it read; nothing if there is none.
dependencyFile() {
    grep -F -B2 "\"file\": \"$root/$1\"" "$buildPath/compile_commands.json" \
        | sed -nE -e 's|^ *"directory": "(.*)",$|\1|p' -e 's|^ *"command": .* -o ([^ ]+) .*|\1.d|p' \
        | paste -d/ - - | grep '\.d$' | head -1
}
# Prints the project's headers that a dependency file lists. Their paths are relative to the folder of the compile
# command, which the object's path, and so the dependency file's, extends by a folder CMakeFiles.
listedHeaders() {
    (cd "${1%%/CMakeFiles/*}" && tr -s ' \\\n' '\n' <"$1" | grep '\.h$' | xargs -r realpath -s | grep "^$root/" | sort)
}
# Prints what stands for the headers of a source file in its mark.
headers() {
    local dependencies paths
    dependencies=$(dependencyFile "$1")
    if [ ! -f "$dependencies" ] || [ "$1" -nt "$dependencies" ]; then
        echo "$allHeaders"
        return
    fi
    paths=$(listedHeaders "$dependencies")
    if [ -n "$paths" ] && [ -n "$(find $paths -newer "$dependencies" 2>&1)" ]; then
        echo "$allHeaders"
        return
    fi
    for path in $paths; do
        echo "${path#"$root"}"
        cat "$path"
    done
}
lintOne() {
    local file=$1 mark
    mark=$cache/$( (echo "$common"; headers "$file"; compileCommands "$file"; cat "$file") | sha256sum | cut -d' ' -f1)
    [ -e "$mark" ] && return 0
    if clang-tidy-19 --quiet -p "$build" "$file" 2>/dev/null; then
        touch "$mark"
    else
        echo "lint: $file has findings" >&2
        return 1
    fi
}
export -f lintOne compileCommands dependencyFile listedHeaders headers
export build buildPath root cache common allHeaders
tools/sources.sh | grep '\.cpp$' | xargs -P "$jobs" -I{} bash -c 'lintOne {}'
