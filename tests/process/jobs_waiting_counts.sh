#!/usr/bin/env bash
# Checks that no daemon reports zero waiting jobs while jobs wait and a new owner still reads the stored state.
set -u
. "$(dirname "$0")/jobs_cell.sh"
startCell
# No worker has room for these tasks, so the jobs wait until the end of the test.
job='{"spec":"work=300","phases":[{"count":1,"cpu":1000000,"memMb":100,"estimateMs":300}]}'
for i in $(seq 10 21); do
    [ "$(submit 1 "e0000000000000$i" q "$job")" = 200 ] || fail "job $i was not accepted"
done
# waitingAt DAEMON: prints the status of the answer and, if it is 200, the count.
waitingAt() {
    curl -s -m 4 -w ' %{http_code}' -H 'Host: jobs.example' "http://127.$NET.1.$1:8100/q/" |
        sed 's/.*"pending":\([0-9]*\).* \([0-9]*\)$/\2 \1/'
}
hasCount() { [ "$(waitingAt "$1")" = "200 12" ]; }
for number in 1 2 3; do
    waitFor 10 "daemon $number counts all jobs" hasCount "$number"
done

owner=$(ownerNumber) || fail "there is no owner"
control 'delay-reads?table=jobs&ms=1200' >/dev/null
kill -9 "$(cat "$CELL/$owner-celld.pid")"
end=$((SECONDS + 5))
answers=0
while [ $SECONDS -lt $end ]; do
    for number in 1 2 3; do
        [ "$number" = "$owner" ] && continue
        answer=$(waitingAt "$number")
        answers=$((answers + 1))
        case $answer in
        "200 12" | *503 | *504) ;;
        *) fail "daemon $number answers '$answer' while 12 jobs wait" ;;
        esac
    done
    sleep 0.02
done
control 'delay-reads?table=jobs&ms=0' >/dev/null
for number in 1 2 3; do
    [ "$number" = "$owner" ] && continue
    waitFor 10 "daemon $number counts all jobs again" hasCount "$number"
done
echo "$answers answers through a change of owner, none with a wrong count"
