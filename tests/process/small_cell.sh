# A small cell for the tests with real processes: two entry VMs and three workers in grangemouth, one entry VM and one
# worker in dyce. Sourced by each test of the entry daemons' interface.
#
# A test waits until conditions hold (waitFor), with a long timeout, and ends only the processes that the cell
# started, by their ids.

cd "$(dirname "$0")/../.." || exit 1
BUILD=${BUILD:-build}
EXAMPLE=$(mktemp -d)
LIMIT=${LIMIT:-60} # seconds until a wait for a condition fails

# Cells that run at the same time, also from other work trees, each need their own network.
if [ -z "${NET:-}" ]; then
    for NET in $(seq 40 120) none; do
        [ "$NET" != none ] || { echo "no free loopback network" >&2; exit 1; }
        exec 9>"/tmp/primrosecroft-net-$NET.lock"
        flock -n 9 && break
    done
fi

vmLine() { # id role domain region address port
    printf '  {"id": "%s", "role": "%s", "failureDomain": "%s", "region": "%s", "rack": "r1", "address": "%s", "port": %s, "leaving": false}' "$@"
}

writeExample() {
    {
        echo '{"vms": ['
        vmLine grangemouth-e1 entry grangemouth central-belt 127.10.1.1 7400; echo ,
        vmLine grangemouth-e2 entry grangemouth central-belt 127.10.1.2 7400; echo ,
        vmLine dyce-e1 entry dyce north-east 127.10.1.3 7400; echo ,
        vmLine grangemouth-w1 worker grangemouth central-belt 127.10.2.1 7500; echo ,
        vmLine grangemouth-w2 worker grangemouth central-belt 127.10.2.2 7500; echo ,
        vmLine grangemouth-w3 worker grangemouth central-belt 127.10.2.3 7500; echo ,
        vmLine dyce-w1 worker dyce north-east 127.10.2.4 7500; echo ,
        vmLine grangemouth-x1 executor grangemouth central-belt 127.10.3.1 7600; echo ,
        vmLine grangemouth-x2 executor grangemouth central-belt 127.10.3.2 7600
        echo; echo ']}'
    } >"$EXAMPLE/vms.json"
    cat >"$EXAMPLE/sheet.yaml" <<'SHEET'
sheet: small
policy: {packingWeight: 1.0, spreadWeight: 0.05}
failureDomains:
  grangemouth: {region: central-belt}
  dyce: {region: north-east}
workers:
  grangemouth-w1: {failureDomain: grangemouth, rack: r1, address: 127.10.2.1, port: 7500, cores: 32, memory: 64GiB}
  grangemouth-w2: {failureDomain: grangemouth, rack: r1, address: 127.10.2.2, port: 7500, cores: 32, memory: 64GiB}
  grangemouth-w3: {failureDomain: grangemouth, rack: r1, address: 127.10.2.3, port: 7500, cores: 32, memory: 64GiB}
  dyce-w1: {failureDomain: dyce, rack: r2, address: 127.10.2.4, port: 7500, cores: 32, memory: 64GiB}
demands: {}
SHEET
    cat >"$EXAMPLE/entryd.yaml" <<SETTINGS
process: grangemouth-e1-entryd
failureDomain: grangemouth
region: central-belt
listen: {address: 127.10.1.1, http: 7400, peers: 7401}
platform: {address: 127.10.0.1, port: 7701, timeout: 1s}
pools: {bookings: bookings, tasks: tasks}
intervals: {heartbeat: 1s, configuration: 2s, vmList: 2s}
shutdown: {balancerPause: 1s, limit: 20s}
deadlines: {booking: 10s, accept: 4s}
administration: {open: true}
SETTINGS
}

