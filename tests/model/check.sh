#!/usr/bin/env bash
# Checks the model of ownership by a store row and a fencing token with Spin, and each rule by taking it out.
set -u
cd "$(dirname "$0")" || exit 1
MODEL=$PWD/shard.pml
. ./search.sh

expect none      "all rules, two owners, two workers"      50 -DLAST=4 -DLEASE=1
expect violation "without the fencing token"               58 -DLAST=4 -DLEASE=1 -DNO_FENCE
expect violation "leases counted from sending"             58 -DLAST=4 -DLEASE=1 -DLEASE_FROM_SENDING
expect violation "no wait after the take-over"             58 -DLAST=4 -DLEASE=1 -DNO_DOUBT
expect violation "a lost start taken for none"             58 -DLAST=4 -DLEASE=1 -DNO_BAR
expect violation "ends noted before they are stored"       300 -DLAST=5 -DNOTE_BEFORE_STORED
expect violation "writes without the condition"            300 -DLAST=5 -DNO_CONDITION
exit $failed
