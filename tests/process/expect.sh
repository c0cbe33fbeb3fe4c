# Counts commands that end or say other than they should. Sourced by the checks.

failures=0

# expect STATUS TEXT COMMAND...: the exit status, and a text that the output holds.
expect() {
    local wanted=$1 text=$2 output status
    shift 2
    output=$(timeout 60 "$@" 2>&1)
    status=$?
    if [ $status -ne "$wanted" ] || ! grep -qF -- "$text" <<<"$output"; then
        echo "FAILED: $* gave $status, wanted $wanted with '$text':" >&2
        echo "$output" >&2
        failures=$((failures + 1))
    fi
}
