#!/usr/bin/env bash
# Installs packages, checks format and lint, builds once, runs all tests, then the sanitizer builds.
set -eu
cd "$(dirname "$0")/.."
jobs=$(nproc)
bash .ci/setup

echo "== format"
git ls-files '*.h' '*.cpp' | xargs clang-format --dry-run --Werror

echo "== build"
cmake -S . -B build -G Ninja >build-configure.log 2>&1 || { cat build-configure.log; exit 1; }
cmake --build build -j "$jobs"

echo "== lint"
bash scripts/lint.sh build "$jobs"

echo "== tests"
ctest --test-dir build --output-on-failure -j "$jobs" --no-tests=error

if [ "${MJM_SKIP_SANITIZERS:-0}" != 1 ]; then
    for kind in address,undefined thread; do
        dir=build-$(echo "$kind" | tr ',' '-')
        echo "== sanitizer $kind"
        cmake -S . -B "$dir" -G Ninja -DMJM_SANITIZE="$kind" -DCMAKE_BUILD_TYPE=Debug >build-configure.log 2>&1
        cmake --build "$dir" -j "$jobs"
        ctest --test-dir "$dir" --output-on-failure -j "$jobs" --no-tests=error
    done
fi
