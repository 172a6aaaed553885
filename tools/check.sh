#!/usr/bin/env bash
# The CI checks: installs the dependencies of the build and the tests, checks source format, scripts and includes, builds,
# and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
packages=$(sed -n 's/^packages = \[\(.*\)\]/\1/p' deploy/service.toml | tr -d '",')
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $packages \
    libgtest-dev librapidcheck-dev libglpk-dev clang-format clang-tidy shellcheck >/dev/null
find src tools tests -name '*.?pp' -print0 | xargs -0 clang-format --dry-run -Werror
shellcheck tools/*.sh tests/*.sh .ci/run
tools/check_includes.sh
tools/check_tidy.sh
sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/service.toml)"
cmake -S . -B target/tests -DCMAKE_BUILD_TYPE=Debug -DCOTTONWAY_TESTS=ON -DCOTTONWAY_SANITIZE=address,undefined
cmake --build target/tests -j8
tools/check_renamed_tests.sh target/tests
log=target/tests/Testing/Temporary/LastTestsFailed.log
rm -f "$log"
status=0
ctest --test-dir target/tests --output-on-failure -j8 || status=$?
# KNOWN-RED.txt, if it exists, lists the tests that are known to fail.
if [ ! -f KNOWN-RED.txt ]; then exit $status; fi
if [ $status -ne 0 ] && [ ! -s "$log" ]; then exit $status; fi
ctest --test-dir target/tests -N >target/tests/names.txt
tools/known_red.sh KNOWN-RED.txt target/tests/names.txt "$log"
