#!/usr/bin/env bash
# kill -9 of the cell daemon that owns: another takes over, no task is alive twice,
# services keep their attempts, and batch work ends once.
set -u
. "$(dirname "$0")/small_cell.sh"
startSmallCell
old=$(owner)
[ "$(submit watch '{"kind":"service","team":"yard","tasks":4,"cores":1,"memory":"1GiB"}' "$(entry 1)")" = 202 ] || fail "not accepted"
[ "$(submit wash '{"kind":"batch","team":"yard","tasks":3,"cores":1,"memory":"1GiB","runTime":"4s"}' "$(entry 2)")" = 202 ] || fail "not accepted"
waitUntil "the service runs" runs watch 4
waitUntil "the batch runs" runs wash 3
before=$(allTasks | grep -o '"attempt":[0-9]*,"task":"watch[^"]*"' | sort)
kill -9 "$(cellPid "$old")"
waitChecked "another cell daemon owns" anotherOwns "$old"
waitChecked "the batch is done" stateIs wash done 2
waitChecked "the service still runs" runs watch 4
[ "$(submit after '{"kind":"gang","team":"yard","tasks":3,"cores":2,"memory":"1GiB","runTime":"1s"}' "$(entry 1)")" = 202 ] || fail "not accepted"
waitChecked "a gang that came after is done" stateIs after done 1
after=$(allTasks | grep -o '"attempt":[0-9]*,"task":"watch[^"]*"' | sort)
[ "$before" = "$after" ] || fail "tasks were restarted without need: $before / $after"
[ "$(reported doubles)" = 0 ] || fail "a task ran twice at once"
echo "passed"
