# Starts and ends a complete cell of processes on loopback addresses. Sourced by the demo and by the tests with real
# processes.
#
# Environment variables: BUILD (build folder), EXAMPLE (folder with sheet.yaml, vms.json and entryd.yaml), and
# optionally NET (second number of the loopback addresses).

NET=${NET:-10}
CELL=$(mktemp -d)
CELL_PIDS=()

# cellFile FILE: prints a file of the example with the addresses of this cell.
cellFile() {
    sed "s/127\.10\./127.$NET./g" "$EXAMPLE/$1"
}

# startProcess NAME COMMAND...: starts the command in the background. Writes its output and its process id to the cell's
# folder.
startProcess() {
    local name=$1
    shift
    "$@" >"$CELL/$name.log" 2>&1 &
    CELL_PIDS+=($!)
    echo $! >"$CELL/$name.pid"
}

# Starts the stand-in of the platform: the store, the workers of the sheet and the announcements of the executors.
startPlatform() {
    cellFile vms.json >"$CELL/vms.json"
    cellFile sheet.yaml >"$CELL/sheet.yaml"
    startProcess platform "$BUILD/tests/standins/standin-deployment" \
        --net "127.$NET" --sheet "$CELL/sheet.yaml" --vms "$CELL/vms.json"
}

# vmFields ROLE: prints a line "id domain region address" for each VM with that role.
vmFields() {
    sed -n "s/.*\"id\": \"\([^\"]*\)\", \"role\": \"$1\", \"failureDomain\": \"\([^\"]*\)\", \"region\": \"\([^\"]*\)\".*\"address\": \"\([^\"]*\)\".*/\1 \2 \3 \4/p" \
        "$CELL/vms.json"
}

startExecutors() {
    local id domain region address
    while read -r id domain region address; do
        startProcess "$id" "$BUILD/tests/standins/standin-executor" --address "$address" --port 7600
    done < <(vmFields executor)
}

# entrySettings ID DOMAIN REGION ADDRESS: writes an entry daemon's settings file and prints its path.
entrySettings() {
    cellFile entryd.yaml | sed \
        -e "s/^process: .*/process: $1-entryd/" -e "s/^failureDomain: .*/failureDomain: $2/" \
        -e "s/^region: .*/region: $3/" \
        -e "s/listen: {address: [0-9.]*/listen: {address: $4/" >"$CELL/$1-entryd.yaml"
    echo "$CELL/$1-entryd.yaml"
}

# cellSettings ID DOMAIN REGION ADDRESS: writes a cell daemon's settings file and prints its path. Daemons whose ids are in
# OTHER_STORE, separated by spaces, use the store's other port. LIMITS, if set, holds the VM's limits as JSON.
cellSettings() {
    local storePort=7701
    case " ${OTHER_STORE:-} " in *" $1 "*) storePort=7704 ;; esac
    cat >"$CELL/$1-celld.json" <<JSON
{"nodeName": "$1", "zone": "$2", "region": "$3", "ip": "$4",
 "bindAddrs": {"frontend": "$4:8100", "ready": "$4:8101"}, "internalPorts": [8102, 8110],
 "limits": ${LIMITS:-{\}},
 "platform": {"address": "127.$NET.0.1:$storePort"}, "advice": "127.$NET.0.2:7702",
 "bounds": {"holdMaxMs": 6000, "configApplyMs": 2500, "graceS": 6, "status_s": 120}}
JSON
    echo "$CELL/$1-celld.json"
}

# startCellDaemon ID DOMAIN REGION ADDRESS
startCellDaemon() {
    PRIMROSECROFT_CONFIG=$(cellSettings "$@") startProcess "$1-celld" \
        "$BUILD/src/celld/primrosecroft-celld" --metrics-port 8109
}

# startEntryDaemon ID DOMAIN REGION ADDRESS
startEntryDaemon() {
    startProcess "$1-entryd" "$BUILD/src/entryd/primrosecroft-entryd" "$(entrySettings "$@")"
}

# Starts both daemons of each entry VM.
startDaemons() {
    local id domain region address
    while read -r id domain region address; do
        startCellDaemon "$id" "$domain" "$region" "$address"
        startEntryDaemon "$id" "$domain" "$region" "$address"
    done < <(vmFields entry)
}

# control PATH: sends a request to the control address of the platform's stand-in and prints the response.
control() {
    curl -s -m 10 "http://127.$NET.0.1:7703/$1"
}

# reported NAME: prints a number of the report of the platform's stand-in.
reported() {
    control report | sed "s/.*\"$1\":\([0-9]*\).*/\1/"
}

# isOwnerAt ADDRESS: succeeds if the cell daemon at that address reports that it is the owner.
isOwnerAt() {
    [ "$(curl -s -m 1 "http://$1:8109/metrics" | sed -n 's/^primrosecroft_owns //p')" = 1 ]
}

# fail TEXT...: prints the text and the ends of the logs, and ends the test.
fail() {
    echo "FAILED: $*" >&2
    tail -n 12 "$CELL"/*d.log >&2
    exit 1
}

# waitFor SECONDS WHAT COMMAND...: repeats the command until it succeeds. Fails the test after the given time.
waitFor() {
    local end=$((SECONDS + $1)) what=$2
    shift 2
    until "$@"; do
        [ "$SECONDS" -lt "$end" ] || fail "timed out waiting for: $what"
        sleep 0.1
    done
}

# Ends every process that this cell started, and waits for it.
endCell() {
    local pid
    for pid in "${CELL_PIDS[@]}"; do
        kill "$pid" 2>/dev/null
    done
    sleep 0.2
    for pid in "${CELL_PIDS[@]}"; do
        kill -9 "$pid" 2>/dev/null
    done
    wait "${CELL_PIDS[@]}" 2>/dev/null
    rm -rf "$CELL"
}
