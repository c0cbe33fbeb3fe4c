#!/usr/bin/env bash
# Checks that malformed jobs are refused and start nothing, that unknown jobs are answered with 410, that a job sent
# in a store outage is accepted or answered with 504, that a new configuration comes into force after the store has
# dropped its history, and that SIGTERM cuts off no request.
set -u
. "$(dirname "$0")/jobs_cell.sh"
startCell
good='{"spec":"work=300","phases":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":300}]}'
expect() { # WHAT ACTUAL EXPECTED
    [ "$2" = "$3" ] || fail "$1: expected $3, got $2"
}
expect "no JSON" "$(submit 1 00000000000000a1 q '{')" 400
expect "no steps" "$(submit 1 00000000000000a2 q '{"spec":"x","phases":[]}')" 400
expect "a step after a later one" "$(submit 1 00000000000000a3 q '{"spec":"x","phases":[{"count":1,"after":[1]},{"count":1}]}')" 400
expect "huge count" "$(submit 1 00000000000000a4 q '{"spec":"x","phases":[{"count":99999999999}]}')" 400
printf '{"spec":"%*s"}' 300000 x >"$CELL/long"
expect "a body over the limit of the configuration" "$(submit 1 00000000000000a6 q "@$CELL/long")" 413
expect "bad id" "$(submit 1 xyz q "$good")" 400
expect "no queue" "$(submit 1 00000000000000a5 nowhere "$good")" 404
expect "unknown job" "$(stateOf 1 00000000000000ff q)" "{}410"
expect "good job" "$(submit 1 00000000000000b1 q "$good")" 200
waitFor 10 "the good job is complete" hasState 3 00000000000000b1 q complete
expect "a failing job" "$(submit 2 00000000000000b2 q '{"spec":"work=100 fail","phases":[{"count":2,"cpu":100,"estimateMs":100}]}')" 200
waitFor 10 "the failing job has failed" hasState 1 00000000000000b2 q failed
expect "a long-running job" "$(submit 2 00000000000000b3 q '{"spec":"lasts","phases":[{"count":2,"cpu":100,"longRunning":true}]}')" 200
waitFor 10 "the long-running job runs" hasState 1 00000000000000b3 q running
expect "cancelling it" "$(curl -s -o /dev/null -w '%{http_code}' -X DELETE -H 'Host: jobs.example' "http://127.$NET.1.3:8100/q/00000000000000b3")" 200
expect "a cancelled job" "$(stateOf 2 00000000000000b3 q)" cancelled
isNoneRunning() { [ "$(reported running)" = 0 ]; }
waitFor 5 "the cancelled job's tasks have ended" isNoneRunning
control 'store-down?ms=1500' >/dev/null
status=$(submit 1 00000000000000b4 q "$good")
[ "$status" = 504 ] || [ "$status" = 200 ] || fail "in an outage a job was answered $status"
sleep 2
expect "the same job again" "$(submit 1 00000000000000b4 q "$good")" 200
waitFor 10 "it is complete" hasState 1 00000000000000b4 q complete
control drop-history >/dev/null
control 'configure?version=7' >/dev/null
inForce() { curl -s "http://127.$NET.1.$1:8109/metrics" | grep -q '^primrosecroft_queues_version 7'; }
for number in 1 2 3; do
    waitFor 5 "version 7 is in force at $number" inForce "$number"
done
kill -TERM "$(cat "$CELL/1-celld.pid")"
sleep 0.2
expect "a leaving daemon" "$(submit 1 00000000000000b5 q "$good")" 200
hasEnded() { ! kill -0 "$(cat "$CELL/1-celld.pid")" 2>/dev/null; }
waitFor 8 "the daemon has ended" hasEnded
waitFor 10 "its last job is complete" hasState 2 00000000000000b5 q complete
grep -q 'process stopped cut_off=0' "$CELL/1-celld.log" || fail "the daemon cut off requests"
echo '{"nodeName": 5}' >"$CELL/bad.json"
"$BUILD/src/celld/primrosecroft-celld" --settings "$CELL/bad.json" >"$CELL/bad.log" 2>&1 && fail "bad settings were accepted"
grep -q 'bad.json.*nodeName: expected a string' "$CELL/bad.log" || fail "the message doesn't name the fault of the settings: $(cat "$CELL/bad.log")"
echo "passed"
