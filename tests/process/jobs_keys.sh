#!/usr/bin/env bash
# Checks that calls need a key of a workspace as soon as the configuration has workspaces, that keys come and go with new
# configurations in time, also at a daemon that the store alone turns away, that a daemon without any contact decides
# nothing by a configuration that may be out of date, and that no key gets into a log line or a metric.
set -u
OTHER_STORE="2 3"
. "$(dirname "$0")/jobs_cell.sh"
startCell
job='{"spec":"work=300","phases":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":300}]}'
keyOne=first-key-5b1f
keyTwo=second-key-9c3e
unknownKey=third-key-77aa
call() { # DAEMON METHOD PATH [KEY]: prints the status of the answer
    curl -s -o /dev/null -w '%{http_code}' -m 4 -X "$2" -H 'Host: jobs.example' -H 'Deadline-Ms: 3000' \
        ${4:+-H "Credential: $4"} -H 'Content-Type: application/json' -d "$job" "http://127.$NET.1.$1:8100$3"
}
expect() { # WHAT ACTUAL EXPECTED
    [ "$2" = "$3" ] || fail "$1: expected $3, got $2"
}
answers() { # STATUS DAEMON METHOD PATH [KEY]
    [ "$(call "${@:2}")" = "$1" ]
}

expect "without workspaces a call needs no key" "$(call 1 POST /q/00000000000000c1)" 200
control "configure?version=2&keys=a:$keyOne,b:$keyTwo" >/dev/null
for number in 1 2 3; do
    waitFor 3 "daemon $number asks for keys" answers 401 "$number" GET /q/00000000000000c1
    expect "an unknown key" "$(call "$number" POST /q/00000000000000c2 "$unknownKey")" 401
    expect "a count without a key" "$(call "$number" GET /q/)" 401
    expect "a cancellation without a key" "$(call "$number" DELETE /q/00000000000000c1)" 401
    expect "an unknown route" "$(call "$number" GET /none/00000000000000c1 "$keyOne")" 404
    expect "a key" "$(call "$number" POST "/q/00000000000000d$number" "$keyOne")" 200
    expect "a job of before" "$(call "$number" GET /q/00000000000000c1 "$keyOne")" 200
done

# The store turns daemons 2 and 3 away, while a key is replaced.
control 'other-store?mode=out' >/dev/null
waitFor 15 "daemon 1 is the owner" isOwnerAt "127.$NET.1.1"
refused=3
sleep 1
control "configure?version=3&keys=a:$unknownKey,b:$keyTwo" >/dev/null
changedAt=$(date +%s%3N)
waitFor 4 "the key is refused at the daemon that the store turns away" answers 401 "$refused" GET /q/00000000000000c1 "$keyOne"
took=$(($(date +%s%3N) - changedAt))
[ "$took" -lt 2500 ] || fail "the key was refused after $took ms"
expect "the added key" "$(call "$refused" GET /q/00000000000000c1 "$unknownKey")" 200
sleep 4
expect "the added key, later in the outage" "$(call "$refused" GET /q/00000000000000c1 "$unknownKey")" 200
expect "the key that was taken away" "$(call "$refused" GET /q/00000000000000c1 "$keyOne")" 401

# Without any contact it can't know.
kill -STOP "$(cat "$CELL/1-celld.pid")" "$(cat "$CELL/2-celld.pid")"
waitFor 8 "a daemon without contact decides nothing by key" answers 504 "$refused" GET /q/00000000000000c1 "$keyOne"
expect "nor by route" "$(call "$refused" GET /none/00000000000000c1 "$unknownKey")" 504
kill -CONT "$(cat "$CELL/1-celld.pid")" "$(cat "$CELL/2-celld.pid")"
control 'other-store?mode=good' >/dev/null
waitFor 10 "it serves again" answers 200 "$refused" GET /q/00000000000000c1 "$unknownKey"
for key in "$keyOne" "$keyTwo" "$unknownKey"; do
    grep -l "$key" "$CELL"/*-celld.log && fail "a log holds a key"
    for number in 1 "$refused"; do
        curl -s "http://127.$NET.1.$number:8109/metrics" | grep -q "$key" && fail "a metric holds a key"
    done
done
grep -q 'callers refused-key' "$CELL/1-celld.log" || fail "no line tells of a refused key"
echo "passed, the key was refused after $took ms"
