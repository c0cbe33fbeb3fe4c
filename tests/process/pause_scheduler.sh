#!/usr/bin/env bash
# SIGSTOP of the placing scheduler beyond its leases, then SIGCONT: it starts nothing
# as an old holder, and no task is alive twice.
set -u
. "$(dirname "$0")/small_cell.sh"
startSmallCell
old=$(placing)
new=$(other "$old")
[ "$(submit watch '{"kind":"service","team":"yard","tasks":4,"cores":1,"memory":"1GiB"}' "$(entry 1)")" = 202 ] || fail "not accepted"
waitFor "the service runs" runs watch 4
kill -STOP "$(pidOf "grangemouth-e$old-schedd")"
waitChecked "the other scheduler places" isPlacing "$new"
[ "$(submit hold '{"kind":"service","team":"yard","tasks":5,"cores":2,"memory":"1GiB"}' "$(entry "$new")")" = 202 ] || fail "not accepted"
waitChecked "what came during the pause runs" runs hold 5
kill -CONT "$(pidOf "grangemouth-e$old-schedd")"
waitChecked "the paused one knows that it lost the majority" isNotPlacing "$old"
waitChecked "the first service runs" runs watch 4
waitChecked "the second service runs" runs hold 5
isPlacing "$new" || fail "the new holder lost the majority"
echo "passed"
