#!/usr/bin/env bash
# Checks that all daemons end with the same version of the sheet, and that none ever shows an older one, when operators
# change it at the same time, when the store loses the answer of the compare-and-set, and when a daemon restarts during
# a store outage.
set -u
. "$(dirname "$0")/small_cell.sh"
startSmallCell
waitUntil "version 1 is in force everywhere" isInForceEverywhere 1

for vm in 1 2 3; do
    (sed "s/^sheet: .*/sheet: operator$vm/; s/127\.10\./127.$NET./g" "$EXAMPLE/sheet.yaml" |
        curl -s -m 15 -o "$CELL/race$vm.answer" -w '%{http_code}' -X PUT -H 'If-Match: "1"' --data-binary @- \
            "$(entryUrl $vm)/v1/sheet" >"$CELL/race$vm.status") &
    racers[vm]=$!
done
wait "${racers[@]}"
statuses=$(for vm in 1 2 3; do cat "$CELL/race$vm.status"; echo; done | sort | tr '\n' ' ')
[ "$statuses" = "200 409 409 " ] || fail "expected one accepted change: $statuses"
[ "$(grep -l 'version 2 is in force' "$CELL"/race*.answer | wc -l)" = 2 ] || fail "the answer to a conflict doesn't name the version in force"
waitUntil "version 2 is in force everywhere" isInForceEverywhere 2

setStoreMode lose
(loadSheet 2 "$(entryUrl 2)" >"$CELL/lost.status") &
loader=$!
sleep 1
setStoreMode good
wait $loader
shown=$(cat "$CELL/lost.status")
[ "$shown" = 200 ] || [ "$shown" = 503 ] || fail "a change whose answer was lost was answered $shown $(cat "$CELL/sheet.answer")"
if [ "$shown" = 503 ]; then
    isRetryAnswered() { local status; status=$(loadSheet 2 "$(entryUrl 2)"); [ "$status" = 200 ] || [ "$status" = 409 ]; }
    waitUntil "a retry of the change is answered" isRetryAnswered
fi
waitUntil "version 3 is in force everywhere" isInForceEverywhere 3

setStoreMode out
kill -9 "$(pidOf grangemouth-e2-entryd)"
waitUntil "grangemouth-e2-entryd has ended" hasEnded "$(pidOf grangemouth-e2-entryd)"
restartDaemon grangemouth-e2 entryd
showsCurrentVersion() {
    local shown
    shown=$(versionAt "$(entryUrl 2)")
    [ -z "$shown" ] || [ "$shown" -ge 3 ] || fail "it shows version $shown after a restart in a store outage"
    isReady "$(entryUrl 2)" && [ "${shown:-0}" -lt 3 ] && fail "it is ready without the version in force"
    [ "${shown:-0}" = 3 ]
}
waitUntil "the restarted daemon has version 3 from its peers" showsCurrentVersion
setStoreMode good
waitUntil "the restarted daemon is ready" isReady "$(entryUrl 2)"
waitUntil "version 3 is in force everywhere" isInForceEverywhere 3
echo "passed"
