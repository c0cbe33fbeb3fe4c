#!/usr/bin/env bash
# A daemon that reaches neither the store nor another daemon says so at once, so that callers ask elsewhere.
set -u
. "$(dirname "$0")/jobs_cell.sh"
startCell
job='{"spec":"work=300","phases":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":300}]}'
owner=$(ownerNumber)
cut=$((owner % DAEMONS + 1))
stopped=("$(cat "$CELL/platform.pid")")
for number in $(seq "$DAEMONS"); do
    [ "$number" = "$cut" ] || stopped+=("$(cat "$CELL/$number-celld.pid")")
done
kill -STOP "${stopped[@]}"
sleep 3
begun=$(date +%s%3N)
status=$(submit "$cut" 00000000000000e1 q "$job")
took=$(($(date +%s%3N) - begun))
kill -CONT "${stopped[@]}"
[ "$status" = 504 ] || fail "expected 504, got $status"
[ "$took" -lt 800 ] || fail "the answer took $took ms"
accepted() { [ "$(submit "$cut" 00000000000000e1 q "$job")" = 200 ]; }
waitFor 10 "the same job is accepted once the daemon is in touch again" accepted
waitFor 10 "it is complete" hasState "$cut" 00000000000000e1 q complete
echo "told after $took ms, accepted afterwards"
