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

# Sanitizers keep the optimiser on: without it the randomised runs take many times as long.
sanitized_build() {
    local kind=$1 dir=$2
    shift 2
    echo "== sanitizer $kind"
    cmake -S . -B "$dir" -G Ninja -DMJM_SANITIZE="$kind" >build-configure.log 2>&1 || { cat build-configure.log; exit 1; }
    cmake --build "$dir" -j "$jobs" "$@"
}

if [ "${MJM_SKIP_SANITIZERS:-0}" != 1 ]; then
    sanitized_build address,undefined build-address
    ctest --test-dir build-address --output-on-failure -j "$jobs" --no-tests=error
    # Only these tests run more than one thread.
    threaded="tst_core tst_kernel tst_logging tst_metrics tst_net tst_platform_http tst_timeline tst_target_service tst_platform_service"
    present=$(for name in $threaded; do ctest --test-dir build -N -R "^$name\$" | grep -q "Test *#" && echo "$name"; done)
    # shellcheck disable=SC2086
    sanitized_build thread build-thread --target $present
    ctest --test-dir build-thread --output-on-failure -j "$jobs" --no-tests=error -R "^($(echo $present | tr ' ' '|'))\$"
fi

passed=$(ctest --test-dir build -N | sed -n 's/^Total Tests: //p')
if [ -s KNOWN-RED.txt ]; then
    echo "== known failing checks, not part of this run"
    cat KNOWN-RED.txt
fi
echo "$passed passed, 0 failed"
