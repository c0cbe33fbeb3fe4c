#!/usr/bin/env bash
# Checks that no job is shown as failed because each worker of its task is cut off from the daemons and the store until
# its leases have expired. No worker crashes.
set -u
WORKERS=8
. "$(dirname "$0")/jobs_cell.sh"
startCell
cuts=5
job=c000000000000001
long='{"spec":"work=300000","phases":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":300000}]}'
[ "$(submit 1 $job q "$long")" = 200 ] || fail "the job was not accepted"

# workerOf JOB: prints the number of the worker on which a task of the job runs, counted from 0.
workerOf() {
    local number
    number=$(control tasks | grep -o "\"task\":\"$1\.[^}]*" | sed -n 's/.*"worker":"i-\([0-9]*\)".*/\1/p' | head -n 1)
    [ -n "$number" ] && echo $((number - 1))
}
runsSomewhere() { workerOf "$job" >/dev/null; }
runsElsewhere() { local at; at=$(workerOf "$job") && [ "$at" != "$worker" ]; }
isOver() { [ "$(stateOf 1 $job q)" = failed ] || runsElsewhere; }

waitFor 10 "the task runs" runsSomewhere
for cut in $(seq $cuts); do
    worker=$(workerOf "$job") || fail "the task doesn't run before cut $cut"
    sleep 1
    control "cut?worker=$worker&ms=9500" >/dev/null
    waitFor 40 "the task runs elsewhere after cut $cut, or its job has failed" isOver
    [ "$(stateOf 1 $job q)" = running ] || fail "after cut $cut the job is $(stateOf 1 $job q); no worker has crashed"
done
grep -q 'how=unlisted' "$CELL"/*-celld.log || fail "no worker was lost without an entry, so the test shows nothing"
echo "passed"
