#!/usr/bin/env bash
# Checks the model of ownership by a store row and a fencing token with Spin. Then removes each rule in turn, which
# must lead to a violation.
set -u
cd "$(dirname "$0")" || exit 1
MODEL=$PWD/shard.pml
. ./search.sh

expect none      "all rules, two owners, two workers"       50  -DMAX_TIME=4 -DLEASE=1
expect violation "without the fencing token"                58  -DMAX_TIME=4 -DLEASE=1 -DNO_FENCING
expect violation "leases measured from sending"             58  -DMAX_TIME=4 -DLEASE=1 -DLEASE_FROM_SENDING
expect violation "no wait after the take-over"              58  -DMAX_TIME=4 -DLEASE=1 -DNO_TAKE_OVER_WAIT
expect violation "a lost start treated as never sent"       58  -DMAX_TIME=4 -DLEASE=1 -DNO_STOP_BEFORE_RESTART
expect violation "ends acknowledged before they are stored" 300 -DMAX_TIME=5 -DACKNOWLEDGE_BEFORE_STORED
expect violation "writes without the ownership condition"   300 -DMAX_TIME=5 -DNO_CONDITION
exit $failed
