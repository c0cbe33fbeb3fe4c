# Starts and ends a whole cell of plain processes on loopback. Sourced by the demo
# and by the tests that use real processes.
#
# Needs: BUILD (build folder), EXAMPLE (folder with sheet.yaml, vms.json and the two
# settings files), and optionally NET, the second number of its loopback addresses.

NET=${NET:-10}
CELL=$(mktemp -d)
CELL_PIDS=()

# cellFile FILE: the example's file with this cell's addresses.
cellFile() {
    sed "s/127\.10\./127.$NET./g" "$EXAMPLE/$1"
}

# startProcess NAME COMMAND...: in the background, its output in the cell's folder.
startProcess() {
    local name=$1
    shift
    "$@" >"$CELL/$name.log" 2>&1 &
    CELL_PIDS+=($!)
    echo $! >"$CELL/$name.pid"
}

startPlatform() {
    cellFile vms.json >"$CELL/vms.json"
    startProcess platform "$BUILD/tests/standins/standin-platform" \
        --address "127.$NET.0.1" --port 7700 --vms "$CELL/vms.json"
}

# vmFields ROLE: one line "id domain region address" for each VM of that role.
vmFields() {
    sed -n "s/.*\"id\": \"\([^\"]*\)\", \"role\": \"$1\", \"failureDomain\": \"\([^\"]*\)\", \"region\": \"\([^\"]*\)\".*\"address\": \"\([^\"]*\)\".*/\1 \2 \3 \4/p" \
        "$CELL/vms.json"
}

startWorkers() {
    local id domain region address accelerators
    while read -r id domain region address; do
        accelerators=$(cellFile sheet.yaml | sed -n "s/^  $id:.*accelerators: \([0-9]*\).*/\1/p")
        startProcess "$id" "$BUILD/tests/standins/standin-worker" \
            --address "$address" --port 7500 --accelerators "${accelerators:-0}"
    done < <(vmFields worker)
}

startExecutors() {
    local id domain region address
    while read -r id domain region address; do
        startProcess "$id" "$BUILD/tests/standins/standin-executor" --address "$address" --port 7600
    done < <(vmFields executor)
}

# settingsFor ROLE ID DOMAIN REGION ADDRESS: a daemon's settings file, its path printed.
settingsFor() {
    local rank=$((${2##*-e} - 1))
    cellFile "$1.yaml" | sed \
        -e "s/^process: .*/process: $2-$1/" -e "s/^failureDomain: .*/failureDomain: $3/" \
        -e "s/^region: .*/region: $4/" -e "s/^rank: .*/rank: $rank/" \
        -e "s/listen: {address: [0-9.]*/listen: {address: $5/" >"$CELL/$2-$1.yaml"
    echo "$CELL/$2-$1.yaml"
}

startDaemons() {
    local id domain region address role
    while read -r id domain region address; do
        for role in entryd schedd; do
            startProcess "$id-$role" "$BUILD/src/$role/primrosecroft-$role" \
                "$(settingsFor "$role" "$id" "$domain" "$region" "$address")"
        done
    done < <(vmFields entry)
}

# Ends every process that this cell started, and waits for it.
endCell() {
    local pid
    for pid in "${CELL_PIDS[@]}"; do
        kill "$pid" 2>/dev/null
    done
    wait "${CELL_PIDS[@]}" 2>/dev/null
    rm -rf "$CELL"
}
