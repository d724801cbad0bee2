#!/usr/bin/env bash
# Runs clang-tidy over all sources; a file that passed before with the same dependencies is skipped.
# usage: lint.sh BUILD_DIR JOBS
set -eu
build=$1
jobs=$2
cache=${XDG_CACHE_HOME:-$HOME/.cache}/marjorammill-lint
mkdir -p "$cache"
root=$(pwd)
deps=$(mktemp)
trap 'rm -f "$deps"' EXIT
# "object: ..." lines followed by indented dependencies; keep only the project's own files.
ninja -C "$build" -t deps | awk -v root="$root/" '
    /^[^ ].*: #deps/ { n = 0; next }
    /^ / { f = $1; sub(/^\.\.\//, "", f); if (index(f, root) == 1) f = substr(f, length(root) + 1);
           if (n == 0) src = f; n++; if (f ~ /^(src|platform)\//) print src, f }' | sort -u >"$deps"
export build cache deps
lint_one() {
    key=$( { cat .clang-tidy "$1"; awk -v s="$1" '$1 == s { print $2 }' "$deps" | xargs -r cat; } | sha256sum | cut -d' ' -f1)
    [ -e "$cache/$key" ] && return 0
    log=$(mktemp)
    if clang-tidy --quiet -p "$build" "$1" >"$log" 2>/dev/null; then
        touch "$cache/$key"
        rm -f "$log"
    else
        cat "$log"
        rm -f "$log"
        return 1
    fi
}
export -f lint_one
git ls-files '*.cpp' | xargs -P "$jobs" -I{} bash -c 'lint_one {}'
