#!/usr/bin/env bash
# Checks that a cell daemon stands a crowd of clients of one kind that don't behave: the process lives, its memory and
# its open descriptors stay within what its settings allow, and ordinary requests are answered, during the crowd and
# afterwards. Memory and descriptors of the settings are lowered, so that a small crowd is enough.
#
# Usage: crowd.sh KIND CONNECTIONS [PORT]
set -u
kind=$1
connections=$2
port=${3:-8100}
memoryMb=64
maxFds=256
crowdSeconds=60 # longer than all waits below; the crowd is ended sooner
LIMITS="{\"memoryMb\": $memoryMb, \"maxFds\": $maxFds}"
DAEMONS=1
. "$(dirname "$0")/jobs_cell.sh"
ulimit -S -n "$maxFds" # as the VM does
startCell
ulimit -S -n "$(ulimit -H -n)" # for the crowd
good='{"spec":"work=300","phases":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":300}]}'
printf '%s%*s' "$good" 260000 '' >"$CELL/long"
daemon=$(cat "$CELL/1-celld.pid")

# peakMb: prints the daemon's peak of resident memory, in MB of 2^20 bytes.
peakMb() {
    awk '/^VmHWM:/ { print int($2 / 1024) }' "/proc/$daemon/status"
}

descriptors() {
    find "/proc/$daemon/fd" -mindepth 1 | wc -l
}

checkLimits() { # WHEN
    kill -0 "$daemon" 2>/dev/null || fail "the daemon has ended $1"
    local peak open
    peak=$(peakMb)
    open=$(descriptors)
    echo "$1: peak $peak MB, $open descriptors"
    [ "$peak" -lt "$memoryMb" ] || fail "$1 the daemon's memory has reached $peak MB of $memoryMb"
    [ "$open" -lt "$maxFds" ] || fail "$1 the daemon has $open descriptors of $maxFds"
}

isAccepted() { # ID BODY
    [ "$(submit 1 "$1" q "$2")" = 200 ]
}

[ "$(submit 1 00000000000000a0 q "@$CELL/long")" = 200 ] || fail "the longest body isn't accepted in calm"
checkLimits "in calm"
startProcess crowd "$BUILD/tests/crowds/crowd" "$kind" "127.$NET.1.1" "$port" "$connections" "$crowdSeconds"
sleep 8
waitFor 20 "a job is accepted during the crowd" isAccepted 00000000000000a1 "$good"
kill -0 "$(cat "$CELL/crowd.pid")" 2>/dev/null || fail "the crowd has ended: $(cat "$CELL/crowd.log")"
checkLimits "during the crowd"
kill "$(cat "$CELL/crowd.pid")"
waitFor 20 "a job is accepted afterwards" isAccepted 00000000000000a2 "$good"
waitFor 20 "the longest body is accepted afterwards" isAccepted 00000000000000a3 "@$CELL/long"
waitFor 20 "the jobs are complete" hasState 1 00000000000000a3 q complete
checkLimits "afterwards"
echo "passed"
