#!/usr/bin/env bash
# The demo: starts a cell of three failure domains as processes on loopback addresses, sends a mix of demands and
# bookings, and checks that none was lost.
set -u
cd "$(dirname "$0")/../.." || exit 1
BUILD=${BUILD:-build}
EXAMPLE=${EXAMPLE:-examples/clydemuir}
. tests/demo/cell.sh
trap endCell EXIT

echo "starting one platform, 50 workers, 50 executors and 7 entry VMs with two daemons each"
startPlatform
startExecutors
startDaemons

"$BUILD/tests/demo/demo-load" --vms "$CELL/vms.json" --sheet "$CELL/sheet.yaml"
status=$?
if [ $status -ne 0 ]; then
    echo "the last lines of the daemons' logs:" >&2
    tail -n 5 "$CELL"/*d.log >&2
fi
exit $status