entryUrl() { echo "http://127.$NET.1.$1:7400"; }
get() { curl -s -m 10 "$@"; }
isReady() { get -f -o /dev/null "$1/readyz"; }
# metric URL NAME: prints the first value of a metric.
metric() { get "$1/metrics" | sed -n "s/^$2\(\|{[^}]*}\) \([0-9.]*\).*/\2/p" | head -n 1; }
isOwner() { isOwnerAt "127.$NET.1.$1"; }
isNotOwner() { ! isOwner "$1"; }
versionAt() { metric "$1" primrosecroft_configuration_version; }
hasVersion() { [ "$(versionAt "$1")" = "$2" ]; }
setStoreMode() { control "store?mode=$1" >/dev/null; } # MODE: good, out, freeze or lose
setExecutorFaults() { get -o /dev/null -X POST -d "$2" "http://127.$NET.3.$1:7600/control"; } # NUMBER FAULTS
pidOf() { cat "$CELL/$1.pid"; }
# listTasks: prints the tasks that run on the workers.
listTasks() { control tasks; }
countTasks() { listTasks | grep -o "\"task\":\"$1[^\"]*\"" | wc -l; }
countDistinctTasks() { listTasks | grep -o "\"task\":\"$1[^\"]*\"" | sort -u | wc -l; }
# hasRunningTasks KEY COUNT: succeeds if so many different tasks of the demand run.
hasRunningTasks() { [ "$(countDistinctTasks "$1")" -eq "$2" ]; }

# A task that is listed twice runs on two workers.
assertNoDuplicates() {
    local duplicates
    duplicates=$(listTasks | grep -o '"task":"[^"]*"' | sort | uniq -d)
    [ -z "$duplicates" ] || fail "tasks run on two workers: $duplicates"
}

# loadSheet VERSION [ENTRY]: loads the sheet if VERSION is in force, and prints the status of the response.
loadSheet() {
    sed "s/127\.10\./127.$NET./g" "$EXAMPLE/sheet.yaml" |
        curl -s -m 10 -o "$CELL/sheet.answer" -w '%{http_code}' -X PUT -H "If-Match: \"$1\"" --data-binary @- "${2:-$(entryUrl 1)}/v1/sheet"
}

# submit KEY BODY ENTRY: submits a demand and prints the status of the response.
submit() {
    curl -s -m 15 -o "$CELL/$1.answer" -w '%{http_code}' -X POST -H "Idempotency-Key: $1" \
        -H 'Content-Type: application/json' -d "$2" "$3/v1/demands"
}

vmOf() { vmFields entry | grep "^$1 "; } # ID
restartDaemon() { # ID ROLE
    local fields
    read -r -a fields < <(vmOf "$1")
    if [ "$2" = entryd ]; then startEntryDaemon "${fields[@]}"; else startCellDaemon "${fields[@]}"; fi
}

startSmallCell() {
    writeExample
    . tests/demo/cell.sh
    trap 'endCell; rm -rf "$EXAMPLE"' EXIT
    startPlatform
    startExecutors
    startDaemons
    local vm
    for vm in 1 2 3; do
        waitFor $LIMIT "entry VM $vm is ready" isReady "$(entryUrl $vm)"
    done
    [ "$(loadSheet 0)" = 200 ] || fail "the sheet was not loaded: $(cat "$CELL/sheet.answer")"
    waitFor $LIMIT "version 1 is in force everywhere" isInForceEverywhere 1
    waitFor $LIMIT "a cell daemon is the owner" findOwner >/dev/null
}

findOwner() { local vm; for vm in 1 2 3; do if isOwner $vm; then echo $vm; return 0; fi; done; return 1; }
cellPid() { pidOf "$(vmId "$1")-celld"; }
vmId() { [ "$1" = 3 ] && echo dyce-e1 || echo "grangemouth-e$1"; } # NUMBER
# hasOtherOwner NUMBER: succeeds if another cell daemon than NUMBER is the owner.
hasOtherOwner() { local now; now=$(findOwner) && [ "$now" != "$1" ]; }
hasEnded() { ! kill -0 "$1" 2>/dev/null; }
hasState() { get "$(entryUrl "$3")/v1/demands/$1" | grep -q "\"state\":\"$2\""; } # KEY STATE ENTRY
isInForceEverywhere() { local vm; for vm in 1 2 3; do hasVersion "$(entryUrl $vm)" "$1" || return 1; done; }

# waitWithoutDuplicates WHAT COMMAND...: like waitUntil, and fails if a poll shows a task that runs twice.
checkWithoutDuplicates() { assertNoDuplicates; "$@"; }
waitWithoutDuplicates() { local what=$1; shift; waitFor $LIMIT "$what" checkWithoutDuplicates "$@"; echo "done: $what"; }

# waitUntil WHAT COMMAND...: waits until the command succeeds, for at most LIMIT seconds.
waitUntil() { waitFor $LIMIT "$@"; echo "done: $1"; }
