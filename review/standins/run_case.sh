#!/bin/bash
# run_case.sh NUMBER PROGRAM: runs a case in a temporary folder, and ends every process that it started.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/$2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
[ -x "$program" ] && [ -n "$run" ] && [ -x "${run%% *}" ] ||
  { echo "run.sh: first run the build of deploy/service.toml and review/build.sh" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
pid=
clean_up() {
  [ -n "$pid" ] && kill "$pid" 2>/dev/null && wait "$pid" 2>/dev/null
  # The stage ends its controllers itself; these are left only if it was killed.
  while read -r controller; do
    tr '\0' ' ' 2>/dev/null <"/proc/$controller/cmdline" | grep -qF "$folder/" && kill -KILL "$controller"
  done <"$folder/pids"
  [ -n "${KEEP_LOGS:-}" ] && echo "logs: $folder" >&2 || rm -rf "$folder"
} 2>/dev/null
trap clean_up EXIT
trap 'exit 2' INT TERM
touch "$folder/pids"
timeout -k 2 119 "$program" "$folder" "$run" "review/$1/record.txt" &
pid=$!
wait "$pid"
code=$?
pid=
[ "$code" -le 1 ] || code=2
exit "$code"
