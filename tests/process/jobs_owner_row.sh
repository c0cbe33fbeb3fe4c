#!/usr/bin/env bash
# Checks that an unreadable row of the owner ends no daemon, and that the cell goes on once the row is restored.
set -u
. "$(dirname "$0")/jobs_cell.sh"
startCell
store="http://127.$NET.0.1:7701"
place='"table":"cell","part":"s0","key":"owner"'
before=$(curl -s -m 4 "$store/rows-get?table=cell&part=s0&from=owner&target=owner0" |
    sed 's/.*"value":"\([^"]*\)".*/\1/')
# writeOwner VALUE: writes the owner's row, in base64, without a condition.
writeOwner() {
    curl -sf -o /dev/null -m 4 -d "{\"expected\":[],\"setKeys\":[{$place,\"value\":\"$1\"}],\"remove\":[]}" \
        "$store/rows-tx"
}
writeOwner "$(printf 'no row of an owner' | base64)" || fail "the row can't be written"
hasLogged() { grep -q 'cell row-unreadable key=owner' "$CELL/$1-celld.log"; }
for number in 1 2 3; do
    waitFor 10 "daemon $number logs the row" hasLogged "$number"
    kill -0 "$(cat "$CELL/$number-celld.pid")" || fail "daemon $number has ended"
done
writeOwner "$before" || fail "the row can't be restored"
waitFor 20 "a daemon is the owner again" ownerNumber
job='{"spec":"work=300","phases":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":300}]}'
isAccepted() { [ "$(submit 1 f000000000000010 q "$job")" = 200 ]; }
waitFor 10 "a job is accepted" isAccepted
waitFor 20 "the job is complete" hasState 2 f000000000000010 q complete
echo "three daemons outlived an unreadable row of the owner"
