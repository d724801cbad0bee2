#!/usr/bin/env bash
# Guards the program's exit codes, and that malformed input neither ends it nor reaches its output.
set -u
program=$1
failures=0
expect() {
    if [ "$2" != "$3" ]; then
        echo "$1: expected $2, got $3"
        failures=$((failures + 1))
    fi
}
event='{"ms":1,"n":0,"host":"h1","zone":"a","kind":"task_started","team":"red"}'
out=$(printf '%s\nbroken\n' "$event" | "$program" --format json 2>/dev/null)
expect "exit code with a malformed line" 0 $?
expect "output with a malformed line" "$event" "$out"
err=$(printf '%s\nbroken\n' "$event" | "$program" 2>&1 >/dev/null)
expect "report" "(stdin): 1 of 2 lines malformed, first at line 2: not_json" "$err"
out=$(echo "$event" | "$program" --format json --team blue)
expect "filter" "" "$out"
"$program" /nonexistent </dev/null >/dev/null 2>&1
expect "unreadable input" 1 $?
"$program" --kind nonsense </dev/null >/dev/null 2>&1
expect "unknown kind" 2 $?
"$program" --shard nonsense </dev/null >/dev/null 2>&1
expect "wrong shard" 2 $?
"$program" --settings /nonexistent --check-settings >/dev/null 2>&1
expect "missing settings" 2 $?
"$program" --check-settings >/dev/null 2>&1
expect "default settings" 0 $?
"$program" --version >/dev/null 2>&1
expect "version" 0 $?
echo "$event" | "$program" >/dev/full 2>/dev/null
expect "full output" 1 $?
exit $((failures > 0))
