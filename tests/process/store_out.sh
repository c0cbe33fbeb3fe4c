#!/usr/bin/env bash
# Checks a store that is unavailable, that freezes, and that loses its answers. Demands are refused at once or have an
# unknown outcome; a demand that may run is never reported as not run. Bookings continue, and tasks run as long as their
# leases last.
set -u
. "$(dirname "$0")/small_cell.sh"
startSmallCell
body='{"kind":"service","team":"yard","tasks":2,"cores":1,"memory":"1GiB"}'
[ "$(submit watch "$body" "$(entryUrl 1)")" = 202 ] || fail "not accepted"
waitUntil "the service runs" hasRunningTasks watch 2
attempts=$(listTasks | grep -o '"attempt":[0-9]*' | sort)

setStoreMode out
isStoreUnreachable() { get "$(entryUrl 1)/v1/status" | grep -q '"storeReachable":false'; }
waitUntil "the entry daemon reports the store as unreachable" isStoreUnreachable
[ "$(submit refused "$body" "$(entryUrl 1)")" = 503 ] || fail "expected 503"
grep -q '"outcome":"refused"' "$CELL/refused.answer" || fail "expected refused: $(cat "$CELL/refused.answer")"
curl -s -m 10 -D "$CELL/head" -o /dev/null -X POST -H 'Idempotency-Key: again' -d "$body" "$(entryUrl 1)/v1/demands"
grep -qi '^retry-after:' "$CELL/head" || fail "no Retry-After"
for turn in $(seq 1 20); do
    [ "$(get -o /dev/null -w '%{http_code}' "$(entryUrl 1)/booking/slot$turn")" = 200 ] || fail "booking $turn was not answered in the outage"
done
[ "$(listTasks | grep -o '"attempt":[0-9]*' | sort)" = "$attempts" ] || fail "tasks changed in the outage"
setStoreMode good
isStoreReachable() { get "$(entryUrl 1)/v1/status" | grep -q '"storeReachable":true'; }
waitUntil "the entry daemon reports the store as reachable" isStoreReachable
[ "$(listTasks | grep -o '"attempt":[0-9]*' | sort)" = "$attempts" ] || fail "a short outage ended a run"
[ "$(get -o /dev/null -w '%{http_code}' "$(entryUrl 1)/v1/demands/refused")" = 404 ] || fail "a refused demand has a row"

# The store is unavailable for longer than any lease. The runs have ended then, and each task starts once when the store
# is back.
setStoreMode out
end=$((SECONDS + 12))
while [ $SECONDS -lt $end ]; do assertNoDuplicates; sleep 0.5; done
isNoneRunning() { [ "$(countTasks watch)" = 0 ]; }
isNoneRunning || fail "tasks run without a lease: $(listTasks)"
setStoreMode good
waitWithoutDuplicates "the service runs again" hasRunningTasks watch 2
waitUntil "the entry daemon reports the store as reachable" isStoreReachable

# The store commits transactions and loses its answers. Each caller must get an answer that is true.
for round in 1 2 3; do
    setStoreMode lose
    submissions=()
    for vm in 1 2 3; do
        submit "lost$round$vm" "$body" "$(entryUrl $vm)" >/dev/null &
        submissions+=($!)
    done
    sleep 0.5
    setStoreMode good
    wait "${submissions[@]}"
    waitUntil "the entry daemon reports the store as reachable" isStoreReachable
    for vm in 1 2 3; do
        key="lost$round$vm"
        row=$(get -o /dev/null -w '%{http_code}' "$(entryUrl 1)/v1/demands/$key")
        grep -q '"outcome":"refused"' "$CELL/$key.answer" && [ "$row" != 404 ] &&
            fail "a demand with a row was reported as not run: $(cat "$CELL/$key.answer")"
        grep -q '"outcome":"accepted"' "$CELL/$key.answer" && [ "$row" != 200 ] &&
            fail "an accepted demand has no row: $(cat "$CELL/$key.answer")"
        echo "$key: $(grep -o '"outcome":"[a-z]*"' "$CELL/$key.answer"), row: $row"
    done
done

setStoreMode freeze
status=$(submit frozen "$body" "$(entryUrl 2)")
grep -q '"outcome":"\(unknown\|refused\)"' "$CELL/frozen.answer" || fail "frozen store: $status $(cat "$CELL/frozen.answer")"
if grep -q '"outcome":"unknown"' "$CELL/frozen.answer"; then
    grep -q '"askAt":"/v1/demands/frozen"' "$CELL/frozen.answer" || fail "an unknown outcome without the address to ask at"
    # A second submission of the key in the same outage must not be reported as not run either.
    submit frozen "$body" "$(entryUrl 2)" >/dev/null
    grep -q '"outcome":"unknown"' "$CELL/frozen.answer" || fail "a retry was reported as not run: $(cat "$CELL/frozen.answer")"
fi
setStoreMode good
isAccepted() { [ "$(submit frozen "$body" "$(entryUrl 1)")" = 202 ]; }
waitUntil "the same key is accepted after the outage" isAccepted
waitUntil "it runs once" hasRunningTasks frozen 2
assertNoDuplicates
echo "passed"
