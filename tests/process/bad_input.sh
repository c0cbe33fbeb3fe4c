#!/usr/bin/env bash
# Checks that malformed and unfinished input ends only its own connection, that the answer names what was expected, and
# that the daemons keep serving others.
set -u
. "$(dirname "$0")/small_cell.sh"
startSmallCell
url=$(entryUrl 1)
address=127.$NET.1.1
before=$(pidOf grangemouth-e1-entryd)

# These connections of a caller that sends half a request and of one that sends nothing stay open during the test.
exec 7<>"/dev/tcp/$address/7400" 8<>"/dev/tcp/$address/7400"
printf 'POST /v1/demands HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\nhalf' >&7
# One peer announces a length and sends nothing, one announces an impossible length, and one sends a malformed frame.
exec 4<>"/dev/tcp/$address/7401" 5<>"/dev/tcp/$address/7401" 6<>"/dev/tcp/$address/8102"
printf '\000\037\377\377' >&4
printf '\377\377\377\377' >&5
printf '\000\000\000\010garbage!' >&6

head -c 3000000 /dev/zero >"$CELL/long"
status=$(curl -s -m 20 -o /dev/null -w '%{http_code}' -X POST -H 'Idempotency-Key: long' --data-binary @"$CELL/long" "$url/v1/demands")
[ "$status" = 413 ] || [ "$status" = 000 ] || fail "a body over the size limit was answered $status"

expect() { # STATUS TEXT BODY
    local status
    status=$(submit bad "$3" "$url")
    [ "$status" = "$1" ] || fail "expected status $1, got $status for $3"
    grep -q "$2" "$CELL/bad.answer" || fail "expected '$2' in $(cat "$CELL/bad.answer")"
    grep -q '"outcome":"refused"' "$CELL/bad.answer" || fail "not refused: $(cat "$CELL/bad.answer")"
}
expect 400 sparkle '{"kind":"batch","team":"yard","tasks":1,"cores":1,"memory":"1GiB","runTime":"1s","sparkle":1}'
expect 400 tasks '{"kind":"batch","team":"yard","tasks":"many","cores":1,"memory":"1GiB","runTime":"1s"}'
expect 400 '' '{"kind":'
expect 422 'could ever hold' '{"kind":"batch","team":"yard","tasks":1,"cores":1000,"memory":"1GiB","runTime":"1s"}'
status=$(printf 'sheet: x\nwrong: 1\n' | curl -s -m 10 -o "$CELL/sheet.answer" -w '%{http_code}' -X PUT -H 'If-Match: "1"' --data-binary @- "$url/v1/sheet")
[ "$status" = 400 ] || fail "a sheet with an unknown key was answered $status"
for tag in '"-1"' '"9223372036854775807"' 'x' ''; do
    status=$(curl -s -m 10 -o /dev/null -w '%{http_code}' -X PUT -H "If-Match: $tag" --data-binary @"$EXAMPLE/sheet.yaml" "$url/v1/sheet")
    [ "$status" = 428 ] || fail "If-Match $tag was answered $status"
done

[ "$(submit good '{"kind":"service","team":"yard","tasks":1,"cores":1,"memory":"1GiB"}' "$url")" = 202 ] || fail "a valid demand after the bad ones was not accepted"
waitUntil "the valid demand runs" hasRunningTasks good 1
[ "$(get -o /dev/null -w '%{http_code}' "$url/booking/after")" = 200 ] || fail "a booking after the bad input was not answered"
kill -0 "$before" || fail "the entry daemon has ended"
isPeerInContact() { get "$url/v1/status" | grep -q 'grangemouth-e2-entryd'; }
waitUntil "its peer is in contact" isPeerInContact
echo "passed"
