#!/usr/bin/env bash
# Builds the deployed program as on a clean machine: from the product's sources alone, with an empty environment.
# Fails also if the build runs, reads or links a file of a package that deploy/system.toml doesn't list.
# usage: check_deploy_build.sh [--configure-only]
set -eu
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -z | grep -zvE '^(review|journal|docs|scripts|\.ci)/|(^|/)tests/' | xargs -0 tar c | tar x -C "$copy"
line=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
[ "${1:-}" = --configure-only ] && line=${line%%&&*}
listed=$(sed -n 's/^packages = \[\(.*\)\]$/\1/p' deploy/system.toml | tr -d '",')
cd "$copy"
find . -type f -not -path './target/*' | sort >"$copy.before"
env -i PATH=/usr/bin:/bin HOME=/nonexistent LANG=C bash -c "$line" >"$copy.log" 2>&1 || {
    tail -40 "$copy.log"
    echo "FAILED: the deploy build needs more than the product's sources"
    exit 1
}
find . -type f -not -path './target/*' | sort >"$copy.after"
cmp -s "$copy.before" "$copy.after" || { echo "FAILED: the build writes outside target/"; exit 1; }
rm -f "$copy.before" "$copy.after" "$copy.log"
[ "${1:-}" = --configure-only ] && exit 0
target/bin/mjm_platform_entry --version

# The packages that the listed ones need, without those that are merely recommended.
# shellcheck disable=SC2086
apt-cache depends --recurse --installed --no-recommends --no-suggests --no-conflicts --no-breaks --no-replaces \
    --no-enhances $listed | sed -n 's/^\([a-z0-9][^ :]*\).*/\1/p' | sort -u >target/allowed
{
    for tool in cmake ninja c++ cc ld ar; do command -v "$tool"; done
    ninja -C target -t deps | sed -n 's/^ *\(\/.*\)/\1/p'
    grep -ho ' /[^ ]*\.\(so\|a\)[^ ]*' target/build.ninja
} | sort -u | xargs realpath -qe | grep -v "^$copy/" | sort -u | xargs dpkg -S | sed 's/[:,].*//' | sort -u >target/used
if unlisted=$(grep -vxFf target/allowed target/used); then
    echo "FAILED: the build uses packages that deploy/system.toml doesn't list: $unlisted"
    exit 1
fi
echo "the deploy build uses $(wc -l <target/used) packages, all listed or needed by listed ones"
