#!/usr/bin/env bash
# Checks that another cell daemon takes over after kill -9 of the owner, that no task runs twice at the same time, that
# services keep their attempts, and that a batch demand ends.
set -u
. "$(dirname "$0")/small_cell.sh"
startSmallCell
old=$(findOwner)
[ "$(submit watch '{"kind":"service","team":"yard","tasks":4,"cores":1,"memory":"1GiB"}' "$(entryUrl 1)")" = 202 ] || fail "not accepted"
[ "$(submit wash '{"kind":"batch","team":"yard","tasks":3,"cores":1,"memory":"1GiB","runTime":"4s"}' "$(entryUrl 2)")" = 202 ] || fail "not accepted"
waitUntil "the service runs" hasRunningTasks watch 4
waitUntil "the batch runs" hasRunningTasks wash 3
before=$(listTasks | grep -o '"attempt":[0-9]*,"task":"watch[^"]*"' | sort)
kill -9 "$(cellPid "$old")"
waitWithoutDuplicates "another cell daemon is the owner" hasOtherOwner "$old"
waitWithoutDuplicates "the batch is done" hasState wash done 2
waitWithoutDuplicates "the service still runs" hasRunningTasks watch 4
[ "$(submit after '{"kind":"gang","team":"yard","tasks":3,"cores":2,"memory":"1GiB","runTime":"1s"}' "$(entryUrl 1)")" = 202 ] || fail "not accepted"
waitWithoutDuplicates "a gang submitted after the take-over is done" hasState after done 1
after=$(listTasks | grep -o '"attempt":[0-9]*,"task":"watch[^"]*"' | sort)
[ "$before" = "$after" ] || fail "tasks were restarted unnecessarily: $before / $after"
[ "$(reported doubles)" = 0 ] || fail "a task ran twice at the same time"
echo "passed"
