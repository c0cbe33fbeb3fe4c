#!/usr/bin/env bash
# Checks that the other daemons learn of a new owner soon after a hand-over, although it has never been the owner.
set -u
. "$(dirname "$0")/jobs_cell.sh"
startCell
# Well below the 0.6 s after which a silent owner is suspected and its row is read.
maxDelayMs=300
owner=$(ownerNumber) || fail "there is no owner"
# The number of the daemon, the time in milliseconds and the token of the latest row of the owner that the log names.
ownsTime() { sed -n "s/^\([0-9]*\) cell owns token=$2 .*/\1/p" "$CELL/$1-celld.log"; }
knowsTime() { sed -n "s/^\([0-9]*\) cell owner process=[^ ]* token=$2 .*/\1/p" "$CELL/$1-celld.log"; }
hasSuccessor() {
    successor=$(ownerNumber) && [ "$successor" != "$owner" ]
}
kill -TERM "$(cat "$CELL/$owner-celld.pid")"
waitFor 10 "another daemon is the owner" hasSuccessor
token=$(sed -n 's/^[0-9]* cell owns token=\([0-9]*\) .*/\1/p' "$CELL/$successor-celld.log" | tail -n 1)
begun=$(ownsTime "$successor" "$token")
for number in 1 2 3; do
    [ "$number" = "$successor" ] && continue
    knowsOwner() { [ -n "$(knowsTime "$number" "$token")" ]; }
    waitFor 10 "daemon $number knows the new owner" knowsOwner
    delay=$(($(knowsTime "$number" "$token") - begun))
    echo "daemon $number knew the new owner after $delay ms"
    [ "$delay" -le "$maxDelayMs" ] || fail "daemon $number knew the new owner only after $delay ms"
done
