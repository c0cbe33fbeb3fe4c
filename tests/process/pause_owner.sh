#!/usr/bin/env bash
# SIGSTOP of the cell daemon that owns, beyond its leases, then SIGCONT: it starts nothing
# as an old owner, and no task is alive twice.
set -u
. "$(dirname "$0")/small_cell.sh"
startSmallCell
old=$(owner)
[ "$(submit watch '{"kind":"service","team":"yard","tasks":4,"cores":1,"memory":"1GiB"}' "$(entry 1)")" = 202 ] || fail "not accepted"
waitUntil "the service runs" runs watch 4
kill -STOP "$(cellPid "$old")"
waitChecked "another cell daemon owns" anotherOwns "$old"
[ "$(submit hold '{"kind":"service","team":"yard","tasks":5,"cores":2,"memory":"1GiB"}' "$(entry 2)")" = 202 ] || fail "not accepted"
waitChecked "what came during the pause runs" runs hold 5
end=$((SECONDS + 7)) # longer than any lease that the paused one gave
while [ $SECONDS -lt $end ]; do assertNoDoubles; sleep 0.5; done
kill -CONT "$(cellPid "$old")"
waitChecked "the paused one knows that it no longer owns" ownsNot "$old"
waitChecked "the first service runs" runs watch 4
waitChecked "the second service runs" runs hold 5
owner >/dev/null || fail "nobody owns"
[ "$(reported doubles)" = 0 ] || fail "a task ran twice at once"
echo "passed"
