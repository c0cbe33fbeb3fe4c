# A small cell for the tests with real processes: two entry VMs and three workers in
# grangemouth, one entry VM and one worker in dyce. Sourced by each test.
#
# A test waits for conditions (waitFor) with a generous deadline, and ends only the
# processes that the cell started, by their ids.

cd "$(dirname "$0")/../.." || exit 1
BUILD=${BUILD:-build}
EXAMPLE=$(mktemp -d)
WAIT_LIMIT=${WAIT_LIMIT:-60}

# Cells that run side by side, also of other work trees, each need a network of their own.
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
    local role http peers
    for role in entryd schedd; do
        [ $role = entryd ] && http=7400 peers=7401 || { http=7410; peers=7411; }
        cat >"$EXAMPLE/$role.yaml" <<SETTINGS
process: grangemouth-e1-$role
failureDomain: grangemouth
region: central-belt
rank: 0
listen: {address: 127.10.1.1, http: $http, peers: $peers}
platform: {address: 127.10.0.1, port: 7700, timeout: 1s}
peerPorts: {entry: 7401, scheduler: 7411}
intervals: {heartbeat: 1s, configuration: 2s, vmList: 2s}
shutdown: {balancerPause: 1s, limit: 20s}
deadlines: {booking: 10s, accept: 4s}
administration: {open: true}
leases: {holderTerm: 5s, taskTerm: 25s, margin: 500ms, exchangeInterval: 1s, requestTimeout: 1s}
SETTINGS
    done
}

fail() {
    echo "FAILED: $*" >&2
    tail -n 12 "$CELL"/*-e*-*.log >&2
    exit 1
}

# waitFor WHAT COMMAND...: until the command succeeds; ends the test when it never does.
waitFor() {
    local what=$1 end=$((SECONDS + WAIT_LIMIT))
    shift
    until "$@"; do
        [ $SECONDS -lt $end ] || fail "waited ${WAIT_LIMIT}s for: $what"
        sleep 0.1
    done
    echo "seen: $what"
}

entry() { echo "http://127.$NET.1.$1:7400"; }
scheduler() { echo "http://127.$NET.1.$1:7410"; }
platformUrl() { echo "http://127.$NET.0.1:7700"; }
get() { curl -s -m 10 "$@"; }
isReady() { get -f -o /dev/null "$1/readyz"; }
metric() { get "$1/metrics" | sed -n "s/^$2\(\|{[^}]*}\) \([0-9.]*\).*/\2/p" | head -n 1; } # URL NAME
isPlacing() { [ "$(metric "$(scheduler "$1")" primrosecroft_placing)" = 1 ]; }
isNotPlacing() { [ "$(metric "$(scheduler "$1")" primrosecroft_placing)" != 1 ]; }
versionAt() { metric "$1" primrosecroft_configuration_version; }
hasVersion() { [ "$(versionAt "$1")" = "$2" ]; }
control() { get -o /dev/null -X POST -d "$2" "$1/control"; } # URL ORDERS
pidOf() { cat "$CELL/$1.pid"; }
tasksOf() { get "http://127.$NET.2.$1:7500/tasks"; }
allTasks() { tasksOf 1; tasksOf 2; tasksOf 3; }
countTasks() { allTasks | grep -o "\"task\":\"$1[^\"]*\"" | wc -l; }
distinctTasks() { allTasks | grep -o "\"task\":\"$1[^\"]*\"" | sort -u | wc -l; }
runs() { [ "$(distinctTasks "$1")" -eq "$2" ]; }

# A task that is listed twice is alive at two places.
assertNoDoubles() {
    local doubles
    doubles=$(allTasks | grep -o '"task":"[^"]*"' | sort | uniq -d)
    [ -z "$doubles" ] || fail "alive at two workers: $doubles"
}

loadSheet() { # VERSION: the answer's status
    sed "s/127\.10\./127.$NET./g" "$EXAMPLE/sheet.yaml" |
        curl -s -m 10 -o "$CELL/sheet.answer" -w '%{http_code}' -X PUT -H "If-Match: \"$1\"" --data-binary @- "${2:-$(entry 1)}/v1/sheet"
}

submit() { # KEY BODY ENTRY: the answer's status
    curl -s -m 15 -o "$CELL/$1.answer" -w '%{http_code}' -X POST -H "Idempotency-Key: $1" \
        -H 'Content-Type: application/json' -d "$2" "$3/v1/demands"
}

restartDaemon() { # ID-ROLE
    startProcess "$1" "$BUILD/src/${1##*-}/primrosecroft-${1##*-}" "$CELL/$1.yaml"
}

startSmallCell() {
    writeExample
    . tests/demo/cell.sh
    trap 'endCell; rm -rf "$EXAMPLE"' EXIT
    startPlatform
    startWorkers
    startExecutors
    startDaemons
    local vm
    for vm in 1 2 3; do
        waitFor "entry VM $vm is ready" isReady "$(entry $vm)"
    done
    [ "$(loadSheet 0)" = 200 ] || fail "the sheet was not loaded: $(cat "$CELL/sheet.answer")"
    waitFor "version 1 is in force everywhere" everywhere 1
    waitFor "a scheduler of grangemouth places" placingVm
}

placingVm() { isPlacing 1 || isPlacing 2; }
placing() { isPlacing 1 && echo 1 || echo 2; }
other() { [ "$1" = 1 ] && echo 2 || echo 1; }
hasEnded() { ! kill -0 "$1" 2>/dev/null; }
stateIs() { get "$(entry "$3")/v1/demands/$1" | grep -q "\"state\":\"$2\""; } # KEY STATE ENTRY
everywhere() { local vm; for vm in 1 2 3; do hasVersion "$(entry $vm)" "$1" && hasVersion "$(scheduler $vm)" "$1" || return 1; done; }

# waitChecked WHAT COMMAND...: as waitFor, and no task may be alive twice at any look.
checkedOnce() { assertNoDoubles; "$@"; }
waitChecked() { local what=$1; shift; waitFor "$what" checkedOnce "$@"; }
