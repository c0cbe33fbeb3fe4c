# Starts and ends the users' platform and a few daemons as plain processes on loopback.
# Sourced by the tests and the demo of jobs.
#
# Needs: BUILD (build folder), and optionally NET, the second number of its addresses, and DAEMONS.

NET=${NET:-60}
DAEMONS=${DAEMONS:-3}
CELL=$(mktemp -d)
CELL_PIDS=()

startProcess() {
    local name=$1
    shift
    "$@" >"$CELL/$name.log" 2>&1 &
    CELL_PIDS+=($!)
    echo $! >"$CELL/$name.pid"
}

# settingsFor NUMBER: a daemon's settings file, its path printed.
settingsFor() {
    local address=127.$NET.1.$1
    cat >"$CELL/celld-$1.json" <<JSON
{"nodeName": "celld-$1", "zone": "a", "region": "r", "ip": "$address",
 "bindAddrs": {"frontend": "$address:8100", "ready": "$address:8101"}, "internalPorts": [8102, 8110],
 "platform": {"address": "127.$NET.0.1:7701"}, "advice": "127.$NET.0.2:7702",
 "bounds": {"holdMaxMs": 6000, "gangTimeoutMs": 3000, "configApplyMs": 2500, "graceS": 6, "status_s": 120}}
JSON
    echo "$CELL/celld-$1.json"
}

startDaemon() {
    PRIMROSECROFT_CONFIG=$(settingsFor "$1") startProcess "celld-$1" "$BUILD/src/celld/primrosecroft-celld" \
        --metrics-port 8109
}

startCell() {
    startProcess platform "$BUILD/tests/standins/standin-deployment" --net "127.$NET" --workers "${WORKERS:-4}"
    local number
    for number in $(seq "$DAEMONS"); do
        startDaemon "$number"
    done
    for number in $(seq "$DAEMONS"); do
        waitFor 20 "daemon $number is ready" isReady "$number"
    done
    waitFor 20 "a daemon owns" ownerNumber >/dev/null
}

isReady() {
    curl -sf -o /dev/null "http://127.$NET.1.$1:8101/readyz"
}

# waitFor SECONDS WHAT COMMAND...: until the command succeeds.
waitFor() {
    local end=$((SECONDS + $1)) what=$2
    shift 2
    until "$@"; do
        if [ "$SECONDS" -ge "$end" ]; then
            fail "waited in vain for: $what"
        fi
        sleep 0.1
    done
}

fail() {
    echo "FAILED: $1"
    tail -n 40 "$CELL"/celld-*.log
    exit 1
}

# submit DAEMON ID QUEUE BODY: prints the status.
submit() {
    curl -s -o /dev/null -w '%{http_code}' -m 4 -X POST -H 'Host: jobs.example' -H 'Deadline-Ms: 3000' \
        -H 'Content-Type: application/json' -d "$4" "http://127.$NET.1.$1:8100/$3/$2"
}

# stateOf DAEMON ID QUEUE: prints the state, or the status when there is none.
stateOf() {
    curl -s -m 4 -w '%{http_code}' -H 'Host: jobs.example' "http://127.$NET.1.$1:8100/$3/$2" \
        | sed 's/.*"state":"\([a-z]*\)".*/\1/'
}

hasState() {
    [ "$(stateOf "$1" "$2" "$3")" = "$4" ]
}

# control PATH: prints the platform's report.
control() {
    curl -s "http://127.$NET.0.1:7703/$1"
}

reported() {
    control report | sed "s/.*\"$1\":\([0-9]*\).*/\1/"
}

# ownerNumber: the daemon that says that it owns and hasn't said otherwise since.
ownerNumber() {
    local number
    for number in $(seq "$DAEMONS"); do
        if [ "$(curl -s -m 1 "http://127.$NET.1.$number:8109/metrics" | sed -n 's/^primrosecroft_owns //p')" = 1 ]; then
            echo "$number"
            return 0
        fi
    done
    return 1
}

endCell() {
    local pid
    for pid in "${CELL_PIDS[@]}"; do
        kill -9 "$pid" 2>/dev/null
    done
    wait "${CELL_PIDS[@]}" 2>/dev/null
    rm -rf "$CELL"
}
trap endCell EXIT
