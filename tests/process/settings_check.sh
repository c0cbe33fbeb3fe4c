#!/usr/bin/env bash
# Checks that the programs exit before they open a socket if a settings file has a fault, and that the message names the
# file, the line, the key and what was expected.
set -u
BUILD=$1
SOURCE=$2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
. "$SOURCE/tests/process/expect.sh"

program=$BUILD/src/entryd/primrosecroft-entryd
for example in clydemuir kjaergaard; do
    expect 0 good "$program" --check-settings "$SOURCE/examples/$example/entryd.yaml"
done
good=$SOURCE/examples/clydemuir/entryd.yaml
expect 0 "accept: 5000ms" "$program" --print-settings "$good"
"$program" --print-settings "$good" >"$folder/printed.yaml"
expect 0 good "$program" --check-settings "$folder/printed.yaml"

# The address can't be bound, so a message about the key shows that no port was opened before.
sed -e 's/heartbeat: 2s/heartbeat: 2/' -e 's/address: 127.10.1.1/address: 192.0.2.1/' \
    -e 's/^pools: .*/poosl: 0/' "$good" >"$folder/bad.yaml"
expect 1 "bad.yaml: line 7, column 1, poosl: expected one of the keys process" "$program" "$folder/bad.yaml"
expect 1 "line 8, column 24, intervals.heartbeat: expected a time with its unit" "$program" "$folder/bad.yaml"
sed -e "s|{open: true}|{tokenFile: $folder/none}|" "$good" >"$folder/token.yaml"
rm -f "$folder/none"
expect 1 "$folder/none" "$program" "$folder/token.yaml"
echo short >"$folder/none"
expect 1 "expected 16 to 512 printable characters" "$program" "$folder/token.yaml"
expect 1 "can't open" "$program" "$folder/absent.yaml"

[ $failures -eq 0 ] && echo "settings: all checks passed"
exit $failures
