#!/usr/bin/env bash
# Checks the model of ownership by workers' leases with Spin, and each rule by taking it out.
set -u
cd "$(dirname "$0")" || exit 1
MODEL=$PWD/ownership.pml
. ./search.sh

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
