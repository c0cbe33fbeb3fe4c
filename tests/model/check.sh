#!/usr/bin/env bash
# Checks the model of ownership with Spin, and each rule by taking it out.
#
# Every search is a depth-first one with bit-state hashing, bounded in depth, so its
# verdict is the same each time: a violation found is real, none found covers the
# states visited and is no proof of all.
set -u
model=$(cd "$(dirname "$0")" && pwd)/ownership.pml
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work" || exit 1
failed=0

# search DEPTH FLAGS...: prints what the search found.
search() {
    local depth=$1
    shift
    spin -a "$@" "$model" >spin.log 2>&1 || { cat spin.log; return 1; }
    gcc -O2 -DSAFETY -DBITSTATE -o pan pan.c || return 1
    ./pan -w28 -m"$depth"
}

# expect none|violation NAME DEPTH FLAGS...
expect() {
    local expected=$1 name=$2 found=none
    shift 2
    search "$@" >out.log 2>&1 || true
    grep -q 'assertion violated' out.log && found=violation
    grep -q 'states, stored' out.log || found='no verdict'
    local states
    states=$(sed -n 's/^ *\([0-9]*\) states, stored.*/\1/p' out.log)
    if [ "$found" = "$expected" ]; then
        echo "ok: $name: $found, as expected ($states states)"
    else
        echo "FAILED: $name: $found, expected $expected ($states states)"
        failed=1
    fi
}

expect none      "all rules, two schedulers, three workers" 50
expect none      "progress with a live majority"            40 -DCALM -DHOLDER_TERM=4 -DTASK_TERM=4 -DCALM_BOUND=18
expect violation "without the fencing token"                60 -DNO_TOKEN_CHECK
expect violation "renewal counted from receipt"             60 -DRENEW_FROM_RECEIPT
expect violation "start's lease counted from receipt"       60 -DLEASE_FROM_RECEIPT
expect violation "old tokens kept after a lost majority"    60 -DKEEP_TOKENS
expect violation "a start without answer taken for none"    60 -DTRUST_LOST_START
expect violation "no bar before going elsewhere"            60 -DNO_BAR
expect violation "no wait for an unreached worker's lease"  60 -DNO_DEAD_WAIT
expect violation "no wait after the take-over"              60 -DDOUBT=0
expect violation "lists of lapsed claims believed"          60 -DKEEP_OLD_LISTS
expect violation "majority looked at after acting"          60 -DNO_CHECK_FIRST
expect violation "progress: candidates sit on claims"       60 -DCALM -DHOLDER_TERM=4 -DTASK_TERM=4 -DCALM_BOUND=18 -DNO_CANDIDACY_LIMIT
# Not needed for this claim: with leases counted from the stamp, an old start gets none.
expect none      "without the start life"                   50 -DNO_START_LIFE
exit $failed
