#!/usr/bin/env bash
# Checks the operators' commands against the platform's stand-in and one entry daemon that requires a token: loading a
# sheet, draining a worker, a conflicting change, the history, lists and cancelling.
set -u
BUILD=$1
SOURCE=$2
NET=${NET:-24}
EXAMPLE=$SOURCE/examples/clydemuir
. "$SOURCE/tests/demo/cell.sh"
trap endCell EXIT
. "$SOURCE/tests/process/expect.sh"

# awaitSuccess COMMAND...: repeats the command until it succeeds, for at least 30 seconds.
awaitSuccess() {
    local turn
    for turn in $(seq 300); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    echo "FAILED: timed out waiting for $*" >&2
    exit 1
}

startPlatform
echo 0123456789abcdef >"$CELL/token"
settings=$(entrySettings grangemouth-e1 grangemouth central-belt "127.$NET.1.1")
sed -i "s|{open: true}|{tokenFile: $CELL/token}|" "$settings"
startProcess entryd "$BUILD/src/entryd/primrosecroft-entryd" "$settings"
export PRIMROSECROFT_ENTRY=http://127.$NET.1.1:7400
bare=$BUILD/src/ctl/primrosecroft-ctl
ctl="$bare --token-file $CELL/token --operator mairi"
awaitSuccess curl -sf "$PRIMROSECROFT_ENTRY/readyz"

expect 1 "bearer token" "$bare" sheet load "$CELL/sheet.yaml"
expect 4 "bearer token" "$bare" demand list
expect 0 "in force: version 1" $ctl sheet load "$CELL/sheet.yaml"
expect 0 "no difference" $ctl sheet diff "$CELL/sheet.yaml"
expect 7 "give --yes" $ctl worker drain dyce-w01
expect 0 "in force: version 2" $ctl --yes worker drain dyce-w01
expect 0 "draining" $ctl worker show dyce-w01
expect 0 "changed workers.dyce-w01" $ctl sheet diff "$CELL/sheet.yaml"
expect 5 "written by grangemouth-e1-entryd" $ctl sheet load "$CELL/sheet.yaml" --against 1
expect 0 "/mairi" $ctl sheet history
expect 0 "sheet: clydemuir-morning" $ctl sheet show --version 1
expect 0 "version 3" $ctl worker undrain dyce-w01
expect 0 '"version":3' $ctl --output json config versions
$ctl sheet show --version 2 >"$CELL/old.yaml"
expect 0 "in force: version 4" $ctl sheet load "$CELL/old.yaml"
expect 0 "draining" $ctl worker show dyce-w01
expect 4 "no worker" $ctl worker show nowhere
echo '{"kind":"batch","team":"yard","tasks":1,"cores":1,"memory":"1GiB"}' >"$CELL/demand.json"
expect 0 accepted "$bare" demand submit wash-1 "$CELL/demand.json"
expect 0 "wash-1" $ctl demand list
expect 0 '"state": "accepted"' "$bare" demand show wash-1
expect 7 "give --yes" "$bare" demand cancel wash-1
expect 0 cancel "$bare" demand cancel wash-1 --yes
expect 0 grangemouth-x01 $ctl upstream list
grep -v "dyce-w16:" "$CELL/sheet.yaml" >"$CELL/smaller.yaml"
expect 7 "removed workers.dyce-w16" $ctl sheet load "$CELL/smaller.yaml"
printf 'sheet: s s\nworkers: 5\n' >"$CELL/bad.yaml"
expect 1 "line 2, column 10, workers" "$bare" sheet check "$CELL/bad.yaml"
expect 2 "" "$bare" sheet burn
[ $failures -eq 0 ] && echo "operators: all checks passed"
exit $failures
