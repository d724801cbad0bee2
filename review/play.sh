#!/usr/bin/env bash
# Plays a case of the review with the project's entry hosts as separate processes on loopback.
# usage: play.sh CASE MACHINES FOLDER
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
set -u
case_name=$1
machines=$2
folder=$(cd "$3" && pwd)
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/review/review_standin ] || [ ! -x target/bin/mjm_platform_entry ]; then
    echo "build first: the build of the deploy file, then review/build.sh" >&2
    exit 2
fi
dir=$(mktemp -d)
standin=
# Starts a machine's process, and starts it again a second after it has ended.
keep_running() {
    while [ ! -e "$dir/stop" ]; do
        MARJORAMMILL_BOOT=$dir/machine-$1.json target/bin/mjm_platform_entry >>"$dir/machine-$1.log" 2>&1 &
        echo $! >"$dir/machine-$1.pid"
        wait $! 2>/dev/null
        [ -e "$dir/stop" ] || sleep 1
    done
}
clean_up() {
    touch "$dir/stop"
    # shellcheck disable=SC2046
    [ -z "$(ls "$dir"/*.pid 2>/dev/null)" ] || kill -KILL $(cat "$dir"/*.pid) 2>/dev/null
    [ -z "$standin" ] || kill -KILL "$standin" 2>/dev/null
    wait 2>/dev/null
    [ -z "${KEEP_LOGS:-}" ] || cp "$dir"/machine-*.log "$KEEP_LOGS"/
    rm -rf "$dir"
}
trap clean_up EXIT
trap 'exit 2' INT TERM
target/review/review_standin "$case_name" "$dir" "$folder/record.txt" &
standin=$!
for _ in $(seq 100); do
    [ -e "$dir/settings-written" ] && break
    sleep 0.05
done
[ -e "$dir/settings-written" ] || exit 2
for n in $(seq 0 $((machines - 1))); do
    keep_running "$n" 2>/dev/null &
done
wait "$standin"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
