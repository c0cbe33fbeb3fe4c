# Searches a Spin model for violations. Sourced by the checks; needs MODEL, the model's file.
#
# Every search is a depth-first one with bit-state hashing, bounded in depth, so its
# verdict is the same each time: a violation found is real, none found covers the
# states visited and is no proof of all.
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work" || exit 1
failed=0

# search DEPTH FLAGS...: prints what the search found.
search() {
    local depth=$1
    shift
    spin -a "$@" "$MODEL" >spin.log 2>&1 || { cat spin.log; return 1; }
    gcc -O2 -DSAFETY -DBITSTATE -o pan pan.c || return 1
    ./pan -w28 -m"$depth"
}

# expect none|violation NAME DEPTH FLAGS...
expect() {
    local expected=$1 name=$2 found=none
    shift 2
    search "$@" >out.log 2>&1 || true
    grep -q 'assertion violated' out.log && found=violation
    grep -q 'states, stored' out.log || found='no verdict'
    local states
    states=$(sed -n 's/^ *\([0-9]*\) states, stored.*/\1/p' out.log)
    if [ "$found" = "$expected" ]; then
        echo "ok: $name: $found, as expected ($states states)"
    else
        echo "FAILED: $name: $found, expected $expected ($states states)"
        failed=1
    fi
}

