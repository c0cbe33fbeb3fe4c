#!/usr/bin/env bash
# Checks that a daemon that reaches neither the store nor another daemon answers a job with 504 at once, so that the
# caller can use another daemon, and that it accepts the job when it is in contact again.
set -u
. "$(dirname "$0")/jobs_cell.sh"
startCell
job='{"spec":"work=300","phases":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":300}]}'
owner=$(ownerNumber)
isolated=$((owner % DAEMONS + 1))
stopped=("$(cat "$CELL/platform.pid")")
for number in $(seq "$DAEMONS"); do
    [ "$number" = "$isolated" ] || stopped+=("$(cat "$CELL/$number-celld.pid")")
done
kill -STOP "${stopped[@]}"
sleep 3
sentAt=$(date +%s%3N)
status=$(submit "$isolated" 00000000000000e1 q "$job")
took=$(($(date +%s%3N) - sentAt))
kill -CONT "${stopped[@]}"
[ "$status" = 504 ] || fail "expected 504, got $status"
[ "$took" -lt 800 ] || fail "the answer took $took ms"
accepted() { [ "$(submit "$isolated" 00000000000000e1 q "$job")" = 200 ]; }
waitFor 10 "the same job is accepted once the daemon is in contact again" accepted
waitFor 10 "it is complete" hasState "$isolated" 00000000000000e1 q complete
echo "answered 504 after $took ms, accepted afterwards"
