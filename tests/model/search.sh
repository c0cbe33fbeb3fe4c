# Searches a Spin model for violations. check.sh sources this file, after setting MODEL to the path of the model.
#
# Every search is depth-first with bit-state hashing and a bounded depth, so its result is the
# same each time. A violation that it finds is real; finding none covers only the visited
# states and proves nothing about the others.
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work" || exit 1
failed=0

# search DEPTH FLAGS...: runs the search and prints its output.
search() {
    local depth=$1
    shift
    spin -a "$@" "$MODEL" >spin.log 2>&1 || { cat spin.log; return 1; }
    gcc -O2 -DSAFETY -DBITSTATE -o pan pan.c || return 1
    ./pan -w28 -m"$depth"
}

# expect none|violation NAME DEPTH FLAGS...: compares the result of a search with the expected one.
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

