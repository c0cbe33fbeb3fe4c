# Starts the stand-in of the users' platform and a few cell daemons as processes on loopback addresses. Sourced by the
# tests of jobs.
#
# Environment variables: BUILD (build folder), and optionally NET (second number of the addresses), DAEMONS (number of
# cell daemons) and WORKERS (number of workers).

NET=${NET:-60}
DAEMONS=${DAEMONS:-3}
. "$(dirname "${BASH_SOURCE[0]}")/../demo/cell.sh"
trap endCell EXIT

startDaemon() {
    startCellDaemon "$1" a r "127.$NET.1.$1"
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
    waitFor 20 "a daemon is the owner" ownerNumber
}

isReady() {
    curl -sf -o /dev/null "http://127.$NET.1.$1:8101/readyz"
}

# submit DAEMON ID QUEUE BODY: submits a job and prints the status of the response.
submit() {
    curl -s -o /dev/null -w '%{http_code}' -m 4 -X POST -H 'Host: jobs.example' -H 'Deadline-Ms: 3000' \
        -H 'Content-Type: application/json' -d "$4" "http://127.$NET.1.$1:8100/$3/$2"
}

# stateOf DAEMON ID QUEUE: prints the state of a job, or the body and the status of the response if it has no state.
stateOf() {
    curl -s -m 4 -w '%{http_code}' -H 'Host: jobs.example' "http://127.$NET.1.$1:8100/$3/$2" \
        | sed 's/.*"state":"\([a-z]*\)".*/\1/'
}

# hasState DAEMON ID QUEUE STATE
hasState() {
    [ "$(stateOf "$1" "$2" "$3")" = "$4" ]
}

# ownerNumber: prints the number of the daemon that reports that it is the owner.
ownerNumber() {
    local number
    for number in $(seq "$DAEMONS"); do
        if isOwnerAt "127.$NET.1.$number"; then
            echo "$number"
            return 0
        fi
    done
    return 1
}
