#!/usr/bin/env bash
# Checks that each request is answered before the daemon ends after SIGTERM while the store answers nothing.
set -u
. "$(dirname "$0")/jobs_cell.sh"
startCell
job='{"spec":"work=300","phases":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":300}]}'
control 'lose-answers?count=100000' >/dev/null
leaving=$(cat "$CELL/1-celld.pid")
kill -TERM "$leaving"
callers=()
for i in $(seq 10 29); do
    curl -s -o /dev/null -w '%{http_code}\n' -m 9 -X POST -H 'Host: jobs.example' -H 'Deadline-Ms: 20000' \
        -d "$job" "http://127.$NET.1.1:8100/q/c0000000000000$i" >>"$CELL/statuses" &
    callers+=($!)
    sleep 0.2
done
wait "${callers[@]}"
hasEnded() { ! kill -0 "$leaving" 2>/dev/null; }
waitFor 8 "the daemon has ended" hasEnded
cutOff=$(grep -c '^000$' "$CELL/statuses")
[ "$cutOff" = 0 ] || fail "$cutOff of 20 requests were cut off: $(sort "$CELL/statuses" | uniq -c)"
grep -q 'process stopped cut_off=0' "$CELL/1-celld.log" || fail "the daemon cut off requests"
echo "20 requests were answered: $(sort "$CELL/statuses" | uniq -c | tr '\n' ' ')"
