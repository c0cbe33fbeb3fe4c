#!/usr/bin/env bash
# Checks that tools/lint.sh lints a file again if only its compile command or a header that it includes has changed, and
# that other headers and the paths of the source tree and of the build folder don't count. A stand-in of the linter
# records the files that it gets.
set -u
SOURCE=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
failures=0

mkdir -p "$folder/bin" "$folder/tree/src" "$folder/tree/platform" "$folder/tree/tests"
cat >"$folder/bin/clang-tidy-19" <<'EOF'
#!/usr/bin/env bash
[ "$1" = --version ] || echo "${@: -1}" >>"$LINTED"
EOF
chmod +x "$folder/bin/clang-tidy-19"
export PATH=$folder/bin:$PATH LINTED=$folder/linted LINT_CACHE=$folder/cache
cp -r "$SOURCE/tools" "$SOURCE/.clang-tidy" "$folder/tree"
echo 'int a;' >"$folder/tree/src/a.cpp"
echo 'int b;' >"$folder/tree/src/b.cpp"
cp -r "$folder/tree" "$folder/other"

# writeCommands TREE BUILD OPTION: writes the compile commands of both files, in CMake's form, with OPTION for a.cpp.
writeCommands() {
    mkdir -p "$2"
    {
        echo '['
        for name in a b; do
            printf '{\n  "directory": "%s",\n  "command": "c++ -I%s/src -include %s/x.h %s -o CMakeFiles/%s.cpp.o -c %s/src/%s.cpp",\n' \
                "$2" "$1" "$2" "$([ $name = a ] && echo "$3")" "$name" "$1" "$name"
            printf '  "file": "%s/src/%s.cpp"\n},\n' "$1" "$name"
        done
        echo ']'
    } >"$2/compile_commands.json"
}

# expectLinted TREE BUILD FILES: runs the linter and compares the files that it got.
expectLinted() {
    : >"$LINTED"
    "$1/tools/lint.sh" "$2" 1
    if [ "$(sort "$LINTED" | xargs)" != "$3" ]; then
        echo "expected to lint '$3', linted '$(sort "$LINTED" | xargs)'" >&2
        failures=$((failures + 1))
    fi
}

writeCommands "$folder/tree" "$folder/tree/build" -O2
expectLinted "$folder/tree" build "src/a.cpp src/b.cpp"
expectLinted "$folder/tree" build ""
writeCommands "$folder/tree" "$folder/tree/build" -O3
expectLinted "$folder/tree" build "src/a.cpp"
writeCommands "$folder/other" "$folder/elsewhere" -O3
expectLinted "$folder/other" "$folder/elsewhere" ""

# What the last build has read: a.cpp includes own.h, b.cpp nothing.
echo 'int own;' >"$folder/tree/src/own.h"
echo 'int foreign;' >"$folder/tree/src/foreign.h"
mkdir -p "$folder/tree/build/CMakeFiles"
# buildAgain: makes the dependency files newer than all sources.
buildAgain() {
    printf 'CMakeFiles/a.cpp.o: ../src/a.cpp \\\n ../src/own.h\n' >"$folder/tree/build/CMakeFiles/a.cpp.o.d"
    printf 'CMakeFiles/b.cpp.o: ../src/b.cpp\n' >"$folder/tree/build/CMakeFiles/b.cpp.o.d"
    touch -d '+1 minute' "$folder/tree/build/CMakeFiles/a.cpp.o.d" "$folder/tree/build/CMakeFiles/b.cpp.o.d"
}
buildAgain
expectLinted "$folder/tree" build "src/a.cpp src/b.cpp"
echo 'int foreign2;' >"$folder/tree/src/foreign.h"
expectLinted "$folder/tree" build ""
echo 'int own2;' >"$folder/tree/src/own.h"
expectLinted "$folder/tree" build "src/a.cpp"
# Not built since then, so the header may include others.
touch -d '+2 minutes' "$folder/tree/src/own.h"
expectLinted "$folder/tree" build "src/a.cpp"
expectLinted "$folder/tree" build ""
echo 'int foreign3;' >"$folder/tree/src/foreign.h"
expectLinted "$folder/tree" build "src/a.cpp"

[ $failures -eq 0 ] && echo "lint marks: all checks passed"
exit $failures
