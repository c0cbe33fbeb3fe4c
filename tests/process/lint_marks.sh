#!/usr/bin/env bash
# Checks that tools/lint.sh lints a file again if only its compile command has changed, and that the paths of the
# source tree and of the build folder don't count. A stand-in of the linter records the files that it gets.
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
            printf '{\n  "directory": "%s",\n  "command": "c++ -I%s/src -include %s/x.h %s -c %s/src/%s.cpp",\n' \
                "$2" "$1" "$2" "$([ $name = a ] && echo "$3")" "$1" "$name"
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

[ $failures -eq 0 ] && echo "lint marks: all checks passed"
exit $failures
