#!/usr/bin/env bash
# Checks that every renamed test in docs/renamed-tests.tsv exists under its new name and no longer under its old one.
# usage: check_renamed_tests.sh BUILD_DIRECTORY
set -euo pipefail
build=${1:?usage: check_renamed_tests.sh BUILD_DIRECTORY}
table=$(dirname "$0")/../docs/renamed-tests.tsv
names=$(ctest --test-dir "$build" -N | sed -n 's/^ *Test *#[0-9]*: //p')
failed=0
while IFS=$'\t' read -r old new; do
    grep -qxF -- "$new" <<<"$names" || { echo "missing: $new (was $old)"; failed=1; }
    ! grep -qxF -- "$old" <<<"$names" || { echo "still there: $old (now $new)"; failed=1; }
done < <(tail -n +2 "$table")
exit $failed
