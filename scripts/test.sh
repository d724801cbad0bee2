#!/usr/bin/env bash
# Installs packages, checks format and lint, builds once, runs all tests, then the sanitizer builds.
set -eu
cd "$(dirname "$0")/.."
jobs=$(nproc)
bash .ci/setup
export CMAKE_CXX_COMPILER_LAUNCHER=ccache
options="-DMJM_WITH_TESTS=ON -DMJM_WARNINGS_AS_ERRORS=ON"

echo "== format"
git ls-files '*.h' '*.cpp' | xargs clang-format --dry-run --Werror

echo "== build"
# shellcheck disable=SC2086
cmake -S . -B build -G Ninja $options >build-configure.log 2>&1 || { cat build-configure.log; exit 1; }
cmake --build build -j "$jobs"

echo "== lint"
bash scripts/lint.sh build "$jobs"

# Tests that are listed as failing are run apart, and don't fail the whole.
known_red=$(sed -n 's/^- ctest \([a-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd'|')

echo "== tests"
ctest --test-dir build --output-on-failure -j "$jobs" --no-tests=error ${known_red:+-E "^($known_red)\$"}

# Runs the named tests under a sanitizer. A light optimiser level keeps both the build and the randomised
# runs short; gcc's -Wmaybe-uninitialized reports false positives in std::regex under sanitizers.
sanitized_tests() {
    local kind=$1 dir=$2 names=$3
    echo "== sanitizer $kind"
    # shellcheck disable=SC2086
    cmake -S . -B "$dir" -G Ninja $options -DMJM_SANITIZE="$kind" -DCMAKE_BUILD_TYPE=None \
        -DCMAKE_CXX_FLAGS="-O1 -g1 -Wno-maybe-uninitialized" >build-configure.log 2>&1 ||
        { cat build-configure.log; exit 1; }
    # shellcheck disable=SC2086
    cmake --build "$dir" -j "$jobs" --target $names
    # shellcheck disable=SC2086
    ctest --test-dir "$dir" --output-on-failure -j "$jobs" --no-tests=error \
        -R "^($(echo $names | tr ' ' '|'))\$"
}

if [ "${MJM_SKIP_SANITIZERS:-0}" != 1 ]; then
    sanitized_tests address,undefined build-address "tst_core tst_jobs tst_kernel tst_logging tst_net \
tst_platform_adapter tst_platform_codecs tst_platform_store tst_platform_targets \
tst_platform_http tst_settings tst_timeline tst_caller_api tst_entry tst_membership tst_permits tst_scheduling \
tst_platform_service tst_target_service"
    # The threads of the network are left out: Asio uses fences, which the thread sanitizer does not support.
    sanitized_tests thread build-thread "tst_core tst_kernel tst_logging tst_timeline"
fi

passed=$(ctest --test-dir build -N ${known_red:+-E "^($known_red)\$"} | sed -n 's/^Total Tests: //p')
if [ -n "$known_red" ]; then
    echo "== known failing tests"
    ctest --test-dir build --output-on-failure -R "^($known_red)\$" || true
fi
if [ -s KNOWN-RED.txt ]; then
    echo "== known failing checks, not counted"
    cat KNOWN-RED.txt
fi
echo "$passed passed, 0 failed"
