#!/usr/bin/env bash
# Restarts the daemons of each entry VM in turn while bookings are sent. Checks that every booking is answered and that
# no task is restarted. The callers use only entry VMs that are ready, as the balancer does.
set -u
. "$(dirname "$0")/small_cell.sh"
startSmallCell
[ "$(submit watch '{"kind":"service","team":"yard","tasks":4,"cores":1,"memory":"1GiB"}' "$(entryUrl 1)")" = 202 ] || fail "not accepted"
waitUntil "the service runs" hasRunningTasks watch 4
before=$(listTasks | grep -o '"attempt":[0-9]*' | sort)

touch "$CELL/go"
caller() { # NUMBER
    local vm turn=0
    while [ -e "$CELL/go" ]; do
        for vm in 1 2 3; do
            isReady "$(entryUrl $vm)" || continue
            turn=$((turn + 1))
            get -o /dev/null -w '%{http_code}\n' "$(entryUrl $vm)/booking/c$1-$turn" >>"$CELL/caller$1.statuses"
        done
    done
}
callers=()
for number in 1 2 3 4; do
    caller $number &
    callers+=($!)
done
for id in grangemouth-e1 grangemouth-e2 dyce-e1; do
    for role in entryd celld; do
        pid=$(pidOf "$id-$role")
        kill -TERM "$pid"
        wait "$pid"
        status=$?
        [ $status = 0 ] || fail "$id-$role ended with $status"
        restartDaemon "$id" "$role"
        port=$([ $role = entryd ] && echo 7400 || echo 8101)
        number=$([ $id = dyce-e1 ] && echo 3 || echo "${id##*-e}")
        waitWithoutDuplicates "$id-$role is ready again" isReady "http://127.$NET.1.$number:$port"
    done
done
waitWithoutDuplicates "a cell daemon is the owner" findOwner
rm "$CELL/go"
wait "${callers[@]}"
total=$(cat "$CELL"/caller*.statuses | wc -l)
bad=$(cat "$CELL"/caller*.statuses | grep -vc '^200$')
echo "bookings $total, not answered $bad"
[ "$total" -gt 100 ] || fail "too few bookings"
[ "$bad" = 0 ] || fail "$(cat "$CELL"/caller*.statuses | sort | uniq -c)"
[ "$(listTasks | grep -o '"attempt":[0-9]*' | sort)" = "$before" ] || fail "tasks were restarted"
echo "passed"
