# Counts the commands whose exit status or output is wrong. Sourced by the checks of programs.

failures=0

# expect STATUS TEXT COMMAND...: runs the command and expects the exit status and the text in its output.
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
