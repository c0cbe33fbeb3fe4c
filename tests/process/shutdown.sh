#!/usr/bin/env bash
# Checks that SIGTERM under load cuts off no request, that an owner that leaves hands over its cell, and that a second
# SIGTERM ends a daemon at once and logs what was cut off.
set -u
. "$(dirname "$0")/small_cell.sh"
startSmallCell
for number in 1 2; do setExecutorFaults $number '{"delayMs": 2500}'; done
callers=()
for turn in $(seq 1 24); do
    curl -s -m 30 -o /dev/null -w '%{http_code}\n' "$(entryUrl 1)/booking/slow$turn" >"$CELL/slow$turn.status" &
    callers+=($!)
done
areBookingsInFlight() { ! get "$(entryUrl 1)/v1/status" | grep -q '"bookingsInFlight":0,'; }
waitUntil "bookings are in flight" areBookingsInFlight
leaving=$(pidOf grangemouth-e1-entryd)
kill -TERM "$leaving"
wait "${callers[@]}"
bad=$(cat "$CELL"/slow*.status | grep -vc '^200$')
[ "$bad" = 0 ] || fail "$bad of 24 requests were not answered completely: $(cat "$CELL"/slow*.status | sort | uniq -c)"
wait "$leaving"
status=$?
[ $status = 0 ] || fail "exit status $status"
grep -q 'ended, nothing was cut off' "$CELL/grangemouth-e1-entryd.log" || fail "the log has no line about an orderly end"
for number in 1 2; do setExecutorFaults $number '{}'; done

old=$(findOwner)
[ "$(submit watch '{"kind":"service","team":"yard","tasks":4,"cores":1,"memory":"1GiB"}' "$(entryUrl 2)")" = 202 ] || fail "not accepted"
waitUntil "the service runs" hasRunningTasks watch 4
before=$(listTasks | grep -o '"attempt":[0-9]*' | sort)
leaving=$(cellPid "$old")
kill -TERM "$leaving"
wait "$leaving"
status=$?
[ $status = 0 ] || fail "exit status $status of the cell daemon"
waitWithoutDuplicates "another cell daemon is the owner" hasOtherOwner "$old"
[ "$(listTasks | grep -o '"attempt":[0-9]*' | sort)" = "$before" ] || fail "tasks were restarted by a hand-over"

for number in 1 2; do setExecutorFaults $number '{"delayMs": 8000}'; done
curl -s -m 30 -o /dev/null "$(entryUrl 2)/booking/cut" &
caller=$!
isBookingInFlightOnEntry2() { ! get "$(entryUrl 2)/v1/status" | grep -q '"bookingsInFlight":0,'; }
waitUntil "a booking is in flight" isBookingInFlightOnEntry2
leaving=$(pidOf grangemouth-e2-entryd)
kill -TERM "$leaving"
isLeaving() { grep -q 'leaving, waiting' "$CELL/grangemouth-e2-entryd.log"; }
waitUntil "it is leaving" isLeaving
kill -TERM "$leaving"
wait "$leaving"
status=$?
[ $status = 3 ] || fail "expected exit status 3, was $status"
grep -q 'ended early, cut off: bookings=1' "$CELL/grangemouth-e2-entryd.log" || fail "the log doesn't say what was cut off"
wait "$caller"
echo "passed"
