#!/usr/bin/env bash
# Checks that each accepted job ends, and that no task runs twice at the same time, after kill -9 of the owner under
# load and after lost answers of the store and the workers.
set -u
. "$(dirname "$0")/jobs_cell.sh"
startCell
job='{"spec":"work=700","phases":[{"count":3,"cpu":1000,"memMb":100,"estimateMs":700},{"count":2,"cpu":1000,"memMb":100,"estimateMs":700,"after":[0]}]}'
for i in $(seq 10 29); do
    queue=q
    id=00000000000000$i
    if [ $((i % 4)) = 0 ]; then
        queue=advised
        id=ad000000000000$i
    fi
    status=$(submit $((i % DAEMONS + 1)) "$id" $queue "$job")
    [ "$status" = 200 ] || fail "job $i was answered $status"
    echo "$id $queue" >>"$CELL/jobs"
    if [ "$i" = 15 ]; then
        control 'lose-starts?count=3' >/dev/null
        control 'lose-answers?count=2' >/dev/null
    fi
    if [ "$i" = 20 ]; then
        owner=$(ownerNumber) || fail "there is no owner"
        kill -9 "$(cat "$CELL/$owner-celld.pid")"
        sleep 0.3
        startDaemon "$owner"
        waitFor 10 "the killed daemon is back" isReady "$owner"
    fi
done
# A second submission of the same id refers to the same job.
[ "$(submit 1 0000000000000010 q "$job")" = 200 ] || fail "a repeated job was not accepted"
while read -r id queue; do
    waitFor 30 "job $id is complete" hasState 2 "$id" "$queue" complete
done <"$CELL/jobs"
[ "$(reported doubles)" = 0 ] || fail "a task ran twice at the same time: $(control report)"
[ "$(reported running)" = 0 ] || fail "tasks still run: $(control report)"
echo "20 jobs ended once each, $(control report)"
