#!/bin/sh
# Status 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
program=$root/review/kit/target/release/upgrade_exit
if [ ! -x "$program" ]; then
    echo "not built: review/build.sh"
    exit 2
fi
# The platform's $TMPDIR is in memory.
temporary=$(mktemp -d -p /dev/shm 2>/dev/null) || temporary=$(mktemp -d) || exit 2
clean_up() {
    [ -f "$temporary/processes" ] && while read -r id; do kill -KILL "$id" 2>/dev/null; done <"$temporary/processes"
    rm -rf "$temporary"
}
trap clean_up EXIT
trap 'exit 2' INT TERM
timeout -k 5 110 "$program" "$folder" "$root" "$temporary"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
