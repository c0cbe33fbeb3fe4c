#!/usr/bin/env bash
# run_seeds.sh BUILD FILE: soaks the daemons of a build with the site and seed of each line of the file, one after the
# other; what follows on a line is a remark. Fails if a rule is broken; the logs are then in the folder that it names.
# CELLD names another daemon's program.
set -u
BUILD=$1
seeds=$2
for NET in $(seq 40 120) none; do # of networks that small cells and soaks use, one that is free
    [ "$NET" != none ] || { echo "no free loopback network" >&2; exit 1; }
    exec 9>"/tmp/primrosecroft-net-$NET.lock"
    flock -n 9 && break
done
logs=$(mktemp -d)
status=0
while read -r site seed _; do
    "$BUILD/tests/soak/soak" --site "$site" --seed "$seed" --net "127.$NET" --logs "$logs" \
        --celld "${CELLD:-$BUILD/src/celld/primrosecroft-celld}" </dev/null 9>&- || status=1
done < <(grep -v '^#' "$seeds")
if [ "$status" = 0 ]; then rm -rf "$logs"; else echo "logs: $logs" >&2; fi
exit "$status"
