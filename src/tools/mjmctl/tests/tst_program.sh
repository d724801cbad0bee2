#!/usr/bin/env bash
# Exit codes and output of the program as a whole; nothing here needs a server.
# usage: tst_program.sh MJMCTL
set -u
ctl=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
unset MJM_KEY
failures=0

# expect GUARD CODE ARGUMENT...: runs the program and compares its exit code.
expect() {
    local guard=$1 expected=$2 code=0
    shift 2
    "$ctl" "$@" >"$dir/out" 2>"$dir/err" </dev/null || code=$?
    if [ "$code" != "$expected" ]; then
        echo "guards against $guard: exit code $code, expected $expected: $*"
        failures=$((failures + 1))
    fi
}
# contains FILE TEXT
contains() {
    grep -qF -- "$2" "$dir/$1" || { echo "no \"$2\" in the output"; failures=$((failures + 1)); }
}

expect "help that fails" 0 --help
contains out "5 outcome not known"
expect "a command line that is not understood" 2
expect "a command line that is not understood" 2 config frob
expect "a command line that is not understood" 2 team set-share red much
expect "a command without a server" 2 team list
expect "a host name that is silently resolved" 2 --server localhost:1 team list
echo '{"server": []}' >"$dir/bad.json"
expect "a misspelled settings key" 2 --settings "$dir/bad.json" --check-settings
contains err unknown_key
echo '{"servers": [{"address": "127.0.0.1", "port": 1}]}' >"$dir/good.json"
expect "valid settings that are rejected" 0 --settings "$dir/good.json" --check-settings
expect "an option after the command that is ignored" 2 team list --settings "$dir/bad.json"
expect "a key file that cannot be read" 2 --settings "$dir/good.json" --key-file "$dir/none" team list
expect "a change without confirmation" 2 --settings "$dir/good.json" config accept p1
contains err "--yes"
expect "a dry run of a change that takes effect" 2 --settings "$dir/good.json" config accept p1 --dry-run --yes
expect "a malformed key that is echoed" 2 --settings "$dir/good.json" --key "very secret" team list
if grep -q "secret" "$dir/out" "$dir/err"; then
    echo "guards against a malformed key that is echoed"
    failures=$((failures + 1))
fi
[ "$failures" = 0 ]
