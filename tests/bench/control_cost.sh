#!/usr/bin/env bash
# Prints the control traffic of each daemon of the example's cell, between entry daemons and with the store, and the CPU
# time and memory of each daemon. Measures the idle cell and the cell under a load of demands.
# Usage: tests/bench/control_cost.sh [SECONDS]
set -u
cd "$(dirname "$0")/../.." || exit 1
BUILD=${BUILD:-build}
EXAMPLE=${EXAMPLE:-examples/clydemuir}
PERIOD=${1:-20}
. tests/demo/cell.sh
trap endCell EXIT
startPlatform
startExecutors
startDaemons

daemonUrls() {
    local id domain region address
    while read -r id domain region address; do
        echo "$id-entryd http://$address:7400"
        echo "$id-celld http://$address:8109"
    done < <(vmFields entry)
}

waitUntilReady() {
    local name url tries
    while read -r name url; do
        for tries in $(seq 1 300); do
            curl -sf -m 2 -o /dev/null "$url/metrics" && break
            sleep 0.1
        done
    done < <(daemonUrls)
}

# snapshot FILE: writes a line "daemon metric value" for each counter of control traffic, the CPU time and the memory.
snapshot() {
    local name url
    while read -r name url; do
        curl -s -m 5 "$url/metrics" | sed -n "s/^primrosecroft_\(control_[a-z_]*\|peer_[a-z_]*\|store_[a-z_]*\)\(\|{[^}]*}\) \([0-9.e+]*\).*/$name \1 \3/p"
        echo "$name cpu_ticks $(cut -d' ' -f14,15 "/proc/$(cat "$CELL/$name.pid")/stat" | tr ' ' '+' | bc 2>/dev/null || awk '{print $14 + $15}' "/proc/$(cat "$CELL/$name.pid")/stat")"
        echo "$name resident_kib $(awk '/VmRSS/ {print $2}' "/proc/$(cat "$CELL/$name.pid")/status")"
    done < <(daemonUrls) >"$1"
}

# report TITLE: prints the changes per second between the two snapshots, and the memory at the end.
report() {
    echo "$1, over $PERIOD s"
    awk -v period="$PERIOD" '
        NR == FNR { before[$1 " " $2] = $3; next }
        { key = $1 " " $2; value[key] = ($2 == "resident_kib") ? $3 : ($3 - before[key]) / period; names[$1] = 1 }
        END {
            printf "%-24s %10s %10s %9s %9s %9s %7s %7s\n", "daemon", "peer out B", "peer in B", "http out", "http in", "peer msg", "core %", "MiB"
            for (name in names) {
                out = value[name " peer_bytes_sent"]; into = value[name " peer_bytes_received"]
                hout = value[name " control_http_bytes_sent"]; hin = value[name " control_http_bytes_received"]
                printf "%-24s %10.0f %10.0f %9.0f %9.0f %9.1f %7.2f %7.1f\n", name, out, into, hout, hin, value[name " peer_messages_sent"], value[name " cpu_ticks"], value[name " resident_kib"] / 1024 | "sort"
            }
        }' "$CELL/before" "$CELL/after"
}

measure() {
    snapshot "$CELL/before"
    sleep "$PERIOD"
    snapshot "$CELL/after"
    report "$1"
}

waitUntilReady
curl -s -o /dev/null -X PUT -H 'If-Match: "0"' --data-binary @"$CELL/sheet.yaml" "$(daemonUrls | grep entryd | head -n 1 | cut -d' ' -f2)/v1/sheet"
sleep 12
measure "idle: only the demands of the sheet run"
(
    url=$(daemonUrls | grep entryd | head -n 1 | cut -d' ' -f2)
    for turn in $(seq 1 $((PERIOD * 4))); do
        curl -s -m 5 -o /dev/null -X POST -H "Idempotency-Key: load$turn" \
            -d '{"kind":"batch","team":"yard","tasks":2,"cores":1,"memory":"512MiB","runTime":"2s"}' "$url/v1/demands"
        sleep 0.25
    done
) &
load=$!
measure "about 4 demands per second"
wait $load
