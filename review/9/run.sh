#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[ -x review/standin-2/bin/standin ] && [ -x target/bin/mjm_platform_entry ] || exit 2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
review/standin-2/bin/standin quota-after-failure target/bin/mjm_platform_entry "$folder" "$here/record.txt"
