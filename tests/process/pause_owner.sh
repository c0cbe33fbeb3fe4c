#!/usr/bin/env bash
# Stops the owner with SIGSTOP for longer than its leases and lets it continue. Checks that it starts nothing as a
# former owner, and that no task runs twice at the same time.
set -u
. "$(dirname "$0")/small_cell.sh"
startSmallCell
old=$(findOwner)
[ "$(submit watch '{"kind":"service","team":"yard","tasks":4,"cores":1,"memory":"1GiB"}' "$(entryUrl 1)")" = 202 ] || fail "not accepted"
waitUntil "the service runs" hasRunningTasks watch 4
kill -STOP "$(cellPid "$old")"
waitWithoutDuplicates "another cell daemon is the owner" hasOtherOwner "$old"
[ "$(submit hold '{"kind":"service","team":"yard","tasks":5,"cores":2,"memory":"1GiB"}' "$(entryUrl 2)")" = 202 ] || fail "not accepted"
waitWithoutDuplicates "the demand submitted during the pause runs" hasRunningTasks hold 5
end=$((SECONDS + 7)) # longer than any lease from the paused owner
while [ $SECONDS -lt $end ]; do assertNoDuplicates; sleep 0.5; done
kill -CONT "$(cellPid "$old")"
waitWithoutDuplicates "the paused daemon is no longer the owner" isNotOwner "$old"
waitWithoutDuplicates "the first service runs" hasRunningTasks watch 4
waitWithoutDuplicates "the second service runs" hasRunningTasks hold 5
findOwner >/dev/null || fail "there is no owner"
[ "$(reported doubles)" = 0 ] || fail "a task ran twice at the same time"
echo "passed"
