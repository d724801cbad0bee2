#!/usr/bin/env bash
# Guards against a settings page that no longer matches the program, and against wrong settings that are
# accepted or end with the exit code of a runtime failure.
# usage: tst_program.sh PROGRAM SETTINGS_PAGE
set -u
program=$1
page=$2
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

# shellcheck source=/dev/null
. "$(dirname "$0")/../../../../cmake/program_checks.sh"
expect_settings_page

good='"host":"h1","zone":"z1","caller_port":1001,"peer_port":1002,"admin_port":1003,"store_port":1004'
echo "{$good}" >"$dir/good.json"
expect "valid settings" 0 "$(check "$dir/good.json")"
echo "{$good,\"no_such_key\":1}" >"$dir/unknown.json"
expect "unknown key" 2 "$(check "$dir/unknown.json")"
grep -q no_such_key "$dir/out"
expect "unknown key is named" 0 $?
echo "{$good,\"drain_deadline_ms\":-1}" >"$dir/range.json"
expect "value out of range" 2 "$(check "$dir/range.json")"
echo "${good/1002/1001}" | sed 's/^/{/; s/$/}/' >"$dir/contradiction.json"
expect "two listeners on one port" 2 "$(check "$dir/contradiction.json")"
expect "missing file" 2 "$(check "$dir/missing.json")"
[ "$failures" = 0 ] && echo "7 checks passed"
exit "$failures"
