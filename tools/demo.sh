#!/usr/bin/env bash
# Installs the dependencies of the build, builds, and demonstrates recovery on loopback: starts stand-ins for the external
# systems and three controllers, submits jobs, kills and restarts all controllers, and shows the jobs and the state
# service afterwards. Uses ports from 21000 on (or from PORT on), and stops every process that it starts.
set -euo pipefail
cd "$(dirname "$0")/.."
port=${PORT:-21000}
packages=$(sed -n 's/^packages = \[\(.*\)\]/\1/p' deploy/service.toml | tr -d '",')
missing=$(for p in $packages; do dpkg -s "$p" >/dev/null 2>&1 || echo "$p"; done)
if [ -n "$missing" ]; then
    apt-get update -qq
    # shellcheck disable=SC2086
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $missing >/dev/null
fi
sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/service.toml)" >&2

dir=$(mktemp -d)
pids=()
finish() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$dir"
}
trap finish EXIT
say() { echo "== $*" >&2; }

for i in 0 1 2; do
    sed -e "s/^node_name = .*/node_name = \"loom-$i\"/" \
        -e "s/^client_listen = .*/client_listen = \"127.0.0.1:$((port + i))\"/" \
        -e "s/^cluster_listen = .*/cluster_listen = \"127.0.0.1:$((port + 10 + i))\"/" \
        -e "s/^cloud = .*/cloud = \"127.0.0.1:$((port + 20))\"/" \
        -e "s/^state = .*/state = \"127.0.0.1:$((port + 21))\"/" examples/controller.toml >"$dir/$i.toml"
    for j in 0 1 2; do
        [ "$i" = "$j" ] || printf '\n[[peers]]\nnode_name = "loom-%s"\nsite = "a"\npeer_addr = "127.0.0.1:%s"\n' \
            "$j" "$((port + 10 + j))" >>"$dir/$i.toml"
    done
done
nodes=()
start_controllers() {
    nodes=()
    for i in 0 1 2; do
        target/cottonway --config "$dir/$i.toml" 2>>"$dir/loom-$i.log" &
        nodes+=($!)
        pids+=($!)
    done
}
# until_stage JOB STAGE: polls the controllers until one of them reports the stage for the job; fails after 30 s.
until_stage() {
    for _ in $(seq 150); do
        for i in 0 1 2; do
            target/cottonway show --node "127.0.0.1:$((port + i))" "$1" 2>/dev/null | grep -q "\"stage\": \"$2\"" && return
        done
        sleep 0.2
    done
    say "$1 is not $2 after 30 s"
    tail -n 20 "$dir"/loom-*.log >&2
    return 1
}
at() { echo "127.0.0.1:$((port + $1))"; }

say "stand-ins: a state service, a cloud and three workers"
target/cottonway-standins --state-port $((port + 21)) --cloud-port $((port + 20)) --worker-port $((port + 30)) \
    --run 8 --controllers "$(at 0)" "$(at 1)" "$(at 2)" >"$dir/standins.log" &
pids+=($!)
sleep 0.5
say "three controllers"
start_controllers
for _ in $(seq 100); do target/cottonway submit --node "$(at 0)" examples/job.json >/dev/null 2>&1 && break; sleep 0.2; done
target/cottonway submit --node "$(at 1)" examples/pipeline.json
until_stage req-000001 running
say "killing all controllers while tasks are running"
kill -9 "${nodes[@]}"
wait "${nodes[@]}" 2>/dev/null || true
sleep 2
say "restarting the controllers"
start_controllers
until_stage req-000001 "done"
until_stage req-000103 "done"
say "the jobs and the state service afterwards"
target/cottonway show --node "$(at 2)" req-000001 req-000101 req-000102 req-000103
target/cottonway verify --config "$dir/0.toml" --json
starts=$(grep -c "starts on" "$dir/standins.log" || true)
ids=$(grep "starts on" "$dir/standins.log" | cut -d' ' -f1 | sort -u | wc -l)
say "$starts tasks were started, $ids of them different: $([ "$starts" = "$ids" ] && echo none twice || echo TWICE)"
[ "$starts" = "$ids" ] && [ "$starts" -gt 0 ]
